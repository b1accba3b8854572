package core

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// Claim is why a server is said to have ended. Announcements, removals and records of other
// servers can be late, out of order or from another writer, so a claim may be wrong. It keeps
// new flows from a server and ends none: only the server, or its successor at the address,
// knows which flows it holds, and resets the others.
type Claim uint8

// Claims.
const (
	NoClaim Claim = iota
	// Restarted means that another incarnation is known under the server's ID.
	Restarted
	// Removed means that the removal of the server was requested.
	Removed
	// Displaced means that the server's address is said to belong to another server.
	Displaced
)

// String returns the claim in camel case.
func (c Claim) String() string {
	return [...]string{"none", "restarted", "removed", "displaced"}[c]
}

// isSuperseded reports whether the latest record of the server's ID is that of another
// incarnation. A server keeps its address until it ends.
func (s *server) isSuperseded() bool {
	return s.started != s.entry.Started || s.record.Address != s.entry.Address
}

// claim returns why the server is said to have ended.
func (s *server) claim() Claim {
	switch {
	case s.isSuperseded():
		return Restarted
	case !s.entry.Ended():
		return NoClaim
	case s.entry.State == fleet.Left:
		return Removed
	default:
		return Displaced
	}
}

// successor returns the incarnation that has replaced s at the same address, or s. Only the
// server at that address knows whether it holds a flow of s: it may have opened the flow
// itself before this host knew of its restart.
func (c *Core) successor(s *server) *server {
	if !s.isSuperseded() {
		return s
	}
	if next := c.servers[s.id]; next != nil && next.record.Address == s.record.Address {
		return next
	}
	return s
}

// occupant returns the server of the same service and another ID that is said to have replaced
// s at its address, or nil: the one that was added last, if several announce themselves there. A
// server of another service must not get packets of s.
func (c *Core) occupant(s *server) *server {
	for _, o := range slices.Backward(c.occupants[s.record.Address]) {
		if o.id != s.id && o.claim() == NoClaim && !o.entry.Silent() && o.record.Service == s.record.Service {
			return o
		}
	}
	return nil
}

// occupy records that the latest record of the ID of s names its address.
func (c *Core) occupy(s *server) {
	if at := c.occupants[s.record.Address]; !slices.Contains(at, s) {
		c.occupants[s.record.Address] = append(at, s)
	}
}

// vacate undoes occupy: s was replaced or forgotten.
func (c *Core) vacate(s *server) {
	at := slices.DeleteFunc(c.occupants[s.record.Address], func(o *server) bool { return o == s })
	if len(at) == 0 {
		delete(c.occupants, s.record.Address)
	} else {
		c.occupants[s.record.Address] = at
	}
}

// mayAsk reports whether a packet of the flow may go to the successor of s, too. It must repeat
// a request that s hasn't answered, one packet at a time. S must be known to hold the flow: a
// flow that came from another host may have come with the token of a server that answered
// another copy of its opening.
func (f *flow) mayAsk(now clock.Millis, s *server, p *Packet) bool {
	return f.confirmed && f.server == s && f.repeats(p) && now-f.askedAt >= choose.MinAnswerTime
}

// repeats reports whether a packet repeats the latest data of the client, whose answer the
// client hasn't received.
func (f *flow) repeats(p *Packet) bool {
	return f.established && p.Length > 0 && p.Ack == f.ack && !seqAfter(p.Seq+uint32(p.Length), f.dataEnd)
}

// isAdvancedBy reports whether a packet acknowledges new data of the server. F may be nil.
func (f *flow) isAdvancedBy(p *Packet) bool {
	return f != nil && f.established && seqAfter(p.Ack, f.ack) && f.continuedBy(p)
}
