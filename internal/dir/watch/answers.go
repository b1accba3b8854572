package watch

import "monsooncleat.example/monsooncleat/internal/base/clock"

const (
	// firstWait is how long an answer is awaited before the connection to its host counts
	// as dead. It equals the time-out of entry hosts, and leaves time for an election
	// before all hosts must be in contact again.
	firstWait = 1500 * clock.Millis(1)
	// maxWait bounds the wait, which doubles with each redial without an answer. A
	// snapshot on a narrow link delays the answers behind it for longer than firstWait.
	maxWait = 12 * clock.Second
)

// Answers decides when to dial a control host again that does not answer. A connection
// may go silent for good while the kernel still sees its bytes acknowledged.
//
// Control hosts send on connections that they dialed, and get the answers on those that
// the other one dialed. A host can't tell which of the two is silent. Each redials its
// own, so both directions recover if both hosts do this. Requests of the other host are
// no answers: they arrive also if it gets nothing.
//
// Answers is not safe for concurrent use.
type Answers struct {
	hosts map[string]*awaited
}

// awaited is an answer that has not arrived.
type awaited struct {
	// since is when the first request after the latest answer or redial was sent.
	since clock.Millis
	wait  clock.Millis
}

// NewAnswers returns an Answers that awaits none.
func NewAnswers() *Answers { return &Answers{hosts: map[string]*awaited{}} }

// Asked records a message for the host at address that should be answered, and reports
// whether to dial the host again before it is sent.
func (a *Answers) Asked(now clock.Millis, address string) (redial bool) {
	h := a.hosts[address]
	if h == nil {
		a.hosts[address] = &awaited{since: now, wait: firstWait}
		return false
	}
	if now-h.since < h.wait {
		return false
	}
	h.since, h.wait = now, min(2*h.wait, maxWait)
	return true
}

// Answered records an answer of the host at address.
func (a *Answers) Answered(address string) { delete(a.hosts, address) }

// Resume restarts all waits after the process was suspended: answers that arrived
// meanwhile are not handled yet.
func (a *Answers) Resume(now clock.Millis) {
	for _, h := range a.hosts {
		h.since = now
	}
}
