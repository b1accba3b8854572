package core

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

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

// updateClaim returns the server's claim, and restarts the evidence of its silence when one
// begins.
func (s *server) updateClaim(now clock.Millis) Claim {
	claim := s.claim()
	if claim != NoClaim && !s.claimed {
		s.silence.Restart(now)
	}
	s.claimed = claim != NoClaim
	return claim
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

// isAdvancedBy reports whether a packet acknowledges new data of the server. F may be nil.
func (f *flow) isAdvancedBy(p *Packet) bool {
	return f != nil && f.established && seqAfter(p.Ack, f.ack) && sameStream(p.Ack, f.ack)
}

// isRetransmission reports whether a packet repeats the latest data of the client, whose
// answer it has not received.
func (f *flow) isRetransmission(p *Packet) bool {
	return f.established && p.Length > 0 && p.Ack == f.ack && !seqAfter(p.Seq+uint32(p.Length), f.dataEnd)
}

// confirmsEnd records what a packet of a flow tells about its server, and reports whether
// that confirms that the server has ended, as it is said to. Without a claim, a server that
// doesn't answer is slow or out of reach. F may be nil.
func (s *server) confirmsEnd(now clock.Millis, f *flow, claim Claim, p *Packet) bool {
	if claim == NoClaim {
		return false
	}
	if f != nil && f.server == s && f.isRetransmission(p) && s.hasIgnored(now, f, p) {
		return true
	}
	// Answers of the server may wait behind a late packet.
	return !p.late() && s.silence.Conclusive(now)
}

// hasIgnored records the retransmission of a request, and reports whether it confirms that
// the server doesn't answer.
func (s *server) hasIgnored(now clock.Millis, f *flow, p *Packet) bool {
	sent := max(f.requestedAt, f.repeatedAt)
	if sent < s.silence.Since() {
		// The transmissions before may have gone unanswered before the evidence began.
		f.repeatedAt = now
		return false
	}
	return !p.late() && s.silence.Unanswered(now, sent)
}

// recordAnswer records that a server has answered a packet.
func (s *server) recordAnswer(now clock.Millis) {
	s.backend.RecordAnswer(now)
	s.silence.Restart(now)
}
