package core

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// minRetransmitDelay is the time after a request from which a repeated packet of it counts as
// a retransmission, not as one that was reordered. Clients retransmit after 200 ms.
const minRetransmitDelay = 150 * clock.Millis(1)

// minUnanswered is the number of retransmissions that a server must leave unanswered, with no
// answer to any packet in between, for a claim that it has ended to be believed. One packet may
// be lost on the way.
const minUnanswered = 2

// Claim is why a server is said to have ended. Announcements, removals and records of other
// servers can be late, out of order or from another writer, so a claim may be wrong.
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

// claim returns why the server is said to have ended.
func (s *server) claim() Claim {
	switch {
	case s.started != s.entry.Started:
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
	if s.started == s.entry.Started {
		return s
	}
	if next := c.servers[s.id]; next != nil && next.record.Address == s.record.Address {
		return next
	}
	return s
}

// isRetransmission reports whether a packet repeats data of a request that is in flight
// and acknowledges nothing new.
func (f *flow) isRetransmission(p *Packet) bool {
	return f.established && f.inFlight && p.Length > 0 && !seqAfter(p.Ack, f.ack) && !seqAfter(p.Seq+uint32(p.Length), f.dataEnd)
}

// recordRetransmission records that the server of a flow has not answered a request.
func (c *Core) recordRetransmission(now clock.Millis, f *flow, p *Packet) {
	f.retransmitted = true
	if !p.late() && f.server.backend.RecordUnanswered(now, f.requestedAt) {
		c.stats.Avoided++
	}
}

// confirms reports whether the retransmission p of a request confirms the claim that the
// server of its flow has ended. Without a claim, a server that doesn't answer is slow or out
// of reach.
func (f *flow) confirms(now clock.Millis, claim Claim, p *Packet) bool {
	return claim != NoClaim && !p.late() && now-f.requestedAt >= minRetransmitDelay && f.server.backend.Unanswered() >= minUnanswered
}
