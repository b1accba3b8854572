package ctrl_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/bundle/state"
)

// fault is one kind of fault. inject injects it on the control host called name.
type fault struct {
	// name is a row of the report. Its length is part of the seed.
	name   string
	inject func(cl *cluster, name string)
}

var faults = []fault{
	{"nothing", func(*cluster, string) {}},
	{"kill", func(cl *cluster, name string) { cl.hosts[name].alive = false }},
	{"kill and restart", func(cl *cluster, name string) {
		cl.hosts[name].alive = false
		cl.run(300)
		cl.startHost(name)
	}},
	{"freeze", func(cl *cluster, name string) { cl.hosts[name].frozen = true }},
	{"freeze and thaw", func(cl *cluster, name string) {
		cl.hosts[name].frozen = true
		cl.run(4 * clock.Second)
		cl.unfreeze(name)
	}},
	{"isolate", func(cl *cluster, name string) { cl.isolate(name, true) }},
	{"isolate one way", func(cl *cluster, name string) { cl.isolate(name, false) }},
	{"isolate long and return", func(cl *cluster, name string) {
		cl.isolate(name, true)
		cl.run(20 * clock.Second)
		cl.heal()
	}},
	{"lose the disk", func(cl *cluster, name string) {
		cl.hosts[name].alive = false
		cl.run(200)
		cl.newDisk(name)
		cl.startHost(name)
	}},
	{"lose the disk, then lose a second host", func(cl *cluster, name string) {
		cl.hosts[name].alive = false
		cl.run(200)
		cl.newDisk(name)
		cl.startHost(name)
		cl.run(5 * clock.Second)
		second := "c1"
		if name == second {
			second = "c2"
		}
		cl.hosts[second].alive = false
	}},
	{"lose and double messages", func(cl *cluster, _ string) { cl.lossRate, cl.duplicateRate = 0.1, 0.1 }},
}

// steps are the points of a roll-out at which faults are injected, as time
// after its start.
var steps = []struct {
	name  string
	after clock.Millis
}{{"publish", 1}, {"approve", 12}, {"roll", 24}, {"stage", 600}, {"after", 2500}}

// TestEachFaultAtEachStep injects each fault on the leader and on a follower at
// each step of a roll-out, while two operators publish different texts under
// the same version number.
func TestEachFaultAtEachStep(t *testing.T) {
	for _, f := range faults {
		for _, step := range steps {
			for _, role := range []string{"leader", "follower"} {
				t.Run(fmt.Sprintf("%s/%s/%s", f.name, step.name, role), func(t *testing.T) {
					t.Parallel()
					c := qt.New(t)
					cl := newCluster(uint64(len(f.name))+uint64(step.after), 3)
					cl.run(5 * clock.Second)
					for v := range spec.Version(3) {
						cl.rollOutAndWait(v + 1)
					}
					finished := 0
					cl.rollOut("matti", 4, 20, func(bool) { finished++ })
					cl.rollOut("sanna", 4, 30, func(bool) { finished++ })
					cl.run(step.after)
					// The fault hits the leader, or as a follower c1, or c2 if c1 leads.
					name := "c1"
					if l := cl.leader(); l != nil && (l.name == name) != (role == "leader") {
						name = l.name
						if role == "follower" {
							name = "c2"
						}
					}
					f.inject(cl, name)
					cl.run(15 * clock.Second)
					cl.healAndVerify()
					results.Record(f.name, step.name+", "+role, len(cl.violations) == 0 && finished == 2)
					c.Check(cl.violations, qt.HasLen, 0)
					c.Check(finished, qt.Equals, 2)
					c.Check(cl.approvedDigests, qt.HasLen, 4)
					for dataCentre, replica := range cl.replicas {
						c.Check(replica.Bundle().Version(), qt.Equals, spec.Version(4), qt.Commentf(dataCentre))
					}
				})
			}
		}
	}
}

// maxReleaseDelay is the required time limit for a configuration change to be in
// force on all hosts.
const maxReleaseDelay = 19 * clock.Second

