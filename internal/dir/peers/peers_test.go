package peers_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/dir/peers"
)

// system is three control hosts that exchange their lists every 300 ms. Entry hosts poll
// one of them likewise.
type system struct {
	now      clock.Millis
	controls []*peers.Peers
	down     map[int]bool
	// polled holds the control host that each entry host polls, stopped those that report
	// that they no longer take new flows.
	polled  map[string]int
	stopped map[string]bool
}

func newSystem(entryHosts int) *system {
	s := &system{down: map[int]bool{}, polled: map[string]int{}, stopped: map[string]bool{}}
	for range 3 {
		s.controls = append(s.controls, peers.New(0))
	}
	for i := range entryHosts {
		s.polled[fmt.Sprint("e", i)] = i % 3
	}
	s.run(2600, nil)
	return s
}

// run simulates for a time and calls check after each step.
func (s *system) run(length clock.Millis, check func()) {
	for end := s.now + length; s.now < end; {
		s.now += 50
		for name, control := range s.polled {
			if !s.down[control] && (s.now+50*clock.Millis(len(name)))%300 == 0 {
				s.controls[control].Polled(s.now, name, "hall", false, !s.stopped[name])
			}
		}
		for from := range s.controls {
			for to := range s.controls {
				if from != to && !s.down[from] && !s.down[to] && (s.now+clock.Millis(50*to))%300 == 0 {
					lists, version := s.controls[to].Own(s.now, s.controls[from].Version(fmt.Sprint(to)))
					s.controls[from].Learned(s.now, fmt.Sprint(to), version, lists)
				}
			}
		}
		if check != nil {
			check()
		}
	}
}

// TestLateAnswerKeepsTheList has a link that delivers a request after 2.2 s, when the list
// that the request names has been dropped. It guards against a list that stays empty
// because the other control host was told that its lists are known.
func TestLateAnswerKeepsTheList(t *testing.T) {
	a, b := peers.New(0), peers.New(0)
	b.Polled(2900, "e1", "hall", false, true)
	lists, version := b.Own(3000, 0)
	a.Learned(3000, "b", version, lists)
	qt.Assert(t, a.Counts(3000)["hall"], qt.Equals, 1)
	sent := a.Version("b")
	qt.Assert(t, a.Counts(5100)["hall"], qt.Equals, 0)
	for now := clock.Millis(3200); now <= 5200; now += 300 {
		b.Polled(now, "e1", "hall", false, true)
	}
	lists, version = b.Own(5200, sent)
	a.Learned(5200, "b", version, lists)
	lists, version = b.Own(5300, a.Version("b"))
	a.Learned(5300, "b", version, lists)
	qt.Check(t, a.Counts(5300)["hall"], qt.Equals, 1)
}

// want checks the lists that the control hosts give out.
func (s *system) want(t *testing.T, names ...string) {
	t.Helper()
	want := []uint64{}
	for _, name := range names {
		want = append(want, hash.String(name))
	}
	slices.Sort(want)
	for i, c := range s.controls {
		// A control host that has no list to give out answers with version 0.
		if got, version := c.Hosts(s.now, "hall", 0); !s.down[i] && version != 0 {
			qt.Assert(t, append([]uint64{}, got...), qt.DeepEquals, want, qt.Commentf("control host %d at %d ms", i, s.now))
		}
	}
}

