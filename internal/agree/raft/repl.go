package raft

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/agree/quorum"
	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// Step processes a message from another node.
func (n *Node) Step(now clock.Millis, m Message) {
	n.now = now
	if m.To != n.id {
		return
	}
	switch m.Kind {
	case KindPreVote, KindVote:
		n.onVoteRequest(m)
	case KindPreVoteReply, KindVoteReply:
		n.onVoteReply(m)
	case KindAppend:
		n.onAppend(m)
	case KindSnapshot:
		n.onSnapshot(m)
	case KindAppendReply, KindContact:
		n.onAppendReply(m)
	}
}

// sendAppend sends the next entries to member id, or the snapshot if those entries
// are compacted. It does nothing while a message to id is in flight. The entries need not be on the
// disk of this node: it counts its own copy only once it is.
func (n *Node) sendAppend(id ID) {
	p := n.progressOf(id)
	if p.inFlight {
		return
	}
	p.sentAt = n.now
	p.inFlight = true
	p.sentCommit = n.log.commit
	prev := p.next - 1
	term, ok := n.log.term(prev)
	if !ok {
		snap := n.log.snapshot
		n.sendUrgently(Message{Kind: KindSnapshot, To: id, Snapshot: &snap, Sent: n.now})
		return
	}
	n.sendUrgently(Message{
		Kind: KindAppend, To: id, Index: prev, LogTerm: term,
		Entries: n.nextBatch(p.next), Commit: n.log.commit, Sent: n.now,
	})
}

// nextBatch returns the entries from index next on, limited in count and size. It
// returns at least one entry if there is any.
func (n *Node) nextBatch(next uint64) []Entry {
	entries := n.log.slice(next, n.log.last())
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if i > 0 && (i == maxBatchEntries || size > maxBatchBytes) {
			return slices.Clone(entries[:i])
		}
	}
	return slices.Clone(entries)
}

// acceptLeader makes the node a follower of the sender of m and returns true. If
// the term of m is stale, it sends a rejection and returns false.
func (n *Node) acceptLeader(m Message) bool {
	if m.Term < n.state.Term {
		n.send(Message{Kind: KindAppendReply, To: m.From, Sent: m.Sent})
		return false
	}
	if m.Term > n.state.Term || n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.leaderContactAt = n.now
	n.yielded = false
	n.leaderCommit = max(n.leaderCommit, m.Commit)
	n.resetElectionDeadline()
	return true
}

func (n *Node) onAppend(m Message) {
	if !n.acceptLeader(m) {
		return
	}
	if m.Index < n.log.snapshot.Index {
		// The entry before m.Entries is compacted. It is therefore committed and
		// matches the leader's log.
		n.replyAppend(m, true, n.log.commit)
		return
	}
	term, ok := n.log.term(m.Index)
	if !ok || term != m.LogTerm {
		n.replyAppend(m, false, n.conflictHint(m.Index))
		return
	}
	n.appendMissing(m.Entries)
	matched := m.Index + uint64(len(m.Entries))
	n.log.commit = max(n.log.commit, min(m.Commit, matched))
	n.replyAppend(m, true, matched)
}

// conflictHint returns the last entry that could match the leader's log after a
// mismatch at index: the last entry of a log that ends before index, or else the
// entry before the first one of the conflicting term.
func (n *Node) conflictHint(index uint64) uint64 {
	if index > n.log.last() {
		return n.log.last()
	}
	conflictTerm, _ := n.log.term(index)
	for index > n.log.commit+1 {
		t, ok := n.log.term(index - 1)
		if !ok || t != conflictTerm {
			break
		}
		index--
	}
	return index - 1
}

// appendMissing appends the entries that the log lacks. It truncates the log at the
// first entry that conflicts with them.
func (n *Node) appendMissing(entries []Entry) {
	for i, e := range entries {
		t, ok := n.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			n.log.truncateFrom(e.Index)
			n.replaceFrom(e.Index)
			n.out.Entries = slices.DeleteFunc(n.out.Entries, func(o Entry) bool { return o.Index >= e.Index })
		}
		for _, added := range entries[i:] {
			n.log.append(added)
		}
		n.out.Entries = append(n.out.Entries, entries[i:]...)
		n.awaitSync()
		return
	}
}

