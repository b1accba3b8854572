package core

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/grant"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
)

// warmupOf returns for how long a server that announces itself is cold. It is 0 if the
// routing table limits no cold servers of its service.
func (c *Core) warmupOf(r *fleet.Record) clock.Millis {
	if c.tables.Warmups()[r.Service].Rate > 0 {
		return max(r.Warmup, 0)
	}
	return 0
}

// EvacuationEnded records that an evacuation of a data centre ended, from when on its
// servers are cold. It may be called again with the same or an earlier time.
func (c *Core) EvacuationEnded(centre string, endedAt clock.Millis) {
	c.centreEnds.Evacuated(centre, endedAt)
}

// addGrants adds the grants for an entry host that asks for changes.
func (c *Core) addGrants(r *msgs.FetchReply, m *msgs.Fetch) {
	if m.Instance == 0 || len(c.tables.Warmups()) == 0 {
		return
	}
	if r.Current {
		c.grants.Confirmed(c.now)
	}
	c.grants.Polled(c.now, grant.Host{Instance: m.Instance, Name: m.Name, Centre: m.Centre})
	if c.grants.UpdateDue(c.now) {
		before, _ := c.grants.Len(c.now)
		c.grants.Update(c.now, c.coldServers())
		if cold, granted := c.grants.Len(c.now); cold != before {
			c.logLine("Cold servers changed.", "cold", cold, "before", before, "granted", granted)
		}
	}
	r.Grants = c.grants.Grants(c.now, m.Instance)
}

// coldServers returns the servers that take new flows and are cold.
func (c *Core) coldServers() []grant.Server {
	var members []string
	for _, id := range c.node.Conf().Members() {
		members = append(members, string(id))
	}
	var out []grant.Server
	warmups := c.tables.Warmups()
	c.list.Fleet().Each(func(s *fleet.Server) {
		w := warmups[s.Service]
		if w.Rate > 0 && s.Usable() && c.now < c.centreEnds.ColdUntil(s, w.Duration) {
			token := uint32(tokens.Candidate(s.ID, s.Started, 0))
			rate := grant.Part(w.Rate, token, string(c.options.ID), members)
			out = append(out, grant.Server{ID: s.ID, Token: token, Centre: s.Centre, Rate: rate})
		}
	})
	return out
}

// Shares returns what this host grants of the cold servers, for dumps.
func (c *Core) Shares() []grant.Share { return c.grants.Shares(c.now) }

// ColdServers returns the number of cold servers, and how many of them this host grants
// now.
func (c *Core) ColdServers() (cold, granted int) {
	if len(c.tables.Warmups()) == 0 {
		return 0, 0
	}
	return c.grants.Len(c.now)
}