// TestListHoldsWhileEntryHostsMove has an entry host change its control host, and a
// control host fail, restart and pause. The entry hosts take flows all the time, and a
// list without one of them would give its slots to others twice.
func TestListHoldsWhileEntryHostsMove(t *testing.T) {
	s := newSystem(4)
	all := func() { s.want(t, "e0", "e1", "e2", "e3") }
	_, version := s.controls[0].Hosts(s.now, "hall", 0)
	qt.Assert(t, version != 0, qt.IsTrue)
	s.polled["e0"] = 1
	s.run(5000, all)
	// The hosts of control host 2 go elsewhere after 1.5 s.
	s.down[2] = true
	s.run(1500, all)
	s.polled["e2"] = 0
	s.run(5000, all)
	s.down[2], s.controls[2] = false, peers.New(s.now)
	s.run(1000, all)
	s.polled["e2"] = 2
	s.run(5000, all)
	// Control host 1 is back after a second, before its hosts give it up.
	s.down[1] = true
	s.run(1000, all)
	s.down[1], s.controls[1] = false, peers.New(s.now)
	s.run(5000, all)
	// Control host 1 pauses for 5 s, and its hosts go elsewhere meanwhile.
	s.down[1] = true
	s.run(1500, all)
	s.polled["e0"], s.polled["e1"] = 0, 0
	s.run(3500, all)
	s.down[1] = false
	s.controls[1].Resume(s.now)
	s.run(5000, all)
	_, version = s.controls[1].Hosts(s.now, "hall", 0)
	qt.Check(t, version != 0, qt.IsTrue, qt.Commentf("gives out lists again"))
}

// TestListDropsHostsThatStopOrDie guards against slots that nobody uses.
func TestListDropsHostsThatStopOrDie(t *testing.T) {
	s := newSystem(3)
	s.stopped["e1"] = true
	s.run(650, nil)
	s.want(t, "e0", "e2")
	s.controls[0].Polled(s.now, "e0", "hall", true, true)
	delete(s.polled, "e2")
	s.run(1900, func() { s.want(t, "e0", "e2") })
	s.run(800, nil)
	s.want(t, "e0")
	s.stopped["e0"] = true
	s.run(650, nil)
	s.want(t)
}

func TestUnchangedListIsLeftOut(t *testing.T) {
	s := newSystem(3)
	_, version := s.controls[0].Hosts(s.now, "hall", 0)
	s.run(1000, func() {
		for _, c := range s.controls {
			hosts, v := c.Hosts(s.now, "hall", version)
			qt.Assert(t, hosts, qt.IsNil)
			qt.Assert(t, v, qt.Equals, uint64(0))
		}
	})
	qt.Check(t, s.controls[2].Counts(s.now), qt.DeepEquals, map[string]int{"hall": 3})
}

// TestAllHostsAreTheSameOnAllControlHosts guards against data centres that are missing in
// some lists, which would give places to two entry hosts.
func TestAllHostsAreTheSameOnAllControlHosts(t *testing.T) {
	lists := []*peers.Peers{peers.New(0), peers.New(0)}
	for i, p := range lists {
		p.Polled(2500, fmt.Sprint("e", i), "hall", false, true)
		p.Polled(2500, fmt.Sprint("f", i), "yard", false, true)
	}
	lists[0].Polled(2500, "g", "loft", false, true)
	for i, p := range lists {
		own, version := lists[1-i].Own(2500, 0)
		p.Learned(2500, "other", version, own)
	}
	_, plain := lists[0].Hosts(2500, "hall", 0)
	hosts, elsewhere, version := lists[0].AllHosts(2500, "hall", 0)
	qt.Check(t, hosts, qt.HasLen, 2)
	qt.Check(t, elsewhere["yard"], qt.HasLen, 2)
	qt.Check(t, elsewhere["loft"], qt.DeepEquals, []uint64{hash.String("g")})
	qt.Check(t, elsewhere, qt.HasLen, 2)
	qt.Check(t, version != plain, qt.IsTrue)
	otherHosts, otherElsewhere, otherVersion := lists[1].AllHosts(2500, "hall", plain)
	qt.Check(t, otherHosts, qt.DeepEquals, hosts)
	qt.Check(t, otherElsewhere, qt.DeepEquals, elsewhere)
	qt.Check(t, otherVersion, qt.Equals, version)
	_, unchanged, none := lists[1].AllHosts(2500, "hall", version)
	qt.Check(t, unchanged, qt.IsNil)
	qt.Check(t, none, qt.Equals, uint64(0))
}
