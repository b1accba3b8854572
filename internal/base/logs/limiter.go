package logs

import "monsooncleat.example/monsooncleat/internal/base/clock"

// Limiter limits the rate of log lines of one kind. It is not safe for
// concurrent use.
type Limiter struct {
	perSecond   int
	remaining   int
	windowStart clock.Millis
	omitted     uint64
}

// NewLimiter returns a Limiter that allows perSecond lines in each window of one
// second.
func NewLimiter(perSecond int) *Limiter {
	return &Limiter{perSecond: perSecond, remaining: perSecond}
}

// Allow reports whether a line may be written at now. When it may, omitted is the
// number of lines that were not allowed since the previous allowed line.
func (l *Limiter) Allow(now clock.Millis) (omitted uint64, ok bool) {
	if now-l.windowStart >= clock.Second {
		l.windowStart, l.remaining = now, l.perSecond
	}
	if l.remaining == 0 {
		l.omitted++
		return 0, false
	}
	l.remaining--
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}
