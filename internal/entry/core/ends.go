package core

import (
	"math"

	"monsooncleat.example/monsooncleat/internal/entry/count"
	"monsooncleat.example/monsooncleat/internal/entry/loss"
	"monsooncleat.example/monsooncleat/internal/flow/table"
	"monsooncleat.example/monsooncleat/internal/serve/roster"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// A host sees what clients send, and not what servers answer. What it hears of a server can be
// late, out of order or from another writer. So the packets of an open flow go to the address
// where it was opened, whatever the list of servers says: the server, or its successor at the
// address, resets the flows that it doesn't hold.

// crosses reports whether the address of a flow is said to belong to a server of another
// service, which may not get the flow's packets.
func (c *Core) crosses(r *table.Record) bool { return c.isTaken(r.Address, r.Server, r.Service) }

// isTaken reports whether the address that a server has, or had, in a service is said to belong
// to a server of another service.
func (c *Core) isTaken(addressID, server, serviceID table.NameID) bool {
	if c.opts.Disabled.ServiceCheck || addressID == 0 {
		return false
	}
	srv := c.servers.Find(c.interner.Name(server))
	service, address := c.interner.Name(serviceID), c.interner.Name(addressID)
	if srv != nil {
		info := srv.Info()
		switch {
		case info.Service != service && info.Address == address:
			return true
		case info.Service == service && info.Address == address && !srv.Missing():
			return c.isReplaced(srv)
		}
	}
	return c.servers.Occupant(address, service) != nil
}

// isReplaced reports whether a server of another service has come to the address of srv, which
// still counts as running. Its announcements stop soon, or else the other one has announced a
// wrong address.
func (c *Core) isReplaced(srv *roster.Server) bool {
	info := srv.Info()
	if !c.servers.Shared(info.Address) {
		return false
	}
	other := c.servers.Occupant(info.Address, info.Service)
	return other != nil && other.MovedAt() > srv.MovedAt() && c.now-other.MovedAt() < roster.KeeperTimeout
}

// countRetransmit counts a packet as a retransmission.
func (c *Core) countRetransmit(r *table.Record) {
	if r.Retransmits == 0 {
		r.StalledSince = c.now
	}
	r.Retransmits = min(r.Retransmits, math.MaxUint8-1) + 1
}

// countDrops counts the packets of a flow that were dropped in a row, if their contents don't
// tell whether the client repeats them: those by UDP, and those by TCP without data, which are
// all that a client sends that only receives.
func (c *Core) countDrops(r *table.Record, dropped bool) {
	if !dropped {
		r.Retransmits = 0
		return
	}
	c.countRetransmit(r)
}

// isStalled reports whether the client of a flow has got no further for so long that a reset
// serves it better.
func (c *Core) isStalled(r *table.Record) bool {
	return r.Retransmits >= maxRetransmits && c.now-r.StalledSince >= minStallTime && !c.opts.Disabled.IdleProbes
}

// resetStalled ends a flow that is stalled, of which p is the latest packet.
func (c *Core) resetStalled(r *table.Record, p *inner.Packet, in *arrival) {
	if p.Key.Proto() == inner.TCP {
		c.resetBothEnds(r, loss.NoProgress)
		return
	}
	c.counters.Add(count.FlowsSilent, 1)
	c.refuse(p, in, r.Server, loss.NoProgress)
	c.removeFlow(r)
}

// addressOf returns the ID of the address of a server of service, or zero if that is not known.
func (c *Core) addressOf(server, service table.NameID) table.NameID {
	srv := c.servers.Find(c.interner.Name(server))
	if srv == nil || srv.Info().Service != c.interner.Name(service) {
		return 0
	}
	return c.interner.ID(srv.Info().Address)
}
