// Package clock provides Millis, the time type of the module, and clocks that
// return it.
//
// Only daemons own a Source. Code that makes decisions for them gets the current
// time as an argument, so that it is deterministic in tests and simulations.
package clock

import "time"

// Millis is a point in time or a duration, in milliseconds. Points in time from a
// Source count from an arbitrary origin and are comparable only within one process;
// UnixMillis counts from the Unix epoch.
type Millis int64

// Second and Minute are durations in milliseconds.
const (
	Second Millis = 1000
	Minute        = 60 * Second
)

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts a time.Duration to Millis and drops fractions of a
// millisecond.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Source provides the current time.
type Source interface {
	// Now returns the current time.
	Now() Millis
}

// Monotonic is a Source that counts from its creation and never goes backwards.
type Monotonic struct {
	start time.Time
}

// New returns a Monotonic that starts now.
func New() *Monotonic {
	return &Monotonic{start: time.Now()}
}

// Now returns the milliseconds since m was created, plus one, so that zero can
// mean "never".
func (m *Monotonic) Now() Millis {
	return FromDuration(time.Since(m.start)) + 1
}

// UnixMillis returns the milliseconds since the Unix epoch. Use it to distinguish
// successive runs of a process, not to measure elapsed time.
func UnixMillis() Millis {
	return Millis(time.Now().UnixMilli())
}
