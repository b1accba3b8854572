package ledger

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
)

// Refused remembers compactly which tries were refused as not run, so that a
// doubled packet of such a try is never run later. It forgets after one to two
// spans. It is not safe for concurrent use.
type Refused struct {
	span  clock.Millis
	most  int
	young map[uint64]struct{}
	old   map[uint64]struct{}
	turn  clock.Millis
}

// NewRefused returns a Refused that holds at most twice most tries.
func NewRefused(span clock.Millis, most int) *Refused {
	return &Refused{span: span, most: most, young: map[uint64]struct{}{}, old: map[uint64]struct{}{}}
}

func mark(key uint64, try uint32) uint64 { return hash.Mix(key, uint64(try)) }

// Add remembers a try of the request whose key hashes to key. It reports false
// when no more can be remembered; the try must then not be refused as not run.
func (r *Refused) Add(now clock.Millis, key uint64, try uint32) bool {
	r.rotate(now)
	if len(r.young) >= r.most {
		return false
	}
	r.young[mark(key, try)] = struct{}{}
	return true
}

// Has reports whether the try was refused.
func (r *Refused) Has(now clock.Millis, key uint64, try uint32) bool {
	r.rotate(now)
	m := mark(key, try)
	_, young := r.young[m]
	_, old := r.old[m]
	return young || old
}

// Len returns the count of tries remembered.
func (r *Refused) Len() int { return len(r.young) + len(r.old) }

func (r *Refused) rotate(now clock.Millis) {
	if now-r.turn < r.span {
		return
	}
	r.turn = now
	r.old, r.young = r.young, map[uint64]struct{}{}
}