// replyAppend acknowledges or rejects an append or a snapshot. If that has to wait for the disk, the
// leader learns at once that the message has arrived, so that it keeps its lease.
func (n *Node) replyAppend(m Message, granted bool, index uint64) {
	r := Message{Kind: KindAppendReply, To: m.From, Granted: granted, Index: index, Sent: m.Sent}
	if granted && index <= n.syncedIndex {
		n.sendUrgently(r)
		return
	}
	n.send(r)
	if n.mayPrecedeSync() {
		n.sendUrgently(Message{Kind: KindContact, To: m.From, Sent: m.Sent})
	}
}

func (n *Node) onSnapshot(m Message) {
	if m.Snapshot == nil || !n.acceptLeader(m) {
		return
	}
	if m.Snapshot.Index <= n.log.commit {
		n.replyAppend(m, true, n.log.commit)
		return
	}
	if term, ok := n.log.term(m.Snapshot.Index); ok && term == m.Snapshot.Term {
		// The log holds all that the snapshot replaces, so what follows it may match the
		// leader's log, and may have been acknowledged.
		n.log.commit = m.Snapshot.Index
		n.replyAppend(m, true, n.log.commit)
		return
	}
	n.log.restore(*m.Snapshot)
	n.replaceFrom(1)
	n.awaitSync()
	n.out.Snapshot = m.Snapshot
	n.out.Entries = nil
	n.replyAppend(m, true, m.Snapshot.Index)
}

// onAppendReply processes the reply to an append or a snapshot, or the contact that precedes it.
func (n *Node) onAppendReply(m Message) {
	if m.Term > n.state.Term {
		n.becomeFollower(m.Term, "")
		return
	}
	p := n.followers[m.From]
	if n.role != Leader || m.Term != n.state.Term || p == nil {
		return
	}
	p.ackedSentAt = max(p.ackedSentAt, m.Sent)
	if m.Kind == KindContact {
		return
	}
	p.inFlight = false
	if !m.Granted {
		next := max(p.match+1, min(m.Index+1, p.next-1))
		// Without progress, another append at once would be rejected like this one. The
		// next one goes with the heartbeat.
		if next != p.next {
			p.next = next
			n.sendAppend(m.From)
		}
		return
	}
	p.match = max(p.match, m.Index)
	p.next = p.match + 1
	n.advanceCommit()
	if n.isWitness(m.From) {
		return
	}
	if n.role == Leader && (p.next <= n.log.last() || p.sentCommit < n.urgentCommit) {
		n.sendAppend(m.From)
	}
}

// SpreadCommit tells the other members at once what is committed, if this node leads.
// Without it they learn that with the next entry or heartbeat.
func (n *Node) SpreadCommit() {
	if n.role != Leader {
		return
	}
	n.urgentCommit = n.log.commit
	for _, id := range n.receivers() {
		n.sendAppend(id)
	}
}

// advanceCommit commits the entries that are persisted on a quorum. As Raft
// requires, it only counts replicas for entries of the current term.
func (n *Node) advanceCommit() {
	match := func(id ID) uint64 {
		if id == n.id {
			return n.log.persisted
		}
		return n.Match(id)
	}
	index := quorum.Reached(n.electorates(), match, n.acknowledgedSinceLoss)
	if t, ok := n.log.term(index); !ok || t != n.state.Term || index <= n.log.commit {
		return
	}
	confWasPending := n.log.confPending()
	n.log.commit = index
	if confWasPending && !n.log.confPending() {
		// Until the others know this, they need a quorum of the voters before, too.
		for _, id := range n.receivers() {
			n.sendAppend(id)
		}
	}
	n.stepDownIfRemoved()
}

// stepDownIfRemoved makes the leader a follower once a membership without it is
// committed.
func (n *Node) stepDownIfRemoved() {
	if !n.log.confPending() && !slices.Contains(n.log.conf().Voters, n.id) {
		n.becomeFollower(n.state.Term, "")
	}
}
