package core

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/conf/tune"
	"monsooncleat.example/monsooncleat/internal/serve/admit"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

func backendOf(s *server) *choose.Backend { return s.backend }

// candidates returns the servers that a new flow of the route may go to: those of a
// service picked by weight or, if that has none, of the first target with a weight
// above zero that has one. Exclude, if not nil, is left out.
func (c *Core) candidates(route *routes.Route, exclude *server) []*server {
	list := c.services[route.Pick(c.rand.Uint64())]
	if len(list) == 0 {
		for _, t := range route.Targets {
			if t.Weight > 0 && len(c.services[t.Service]) > 0 {
				list = c.services[t.Service]
				break
			}
		}
	}
	if exclude == nil {
		return list
	}
	others := make([]*server, 0, len(list))
	for _, s := range list {
		if s != exclude {
			others = append(others, s)
		}
	}
	return others
}

// pickServer selects the server of a flow, or returns nil if there is none.
// Exclude, if not nil, is not selected.
func (c *Core) pickServer(now clock.Millis, route *routes.Route, kind choose.Kind, exclude *server) *server {
	list := c.candidates(route, exclude)
	if index := c.policy.Pick(now, kind, list, backendOf); index >= 0 {
		return list[index]
	}
	return nil
}

// refusalAttempts is the number of servers that must be too loaded for a flow to be
// refused, besides the first one.
const refusalAttempts = 3

// pickAdmitted selects the server of a new flow, or returns nil if there is none. It
// reports whether the flow is admitted. Only the first transmission of an opening
// packet is refused: an earlier one may have opened the flow.
func (c *Core) pickAdmitted(now clock.Millis, route *routes.Route, kind choose.Kind, p *Packet) (s *server, admitted bool) {
	list := c.candidates(route, nil)
	index := c.policy.Pick(now, kind, list, backendOf)
	if index < 0 {
		return nil, false
	}
	s = list[index]
	service := c.admissionOf(s.entry.Service)
	priority := route.Priority
	if c.options.Off.Has(tune.Priorities) {
		priority = 0
	}
	service.RecordOpening(priority)
	o := admit.Opening{
		Kind: kind, Goal: route.LatencyGoal, Priority: priority,
		Load: s.backend.Load(choose.Short),
	}
	if kind == choose.Long {
		o.MeanLoad = c.policy.MeanUtilization(now, list, backendOf)
	}
	admitted = p.Ack > 0 || c.options.Off.Has(tune.Admission) || service.Admit(&o)
	for range refusalAttempts {
		if admitted {
			break
		}
		s = list[c.policy.Pick(now, kind, list, backendOf)]
		o.Load = s.backend.Load(choose.Short)
		admitted = service.Admit(&o)
	}
	return s, admitted
}

func (c *Core) admissionOf(service string) *admit.Service {
	a := c.admission[service]
	if a == nil {
		a = admit.NewService()
		c.admission[service] = a
	}
	return a
}
