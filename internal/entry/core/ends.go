package core

import (
	"maps"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/flow/table"
	"monsooncleat.example/monsooncleat/internal/serve/roster"
	"monsooncleat.example/monsooncleat/internal/serve/verify"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// stallTime is the time without an event, of which there is one at each tick, that counts
// as a stall of this host. Packets that arrived during a stall are read all at once.
const stallTime = 150 * clock.Millis(1)

// advance sets the time of the present event.
func (c *Core) advance(now clock.Millis) {
	if now-c.now >= stallTime {
		c.resumedAt = now
	}
	c.now = now
}

// disposition is what happens to a packet of a known flow.
type disposition uint8

const (
	// forwarded packets go to the address where the flow was opened, if that is known.
	forwarded disposition = iota
	// dropped packets would reach a server of another service.
	dropped
	// ended flows are reset, because their server has ended.
	ended
)

// progress is what a packet of a client tells about the server of its flow.
type progress struct {
	// repeated is set for a packet that the server has to answer, and that the client sent
	// before. answered is set if the server has answered since the last packet.
	repeated, answered bool
	// previousAt is when the packet before it arrived.
	previousAt clock.Millis
}

// serverAt identifies a server at an address.
type serverAt struct{ server, address table.NameID }

// silence is the evidence that a server doesn't answer, since it is said to have ended.
type silence struct {
	verify.Silence
	since clock.Millis
}

// claim is what the list of servers says about the server of a flow.
type claim struct {
	// since is when the server is said to have ended, or zero if it isn't.
	since clock.Millis
	// settlesAt is the earliest time at which the flow may be reset. Announcements that
	// are missing may only be late.
	settlesAt clock.Millis
	// crosses is set if the address belongs to a server of another service.
	crosses bool
}

// claimOf returns what the list of servers says about a server that had an address when a
// flow of service opened there. Srv is the record of its name, or nil.
func (c *Core) claimOf(srv *roster.Server, service, address string) claim {
	var cl claim
	if srv != nil {
		info := srv.Info()
		missingSince := srv.MissingSince()
		switch {
		case info.Service != service && info.Address == address:
			return claim{since: srv.MovedAt(), settlesAt: srv.MovedAt() + roster.ResetAfter, crosses: true}
		case info.Service != service || info.Address != address:
			cl = claim{since: srv.MovedAt(), settlesAt: srv.MovedAt()}
		case missingSince > 0:
			cl = claim{since: missingSince, settlesAt: missingSince + roster.ResetAfter}
		case !c.servers.Shared(address):
			return cl
		}
	}
	other := c.servers.Occupant(address, service)
	if other == nil {
		return cl
	}
	if cl.since == 0 && srv != nil {
		// A server that came later has replaced this one, whose announcements then stop,
		// or has announced a wrong address.
		cl.crosses = other.MovedAt() > srv.MovedAt() && c.now-other.MovedAt() < roster.KeeperTimeout
		return cl
	}
	cl.since = max(cl.since, other.MovedAt())
	cl.settlesAt, cl.crosses = cl.since+roster.ResetAfter, true
	return cl
}

// dispositionOf decides on a packet of a flow. The flow ends only if its server is said to have
// ended and leaves retransmissions unanswered. A server whose address has another owner can't
// be asked, nor can one that clients reach by UDP; the claim then has to last for
// roster.ResetAfter.
func (c *Core) dispositionOf(r *table.Record, seen progress) disposition {
	if r.Address == 0 {
		return forwarded
	}
	srv := c.servers.Find(c.interner.Name(r.Server))
	service, address := c.interner.Name(r.Service), c.interner.Name(r.Address)
	cl := c.claimOf(srv, service, address)
	if c.opts.Disabled.ServiceCheck {
		cl.crosses = false
	}
	asked := serverAt{r.Server, r.Address}
	switch {
	case cl.crosses && cl.since > 0 && c.now >= cl.settlesAt:
		return ended
	case cl.crosses:
		return dropped
	case cl.since == 0:
		if len(c.silences) > 0 {
			delete(c.silences, asked)
		}
		return forwarded
	case r.Key.Proto() == inner.UDP:
		if c.now-cl.since >= roster.ResetAfter {
			return ended
		}
		return forwarded
	}
	s := c.silences[asked]
	if s == nil || s.since != cl.since {
		s = &silence{since: cl.since}
		c.silences[asked] = s
	}
	if seen.answered {
		s.Restart(c.now)
	}
	confirmed := s.Conclusive(c.now)
	if seen.repeated && seen.previousAt >= max(cl.since, c.resumedAt) && s.Unanswered(c.now, seen.previousAt) {
		confirmed = true
	}
	if confirmed && c.now >= cl.settlesAt {
		return ended
	}
	return forwarded
}

// forgetSilences removes the evidence about servers that are no longer in the list.
func (c *Core) forgetSilences() {
	maps.DeleteFunc(c.silences, func(p serverAt, _ *silence) bool { return c.servers.Find(c.interner.Name(p.server)) == nil })
}

// addressOf returns the ID of the address of a server of service, or zero if that is not known.
func (c *Core) addressOf(server, service table.NameID) table.NameID {
	srv := c.servers.Find(c.interner.Name(server))
	if srv == nil || srv.Info().Service != c.interner.Name(service) {
		return 0
	}
	return c.interner.ID(srv.Info().Address)
}

// seqAfter reports whether sequence number a is after b.
func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }
