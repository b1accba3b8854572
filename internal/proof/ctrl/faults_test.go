package ctrl_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/bundle/state"
)

// fault is brought about on one host, named c1 to c5, or on the leader.
type fault struct {
	name string
	run  func(w *world, name string)
}

var faults = []fault{
	{"nothing", func(*world, string) {}},
	{"kill", func(w *world, name string) { w.hosts[name].alive = false }},
	{"kill and restart", func(w *world, name string) {
		w.hosts[name].alive = false
		w.run(300)
		w.start(name)
	}},
	{"freeze", func(w *world, name string) { w.hosts[name].frozen = true }},
	{"freeze and thaw", func(w *world, name string) {
		w.hosts[name].frozen = true
		w.run(4 * clock.Second)
		w.thaw(name)
	}},
	{"isolate", func(w *world, name string) { w.isolate(name, true) }},
	{"isolate one way", func(w *world, name string) { w.isolate(name, false) }},
	{"isolate long and return", func(w *world, name string) {
		w.isolate(name, true)
		w.run(20 * clock.Second)
		w.heal()
	}},
	{"lose the disk", func(w *world, name string) {
		w.hosts[name].alive = false
		w.run(200)
		w.newDisk(name)
		w.start(name)
	}},
	{"lose the disk, then lose a second host", func(w *world, name string) {
		w.hosts[name].alive = false
		w.run(200)
		w.newDisk(name)
		w.start(name)
		w.run(5 * clock.Second)
		second := "c1"
		if name == second {
			second = "c2"
		}
		w.hosts[second].alive = false
	}},
	{"lose and double messages", func(w *world, _ string) { w.lost, w.doubled = 0.1, 0.1 }},
}

// steps are the moments of a roll-out, as time after its beginning.
var steps = []struct {
	name string
	at   clock.Millis
}{{"publish", 1}, {"approve", 12}, {"roll", 24}, {"stage", 600}, {"after", 2500}}

// TestEachFaultAtEachStep brings each fault on the leader and on a follower at
// each step of a roll-out, while a second operator races for the same number.
func TestEachFaultAtEachStep(t *testing.T) {
	for _, f := range faults {
		for _, step := range steps {
			for _, role := range []string{"leader", "follower"} {
				t.Run(fmt.Sprintf("%s/%s/%s", f.name, step.name, role), func(t *testing.T) {
					t.Parallel()
					c := qt.New(t)
					w := newWorld(uint64(len(f.name))+uint64(step.at), 3)
					w.run(5 * clock.Second)
					for v := range spec.Version(3) {
						w.rollNow(v + 1)
					}
					ended := 0
					w.roll("matti", 4, 20, func(bool) { ended++ })
					w.roll("sanna", 4, 30, func(bool) { ended++ })
					w.run(step.at)
					name := "c1"
					if l := w.leader(); l != nil && (l.name == name) != (role == "leader") {
						name = l.name
						if role == "follower" {
							name = "c2"
						}
					}
					f.run(w, name)
					w.run(15 * clock.Second)
					w.settle()
					verdicts.Note(f.name, step.name+", "+role, len(w.faults) == 0 && ended == 2)
					c.Check(w.faults, qt.HasLen, 0)
					c.Check(ended, qt.Equals, 2)
					c.Check(w.winners, qt.HasLen, 4)
					for centre, h := range w.holders {
						c.Check(h.Bundle().Version(), qt.Equals, spec.Version(4), qt.Commentf(centre))
					}
				})
			}
		}
	}
}

// TestThousandVersions rolls 1,000 versions and kills the leader every 50.
func TestThousandVersions(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1, 5)
	w.run(5 * clock.Second)
	slowest, sum := clock.Millis(0), clock.Millis(0)
	before, began := w.bytes, w.now
	for v := spec.Version(1); v <= 1000; v++ {
		if v%50 == 0 {
			if l := w.leader(); l != nil {
				l.alive = false
				w.queue.Add(w.now+3*clock.Second, func() { w.start(l.name) })
			}
		}
		start := w.now
		w.rollNow(v)
		for w.now-start < clock.Minute && !w.everywhere(v) {
			w.run(20)
		}
		took := w.now - w.approvedAt
		slowest, sum = max(slowest, took), sum+took
	}
	w.settle()
	seconds := float64(w.now-began) / 1000
	t.Logf("measure: 1000 versions, the leader of 5 killed 20 times: approve to in force everywhere mean %d ms, slowest %d ms; control bytes %.0f a second for a control host, %.0f for a version",
		sum/1000, slowest, float64(w.bytes-before)/seconds/5, float64(w.bytes-before)/1000)
	c.Check(w.faults, qt.HasLen, 0)
	c.Check(w.winners, qt.HasLen, 1000)
	c.Check(slowest < 19*clock.Second, qt.IsTrue)
}

// rollNow rolls a version and waits until the operator has all answers.
func (w *world) rollNow(v spec.Version) {
	done := false
	w.roll("matti", v, 10, func(bool) { done = true })
	for end := w.now + clock.Minute; !done && w.now < end; {
		w.run(20)
	}
}

func (w *world) everywhere(v spec.Version) bool {
	for _, h := range w.holders {
		if b := h.Bundle(); b == nil || b.Version() < v {
			return false
		}
	}
	return true
}

// TestIsolatedHostHandsOutNothing checks that a host cut off from its quorum
// neither accepts nor hands out, and that a healthy leader outlives its return.
func TestIsolatedHostHandsOutNothing(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2, 3)
	w.run(5 * clock.Second)
	w.rollNow(1)
	w.run(4 * clock.Second)
	old := w.leader()
	w.isolate(old.name, true)
	w.run(3 * clock.Second)
	c.Check(old.core.Node().Current(w.now), qt.IsFalse)
	c.Check(old.core.Node().Leads(w.now), qt.IsFalse)
	w.roll("matti", 2, 10, func(bool) {})
	w.run(30 * clock.Second)
	fresh := w.leader()
	c.Assert(fresh, qt.IsNotNil)
	term := fresh.core.Node().Term()
	w.heal()
	w.run(5 * clock.Second)
	c.Check(w.leader(), qt.Equals, fresh)
	c.Check(fresh.core.Node().Term(), qt.Equals, term)
	w.settle()
	c.Check(w.faults, qt.HasLen, 0)
}

// TestResendGetsTheFirstAnswer resends a command after a leader change and
// after a snapshot.
func TestResendGetsTheFirstAnswer(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3, 3)
	w.run(5 * clock.Second)
	w.rollNow(1)
	late := w.command("sanna", state.Approve, 1, bundle(1, 77))
	answers := []string{}
	note := func() {
		w.send(late, func(r state.Result) { answers = append(answers, string(r.Code)+" "+string(r.Winner)) })
		w.run(3 * clock.Second)
	}
	note()
	w.leader().alive = false
	w.run(4 * clock.Second)
	note()
	for v := spec.Version(2); v < 30; v++ {
		w.rollNow(v)
	}
	note()
	want := "conflict " + string(spec.DigestOf(bundle(1, 10)))
	c.Check(answers, qt.DeepEquals, []string{want, want, want})
	c.Check(w.leader().core.Node().Base() > 1, qt.IsTrue, qt.Commentf("no snapshot was taken"))
	w.settle()
	c.Check(w.faults, qt.HasLen, 0)
}
