package routes_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/bundle/routes"
)

// newRoute returns a route whose name and address are derived from n. Its target
// has the weight 1+extraWeight.
func newRoute(n int, extraWeight int) routes.Route {
	return routes.Route{
		Name: fmt.Sprint("r", n), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(n >> 8), byte(n)}), 443),
		Timeout: 1000, LatencyGoal: 100, Targets: []routes.Target{{Service: "x", Weight: uint32(1 + extraWeight)}},
	}
}

func TestCheckReturnsFirstError(t *testing.T) {
	validTable := func() *routes.Table {
		return &routes.Table{Version: 1, Services: []string{"x"}, Routes: []routes.Route{newRoute(1, 0), newRoute(2, 0)}}
	}
	tests := []struct {
		name    string
		modify  func(t *routes.Table)
		wantErr error
	}{
		{"valid table", func(*routes.Table) {}, nil},
		{"version is zero", func(t *routes.Table) { t.Version = 0 }, routes.ErrNoVersion},
		{"timeout is zero", func(t *routes.Table) { t.Routes[1].Timeout = 0 }, routes.ErrNoTimeout},
		{"two routes with one address", func(t *routes.Table) { t.Routes[1].Address = t.Routes[0].Address }, routes.ErrDuplicateRoute},
		{"unknown service", func(t *routes.Table) { t.Services = []string{"y"} }, routes.ErrUnknownService},
		{"all weights are zero", func(t *routes.Table) { t.Routes[0].Targets[0].Weight = 0 }, routes.ErrNoTarget},
		{"warm-up", func(t *routes.Table) { t.Warmups = map[string]routes.Warmup{"x": {Duration: 30_000, Rate: 2.5}} }, nil},
		{"warm-up of a rate below 0", func(t *routes.Table) { t.Warmups = map[string]routes.Warmup{"x": {Duration: 30_000, Rate: -1}} }, routes.ErrWarmup},
		{"warm-up of an infinite rate", func(t *routes.Table) { t.Warmups = map[string]routes.Warmup{"x": {Rate: math.Inf(1)}} }, routes.ErrWarmup},
		{"warm-up of a rate that is no number", func(t *routes.Table) { t.Warmups = map[string]routes.Warmup{"x": {Rate: math.NaN()}} }, routes.ErrWarmup},
		{"warm-up of a time below 0", func(t *routes.Table) { t.Warmups = map[string]routes.Warmup{"x": {Duration: -1, Rate: 1}} }, routes.ErrWarmup},
		{"warm-up of a time that overflows", func(t *routes.Table) { t.Warmups = map[string]routes.Warmup{"x": {Duration: math.MaxInt64, Rate: 1}} }, routes.ErrWarmup},
		{"no targets", func(t *routes.Table) { t.Routes[0].Targets = nil }, routes.ErrNoTarget},
	}
	for _, test := range tests {
		c := qt.New(t)
		table := validTable()
		test.modify(table)
		err := table.Check()
		c.Check(err, qt.ErrorIs, test.wantErr, qt.Commentf(test.name))
		if test.wantErr == routes.ErrWarmup {
			c.Check(err, qt.ErrorMatches, ".*: x", qt.Commentf("the error names the service"))
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	c := qt.New(t)
	r := routes.Route{Targets: []routes.Target{{Service: "a", Weight: 90}, {Service: "b"}, {Service: "c", Weight: 10}}}
	counts := map[string]int{}
	for draw := range uint64(1000) {
		counts[r.Pick(draw)]++
	}
	c.Check(counts, qt.DeepEquals, map[string]int{"a": 900, "c": 100})
}

// TestDeltasReproduceEachVersion applies the encoded and decoded delta of each of
// 200 random versions.
func TestDeltasReproduceEachVersion(t *testing.T) {
	c := qt.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	var current *routes.Table
	for version := uint64(1); version <= 200; version++ {
		next := &routes.Table{Version: version, Services: []string{"x"}, IdleTimeout: 9}
		for n := range 40 {
			if r.IntN(4) > 0 {
				next.Routes = append(next.Routes, newRoute(n, r.IntN(2)))
			}
		}
		b, err := msgpack.Marshal(routes.Diff(current, next))
		c.Assert(err, qt.IsNil)
		var d routes.Delta
		c.Assert(msgpack.Unmarshal(b, &d), qt.IsNil)
		current, err = d.Apply(current)
		c.Assert(err, qt.IsNil)
		byAddress := func(a, b routes.Route) int { return a.Address.Compare(b.Address) }
		got, want := slices.Clone(current.Routes), slices.Clone(next.Routes)
		slices.SortFunc(got, byAddress)
		slices.SortFunc(want, byAddress)
		c.Assert(len(got), qt.Equals, len(want))
		for i := range got {
			c.Assert(got[i].Name, qt.Equals, want[i].Name)
			c.Assert(got[i].Targets[0].Weight, qt.Equals, want[i].Targets[0].Weight)
		}
	}
	_, err := (&routes.Delta{Base: 7, Version: 8}).Apply(current)
	c.Check(err, qt.ErrorIs, routes.ErrBaseMismatch)
}

// TestDeltaOfOneReplacedRouteIsSmall guards against deltas that fill the links of
// the smallest entry hosts, which carry 9 kB of control traffic per second.
func TestDeltaOfOneReplacedRouteIsSmall(t *testing.T) {
	c := qt.New(t)
	from := &routes.Table{Version: 1, Services: []string{"x"}}
	for n := range 600 {
		from.Routes = append(from.Routes, newRoute(n, 0))
	}
	to := &routes.Table{Version: 2, Services: []string{"x"}, Routes: append(slices.Clone(from.Routes[:599]), newRoute(700, 0))}
	b, err := msgpack.Marshal(routes.Diff(from, to))
	c.Assert(err, qt.IsNil)
	c.Check(len(b) < 1000, qt.IsTrue, qt.Commentf("%d bytes", len(b)))
}
