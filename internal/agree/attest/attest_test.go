package attest_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/agree/attest"
	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// election is the election timeout of the voters a to d, and settled the time after which a
// witness that is asked by one half decides.
const (
	election = 600
	settled  = 2 * election
)

var left, right = []raft.ID{"a", "b"}, []raft.ID{"c", "d"}

// ask is a request of the first of the supporters at a time.
func ask(kind raft.Kind, supporters []raft.ID, term, logTerm, index uint64) raft.Message {
	return raft.Message{Kind: kind, From: supporters[0], To: "w", Term: term, LogTerm: logTerm, Index: index, Supporters: supporters}
}

// request is a request and whether the witness must grant it.
type request struct {
	at      clock.Millis
	message raft.Message
	replies bool
	granted bool
}

func TestWitnessKeepsItsPromises(t *testing.T) {
	alone := func(m raft.Message) raft.Message {
		m.Alone = true
		return m
	}
	tests := []struct {
		name     string
		requests []request
	}{
		{"it listens before it decides", []request{
			{1, ask(raft.KindPreVote, left, 2, 1, 1), false, false},
			{settled, ask(raft.KindPreVote, left, 2, 1, 1), false, false},
			{settled + 1, ask(raft.KindPreVote, left, 2, 1, 1), true, true},
		}},
		{"it listens anew after a pause", []request{
			{1, ask(raft.KindPreVote, left, 2, 1, 1), false, false},
			{5000, ask(raft.KindPreVote, left, 2, 1, 1), false, false},
		}},
		{"it decides for no half while both ask", []request{
			{1, ask(raft.KindPreVote, left, 2, 1, 1), false, false},
			{700, ask(raft.KindAppend, right, 2, 2, 2), false, false},
			{1300, ask(raft.KindPreVote, left, 2, 1, 1), false, false},
			{1400, ask(raft.KindAppend, right, 2, 2, 2), false, false},
		}},
		{"it decides at once if the other half can't ask", []request{
			{1, alone(ask(raft.KindVote, left, 2, 1, 1)), true, true},
		}},
		{"it votes once a term", []request{
			{1, alone(ask(raft.KindVote, left, 2, 1, 1)), true, true},
			{2, alone(ask(raft.KindVote, right, 2, 1, 1)), true, false},
			{3, alone(ask(raft.KindVote, left, 2, 1, 1)), true, true},
			{4, alone(ask(raft.KindVote, right, 3, 1, 1)), true, true},
		}},
		{"a pre-vote takes no vote", []request{
			{1, alone(ask(raft.KindPreVote, left, 2, 1, 1)), true, true},
			{2, alone(ask(raft.KindVote, right, 2, 1, 1)), true, true},
		}},
		{"it refuses an earlier term", []request{
			{1, alone(ask(raft.KindVote, left, 3, 1, 1)), true, true},
			{2, alone(ask(raft.KindAppend, right, 2, 2, 5)), true, false},
			{3, alone(ask(raft.KindPreVote, right, 2, 1, 1)), true, false},
		}},
		{"it refuses a log without what it has acknowledged", []request{
			{1, alone(ask(raft.KindAppend, left, 2, 2, 5)), true, true},
			{1000, alone(ask(raft.KindVote, right, 3, 2, 4)), true, false},
			{1001, alone(ask(raft.KindVote, right, 4, 1, 9)), true, false},
			{1002, alone(ask(raft.KindVote, right, 5, 2, 5)), true, true},
		}},
		{"an earlier entry takes nothing back", []request{
			{1, alone(ask(raft.KindAppend, left, 2, 2, 5)), true, true},
			{2, alone(ask(raft.KindAppend, left, 2, 2, 3)), true, true},
			{1000, alone(ask(raft.KindVote, right, 3, 2, 4)), true, false},
		}},
		{"it doesn't depose an active leader", []request{
			{1, alone(ask(raft.KindAppend, left, 2, 2, 5)), true, true},
			{600, alone(ask(raft.KindVote, right, 3, 2, 5)), false, false},
			{601, alone(ask(raft.KindVote, right, 3, 2, 5)), true, true},
		}},
		{"it has no part in what its sender doesn't support", []request{
			{1, raft.Message{Kind: raft.KindVote, From: "c", To: "w", Term: 2, Supporters: left, Alone: true}, false, false},
			{1, raft.Message{Kind: raft.KindVote, From: "a", To: "v", Term: 2, Supporters: left, Alone: true}, false, false},
		}},
	}
	for _, test := range tests {
		w := attest.New("w", election)
		for i, r := range test.requests {
			reply, ok := w.Step(r.at, &r.message)
			qt.Check(t, ok, qt.Equals, r.replies, qt.Commentf("%s, request %d", test.name, i))
			qt.Check(t, reply.Granted, qt.Equals, r.granted, qt.Commentf("%s, request %d", test.name, i))
		}
	}
}
