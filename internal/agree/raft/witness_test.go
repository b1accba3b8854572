package raft_test

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// TestPendingWitnessesAreAskedBesideThoseBefore guards against a candidate that doesn't know
// whether other witnesses are in effect, and wins without those that have acknowledged an
// entry that it lacks.
func TestPendingWitnessesAreAskedBesideThoseBefore(t *testing.T) {
	voters := []raft.ID{"n0", "n1", "n2", "n3"}
	pending, err := msgpack.Marshal(raft.Conf{Voters: voters, Witnesses: []raft.ID{"w1"}})
	qt.Assert(t, err, qt.IsNil)
	n := raft.New("n1", raft.Timing{Heartbeat: 100, Election: 400}, raft.Stored{
		State:    raft.HardState{Term: 1, Commit: 1},
		Snapshot: raft.Snapshot{Index: 1, Term: 1, Conf: raft.Conf{Voters: voters, Witnesses: []raft.ID{"w0"}}},
		Entries:  []raft.Entry{{Index: 2, Term: 1, Kind: raft.EntryConf, Data: pending}},
	}, 0, rand.New(rand.NewPCG(1, 2)))
	now := clock.Millis(0)
	for ; n.Role() != raft.PreCandidate; now += 10 {
		n.Tick(now)
	}
	grant := func(from raft.ID) {
		n.Step(now, raft.Message{Kind: raft.KindPreVoteReply, From: from, To: "n1", Term: 2, Granted: true})
	}
	n.Take()
	grant("n2")
	n.Tick(now + 60)
	var asked []raft.ID
	for _, m := range n.Take().Messages {
		if m.ToWitness() {
			asked = append(asked, m.To)
			qt.Check(t, m.Supporters, qt.DeepEquals, []raft.ID{"n1", "n2"})
		}
	}
	qt.Check(t, asked, qt.DeepEquals, []raft.ID{"w0", "w1"})
	grant("w0")
	qt.Check(t, n.Role(), qt.Equals, raft.PreCandidate)
	grant("w1")
	qt.Check(t, n.Role(), qt.Equals, raft.Candidate)
}

// TestWitnessesAreLeftAloneWhileAMajorityReplies guards against requests to witnesses, and
// votes of half, where nothing is lost.
func TestWitnessesAreLeftAloneWhileAMajorityReplies(t *testing.T) {
	s := newScheduleWithWitnesses(1)
	asked := 0
	for now := clock.Millis(0); now < 5000; now += 10 {
		for _, id := range s.ids {
			s.members[id].now = now
			s.members[id].node.Tick(now)
			s.take(s.members[id])
		}
		for len(s.network) > 0 {
			message := s.network[0]
			s.network = s.network[1:]
			if message.ToWitness() {
				asked++
				continue
			}
			to := s.members[message.To]
			to.node.Step(now, message)
			s.take(to)
		}
	}
	qt.Check(t, asked, qt.Equals, 0)
	qt.Check(t, s.leaders, qt.Not(qt.HasLen), 0)
}
