package raft

import (
	"math/rand/v2"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

const (
	maxBatchEntries = 64
	maxBatchBytes   = 512 << 10
)

// Stored is what a node finds on its disk at start.
type Stored struct {
	State    HardState
	Snapshot Snapshot
	Entries  []Entry
}

// progress is what a leader knows of one follower.
type progress struct {
	match uint64
	next  uint64
	// ackedSend is the send time of the latest message that was answered.
	ackedSend clock.Millis
	sentAt    clock.Millis
	waiting   bool
}

// Node is one member of the log. It is not safe for concurrent use.
type Node struct {
	id     ID
	timing Timing
	rand   *rand.Rand
	log    entryLog

	state  HardState
	role   Role
	leader ID
	now    clock.Millis
	// electionAt is when a follower or candidate starts an election.
	electionAt clock.Millis
	// heardAt is the latest time a leader of this term was heard.
	heardAt clock.Millis
	votes   map[ID]bool
	peers   map[ID]*progress
	since   clock.Millis
	// leaderCommit is the highest commit index heard from a leader.
	leaderCommit uint64

	out        Output
	stateDirty bool
}

// New returns the node id with what it had stored. Random spans come from r.
func New(id ID, timing Timing, stored Stored, now clock.Millis, r *rand.Rand) *Node {
	n := &Node{id: id, timing: timing, rand: r, state: stored.State, now: now}
	n.log.restore(stored.Snapshot)
	for _, e := range stored.Entries {
		n.log.append(e)
	}
	n.log.persists = n.log.last()
	n.becomeFollower(n.state.Term, "")
	n.electionAt = now + n.shortSpan()
	return n
}

// ID returns the node's own ID.
func (n *Node) ID() ID { return n.id }

// Role returns what the node does in its term.
func (n *Node) Role() Role { return n.role }

// Term returns the present term.
func (n *Node) Term() uint64 { return n.state.Term }

// Leader returns the leader of the term, or "" when it is not known.
func (n *Node) Leader() ID { return n.leader }

// Commit returns the index of the last committed entry.
func (n *Node) Commit() uint64 { return n.log.commit }

// Last returns the index of the last entry.
func (n *Node) Last() uint64 { return n.log.last() }

// Base returns the index up to which a snapshot stands for the log.
func (n *Node) Base() uint64 { return n.log.base.Index }

// Conf returns the membership that counts now.
func (n *Node) Conf() Conf { return n.log.conf().clone() }

// Match returns the last entry that follower id is known to share.
func (n *Node) Match(id ID) uint64 {
	if p := n.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// Leads reports whether the node leads and holds a lease at now: a quorum
// answered messages that it sent less than an election span ago.
func (n *Node) Leads(now clock.Millis) bool {
	return n.role == Leader && now < n.leaseEnd()
}

// Current reports whether the node may hand out what it holds as recent: it
// leads with a lease, or heard from its leader within an election span.
func (n *Node) Current(now clock.Millis) bool {
	if n.role == Leader {
		return n.Leads(now)
	}
	return n.leader != "" && now-n.heardAt < n.timing.Election
}

func (n *Node) leaseEnd() clock.Millis {
	return n.quorumSend() + n.timing.Election
}

// quorumSend returns the latest time such that a quorum answered messages sent
// at that time or later.
func (n *Node) quorumSend() clock.Millis {
	voters := n.log.conf().Voters
	sends := make([]clock.Millis, 0, len(voters))
	for _, id := range voters {
		if id == n.id {
			sends = append(sends, n.now)
		} else if p := n.peers[id]; p != nil {
			sends = append(sends, p.ackedSend)
		}
	}
	if len(sends) == 0 {
		return 0
	}
	slices.Sort(sends)
	return sends[len(sends)-quorum(len(voters))]
}

func quorum(voters int) int { return voters/2 + 1 }

// Tick tells the time. Call it several times in a heartbeat span.
func (n *Node) Tick(now clock.Millis) {
	n.now = now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if now >= n.electionAt && slices.Contains(n.log.conf().Voters, n.id) {
		n.startPreVote()
	}
}

func (n *Node) tickLeader() {
	if n.now >= max(n.leaseEnd(), n.since+2*n.timing.Election) {
		n.becomeFollower(n.state.Term, "")
		return
	}
	for _, id := range n.log.conf().members() {
		if id != n.id && n.now-n.progressOf(id).sentAt >= n.timing.Heartbeat {
			n.progressOf(id).waiting = false
			n.sendAppend(id)
		}
	}
}

func (n *Node) progressOf(id ID) *progress {
	p := n.peers[id]
	if p == nil {
		p = &progress{next: n.log.last() + 1}
		n.peers[id] = p
	}
	return p
}

// Propose appends a command and returns its index and term. The command counts
// only once an entry with both comes back in Output.Committed.
func (n *Node) Propose(now clock.Millis, data []byte) (index, term uint64, err error) {
	n.now = now
	if !n.Leads(now) {
		return 0, 0, ErrNotLeader
	}
	return n.appendOwn(EntryCommand, data), n.state.Term, nil
}

// ProposeConf appends a membership change, which counts from now on.
func (n *Node) ProposeConf(now clock.Millis, c Conf) error {
	n.now = now
	if !n.Leads(now) {
		return ErrNotLeader
	}
	if t, _ := n.log.term(n.log.commit); n.log.confPending() || t != n.state.Term {
		return ErrConfPending
	}
	if votersChanged(n.log.conf().Voters, c.Voters) > 1 || len(c.Voters) == 0 {
		return ErrUnsafeConf
	}
	data, err := msgpack.Marshal(c)
	if err != nil {
		return err
	}
	n.appendOwn(EntryConf, data)
	return nil
}

func votersChanged(a, b []ID) int {
	changed := 0
	for _, id := range a {
		if !slices.Contains(b, id) {
			changed++
		}
	}
	for _, id := range b {
		if !slices.Contains(a, id) {
			changed++
		}
	}
	return changed
}

func (n *Node) appendOwn(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: n.log.last() + 1, Term: n.state.Term, Kind: kind, Data: data}
	n.log.append(e)
	n.out.Entries = append(n.out.Entries, e)
	for _, id := range n.log.conf().members() {
		if id != n.id {
			n.sendAppend(id)
		}
	}
	return e.Index
}

// Persisted tells that the entries up to index, the last of them of the given
// term, are synced to the node's own disk.
func (n *Node) Persisted(index, term uint64) {
	if t, ok := n.log.term(index); !ok || t != term {
		return
	}
	n.log.persists = max(n.log.persists, index)
	if n.role == Leader {
		n.advanceCommit()
	}
}

// Compact drops the log up to index, for which data now stands, and returns
// the snapshot to store. It returns nil when index is not committed.
func (n *Node) Compact(index uint64, data []byte) *Snapshot {
	term, ok := n.log.term(index)
	if !ok || index > n.log.handed || index <= n.log.base.Index {
		return nil
	}
	snap := Snapshot{Index: index, Term: term, Conf: n.log.confUpTo(index), Data: data}
	n.log.compact(snap)
	return &snap
}

// Take returns what has to be done and forgets it.
func (n *Node) Take() Output {
	if n.log.handed < n.log.commit {
		n.out.Committed = slices.Clone(n.log.slice(n.log.handed+1, n.log.commit))
		n.log.handed = n.log.commit
	}
	if n.stateDirty {
		state := n.state
		n.out.State = &state
		n.stateDirty = false
	}
	out := n.out
	n.out = Output{}
	return out
}

func (n *Node) send(m Message) {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.state.Term
	}
	n.out.Messages = append(n.out.Messages, m)
}

// Entries returns the entries after the latest snapshot.
func (n *Node) Entries() []Entry { return slices.Clone(n.log.entries) }

// LastReply returns the time at which the latest answered message to follower
// id was sent, or the time since which this node leads if that is later.
func (n *Node) LastReply(id ID) clock.Millis {
	if p := n.peers[id]; p != nil {
		return max(p.ackedSend, n.since)
	}
	return n.since
}

// Synced reports whether the node has committed all that it knows its leader to
// have committed.
func (n *Node) Synced() bool {
	if n.role == Leader {
		term, ok := n.log.term(n.log.commit)
		return ok && term == n.state.Term
	}
	return n.leader != "" && n.log.commit >= n.leaderCommit
}
