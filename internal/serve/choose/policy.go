package choose

import (
	"math/rand/v2"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/conf/tune"
)

// Policy picks one of several candidates.
type Policy[T any] interface {
	// Pick returns the index of the selected candidate, or -1 if candidates is
	// empty.
	Pick(now clock.Millis, kind Kind, candidates []T, backend func(T) *Backend) int
	// MeanUtilization returns the mean number of requests in flight per slot of the
	// candidates that Pick compares.
	MeanUtilization(now clock.Millis, candidates []T, backend func(T) *Backend) float64
}

// Settings configure a LeastLoaded policy.
type Settings struct {
	// Samples is the number of random candidates that are compared; 0 compares all.
	// The larger it is, the more often several hosts pick the same server before
	// they learn of each other's flows.
	Samples int
	// RemotePenalty is added to the load of a server in another data centre.
	RemotePenalty float64
	// MaxLocalUse is the mean utilization of the local servers, from 0 to 1, up to
	// which flows stay in their data centre. Above it, the servers of all data
	// centres are compared, with RemotePenalty added to remote ones, if the local ones
	// are busier than the mean by MaxLocalExcess.
	MaxLocalUse float64
	// MaxLocalExcess is the ratio of the mean utilization of the local servers to that
	// of all servers up to which flows stay in their data centre. Under overload
	// everywhere, a flow gains nothing elsewhere, and the loads that a host knows best
	// are those of its own data centre. 0 compares nothing but MaxLocalUse.
	MaxLocalExcess float64
	// ByRequests balances long flows by requests in flight, like short ones.
	ByRequests bool
	// IgnoreBackoff treats avoided servers like others.
	IgnoreBackoff bool
	// UnlimitedTrials does not limit the flows to a server whose backoff has ended.
	UnlimitedTrials bool
}

// Without returns the settings with some mechanisms switched off.
func (s Settings) Without(off tune.Off) Settings {
	if off.Has(tune.Sampling) {
		s.Samples = 0
	}
	if off.Has(tune.LocalFirst) {
		s.MaxLocalUse, s.MaxLocalExcess = -1, 0
	}
	if off.Has(tune.LocalExcess) {
		s.MaxLocalExcess = 0
	}
	s.ByRequests = s.ByRequests || off.Has(tune.LongFlows)
	s.IgnoreBackoff = off.Has(tune.Backoff)
	s.UnlimitedTrials = off.Has(tune.Trials)
	return s
}

// DefaultSettings keep flows in their data centre up to a mean utilization of 65 %,
// and above it unless the data centre is 15 % busier than the mean. docs/DESIGN.md
// compares the alternatives.
var DefaultSettings = Settings{Samples: 2, RemotePenalty: 0.1, MaxLocalUse: 0.65, MaxLocalExcess: 1.15}

// LeastLoaded picks the least loaded of some random candidates: of the host's data
// centre while the mean utilization there is at most Settings.MaxLocalUse, and of
// all data centres otherwise. A flow that stays in one data centre survives a
// partition between data centres.
type LeastLoaded[T any] struct {
	settings Settings
	centre   string
	rand     *rand.Rand
}

// NewLeastLoaded returns a LeastLoaded for a host in centre.
func NewLeastLoaded[T any](centre string, settings Settings, r *rand.Rand) *LeastLoaded[T] {
	return &LeastLoaded[T]{settings: settings, centre: centre, rand: r}
}

// Pick implements Policy. It skips avoided servers unless all are avoided.
func (p *LeastLoaded[T]) Pick(now clock.Millis, kind Kind, candidates []T, backend func(T) *Backend) int {
	if p.settings.ByRequests {
		kind = Short
	}
	best := p.leastLoaded(kind, candidates, backend, p.compared(now, candidates, backend))
	if best < 0 {
		best = p.leastLoaded(kind, candidates, backend, func(*Backend) bool { return true })
	}
	if best >= 0 && !p.settings.UnlimitedTrials {
		backend(candidates[best]).recordPick(now)
	}
	return best
}

// MeanUtilization implements Policy.
func (p *LeastLoaded[T]) MeanUtilization(now clock.Millis, candidates []T, backend func(T) *Backend) float64 {
	mean, _ := meanUtilization(candidates, backend, p.compared(now, candidates, backend))
	return mean
}

// compared returns a function that selects the servers to compare: those that are
// not avoided, of the local data centre unless it has none or is too busy.
func (p *LeastLoaded[T]) compared(now clock.Millis, candidates []T, backend func(T) *Backend) func(*Backend) bool {
	usable := func(b *Backend) bool { return p.settings.IgnoreBackoff || !b.Avoided(now) }
	local := func(b *Backend) bool { return usable(b) && b.centre == p.centre }
	localMean, n := meanUtilization(candidates, backend, local)
	switch {
	case n == 0:
		return usable
	case localMean <= p.settings.MaxLocalUse:
		return local
	}
	if mean, _ := meanUtilization(candidates, backend, usable); localMean <= p.settings.MaxLocalExcess*mean {
		return local
	}
	return usable
}

// meanUtilization returns the mean utilization of the eligible servers and their
// number. The mean is 0 if there are none.
func meanUtilization[T any](candidates []T, backend func(T) *Backend, eligible func(*Backend) bool) (mean float64, n int) {
	for _, c := range candidates {
		if b := backend(c); eligible(b) {
			mean += b.Utilization()
			n++
		}
	}
	return mean / float64(max(n, 1)), n
}

// leastLoaded returns the index of the least loaded candidate among a random
// sample of the eligible ones, or -1.
func (p *LeastLoaded[T]) leastLoaded(kind Kind, candidates []T, backend func(T) *Backend,
	eligible func(*Backend) bool,
) int {
	n := len(candidates)
	if n == 0 {
		return -1
	}
	best, bestLoad, sampled := -1, 0.0, 0
	start, step := p.rand.IntN(n), p.stride(n)
	for i := range n {
		index := (start + i*step) % n
		b := backend(candidates[index])
		if !eligible(b) {
			continue
		}
		load := b.Load(kind)
		if b.centre != p.centre {
			load += p.settings.RemotePenalty
		}
		if best < 0 || load < bestLoad {
			best, bestLoad = index, load
		}
		if sampled++; p.settings.Samples > 0 && sampled == p.settings.Samples {
			break
		}
	}
	return best
}

// stride returns a random step that is coprime to n, so that stepping modulo n
// visits every candidate once.
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
