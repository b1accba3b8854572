// Package clock provides the project's time type, a count of milliseconds.
//
// Decision code never reads a clock: it receives the present Millis as an
// argument. Only daemons own a Source.
package clock

import "time"

// Millis is an instant or a span in milliseconds. Instants count from an
// arbitrary origin of the process and are comparable only within it.
type Millis int64

// Second and Minute are spans in milliseconds.
const (
	Second Millis = 1000
	Minute        = 60 * Second
)

// Duration converts m for use with package time.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Of converts a time.Duration to Millis, rounding down.
func Of(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Source tells the present time.
type Source interface {
	Now() Millis
}

// Monotonic is a Source that counts from its creation and never runs back.
type Monotonic struct {
	start time.Time
}

// New returns a Monotonic whose origin is the present moment.
func New() *Monotonic {
	return &Monotonic{start: time.Now()}
}

// Now returns the milliseconds since m was created. The count starts at one
// so that zero can mean "never".
func (m *Monotonic) Now() Millis {
	return Of(time.Since(m.start)) + 1
}

// Wall returns the milliseconds since the Unix epoch. It serves as an
// identity across restarts, never as a measure of elapsed time.
func Wall() Millis {
	return Millis(time.Now().UnixMilli())
}
