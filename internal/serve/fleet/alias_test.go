package fleet_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// TestAliasesAreBounded guards against lists that grow with each restart, name another address, or never expire because
// hosts learn them from each other.
func TestAliasesAreBounded(t *testing.T) {
	c := qt.New(t)
	f := fleet.New(options)
	for started := clock.Millis(1); started <= 9; started++ {
		f.Apply(10*started, 10*started, ready("a", started, 1), true)
	}
	a := f.Find("a")
	c.Check(a.Aliases(100), qt.DeepEquals, []fleet.Alias{{5, 40}, {6, 30}, {7, 20}, {8, 10}})
	f.Apply(98, 98, at("10.0.9.9:80", ready("a", 10, 1)), true)
	f.Apply(100, 100, at("10.0.9.9:80", ready("a", 10, 2)), true)
	c.Check(a.Aliases(100), qt.HasLen, 0)
	f.Apply(108, 108, ready("a", 11, 1), true)
	f.Apply(110, 110, ready("a", 11, 2), true)
	c.Check(a.Aliases(110), qt.DeepEquals, []fleet.Alias{{7, 30}, {8, 20}, {9, 10}})

	f.Expire(90_095)
	c.Check(a.Aliases(90_095), qt.DeepEquals, []fleet.Alias{{9, 89_995}})
	position := f.Position()
	f.AddAliases(90_095, &a.Record, []fleet.Alias{{7, 89_900}, {9, 10}, {11, 10}})
	c.Check(f.Position(), qt.Equals, position)
	f.Expire(90_101)
	c.Check(a.Aliases(90_101), qt.HasLen, 0)

	f.Apply(100, 100, ready("b", 0, 1), true)
	f.Apply(200, 200, ready("b", 0, 2), true)
	c.Check(f.Find("b").Aliases(200), qt.HasLen, 0)
}

// TestStartThatIsNotBelievedYetIsAnAlias guards against an open flow without an answer on relays whose control host believes
// another incarnation for longer than that of the relay that opened it.
func TestStartThatIsNotBelievedYetIsAnAlias(t *testing.T) {
	c := qt.New(t)
	f := fleet.New(options)
	f.Apply(100, 100, ready("a", 100, 1), true)
	position := f.LastChange()
	f.Apply(200, 200, ready("a", 50, 1), false)
	c.Check(f.Find("a").Aliases(250), qt.DeepEquals, []fleet.Alias{{50, 50}})
	c.Check(f.ChangedSince(position), qt.HasLen, 1)
	position = f.LastChange()
	f.Apply(500, 500, ready("a", 50, 2), false)
	c.Check(f.LastChange(), qt.Equals, position)
	f.Apply(2200, 2200, ready("a", 50, 3), false)
	c.Check(f.Find("a").Started, qt.Equals, clock.Millis(50))
	c.Check(f.Find("a").Aliases(2250), qt.DeepEquals, []fleet.Alias{{100, 50}})
}

// TestStaleStartIsAnAlias guards against the same where a control host holds a later announcement of the incarnation before,
// so that it never believes the other.
func TestStaleStartIsAnAlias(t *testing.T) {
	c := qt.New(t)
	f := fleet.New(options)
	f.Apply(300, 300, ready("a", 100, 2), true)
	c.Check(f.Apply(350, 250, ready("a", 900, 1), false), qt.Equals, fleet.Stale)
	c.Check(f.Find("a").Aliases(350), qt.DeepEquals, []fleet.Alias{{900, 100}})
}
