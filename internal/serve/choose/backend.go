// Package choose decides which backend server takes a new flow. It answers the
// load of many short requests beside long flows on servers with few slots,
// where a second request on a busy server waits while another stands idle.
//
// A host sees only what callers send. From that it counts the requests in
// progress that it sent itself, adds what the other hosts report, and avoids a
// server that does not answer.
package choose

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
)

const (
	// failuresToAvoid is how many flows without an answer, and none answered
	// since, make a server avoided. One can be a lost datagram.
	failuresToAvoid = 2
	// firstAvoidance is the span before an avoided server gets a trial flow. It
	// covers the second copy of an opening packet.
	firstAvoidance = 800 * clock.Millis(1)
	// maxAvoidance bounds the doubling of that span.
	maxAvoidance = 6 * clock.Second
	// trialSpan is how long the answer to a trial flow is awaited before the
	// next one. It covers the first copy of an opening packet.
	trialSpan = 400 * clock.Millis(1)
	// warmUpFactor is how much slower a server is taken to be while it says that
	// it is warming up.
	warmUpFactor = 1.6
)

// Backend is the load and the health of one server as one host sees them.
type Backend struct {
	slots   int
	centre  string
	warmEnd clock.Millis

	// busy is the count of requests in progress that this host sent.
	busy int
	// shared is the mean count of requests in progress from all other hosts.
	shared float64

	failures     int
	answeredAt   clock.Millis
	avoidedUntil clock.Millis
	avoidance    clock.Millis
}

// NewBackend returns the Backend of a server with a count of slots in a data
// centre.
func NewBackend(slots int, centre string) *Backend {
	return &Backend{slots: max(slots, 1), centre: centre}
}

// WarmUp says that the server is slow until end.
func (b *Backend) WarmUp(end clock.Millis) { b.warmEnd = end }

// SetShared sets the mean count of requests in progress from all other hosts.
func (b *Backend) SetShared(load float64) { b.shared = load }

// Busy returns the count of requests in progress that this host sent.
func (b *Backend) Busy() int { return b.busy }

// Began counts a request sent to the server.
func (b *Backend) Began() { b.busy++ }

// Ended counts a request that is no longer in progress.
func (b *Backend) Ended() {
	if b.busy > 0 {
		b.busy--
	}
}

// Answered records evidence that the server answers.
func (b *Backend) Answered(now clock.Millis) {
	b.answeredAt = now
	b.failures = 0
	b.avoidedUntil = 0
	b.avoidance = 0
}

// Unanswered records that an opening packet sent at sent has no answer at now.
// It reports whether the server is newly avoided.
func (b *Backend) Unanswered(now, sent clock.Millis) bool {
	if b.answeredAt >= sent {
		return false
	}
	b.failures++
	if b.failures < failuresToAvoid || now < b.avoidedUntil {
		return false
	}
	b.avoidance = min(max(2*b.avoidance, firstAvoidance), maxAvoidance)
	b.avoidedUntil = now + b.avoidance
	return true
}

// Doubted reports whether evidence against the server is open: an opening
// packet went unanswered and none has been answered since.
func (b *Backend) Doubted() bool { return b.failures > 0 }

// Avoided reports whether the server gets no flow at now.
func (b *Backend) Avoided(now clock.Millis) bool { return now < b.avoidedUntil }

// picked lets one flow at a time try a server whose avoidance has ended.
func (b *Backend) picked(now clock.Millis) {
	if b.avoidedUntil > 0 {
		b.avoidedUntil = max(b.avoidedUntil, now+trialSpan)
	}
}

// Load returns the requests in progress for each slot, with one more, as far as
// this host can tell.
func (b *Backend) Load(now clock.Millis) float64 {
	load := (float64(b.busy) + b.shared + 1) / float64(b.slots)
	if now < b.warmEnd {
		load *= warmUpFactor
	}
	return load
}
