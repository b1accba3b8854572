// Package raft implements the Raft consensus algorithm as a deterministic state
// machine, with pre-vote, leader leases, learners and single-server membership
// changes.
//
// It does no I/O. The caller passes in ticks, messages from other nodes and
// notifications that entries were synced, and carries out each Output in order:
// persist, then send, then apply. Only urgent messages need not wait for the disk.
package raft

import (
	"errors"
	"slices"
	"strings"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// Errors returned by Node.Propose and Node.ProposeConf.
var (
	// ErrNotLeader is returned by a node that is not the leader, or whose
	// leader lease has expired because no quorum replied in time.
	ErrNotLeader = errors.New("not the leader")
	// ErrConfPending is returned while an earlier membership change is
	// uncommitted, or before the leader has committed an entry of its own term.
	ErrConfPending = errors.New("membership change pending")
	// ErrUnsafeConf is returned for a change that adds or removes more than
	// one voter in total, or that leaves no voters.
	ErrUnsafeConf = errors.New("membership change touches more than one voter")
)

// ID identifies a node: one disk of one host. A host that lost its disk rejoins
// under a new ID. Under the old one it could vote twice in a term.
type ID string

// Split returns the two parts of an ID of the form host/run: the address or name of the host,
// and what tells its disk, or the run of a witness, from others there.
func (id ID) Split() (host, run string) {
	host, run, _ = strings.Cut(string(id), "/")
	return host, run
}

// Position identifies an entry of the log.
type Position struct{ Index, Term uint64 }

// AtLeast reports whether a log that ends at p is as up to date as one that ends at o.
func (p Position) AtLeast(o Position) bool {
	return p.Term > o.Term || p.Term == o.Term && p.Index >= o.Index
}

// EntryKind is the type of the payload of an Entry.
type EntryKind uint8

// Entry kinds.
const (
	// EntryNoop is empty. A new leader appends one, because entries of earlier
	// terms are only committed together with an entry of its own term.
	EntryNoop EntryKind = iota
	// EntryCommand holds a command for the replicated state machine.
	EntryCommand
	// EntryConf holds an encoded Conf.
	EntryConf
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64    `msgpack:"index"`
	Term  uint64    `msgpack:"term"`
	Kind  EntryKind `msgpack:"kind"`
	Data  []byte    `msgpack:"data"`
}

// Conf is the membership of a Raft group.
type Conf struct {
	Voters   []ID `msgpack:"voters"`
	Learners []ID `msgpack:"learners"`
	// Witnesses hold no log. A majority of them breaks ties between halves of an even
	// number of voters. Each ID names one run of a process, which keeps its votes in
	// memory. Nodes of earlier builds neither know nor keep them.
	Witnesses []ID `msgpack:"witnesses,omitempty"`
}

func (c Conf) clone() Conf {
	return Conf{Voters: slices.Clone(c.Voters), Learners: slices.Clone(c.Learners), Witnesses: slices.Clone(c.Witnesses)}
}

// Has reports whether id is a voter or a learner.
func (c Conf) Has(id ID) bool {
	return slices.Contains(c.Voters, id) || slices.Contains(c.Learners, id)
}

// Members returns the voters and the learners.
func (c Conf) Members() []ID {
	return append(slices.Clone(c.Voters), c.Learners...)
}

// HardState is the state besides the log that must survive a restart.
type HardState struct {
	Term uint64 `msgpack:"term"`
	Vote ID     `msgpack:"vote"`
	// Commit is the index of an entry that is known to be committed. It may lag
	// behind. A restarted node can apply the log up to it without a leader.
	Commit uint64 `msgpack:"commit"`
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index uint64 `msgpack:"index"`
	Term  uint64 `msgpack:"term"`
	Conf  Conf   `msgpack:"conf"`
	Data  []byte `msgpack:"data"`
}

// Kind is the type of a Message.
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
	// KindContact tells the leader that an append or a snapshot has arrived whose reply waits for
	// the disk. Nodes of earlier builds ignore it.
	KindContact
)

// Message is sent from one node to another. Kind decides which fields are set.
type Message struct {
	Kind Kind   `msgpack:"kind"`
	From ID     `msgpack:"from"`
	To   ID     `msgpack:"to"`
	Term uint64 `msgpack:"term"`
	// Index and LogTerm identify the entry before Entries in an append, and
	// the last entry of the candidate in a vote request. In an append reply,
	// Index is the last entry that matches the leader's log or, after a
	// rejection, the last one that could match: the leader continues after it.
	Index   uint64  `msgpack:"index"`
	LogTerm uint64  `msgpack:"logTerm"`
	Entries []Entry `msgpack:"entries,omitempty"`
	Commit  uint64  `msgpack:"commit"`
	// Granted reports in a reply whether the vote was granted or the append
	// accepted.
	Granted bool `msgpack:"granted"`
	// Sent is the leader's clock when it sent the message. The reply echoes it.
	Sent     clock.Millis `msgpack:"sent"`
	Snapshot *Snapshot    `msgpack:"snapshot,omitempty"`
	// Supporters are the voters that replied to the sender lately, itself included. They
	// are set in requests to witnesses only, whose Index and LogTerm, in an append, are
	// those of the last entry of the sender's term that half of the voters have stored, or
	// 0 if there is none.
	Supporters []ID `msgpack:"supporters,omitempty"`
	// Alone is set in requests to witnesses if the voters that do not support the sender
	// can't be half of them, because some have lost their disks.
	Alone bool `msgpack:"alone,omitempty"`
}

// ToWitness reports whether a message is for a witness.
func (m *Message) ToWitness() bool { return len(m.Supporters) > 0 }

// Output is the work that the caller must carry out, in the order of the fields.
type Output struct {
	// State must be persisted unless it is nil.
	State *HardState
	// Snapshot, unless it is nil, replaces the log and the state machine.
	Snapshot *Snapshot
	// Entries are appended after the stored log is truncated at the index of
	// the first of them.
	Entries []Entry
	// Messages must not be sent before all of the above is synced to disk.
	Messages []Message
	// Urgent are messages that may be sent at once: what they promise is on disk already.
	Urgent []Message
	// Committed holds the entries to apply to the state machine.
	Committed []Entry
}

// Empty reports whether o contains no work.
func (o *Output) Empty() bool {
	return o.State == nil && o.Snapshot == nil && len(o.Entries) == 0 &&
		len(o.Messages) == 0 && len(o.Urgent) == 0 && len(o.Committed) == 0
}

// Synced is what a write has put on the disk.
type Synced struct {
	// State is the hard state of the write, or nil.
	State *HardState
	// Last is the last entry written, or covered by an installed snapshot. It is zero if there is
	// none.
	Last Position
}

// Empty reports whether s names neither a state nor an entry.
func (s Synced) Empty() bool { return s == Synced{} }

// Role is the Raft role of a node in its current term.
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

// Timing holds the intervals of a node.
type Timing struct {
	// Heartbeat is the interval at which a leader sends to each follower.
	Heartbeat clock.Millis
	// Election is the minimum election timeout and the length of the leader
	// lease. Each node adds a random delay of up to the same length to its
	// election timeout.
	Election clock.Millis
}

// DefaultTiming suits hosts with round-trip times of a few milliseconds.
var DefaultTiming = Timing{Heartbeat: 200, Election: 1000}
