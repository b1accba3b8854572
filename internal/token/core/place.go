package core

import (
	"math"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/conf/tune"
	"monsooncleat.example/monsooncleat/internal/serve/admit"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

func backendOf(s *server) *choose.Backend { return s.backend }

// candidates returns the servers that a new flow of the route may go to: those of a
// service picked by weight with draw or, if that has none, of the first target with a
// weight above zero that has one. Exclude, if not nil, is left out.
func (c *Core) candidates(route *routes.Route, draw uint64, exclude *server) []*server {
	list := c.services[route.Pick(draw)]
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
	list := c.openable(now, kind, c.candidates(route, c.rand.Uint64(), exclude))
	if index := c.policy.Pick(now, kind, list, backendOf); index >= 0 {
		return list[index]
	}
	return nil
}

// pickWithoutRecord selects the server of a flow that the table has no room for, or returns
// nil if there is none. All copies of the opening get the same one while the servers are the
// same.
func (c *Core) pickWithoutRecord(now clock.Millis, key flowKey, route *routes.Route, kind choose.Kind) *server {
	draw := hash.Mix(hash.String(key.client.String()), hash.String(key.route.String()))
	list := c.openable(now, kind, c.candidates(route, draw, nil))
	if len(list) == 0 {
		return nil
	}
	return list[draw%uint64(len(list))]
}

// refusalAttempts is the number of servers that must be too loaded for a flow to be
// refused, besides the first one.
const refusalAttempts = 3

// copyAges are the ages of the transmissions of an opening packet. The clients' protocol,
// which package platform implements, defines them.
var copyAges = [...]clock.Millis{0, 200, 600}

// refusal describes a refused opening, for logs.
type refusal struct {
	server *server
	load   float64
}

// pickAdmitted selects the server of a new flow, or returns nil if there is none. It
// reports the load of that server, and whether the flow is admitted. A copy of an opening
// packet is admitted as long as its request can be answered in time, since it can't be
// refused at once: an earlier transmission may have opened the flow.
func (c *Core) pickAdmitted(now clock.Millis, route *routes.Route, kind choose.Kind, p *Packet) (s *server, load float64, admitted bool) {
	list := c.openable(now, kind, c.candidates(route, c.rand.Uint64(), nil))
	if len(list) == 0 {
		return nil, 0, false
	}
	class := admit.Class{Service: list[0].record.Service, Kind: kind, Goal: route.LatencyGoal, Priority: c.priorityOf(route)}
	service := c.admissionOf(class.Service)
	service.RecordOpening(class.Priority)
	mayRefuse := !c.options.Off.Has(tune.Admission) && (!p.mayHaveCopy() || c.tooLate(p, &class))
	if r, holds := c.refusals.Find(now, class); mayRefuse && holds {
		return r.server, r.load, false
	}
	o := admit.Opening{Kind: kind, Goal: class.Goal, Priority: class.Priority}
	if mayRefuse {
		if s, admitted, decided := c.pickShared(now, list, service, &o); decided {
			return s, s.backend.Load(kind), admitted
		}
	}
	longLimit := math.Inf(1)
	if mayRefuse && kind == choose.Long && o.Goal > 0 {
		longLimit = c.longFlowLimit(list)
	}
	for attempt := 0; attempt <= refusalAttempts; attempt++ {
		s = list[c.policy.Pick(now, kind, list, backendOf)]
		load = s.backend.Load(kind)
		if !mayRefuse {
			return s, load, true
		}
		if kind == choose.Long && attempt == 0 {
			o.MeanLoad = c.policy.MeanUtilization(now, list, backendOf)
		}
		o.Load = s.backend.Load(choose.Short)
		if s.backend.Utilization() > longLimit {
			return s, load, false
		}
		if service.Admit(&o) {
			return s, load, true
		}
	}
	if o.Load = lowestLoad(list); !service.Admit(&o) {
		c.refusals.Remember(now, class, refusal{s, load})
	}
	return s, load, false
}

// tooLate reports whether a copy of an opening packet comes too late for its request to be
// answered within the latency goal. After a loss of hosts under load, most copies are
// sent by clients whose openings went to those hosts. Flows for all of them leave servers
// and links no room for requests that can be answered in time.
func (c *Core) tooLate(p *Packet, class *admit.Class) bool {
	if p.Ack == 0 || class.Goal == 0 || c.options.Off.Has(tune.LateCopies) {
		return false
	}
	age := copyAges[min(int(p.Ack), len(copyAges)-1)]
	s := c.spansOf(class.Service)
	return age+s.Handshake(class.Goal)+s.Response(class.Goal) > class.Goal
}

// priorityOf returns the priority of a route, or 0 if priorities are switched off.
func (c *Core) priorityOf(route *routes.Route) int {
	if c.options.Off.Has(tune.Priorities) {
		return 0
	}
	return route.Priority
}

// lowestLoad returns the load of the least loaded server with one more request.
func lowestLoad(list []*server) float64 {
	lowest := list[0].backend.Load(choose.Short)
	for _, s := range list[1:] {
		lowest = min(lowest, s.backend.Load(choose.Short))
	}
	return lowest
}

func (c *Core) admissionOf(service string) *admit.Service {
	a := c.admission[service]
	if a == nil {
		a = admit.NewService()
		c.admission[service] = a
	}
	return a
}
