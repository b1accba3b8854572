package raft

import (
	"math/rand/v2"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/agree/quorum"
	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// Limits of the entries in one append message. A single larger entry is sent alone.
const (
	maxBatchEntries = 64
	maxBatchBytes   = 512 << 10
)

// Stored is the persistent state that a node reads from its disk at startup.
type Stored struct {
	State    HardState
	Snapshot Snapshot
	Entries  []Entry
}

// progress is the replication state of one follower, kept by the leader.
type progress struct {
	// match is the last entry known to be on the follower's disk.
	match uint64
	// next is the first entry of the next append.
	next uint64
	// ackedSentAt is when the latest acknowledged message was sent.
	ackedSentAt clock.Millis
	sentAt      clock.Millis
	// sentCommit is the commit index at the latest message.
	sentCommit uint64
	// inFlight is set while an append or snapshot is unacknowledged. It is
	// cleared after a heartbeat interval, so that a lost message is resent.
	inFlight bool
}

// Node is one member of a Raft group. It is not safe for concurrent use.
type Node struct {
	id     ID
	timing Timing
	rand   *rand.Rand
	log    entryLog

	state  HardState
	role   Role
	leader ID
	now    clock.Millis
	// electionDeadline is when a node that is not the leader starts a pre-vote.
	electionDeadline clock.Millis
	// leaderContactAt is when the latest message from leader arrived. It is
	// meaningful only on a follower that knows its leader.
	leaderContactAt clock.Millis
	// votes holds the votes of the current election: true for granted.
	votes map[ID]bool
	// roundStartedAt is when the node requested these votes, and witnessesAsked is set
	// once it has requested those of the witnesses, too.
	roundStartedAt clock.Millis
	witnessesAsked bool
	// followers is nil unless the node is the leader. It includes the witnesses that were
	// asked.
	followers   map[ID]*progress
	leaderSince clock.Millis
	// lost holds the voters that lost their disks and the witnesses whose processes ended.
	// lossLearnedAt and witnessLostAt are when this node learned of the latest.
	lost                         map[ID]bool
	lossLearnedAt, witnessLostAt clock.Millis
	// leaderCommit is the highest commit index received from a leader.
	leaderCommit uint64
	// urgentCommit is the commit index at the latest SpreadCommit.
	urgentCommit uint64

	// syncedTerm is a term that is known to be on disk, and syncedIndex the last entry that is.
	// Unlike entryLog.persisted, it covers no snapshot whose installation is in progress.
	syncedTerm, syncedIndex uint64
	// replacedTerm is the term in which entries on the disk were last replaced. A sync that is
	// reported for an entry of an earlier term may have been before that.
	replacedTerm uint64
	// voteUnsynced is set while the present term and vote are not on disk. voteChangedAt is since
	// when, and voteSyncTime how long the latest write of them took, at most stallElections
	// election timeouts.
	voteUnsynced                bool
	voteChangedAt, voteSyncTime clock.Millis
	// yielded is set once the node has left an election to another one, until its next pre-vote or
	// the next leader.
	yielded bool
	// unsyncedSince is since when entries wait for the disk without progress, or 0.
	unsyncedSince clock.Millis

	out Output
	// stateDirty is set while state has changes that are not yet in out.
	stateDirty bool
}

// New returns the node with the given id and stored state, all of which is on disk or, if the state
// is that of a new group, is written before anything else. Random timeouts are drawn from r.
func New(id ID, timing Timing, stored Stored, now clock.Millis, r *rand.Rand) *Node {
	n := &Node{id: id, timing: timing, rand: r, state: stored.State, now: now, lost: map[ID]bool{}}
	n.log.restore(stored.Snapshot)
	for _, e := range stored.Entries {
		n.log.append(e)
	}
	n.log.persisted = n.log.last()
	n.syncedTerm, n.syncedIndex = stored.State.Term, n.log.last()
	n.log.commit = max(n.log.commit, min(stored.State.Commit, n.log.last()))
	n.becomeFollower(n.state.Term, "")
	n.electionDeadline = now + n.preVoteDelay()
	return n
}

// ID returns the ID of the node.
func (n *Node) ID() ID { return n.id }

// Role returns the role of the node in its current term.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.state.Term }

// Leader returns the leader of the current term, or "" if it is unknown.
func (n *Node) Leader() ID { return n.leader }

// Commit returns the index of the last committed entry.
func (n *Node) Commit() uint64 { return n.log.commit }

// Last returns the index of the last entry.
func (n *Node) Last() uint64 { return n.log.last() }

// SnapshotIndex returns the index of the last entry covered by the snapshot.
func (n *Node) SnapshotIndex() uint64 { return n.log.snapshot.Index }

// Conf returns the membership in effect. Its entry may still be uncommitted.
func (n *Node) Conf() Conf { return n.log.conf().clone() }

// ConfPending reports whether the membership in effect is not committed yet.
func (n *Node) ConfPending() bool { return n.log.confPending() }

// Match returns the index of the last entry known to be replicated to follower
// id, or 0 if the node is not the leader.
func (n *Node) Match(id ID) uint64 {
	if p := n.followers[id]; p != nil {
		return p.match
	}
	return 0
}

// Leads reports whether the node is the leader and holds the leader lease at now:
// a quorum acknowledged messages sent less than an election timeout ago.
func (n *Node) Leads(now clock.Millis) bool {
	return n.role == Leader && now < n.leaseEnd()
}

// Current reports whether the node is up to date: it is the leader with a valid
// lease, or it received a message from its leader within the election timeout. A
// follower may still lack recent commits, see CaughtUp.
func (n *Node) Current(now clock.Millis) bool {
	if n.role == Leader {
		return n.Leads(now)
	}
	return n.leader != "" && now-n.leaderContactAt < n.timing.Election
}

func (n *Node) leaseEnd() clock.Millis {
	return n.quorumAckedSentAt() + n.timing.Election
}

// quorumAckedSentAt returns the latest time such that a quorum acknowledged
// messages sent at that time or later.
func (n *Node) quorumAckedSentAt() clock.Millis { return n.ackedSentAt(n.electorates()) }

// ackedSentAt returns the latest time such that a quorum of each electorate acknowledged
// messages sent at that time or later.
func (n *Node) ackedSentAt(electorates []quorum.Electorate[ID]) clock.Millis {
	sentAt := func(id ID) clock.Millis {
		if id == n.id {
			return n.now
		}
		return n.LastAcknowledged(id)
	}
	return quorum.Reached(electorates, sentAt, n.acknowledgedSinceLoss)
}

// Tick advances the clock of the node to now. Call it several times per heartbeat
// interval.
func (n *Node) Tick(now clock.Millis) {
	n.now = now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	// An election needs another write, which would wait for the present one.
	if now >= n.electionDeadline && !n.voteUnsynced && slices.Contains(n.log.conf().Voters, n.id) {
		n.startPreVote()
	}
	n.askWitnessesForVotes()
}

func (n *Node) tickLeader() {
	// A new leader has no acknowledgements yet and gets two election timeouts to
	// reach a quorum.
	if n.now >= max(n.leaseEnd(), n.leaderSince+2*n.timing.Election) {
		n.becomeFollower(n.state.Term, "")
		// A pre-vote finds out soon whether the others have another leader.
		n.electionDeadline = n.now + n.preVoteDelay()
		return
	}
	for _, id := range n.receivers() {
		if n.now-n.progressOf(id).sentAt >= n.timing.Heartbeat {
			n.progressOf(id).inFlight = false
			n.sendAppend(id)
		}
	}
	n.sendToWitnesses()
}

// receivers returns the nodes that this node, the leader, replicates the log to: all
// other members, and voters whose removal is not committed yet.
func (n *Node) receivers() []ID {
	out := n.Electors()
	for _, id := range n.log.conf().Learners {
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return slices.DeleteFunc(out, func(id ID) bool { return id == n.id })
}

func (n *Node) progressOf(id ID) *progress {
	p := n.followers[id]
	if p == nil {
		p = &progress{next: n.log.last() + 1}
		n.followers[id] = p
	}
	return p
}

// Propose appends a command and returns its index and term. The command is
// committed once an entry with the same index and term is in Output.Committed.
func (n *Node) Propose(now clock.Millis, data []byte) (index, term uint64, err error) {
	n.now = now
	if !n.Leads(now) {
		return 0, 0, ErrNotLeader
	}
	return n.appendAsLeader(EntryCommand, data), n.state.Term, nil
}

// ProposeConf appends c as the new membership. It takes effect immediately, before
// it is committed.
func (n *Node) ProposeConf(now clock.Millis, c Conf) error {
	n.now = now
	if !n.Leads(now) {
		return ErrNotLeader
	}
	if t, _ := n.log.term(n.log.commit); n.log.confPending() || t != n.state.Term {
		return ErrConfPending
	}
	if countVoterChanges(n.log.conf().Voters, c.Voters) > 1 || len(c.Voters) == 0 {
		return ErrUnsafeConf
	}
	data, err := msgpack.Marshal(c)
	if err != nil {
		return err
	}
	n.appendAsLeader(EntryConf, data)
	return nil
}

// countVoterChanges returns how many IDs are in only one of a and b.
func countVoterChanges(a, b []ID) int {
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

// appendAsLeader appends a new entry of the current term and replicates it to all
// members. It returns the index of the entry.
func (n *Node) appendAsLeader(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: n.log.last() + 1, Term: n.state.Term, Kind: kind, Data: data}
	n.log.append(e)
	n.out.Entries = append(n.out.Entries, e)
	n.awaitSync()
	for _, id := range n.receivers() {
		n.sendAppend(id)
	}
	return e.Index
}

// Compact replaces the log up to index by a snapshot whose content is data, and
// returns the snapshot to store. It returns nil if the entry at index was not yet
// returned in Output.Committed or is already compacted.
func (n *Node) Compact(index uint64, data []byte) *Snapshot {
	term, ok := n.log.term(index)
	if !ok || index > n.log.delivered || index <= n.log.snapshot.Index {
		return nil
	}
	snap := Snapshot{Index: index, Term: term, Conf: n.log.confAtIndex(index), Data: data}
	n.log.compact(snap)
	return &snap
}

// Take returns the pending output and clears it.
func (n *Node) Take() Output {
	if n.log.delivered < n.log.commit {
		n.out.Committed = slices.Clone(n.log.slice(n.log.delivered+1, n.log.commit))
		n.log.delivered = n.log.commit
	}
	if n.stateDirty || len(n.out.Entries) > 0 || n.confCommitUnstored() && n.storableCommit() >= n.log.confIndex() {
		n.state.Commit = n.storableCommit()
		state := n.state
		n.out.State = &state
		n.stateDirty = false
	}
	out := n.out
	n.out = Output{}
	return out
}

// confCommitUnstored reports whether the membership in effect is committed but not yet
// stored as such. After a restart without a leader, only a committed one lets half of
// the voters suffice.
func (n *Node) confCommitUnstored() bool {
	return !n.log.confPending() && n.state.Commit < n.log.confIndex()
}

// storableCommit returns the commit index to store with the pending output. It covers
// only entries that are on disk before: if the write of the new ones is torn, the log
// on disk may hold others in their place.
func (n *Node) storableCommit() uint64 {
	switch {
	case n.out.Snapshot != nil:
		return 0
	case len(n.out.Entries) > 0:
		return min(n.log.commit, n.out.Entries[0].Index-1)
	default:
		return n.log.commit
	}
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

// LastContact returns when the latest message that follower id has acknowledged
// was sent, or when the node became leader if that is later. It is meaningful only
// on the leader.
func (n *Node) LastContact(id ID) clock.Millis {
	if p := n.followers[id]; p != nil {
		return max(p.ackedSentAt, n.leaderSince)
	}
	return n.leaderSince
}

// LastAcknowledged returns when the latest message that follower id has
// acknowledged was sent, or 0 if it has acknowledged none. It is meaningful only on
// the leader.
func (n *Node) LastAcknowledged(id ID) clock.Millis {
	if p := n.followers[id]; p != nil {
		return p.ackedSentAt
	}
	return 0
}

// CaughtUp reports, on a follower, whether it knows its leader and its commit
// index has reached the highest one received from a leader. On a leader, it
// reports whether an entry of its own term is committed.
func (n *Node) CaughtUp() bool {
	if n.role == Leader {
		term, ok := n.log.term(n.log.commit)
		return ok && term == n.state.Term
	}
	return n.leader != "" && n.log.commit >= n.leaderCommit
}
