package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

var options = fleet.Options{SilentAfter: 3600, ForgetAfter: 90_000, ReuseAfter: 2000}

func record(id string, started clock.Millis, seq uint64, state fleet.State) fleet.Record {
	return fleet.Record{
		ID: id, Number: 7, Started: started, Seq: seq, Service: "x", Slots: 2, State: state,
		Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
}

func coldRecord(started clock.Millis, seq uint64, left clock.Millis) fleet.Record {
	r := record("a", started, seq, fleet.Ready)
	r.Warmup = left
	return r
}

func TestApplyKeepsTheNewestRecord(t *testing.T) {
	tests := []struct {
		name   string
		first  fleet.Record
		second fleet.Record
		want   fleet.Outcome
		state  fleet.State
	}{
		{"newer sequence with the same content", record("a", 5, 1, fleet.Ready), record("a", 5, 2, fleet.Ready), fleet.Refreshed, fleet.Ready},
		{"newer sequence with another state", record("a", 5, 1, fleet.Ready), record("a", 5, 2, fleet.Draining), fleet.Changed, fleet.Draining},
		{"newer sequence of a cold server", coldRecord(5, 1, 900), coldRecord(5, 2, 400), fleet.Refreshed, fleet.Ready},
		{"cold server that is warm", coldRecord(5, 1, 900), record("a", 5, 2, fleet.Ready), fleet.Changed, fleet.Ready},
		{"older sequence", record("a", 5, 3, fleet.Draining), record("a", 5, 2, fleet.Ready), fleet.Stale, fleet.Draining},
		{"later start", record("a", 5, 9, fleet.Draining), record("a", 6, 1, fleet.Ready), fleet.Changed, fleet.Ready},
		{"earlier start", record("a", 6, 1, fleet.Ready), record("a", 5, 9, fleet.Draining), fleet.Stale, fleet.Ready},
		{"later start after leaving", record("a", 5, 9, fleet.Left), record("a", 6, 1, fleet.Ready), fleet.Changed, fleet.Ready},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := fleet.New(options)
			f.Apply(1, 1, test.first, true)
			c.Check(f.Apply(2, 2, test.second, true), qt.Equals, test.want)
			s := f.Find("a")
			c.Check(s.State, qt.Equals, test.state)
			c.Check(s.Usable(), qt.Equals, test.state == fleet.Ready)
		})
	}
}

// TestFollowerAcceptsEarlierStart guards against an incarnation that a follower never learns
// of because the clock of its machine was set back before the restart.
func TestFollowerAcceptsEarlierStart(t *testing.T) {
	tests := []struct {
		name        string
		announcedAt clock.Millis
		want        clock.Millis
	}{
		{"announced later", 1001, 5},
		{"announced at the same time", 1000, 6},
		{"announced before", 400, 6},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := fleet.New(fleet.Options{SilentAfter: 3600, ForgetAfter: 90_000, Follower: true})
			f.Apply(1000, 1000, record("a", 6, 9, fleet.Ready), false)
			f.Apply(1200, test.announcedAt, record("a", 5, 1, fleet.Ready), false)
			c.Check(f.Find("a").Started, qt.Equals, test.want)
			c.Check(f.Find("a").Usable(), qt.IsTrue)
			// A control host that knows less sends the record before, then the one that it
			// learns of.
			f.Apply(1300, 1000, record("a", 6, 9, fleet.Ready), false)
			f.Apply(1400, 1001, record("a", 5, 1, fleet.Ready), false)
			c.Check(f.Find("a").Started, qt.Equals, clock.Millis(5))
		})
	}
}

// TestServerAnnouncedLastOwnsTheAddress covers servers without a start time. The
// owner of the address is the server that still announces itself after the other
// one has stopped, and a delayed announcement must not reverse that.
func TestServerAnnouncedLastOwnsTheAddress(t *testing.T) {
	c := qt.New(t)
	f := fleet.New(options)
	f.Apply(1000, 1000, record("old", 0, 8, fleet.Ready), true)
	f.Apply(3500, 3500, record("new", 0, 1, fleet.Ready), true)
	c.Check(f.Find("old").Ended(), qt.IsTrue)
	c.Check(f.Find("new").Usable(), qt.IsTrue)

	// A partition delayed this announcement.
	f.Apply(4000, 4000, record("old", 0, 9, fleet.Ready), true)
	c.Check(f.Find("old").Usable(), qt.IsFalse)
	c.Check(f.Find("new").Usable(), qt.IsTrue)

	// The same announcements on a host that did not know the old server.
	f = fleet.New(options)
	f.Apply(3500, 3500, record("new", 0, 1, fleet.Ready), true)
	f.Apply(4000, 4000, record("old", 0, 9, fleet.Ready), true)
	c.Check(f.Find("old").Usable(), qt.IsFalse)
	c.Check(f.Find("new").Usable(), qt.IsTrue)
}

