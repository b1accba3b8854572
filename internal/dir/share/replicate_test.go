package share_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/share"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// fourVoters is a group of the voters a to d, of which a is the host itself.
type fourVoters struct{}

func (fourVoters) Self() raft.ID      { return "a" }
func (fourVoters) Voters() []raft.ID  { return []raft.ID{"a", "b", "c", "d"} }
func (fourVoters) Members() []raft.ID { return []raft.ID{"a", "b", "c", "d", "learner"} }

func TestRecordIsReplicatedOnceAQuorumHasIt(t *testing.T) {
	sent := map[raft.ID]int{}
	r := share.NewReplicator(fourVoters{}, func(to raft.ID, _ *msgs.Envelope) { sent[to]++ }, 0)
	var outcomes []bool
	r.Start(0, fleet.Record{ID: "s"}, func(replicated bool) { outcomes = append(outcomes, replicated) })
	qt.Check(t, sent, qt.DeepEquals, map[raft.ID]int{"b": 1, "c": 1, "d": 1})
	r.HandleReply(&msgs.ReplicateReply{From: "b", RequestID: 1})
	r.HandleReply(&msgs.ReplicateReply{From: "b", RequestID: 1})
	qt.Check(t, outcomes, qt.HasLen, 0)
	r.Tick(200)
	qt.Check(t, sent, qt.DeepEquals, map[raft.ID]int{"b": 1, "c": 2, "d": 2})
	r.HandleReply(&msgs.ReplicateReply{From: "d", RequestID: 1})
	qt.Check(t, outcomes, qt.DeepEquals, []bool{true})
	r.Tick(5000)
	qt.Check(t, outcomes, qt.HasLen, 1)
	qt.Check(t, r.Len(), qt.Equals, 0)
}

func TestReplicationEndsWithoutAQuorum(t *testing.T) {
	r := share.NewReplicator(fourVoters{}, func(raft.ID, *msgs.Envelope) {}, 0)
	var outcomes []bool
	r.Start(0, fleet.Record{ID: "s"}, func(replicated bool) { outcomes = append(outcomes, replicated) })
	r.HandleReply(&msgs.ReplicateReply{From: "b", RequestID: 1})
	r.Tick(899)
	qt.Check(t, outcomes, qt.HasLen, 0)
	r.Tick(900)
	qt.Check(t, outcomes, qt.DeepEquals, []bool{false})
}
