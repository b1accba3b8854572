package choose

import (
	"math/rand/v2"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// Policy picks one of several candidates.
type Policy[T any] interface {
	// Pick returns the index of the choice, or -1 when candidates is empty.
	Pick(now clock.Millis, candidates []T, backend func(T) *Backend) int
}

// LeastLoaded looks at a few random candidates and picks the least loaded. With
// reports of other hosts that lag, a full scan would send all hosts to the same
// server.
type LeastLoaded[T any] struct {
	// looks is how many candidates are compared. 0 compares all.
	looks int
	// remote is added to the load of a server in another data centre.
	remote float64
	centre string
	rand   *rand.Rand
}

// NewLeastLoaded returns a LeastLoaded for a host in centre that compares looks
// candidates and adds remote to the load of those elsewhere.
func NewLeastLoaded[T any](centre string, looks int, remote float64, r *rand.Rand) *LeastLoaded[T] {
	return &LeastLoaded[T]{looks: looks, remote: remote, centre: centre, rand: r}
}

// Pick implements Policy. Avoided servers are left out unless all are avoided.
func (p *LeastLoaded[T]) Pick(now clock.Millis, candidates []T, backend func(T) *Backend) int {
	best := p.among(now, candidates, backend, false)
	if best < 0 {
		best = p.among(now, candidates, backend, true)
	}
	if best >= 0 {
		backend(candidates[best]).picked(now)
	}
	return best
}

func (p *LeastLoaded[T]) among(now clock.Millis, candidates []T, backend func(T) *Backend, all bool) int {
	n := len(candidates)
	if n == 0 {
		return -1
	}
	best, bestLoad, looked := -1, 0.0, 0
	start, step := p.rand.IntN(n), p.stride(n)
	for i := range n {
		at := (start + i*step) % n
		b := backend(candidates[at])
		if !all && b.Avoided(now) {
			continue
		}
		load := b.Load(now)
		if b.centre != p.centre {
			load += p.remote
		}
		if best < 0 || load < bestLoad {
			best, bestLoad = at, load
		}
		if looked++; p.looks > 0 && looked == p.looks {
			break
		}
	}
	return best
}

// stride returns a random step that visits all n candidates.
func (p *LeastLoaded[T]) stride(n int) int {
	if n <= 2 {
		return 1
	}
	for {
		s := 1 + p.rand.IntN(n-1)
		if gcd(s, n) == 1 {
			return s
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