// TestThousandVersionsInForceDespiteLeaderCrashes rolls out 1,000 versions and
// kills the leader at every 50th.
func TestThousandVersionsInForceDespiteLeaderCrashes(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(1, 5)
	cl.run(5 * clock.Second)
	slowest, sum := clock.Millis(0), clock.Millis(0)
	bytesBefore, began := cl.bytesSent, cl.now
	for v := spec.Version(1); v <= 1000; v++ {
		if v%50 == 0 {
			if l := cl.leader(); l != nil {
				l.alive = false
				cl.queue.Add(cl.now+3*clock.Second, func() { cl.startHost(l.name) })
			}
		}
		start := cl.now
		cl.rollOutAndWait(v)
		for cl.now-start < clock.Minute && !cl.inForceEverywhere(v) {
			cl.run(20)
		}
		took := cl.now - cl.approvedAt
		slowest, sum = max(slowest, took), sum+took
	}
	cl.healAndVerify()
	seconds := float64(cl.now-began) / 1000
	t.Logf("measure: 1000 versions, the leader of 5 killed 20 times: from approval to in force everywhere mean %d ms, slowest %d ms; control traffic %.0f bytes/s per control host, %.0f bytes per version",
		sum/1000, slowest, float64(cl.bytesSent-bytesBefore)/seconds/5, float64(cl.bytesSent-bytesBefore)/1000)
	c.Check(cl.violations, qt.HasLen, 0)
	c.Check(cl.approvedDigests, qt.HasLen, 1000)
	c.Check(slowest < maxReleaseDelay, qt.IsTrue)
}

// rollOutAndWait rolls out a version and waits up to a minute until the operator
// has all replies.
func (cl *cluster) rollOutAndWait(v spec.Version) {
	done := false
	cl.rollOut("matti", v, 10, func(bool) { done = true })
	for end := cl.now + clock.Minute; !done && cl.now < end; {
		cl.run(20)
	}
}

// inForceEverywhere reports whether all data centres have version v or a later
// one in force.
func (cl *cluster) inForceEverywhere(v spec.Version) bool {
	for _, replica := range cl.replicas {
		if b := replica.Bundle(); b == nil || b.Version() < v {
			return false
		}
	}
	return true
}

// TestIsolatedLeaderStepsDown checks that a leader without contact to a quorum
// neither leads nor counts as up to date, and that its return does not depose
// the new leader.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(2, 3)
	cl.run(5 * clock.Second)
	cl.rollOutAndWait(1)
	cl.run(4 * clock.Second)
	oldLeader := cl.leader()
	cl.isolate(oldLeader.name, true)
	cl.run(3 * clock.Second)
	c.Check(oldLeader.core.Node().Current(cl.now), qt.IsFalse)
	c.Check(oldLeader.core.Node().Leads(cl.now), qt.IsFalse)
	cl.rollOut("matti", 2, 10, func(bool) {})
	cl.run(30 * clock.Second)
	newLeader := cl.leader()
	c.Assert(newLeader, qt.IsNotNil)
	term := newLeader.core.Node().Term()
	cl.heal()
	cl.run(5 * clock.Second)
	c.Check(cl.leader(), qt.Equals, newLeader)
	c.Check(newLeader.core.Node().Term(), qt.Equals, term)
	cl.healAndVerify()
	c.Check(cl.violations, qt.HasLen, 0)
}

// TestResentCommandGetsFirstReply resends a command after a leader change and
// after a snapshot.
func TestResentCommandGetsFirstReply(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(3, 3)
	cl.run(5 * clock.Second)
	cl.rollOutAndWait(1)
	conflicting := cl.command("sanna", state.Approve, 1, bundleText(1, 77))
	replies := []string{}
	submit := func() {
		cl.submit(conflicting, func(r state.Result) { replies = append(replies, string(r.Code)+" "+string(r.ApprovedDigest)) })
		cl.run(3 * clock.Second)
	}
	submit()
	cl.leader().alive = false
	cl.run(4 * clock.Second)
	submit()
	for v := spec.Version(2); v < 30; v++ {
		cl.rollOutAndWait(v)
	}
	submit()
	want := "conflict " + string(spec.DigestOf(bundleText(1, 10)))
	c.Check(replies, qt.DeepEquals, []string{want, want, want})
	c.Check(cl.leader().core.Node().SnapshotIndex() > 1, qt.IsTrue, qt.Commentf("no snapshot was taken"))
	cl.healAndVerify()
	c.Check(cl.violations, qt.HasLen, 0)
}
