// Package raft is the agreed log of the control hosts: a deterministic state
// machine after the Raft algorithm, with a vote check before a term is raised,
// leader leases, learners and membership changes of one host at a time.
//
// The machine does no I/O. The caller feeds it ticks, messages and the news
// that entries were synced, and performs each Output in order: persist first,
// then send, then apply.
package raft

import (
	"errors"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// Errors returned by Node.Propose and Node.ProposeConf.
var (
	// ErrNotLeader is returned by a node that does not lead, or whose lease
	// has run out because it has lost its quorum.
	ErrNotLeader = errors.New("not the leader")
	// ErrConfPending is returned while an earlier membership change is not
	// yet committed.
	ErrConfPending = errors.New("membership change pending")
	// ErrUnsafeConf is returned for a change of more than one voter.
	ErrUnsafeConf = errors.New("membership change touches more than one voter")
)

// ID names one disk of one control host. A host that lost its disk comes back
// under another ID, so that it cannot vote twice in a term.
type ID string

// EntryKind tells what an entry holds.
type EntryKind uint8

// Entry kinds.
const (
	// EntryNoop opens the term of a new leader.
	EntryNoop EntryKind = iota
	// EntryCommand holds a command of the replicated state machine.
	EntryCommand
	// EntryConf holds an encoded Conf.
	EntryConf
)

// Entry is one slot of the log.
type Entry struct {
	Index uint64    `msgpack:"index"`
	Term  uint64    `msgpack:"term"`
	Kind  EntryKind `msgpack:"kind"`
	Data  []byte    `msgpack:"data"`
}

// Conf is the membership of the log.
type Conf struct {
	Voters   []ID `msgpack:"voters"`
	Learners []ID `msgpack:"learners"`
}

func (c Conf) clone() Conf {
	return Conf{Voters: slices.Clone(c.Voters), Learners: slices.Clone(c.Learners)}
}

// Has reports whether id is a voter or a learner.
func (c Conf) Has(id ID) bool {
	return slices.Contains(c.Voters, id) || slices.Contains(c.Learners, id)
}

func (c Conf) members() []ID {
	return append(slices.Clone(c.Voters), c.Learners...)
}

// HardState is what a node must remember over a restart besides the log.
type HardState struct {
	Term uint64 `msgpack:"term"`
	Vote ID     `msgpack:"vote"`
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index uint64 `msgpack:"index"`
	Term  uint64 `msgpack:"term"`
	Conf  Conf   `msgpack:"conf"`
	Data  []byte `msgpack:"data"`
}

// Kind is the kind of a Message.
type Kind uint8

// Message kinds.
const (
	KindPreVote Kind = iota + 1
	KindPreVoteReply
	KindVote
	KindVoteReply
	KindAppend
	KindAppendReply
	KindSnapshot
)

// Message travels between nodes. Which fields are set depends on Kind.
type Message struct {
	Kind Kind   `msgpack:"kind"`
	From ID     `msgpack:"from"`
	To   ID     `msgpack:"to"`
	Term uint64 `msgpack:"term"`
	// Index and LogTerm name the entry before Entries, or the last entry of
	// a candidate, or the last entry that a follower now shares.
	Index   uint64  `msgpack:"index"`
	LogTerm uint64  `msgpack:"logTerm"`
	Entries []Entry `msgpack:"entries,omitempty"`
	Commit  uint64  `msgpack:"commit"`
	// Granted is the answer to a vote or an append.
	Granted bool `msgpack:"granted"`
	// Sent is the leader's time of sending, echoed in the reply.
	Sent     clock.Millis `msgpack:"sent"`
	Snapshot *Snapshot    `msgpack:"snapshot,omitempty"`
}

// Output is what the caller must do next, in the order of the fields.
type Output struct {
	// State is persisted when it is not nil.
	State *HardState
	// Snapshot replaces the log and the state machine when it is not nil.
	Snapshot *Snapshot
	// Entries are appended after cutting the log before the first of them.
	Entries []Entry
	// Messages are sent once all of the above is synced.
	Messages []Message
	// Committed entries are applied to the state machine.
	Committed []Entry
}

// Empty reports whether there is nothing to do.
func (o *Output) Empty() bool {
	return o.State == nil && o.Snapshot == nil && len(o.Entries) == 0 &&
		len(o.Messages) == 0 && len(o.Committed) == 0
}

// Role is what a node does in its term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}

// Timing sets the pace of a node.
type Timing struct {
	// Heartbeat is the span between a leader's messages to a follower.
	Heartbeat clock.Millis
	// Election is the least span without a leader before an election. Each
	// node adds a random part of up to the same span.
	Election clock.Millis
}

// DefaultTiming suits hosts a few milliseconds apart.
var DefaultTiming = Timing{Heartbeat: 200, Election: 1000}
