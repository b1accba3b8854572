package core

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/conf/tune"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/warm"
)

// coldState is what a host knows of cold servers. See docs/design/cold-servers.md.
type coldState struct {
	centres *warm.Centres
	// evacuationsVersion is that of the evacuations in centres, and changes holds the
	// number of the latest known change of each data centre.
	evacuationsVersion uint64
	changes            map[string]uint64
	// count is the number of cold servers. While it is 0, new flows are placed without
	// regard to this state.
	count int
	// granted are the servers with a grant of the latest reply, which answers the request
	// sent at grantedAt.
	granted   []*server
	grantedAt clock.Millis
	// warm and open are buffers of openable.
	warm, open []*server
}

// ColdServer describes a cold server in the dump.
type ColdServer struct {
	ID string `json:"id"`
	// Left is the time until it is warm.
	Left clock.Millis `json:"left"`
	// Rate is what this host may open, in flows a second, for GrantLeft, which is 0
	// without a grant.
	Rate      float64      `json:"rate"`
	GrantLeft clock.Millis `json:"grantLeft"`
}

// limitsCold reports whether cold servers of any service are limited.
func (c *Core) limitsCold() bool {
	return c.index != nil && len(c.index.Table().Warmups) > 0 && !c.options.Off.Has(tune.WarmupLimits)
}

// learnCold takes the evacuations and grants of an update. Changed reports whether the
// update changed servers.
func (c *Core) learnCold(now clock.Millis, u *Update, changed bool) {
	if u.EvacuationsVersion > c.cold.evacuationsVersion {
		c.cold.evacuationsVersion, changed = u.EvacuationsVersion, true
		for _, e := range u.Evacuations {
			if !e.Active && e.Changed > c.cold.changes[e.Centre] {
				c.cold.centres.Evacuated(e.Centre, now-e.Age)
			}
			c.cold.changes[e.Centre] = e.Changed
		}
	}
	if changed {
		c.updateCold(now)
	}
	if u.GrantedAt > c.cold.grantedAt {
		c.setGrants(now, u)
	}
}

// setGrants replaces the grants.
func (c *Core) setGrants(now clock.Millis, u *Update) {
	before := c.cold.granted
	c.cold.granted, c.cold.grantedAt = nil, u.GrantedAt
	for _, g := range u.Grants {
		// A server whose first token is also that of another gets no flows while it is
		// cold, since the grant may mean either.
		if s, known := c.tokens.Find(g.Token); known && s.token == g.Token {
			s.budget.Grant(now, u.GrantedAt+g.Term, g.Rate)
			c.cold.granted = append(c.cold.granted, s)
		}
	}
	for _, s := range before {
		if !slices.Contains(c.cold.granted, s) {
			s.budget.Revoke(now)
		}
	}
}

// updateCold determines which servers are cold.
func (c *Core) updateCold(now clock.Millis) {
	limits := c.limitsCold()
	if c.cold.count == 0 && !limits {
		return
	}
	c.cold.count = 0
	for _, s := range c.ordered {
		s.coldUntil = 0
		if !limits {
			continue
		}
		if w := c.index.Table().Warmups[s.entry.Service]; w.Rate > 0 {
			s.coldUntil = c.cold.centres.ColdUntil(s.entry, w.Duration)
		}
		if now < s.coldUntil {
			c.cold.count++
		}
	}
}

// openable returns the servers of a list that a new flow may go to: the warm ones and
// those cold ones that this host has the right to open a flow on now. While the warm ones
// are busy, it returns only cold ones that are less busy: among many servers, a policy that
// compares a few would rarely find them. A long flow counts as many requests, so it goes to
// a cold server only if there is no warm one. The result is valid until the next call.
func (c *Core) openable(now clock.Millis, kind choose.Kind, list []*server) []*server {
	if c.cold.count == 0 {
		return list
	}
	return c.openableAmong(now, kind, list)
}

func (c *Core) openableAmong(now clock.Millis, kind choose.Kind, list []*server) []*server {
	warmed, open := c.cold.warm[:0], c.cold.open[:0]
	for _, s := range list {
		switch {
		case now >= s.coldUntil:
			warmed = append(warmed, s)
		case !s.backend.Avoided(now) && s.budget.Available(now):
			open = append(open, s)
		}
	}
	c.cold.warm, c.cold.open = warmed, open
	switch {
	case len(warmed) == 0:
		return open
	case kind == choose.Long || len(open) == 0:
		return warmed
	case c.prefersCold(now, warmed, open):
		return open
	}
	c.cold.warm = append(warmed, open...)
	return c.cold.warm
}

// prefersCold reports whether the warm servers are so busy that a flow is better off on
// one of the cold ones.
func (c *Core) prefersCold(now clock.Millis, warmed, open []*server) bool {
	mean := c.policy.MeanUtilization(now, warmed, backendOf)
	return mean > c.options.Choice.MaxLocalUse && slices.ContainsFunc(open, func(s *server) bool { return s.backend.Utilization() < mean })
}

// recordOpening counts a flow that is opened on a server, or moved to it before it is
// open.
func (c *Core) recordOpening(now clock.Millis, s *server) {
	if now < s.coldUntil {
		s.budget.Take(now)
		c.stats.OpenedCold++
	}
}

// allCold reports whether a route for which no server was found has servers, which are
// therefore cold.
func (c *Core) allCold(route *routes.Route) bool {
	return c.cold.count > 0 && slices.ContainsFunc(route.Targets, func(t routes.Target) bool {
		return t.Weight > 0 && len(c.services[t.Service]) > 0
	})
}

// refuseCold refuses an opening because all servers are cold and the grants of this host
// are used up. A retransmission is dropped: the transmission before may have opened the
// flow through another host, and an open flow must not be reset.
func (c *Core) refuseCold(p *Packet) Action {
	if !p.mayBeRefused() {
		c.stats.DroppedNoServer++
		return Action{Verdict: Drop, Reason: ColdServers}
	}
	c.stats.ResetCold++
	return Action{Verdict: Reset, Reason: ColdServers}
}

// ColdServers returns the cold servers in the order in which they became known.
func (c *Core) ColdServers(now clock.Millis) []ColdServer {
	var out []ColdServer
	if c.cold.count == 0 {
		return out
	}
	for _, s := range c.ordered {
		if now < s.coldUntil {
			left := max(s.budget.Until()-now, 0)
			out = append(out, ColdServer{s.id, s.coldUntil - now, s.budget.Rate(), left})
		}
	}
	return out
}

// ColdCount returns the number of cold servers.
func (c *Core) ColdCount() int { return c.cold.count }
