package core

import (
	"maps"
	"slices"

	"monsooncleat.example/monsooncleat/internal/bundle/routes"
)

// evacuations are the evacuated data centres, as the control hosts decided. A host
// without contact keeps the last state.
type evacuations struct {
	version uint64
	active  map[string]bool
}

// setEvacuations puts the evacuations of an update in force if they are newer. Servers of
// an evacuated data centre take no new flows. The flows that they have stay.
func (c *Core) setEvacuations(u *Update) {
	if u.EvacuationsVersion <= c.evacuations.version {
		return
	}
	c.evacuations = evacuations{version: u.EvacuationsVersion, active: map[string]bool{}}
	for _, e := range u.Evacuations {
		if e.Active {
			c.evacuations.active[e.Centre] = true
		}
	}
	for _, s := range c.ordered {
		c.list(s)
	}
}

// hasEvacuatedServer reports whether a server in an evacuated data centre takes new flows
// of a service of the route but for the evacuation.
func (c *Core) hasEvacuatedServer(route *routes.Route) bool {
	if len(c.evacuations.active) == 0 {
		return false
	}
	return slices.ContainsFunc(c.ordered, func(s *server) bool {
		return s.entry.Usable() && c.evacuations.active[s.entry.Centre] && slices.ContainsFunc(route.Targets, func(t routes.Target) bool {
			return t.Weight > 0 && t.Service == s.entry.Service
		})
	})
}

// EvacuationsVersion returns the version of the evacuations in force, or 0.
func (c *Core) EvacuationsVersion() uint64 { return c.evacuations.version }

// Evacuated returns the names of the evacuated data centres, sorted.
func (c *Core) Evacuated() []string { return slices.Sorted(maps.Keys(c.evacuations.active)) }

// EvacuatedServices returns the services, sorted by name, that have servers for new flows
// in evacuated data centres only.
func (c *Core) EvacuatedServices() []string {
	out := map[string]bool{}
	for _, s := range c.ordered {
		if s.entry.Usable() && c.evacuations.active[s.entry.Centre] && len(c.services[s.entry.Service]) == 0 {
			out[s.entry.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(out))
}
