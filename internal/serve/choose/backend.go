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
	// firstAvoidance is the span before an avoided server gets a trial flow. It
	// covers the second copy of an opening packet. A server that lost a single
	// datagram answers others sooner, which ends it.
	firstAvoidance = 800 * clock.Millis(1)
	// maxAvoidance bounds the doubling of that span.
	maxAvoidance = 6 * clock.Second
	// trialSpan is how long the answer to a trial flow is awaited before the
	// next one. It covers the first copy of an opening packet.
	trialSpan = 400 * clock.Millis(1)
	// warmUpFactor is how much slower a server is taken to be while it says that
	// it is warming up.
	warmUpFactor = 1.6
	// busyWeight is what a request in progress counts beside the long flows of a
	// server: it decides between servers with about as many,
	// and outweighs their count where requests pile up.
	busyWeight = 4.0
)

// Kind is what a flow brings to its server.
type Kind uint8

// Kinds of flows.
const (
	// Short flows carry one request. They go where a slot is free now.
	Short Kind = iota
	// Long flows carry many requests with pauses between. They cannot be moved
	// once open, so they are spread evenly by their count.
	Long
)

// Backend is the load and the health of one server as one host sees them.
type Backend struct {
	slots   int
	centre  string
	warmEnd clock.Millis

	// busy is the count of requests in progress that this host sent.
	busy int
	// flows is the count of long flows in use through this host.
	flows int
	// shared is the load that all other hosts bring.
	shared Share

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

// SetShared sets the load that all other hosts bring.
func (b *Backend) SetShared(s Share) { b.shared = s }

// Flows returns the count of long flows in use through this host.
func (b *Backend) Flows() int { return b.flows }

// FlowBegan counts a long flow in use.
func (b *Backend) FlowBegan() { b.flows++ }

// FlowEnded counts a long flow that is no longer in use.
func (b *Backend) FlowEnded() {
	if b.flows > 0 {
		b.flows--
	}
}

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

// Unanswered records that a packet sent at sent has no answer at now.
// It reports whether the server is newly avoided.
func (b *Backend) Unanswered(now, sent clock.Millis) bool {
	if b.answeredAt >= sent {
		return false
	}
	b.failures++
	if now < b.avoidedUntil {
		return false
	}
	b.avoidance = min(max(2*b.avoidance, firstAvoidance), maxAvoidance)
	b.avoidedUntil = now + b.avoidance
	return true
}

// Doubted reports whether evidence against the server is open: a packet went
// unanswered and none has been answered since.
func (b *Backend) Doubted() bool { return b.failures > 0 }

// Avoided reports whether the server gets no flow at now.
func (b *Backend) Avoided(now clock.Millis) bool { return now < b.avoidedUntil }

// picked lets one flow at a time try a server whose avoidance has ended.
func (b *Backend) picked(now clock.Millis) {
	if b.avoidedUntil > 0 {
		b.avoidedUntil = max(b.avoidedUntil, now+trialSpan)
	}
}

// Load returns what a new flow of a kind would find: the requests in progress
// for each slot, or the long flows for each slot, with one more.
func (b *Backend) Load(now clock.Millis, kind Kind) float64 {
	load := (float64(b.busy) + float64(b.shared.Busy) + 1) / float64(b.slots)
	if kind == Long {
		load = (float64(b.flows)+float64(b.shared.Flows)+1)/float64(b.slots) + busyWeight*load
	}
	if now < b.warmEnd {
		load *= warmUpFactor
	}
	return load
}

// use returns the share of the server's slots that are busy.
func (b *Backend) use() float64 {
	return (float64(b.busy) + float64(b.shared.Busy)) / float64(b.slots)
}
