package ctrl_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
)

// TestNewDiskIdentityPreventsLostApprovals empties the disk of one of the two
// hosts that store an approved version, while the other of them is isolated.
// If the host comes back under its old disk identity, its vote counts, and it forms a
// quorum with the third host, which lacks the version. A new identity for the new disk
// prevents that.
func TestNewDiskIdentityPreventsLostApprovals(t *testing.T) {
	c := qt.New(t)
	failedRuns := map[bool]int{}
	for seed := range uint64(6) {
		for _, reuseID := range []bool{false, true} {
			cl := newCluster(seed, 3)
			cl.run(5 * clock.Second)
			cl.rollOutAndWait(1)
			leader := cl.leader().name
			var others []string
			for _, m := range cl.members {
				if m.Name != leader {
					others = append(others, m.Name)
				}
			}
			// Only the leader and others[1] store version 2. Then others[1]
			// loses its disk and the leader is isolated.
			cl.isolate(others[0], true)
			cl.rollOutAndWait(2)
			cl.hosts[others[1]].alive = false
			cl.isolate(leader, true)
			cl.run(100)
			id := cl.hosts[others[1]].disk.id
			cl.newDisk(others[1])
			if reuseID {
				disk := cl.hosts[others[1]].disk
				disk.id = id
				disk.stored = initialSnapshot(cl.hosts[leader].disk.stored)
			}
			cl.heal()
			cl.isolate(leader, true)
			cl.startHost(others[1])
			cl.run(10 * clock.Second)
			cl.healAndVerify()
			if len(cl.violations) > 0 {
				failedRuns[reuseID]++
			}
			if !reuseID {
				c.Check(cl.violations, qt.HasLen, 0)
			}
		}
	}
	c.Check(failedRuns[true] > 0, qt.IsTrue)
	t.Logf("invariants violated in %d of 6 runs under the old disk identity, %d under a new one", failedRuns[true], failedRuns[false])
}

// initialSnapshot returns s without its log and data, but with the membership
// of its snapshot.
func initialSnapshot(s raft.Stored) raft.Stored {
	first := s.Snapshot
	first.Index, first.Term, first.Data = 1, 1, nil
	return raft.Stored{Snapshot: first}
}

// TestMembershipChangesKeepApprovedVersions adds two hosts and removes two, one
// at a time, while versions are rolled out and messages are lost.
func TestMembershipChangesKeepApprovedVersions(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(4, 3)
	cl.run(5 * clock.Second)
	cl.lossRate = 0.05
	for i, name := range []string{"c4", "c5"} {
		cl.addHost(name)
		cl.run(6 * clock.Second)
		cl.rollOutAndWait(spec.Version(i + 1))
		c.Check(cl.leader().core.Node().Conf().Voters, qt.HasLen, 4+i)
	}
	for i, name := range []string{"c1", "c2"} {
		cl.changeMembership(name, true)
		cl.run(4 * clock.Second)
		cl.hosts[name].alive = false
		delete(cl.hosts, name)
		cl.rollOutAndWait(spec.Version(i + 3))
	}
	cl.run(3 * clock.Second)
	c.Check(cl.leader().core.Node().Conf().Voters, qt.HasLen, 3)
	cl.healAndVerify()
	c.Check(cl.violations, qt.HasLen, 0)
	c.Check(cl.approvedDigests, qt.HasLen, 4)
}
