package admit

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// refusalTTL bounds how long a refusal holds for further openings. In this time, the
// shares of the priorities and the backoffs of servers change little.
const refusalTTL = 20 * clock.Millis(1)

// Class identifies openings that are admitted or refused alike.
type Class struct {
	Service  string
	Kind     choose.Kind
	Goal     clock.Millis
	Priority int
}

// Refusals remembers openings that no server would admit, each with a detail for logs.
// A refusal holds for others of its class until a request ends or loads change. It is
// designed for storms of openings that are refused and come back at once. It is not safe
// for concurrent use.
type Refusals[T any] struct {
	byClass map[Class]refusal[T]
	changes uint64
}

type refusal[T any] struct {
	detail  T
	until   clock.Millis
	changes uint64
}

// NewRefusals returns Refusals that remember nothing.
func NewRefusals[T any]() *Refusals[T] { return &Refusals[T]{byClass: map[Class]refusal[T]{}} }

// Remember records a refusal.
func (r *Refusals[T]) Remember(now clock.Millis, class Class, detail T) {
	r.byClass[class] = refusal[T]{detail, now + refusalTTL, r.changes}
}

// Find returns the detail of a refusal that holds.
func (r *Refusals[T]) Find(now clock.Millis, class Class) (detail T, holds bool) {
	known, ok := r.byClass[class]
	if !ok || now >= known.until || known.changes != r.changes {
		return detail, false
	}
	return known.detail, true
}

// Forget ends all refusals, since a service may admit again.
func (r *Refusals[T]) Forget() { r.changes++ }