func TestExpireMarksSilentServersAndRemovesLeftOnes(t *testing.T) {
	c := qt.New(t)
	f := fleet.New(options)
	f.Apply(1, 1, record("a", 5, 1, fleet.Ready), true)
	c.Check(f.Expire(3601), qt.HasLen, 0)
	c.Check(f.Expire(3700), qt.DeepEquals, []string{"a"})
	c.Check(f.Find("a").Usable(), qt.IsFalse)
	c.Check(f.Apply(3800, 3800, record("a", 5, 2, fleet.Ready), true), qt.Equals, fleet.Changed)
	c.Check(f.Find("a").Usable(), qt.IsTrue)
	f.Leave(4000, "a")
	f.Expire(4000 + 90_001)
	c.Check(f.Len(), qt.Equals, 0)
}

func TestRefreshTouchesAServerWithoutChangingIt(t *testing.T) {
	c := qt.New(t)
	f := fleet.New(options)
	f.Apply(1, 1, record("a", 5, 1, fleet.Ready), true)
	position := f.Position()
	f.Apply(2, 2, record("a", 5, 2, fleet.Ready), true)
	c.Check(f.ChangedSince(position), qt.HasLen, 0)
	c.Check(f.TouchedSince(position), qt.HasLen, 1)
	f.Apply(3, 3, record("a", 5, 3, fleet.Draining), false)
	c.Check(f.ChangedSince(position), qt.HasLen, 1)
}

// TestMergeConvergesInAnyOrder applies the same records in random orders, which
// must always give the same state of each server.
func TestMergeConvergesInAnyOrder(t *testing.T) {
	c := qt.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	var records []fleet.Record
	for _, id := range []string{"a", "b", "c"} {
		for started := clock.Millis(1); started <= 3; started++ {
			for seq := uint64(1); seq <= 4; seq++ {
				// The last record of each incarnation has the state Draining.
				rec := record(id, started*10+clock.Millis(id[0]-'a'), seq, fleet.State(1+seq/4))
				records = append(records, rec)
			}
		}
	}
	var want map[string]string
	for range 200 {
		f := fleet.New(options)
		r.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
		for i := range records {
			f.Apply(1, 1, records[i], r.IntN(2) == 0)
		}
		got := map[string]string{}
		f.Each(func(s *fleet.Server) {
			got[s.ID] = s.State.String()
			if s.Ended() {
				got[s.ID] += " ended"
			}
		})
		if want == nil {
			want = got
		}
		c.Assert(got, qt.DeepEquals, want)
	}
}

// TestChangesAreFoundByPosition compares the changes since each position with a visit
// of all servers, while servers change, announce themselves and are forgotten.
func TestChangesAreFoundByPosition(t *testing.T) {
	f := fleet.New(fleet.Options{SilentAfter: 100, ForgetAfter: 200})
	r := rand.New(rand.NewPCG(3, 4))
	type step struct {
		position uint64
		ids      map[string]bool
	}
	var steps []step
	changedAt, forgotten := map[string]uint64{}, 0
	for now := clock.Millis(1); now < 6000; now += 2 {
		before := f.LastChange()
		id := fmt.Sprint("i-", r.IntN(40))
		record := fleet.Record{ID: id, Seq: uint64(now), Service: "s", State: fleet.Ready, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(r.IntN(40))}), 80)}
		if r.IntN(20) == 0 {
			record.State = fleet.Draining
		}
		f.Apply(now, now, record, r.IntN(2) == 0)
		if r.IntN(30) == 0 {
			f.SetSilent(now, id, true)
		}
		known := f.Len()
		f.Expire(now)
		forgotten += known - f.Len()
		steps = append(steps, step{position: before})
		for _, s := range f.ChangedSince(before) {
			changedAt[s.ID] = f.LastChange()
		}
	}
	qt.Assert(t, forgotten > 0, qt.IsTrue)
	for _, s := range steps {
		want, got := map[string]bool{}, map[string]bool{}
		f.Each(func(server *fleet.Server) {
			if changedAt[server.ID] > s.position {
				want[server.ID] = true
			}
		})
		for _, server := range f.ChangedSince(s.position) {
			got[server.ID] = true
		}
		qt.Assert(t, got, qt.DeepEquals, want)
	}
}

// TestReportsWhyAServerIsNotUsed checks the rule, the rival and the ages of each decision.
func TestReportsWhyAServerIsNotUsed(t *testing.T) {
	c := qt.New(t)
	var got []string
	o := options
	o.Report = func(d fleet.Decision) {
		got = append(got, fmt.Sprint(d.Rule, " ", d.Server.ID, " ", d.Server.Started, " ", d.Age, " ", d.Rival.ID, " ", d.Rival.Started, " ", d.RivalAge))
	}
	f := fleet.New(o)
	f.Apply(1000, 1000, record("a", 5, 1, fleet.Ready), true)
	f.Apply(1200, 1100, record("a", 6, 1, fleet.Ready), true)
	f.Apply(4000, 4000, record("b", 7, 1, fleet.Ready), true)
	f.Apply(4100, 4100, record("b", 7, 2, fleet.Ready), true)
	f.Leave(5000, "b")
	c.Check(got, qt.DeepEquals, []string{"superseded a 5 200 a 6 100", "addressTaken a 6 2900 b 7 0", "left b 7 900  0 0"})
}
