// Package meter measures how much work a service serves and refuses, and derives from
// it when a refused client should come back. It answers overload: clients that all
// return at once would be refused again.
package meter

import (
	"math/rand/v2"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

const (
	// minRetryAfter and maxRetryAfter limit the mean retry delay of refused
	// clients. The actual delay is between half and one and a half times it.
	minRetryAfter = 200 * clock.Millis(1)
	maxRetryAfter = 10 * clock.Second
)

// Meter counts the flows and requests that a service served and refused in the current
// second and in the previous one. The zero value has counted nothing.
type Meter struct {
	served, refused         int
	lastServed, lastRefused int
	// peakRate is the recent maximum served in one second. It decays by 10 %
	// per second.
	peakRate    int
	windowStart clock.Millis
}

// Serve counts a served flow or request, Refuse a refused one.
func (m *Meter) Serve() { m.served++ }

// Refuse counts a refused flow or request.
func (m *Meter) Refuse() { m.refused++ }

// Recent returns how much was served and refused in the current second and in the
// previous one.
func (m *Meter) Recent() (served, refused int) {
	return m.served + m.lastServed, m.refused + m.lastRefused
}

// Roll starts a new window if the current one is at least a second old.
func (m *Meter) Roll(now clock.Millis) {
	if now-m.windowStart < clock.Second {
		return
	}
	m.windowStart = now
	m.peakRate = max(m.peakRate*9/10, m.served)
	m.lastServed, m.lastRefused = m.served, m.refused
	m.served, m.refused = 0, 0
}

// RetryAfter returns the delay after which a refused client should retry. It
// grows with the refusals relative to the peak rate, so that retries arrive no
// faster than the service can handle them, and is randomized.
func (m *Meter) RetryAfter(r *rand.Rand) clock.Millis {
	delay := minRetryAfter
	if m.peakRate > 0 {
		_, refused := m.Recent()
		delay += clock.Second * clock.Millis(refused) / clock.Millis(m.peakRate)
	}
	delay = min(delay, maxRetryAfter)
	return delay/2 + clock.Millis(r.Int64N(int64(delay)))
}
