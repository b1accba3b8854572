package choose

import (
	"math/rand/v2"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// Policy picks one of several candidates.
type Policy[T any] interface {
	// Pick returns the index of the choice, or -1 when candidates is empty.
	Pick(now clock.Millis, kind Kind, candidates []T, backend func(T) *Backend) int
}

// Settings tune a LeastLoaded.
type Settings struct {
	// Looks is how many random candidates are compared. 0 compares all. The more
	// are compared, the more hosts pick the same server before they hear of each
	// other's flows.
	Looks int
	// Remote is added to the load of a server in another data centre.
	Remote float64
	// LocalUse is the mean share of busy slots up to which flows stay in their
	// data centre. Above it, evenness counts more than the distance.
	LocalUse float64
	// ByRequests places long flows by requests in progress, like short ones.
	ByRequests bool
}

// DefaultSettings keep flows in their data centre while slots are free there.
// The ways weighed are in docs/DESIGN.md.
var DefaultSettings = Settings{Looks: 2, Remote: 0.1, LocalUse: 0.65}

// LeastLoaded picks the least loaded candidate of the host's data centre while
// slots are free there, and of all otherwise. A flow within its data centre
// outlives a partition between data centres.
type LeastLoaded[T any] struct {
	settings Settings
	centre   string
	rand     *rand.Rand
}

// NewLeastLoaded returns a LeastLoaded for a host in centre.
func NewLeastLoaded[T any](centre string, settings Settings, r *rand.Rand) *LeastLoaded[T] {
	return &LeastLoaded[T]{settings: settings, centre: centre, rand: r}
}

// Pick implements Policy. Avoided servers are left out unless all are avoided.
func (p *LeastLoaded[T]) Pick(now clock.Millis, kind Kind, candidates []T, backend func(T) *Backend) int {
	if p.settings.ByRequests {
		kind = Short
	}
	usable := func(b *Backend) bool { return !b.Avoided(now) }
	local := func(b *Backend) bool { return usable(b) && b.centre == p.centre }
	best := p.among(now, kind, candidates, backend, local)
	if best < 0 || !p.stays(candidates, backend, local) {
		best = p.among(now, kind, candidates, backend, usable)
	}
	if best < 0 {
		best = p.among(now, kind, candidates, backend, func(*Backend) bool { return true })
	}
	if best >= 0 {
		backend(candidates[best]).picked(now)
	}
	return best
}

// stays reports whether the data centre has room for a flow.
func (p *LeastLoaded[T]) stays(candidates []T, backend func(T) *Backend, local func(*Backend) bool) bool {
	use, n := 0.0, 0
	for _, c := range candidates {
		if b := backend(c); local(b) {
			use += b.use()
			n++
		}
	}
	return use <= p.settings.LocalUse*float64(n)
}

// among returns the least loaded of the candidates that may be taken, or -1.
func (p *LeastLoaded[T]) among(now clock.Millis, kind Kind, candidates []T, backend func(T) *Backend,
	may func(*Backend) bool,
) int {
	n := len(candidates)
	if n == 0 {
		return -1
	}
	best, bestLoad, looked := -1, 0.0, 0
	start, step := p.rand.IntN(n), p.stride(n)
	for i := range n {
		at := (start + i*step) % n
		b := backend(candidates[at])
		if !may(b) {
			continue
		}
		load := b.Load(now, kind)
		if b.centre != p.centre {
			load += p.settings.Remote
		}
		if best < 0 || load < bestLoad {
			best, bestLoad = at, load
		}
		if looked++; p.settings.Looks > 0 && looked == p.settings.Looks {
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
