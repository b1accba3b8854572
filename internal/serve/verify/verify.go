// Package verify tells whether a backend server that is said to have ended has ended. What
// hosts hear of a server (announcements, removals, records of other servers at its address)
// can be late, out of order or from another writer. Only the server knows which flows it
// holds, and it resets those that it doesn't hold. A host ends a flow in its place only if
// the server is said to have ended and leaves requests unanswered from then on.
//
// The evidence is made for lossy links and for servers with few flows through a host: one
// moment of loss never suffices, however many packets and flows it hits.
package verify

import "monsooncleat.example/monsooncleat/internal/base/clock"

const (
	// minAge is the time after a request from which a repeated packet of it is a
	// retransmission, and not one that was reordered. Clients retransmit after 200 ms.
	minAge = 150 * clock.Millis(1)
	// minGap is the least time between two retransmissions that count. Packets that are
	// lost at one moment are retransmitted at one moment, but a pause of the host that it
	// doesn't notice may separate them by as much.
	minGap = 150 * clock.Millis(1)
	// confirming is the number of retransmissions that end the flow of one of them.
	confirming = 2
	// conclusive is the number of retransmissions, and conclusiveSpan the time from the first
	// request to the last of them, that end the other flows of the server.
	conclusive     = 3
	conclusiveSpan = clock.Second
	// evidenceTTL is how long a retransmission counts, alone or with later ones. It exceeds
	// the longest interval of clients, 1.6 s.
	evidenceTTL = 3 * clock.Second
	// conclusiveTTL is how long conclusive evidence ends other flows. Flows that come later
	// give their own: a cut may have healed, and answers may go through other hosts.
	conclusiveTTL = 500 * clock.Millis(1)
)

// Silence is the evidence that a server doesn't answer, as one host sees it. The zero Silence
// is that of a server of which nothing is known.
type Silence struct {
	// since is when the evidence began: at the last answer, or when the server was said to
	// have ended.
	since clock.Millis
	// count is the number of retransmissions that count, the last of them at countedAt. SentAt
	// is when the request of the first was sent.
	count             int
	sentAt, countedAt clock.Millis
}

// Restart discards the evidence: the server has answered a packet, or the claim that it has
// ended begins. What went unanswered before says nothing about that.
func (s *Silence) Restart(now clock.Millis) { *s = Silence{since: now} }

// Since returns the time from which requests must have been sent to count.
func (s *Silence) Since() clock.Millis { return s.since }

// Unanswered records the retransmission of a request that was sent at sent, and reports
// whether it confirms that the server doesn't answer.
func (s *Silence) Unanswered(now, sent clock.Millis) bool {
	if now-sent < minAge || sent < s.since {
		return false
	}
	if s.count > 0 && now-s.countedAt < minGap {
		return s.count >= confirming
	}
	if s.expired(now) {
		s.count = 0
	}
	if s.count == 0 {
		s.sentAt = sent
	}
	s.count++
	s.countedAt = now
	return s.count >= confirming
}

// Count returns the number of retransmissions that count.
func (s *Silence) Count() int { return s.count }

// Conclusive reports whether the server has left so much unanswered that the packets of its
// other flows need no evidence of their own.
func (s *Silence) Conclusive(now clock.Millis) bool {
	return s.count >= conclusive && s.countedAt-s.sentAt >= conclusiveSpan && now-s.countedAt <= conclusiveTTL
}

func (s *Silence) expired(now clock.Millis) bool { return now-s.countedAt > evidenceTTL }
