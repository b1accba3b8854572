// Package choose selects the backend server for a new flow. It is designed for
// many short requests mixed with long flows on servers with few slots, where a
// second request on a busy server queues while another server is idle.
//
// A host sees only the packets from clients, not the responses. It therefore
// counts the requests in flight that it forwarded itself, adds the load that
// other hosts report, and avoids servers that do not answer.
package choose

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
)

const (
	// MinAnswerTime is the time after a packet was sent to a server from which a copy shows
	// that the server doesn't answer. Copies that are read sooner have waited on the way or
	// were reordered: clients send the first one after 200 ms.
	MinAnswerTime = 150 * clock.Millis(1)
	// initialBackoff is how long a server is avoided after its first failure. It
	// covers the second retransmission of an opening packet. A server that lost a
	// single datagram answers other flows sooner, which ends the backoff.
	initialBackoff = 800 * clock.Millis(1)
	// maxBackoff bounds the exponential growth of the backoff.
	maxBackoff = 6 * clock.Second
	// trialInterval is the time between trial flows to a server whose backoff has
	// ended. It covers the first retransmission of an opening packet.
	trialInterval = 400 * clock.Millis(1)
	// inFlightWeight is the weight of a request in flight relative to a long flow.
	// Requests in flight decide between servers with similar numbers of long flows,
	// and outweigh those numbers where requests queue up.
	inFlightWeight = 4.0
)

// Kind classifies a flow by the load that it puts on a server.
type Kind uint8

// Kinds of flows.
const (
	// Short flows carry one request. They go to a server with a free slot.
	Short Kind = iota
	// Long flows carry many requests with pauses between. They cannot be moved
	// once established, so their count is balanced across servers.
	Long
)

// Backend is the load and the health of one server as seen by one host.
type Backend struct {
	slots  int
	centre string

	// inFlight is the number of requests in flight that this host forwarded.
	inFlight int
	// flows is the number of active long flows through this host.
	flows int
	// remote is the load from all other hosts.
	remote Load

	// failures counts unanswered packets since the last answer.
	failures   int
	answeredAt clock.Millis
	// avoidedUntil is the end of the latest backoff or trial interval, or 0 if
	// there was none since the last answer.
	avoidedUntil clock.Millis
	backoff      clock.Millis
}

// NewBackend returns the Backend of a server with the given number of slots in
// a data centre.
func NewBackend(slots int, centre string) *Backend {
	return &Backend{slots: max(slots, 1), centre: centre}
}

// SetRemoteLoad sets the load from all other hosts.
func (b *Backend) SetRemoteLoad(load Load) { b.remote = load }

// Flows returns the number of active long flows through this host.
func (b *Backend) Flows() int { return b.flows }

// TotalFlows returns the number of active long flows through all hosts.
func (b *Backend) TotalFlows() float64 { return float64(b.flows) + float64(b.remote.Flows) }

// FlowStarted counts a long flow that became active.
func (b *Backend) FlowStarted() { b.flows++ }

// FlowEnded counts a long flow that is no longer active.
func (b *Backend) FlowEnded() {
	if b.flows > 0 {
		b.flows--
	}
}

// InFlight returns the number of requests in flight that this host forwarded.
func (b *Backend) InFlight() int { return b.inFlight }

// RequestStarted counts a request that was forwarded to the server.
func (b *Backend) RequestStarted() { b.inFlight++ }

// RequestEnded counts a request that is no longer in flight.
func (b *Backend) RequestEnded() {
	if b.inFlight > 0 {
		b.inFlight--
	}
}

// RecordAnswer records that the server answered a packet and ends its backoff.
func (b *Backend) RecordAnswer(now clock.Millis) {
	b.answeredAt = now
	b.failures = 0
	b.avoidedUntil = 0
	b.backoff = 0
}

// RecordUnanswered records that a packet sent at sent has not been answered by now, if there
// was time for it. It reports whether this starts a new backoff.
func (b *Backend) RecordUnanswered(now, sent clock.Millis) bool {
	if b.answeredAt >= sent || now-sent < MinAnswerTime {
		return false
	}
	b.failures++
	if now < b.avoidedUntil {
		return false
	}
	b.backoff = min(max(2*b.backoff, initialBackoff), maxBackoff)
	b.avoidedUntil = now + b.backoff
	return true
}

// Suspected reports whether a packet went unanswered and no packet has been
// answered since.
func (b *Backend) Suspected() bool { return b.failures > 0 }

// Avoided reports whether the server is in backoff at now and gets no new flows.
func (b *Backend) Avoided(now clock.Millis) bool { return now < b.avoidedUntil }

// recordPick limits a server whose backoff has ended to one trial flow per
// trialInterval until it answers.
func (b *Backend) recordPick(now clock.Millis) {
	if b.avoidedUntil > 0 {
		b.avoidedUntil = max(b.avoidedUntil, now+trialInterval)
	}
}

// Load returns the load per slot of the server with one more flow of the given
// kind: the requests in flight for Short, the weighted sum of long flows and
// requests in flight for Long.
func (b *Backend) Load(kind Kind) float64 {
	load := (float64(b.inFlight) + float64(b.remote.InFlight) + 1) / float64(b.slots)
	if kind == Long {
		load = (float64(b.flows)+float64(b.remote.Flows)+1)/float64(b.slots) + inFlightWeight*load
	}
	return load
}

// Utilization returns the requests in flight per slot.
func (b *Backend) Utilization() float64 {
	return (float64(b.inFlight) + float64(b.remote.InFlight)) / float64(b.slots)
}
