package logs

import "monsooncleat.example/monsooncleat/internal/base/clock"

// Budget bounds the lines of one kind. It is not safe for concurrent use.
type Budget struct {
	perSecond int
	left      int
	second    clock.Millis
	omitted   uint64
}

// NewBudget returns a Budget of perSecond lines.
func NewBudget(perSecond int) *Budget {
	return &Budget{perSecond: perSecond, left: perSecond}
}

// Allow reports whether a line may be written at now. The first line of a
// second also tells how many were omitted before it.
func (b *Budget) Allow(now clock.Millis) (omitted uint64, ok bool) {
	if now-b.second >= clock.Second {
		b.second, b.left = now, b.perSecond
	}
	if b.left == 0 {
		b.omitted++
		return 0, false
	}
	b.left--
	omitted, b.omitted = b.omitted, 0
	return omitted, true
}
