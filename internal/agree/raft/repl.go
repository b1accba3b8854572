package raft

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// Step takes one message from another node.
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
	case KindAppendReply:
		n.onAppendReply(m)
	}
}

func (n *Node) sendAppend(id ID) {
	p := n.progressOf(id)
	if p.waiting {
		return
	}
	p.sentAt = n.now
	p.waiting = true
	prev := p.next - 1
	term, ok := n.log.term(prev)
	if !ok {
		snap := n.log.base
		n.send(Message{Kind: KindSnapshot, To: id, Snapshot: &snap, Sent: n.now})
		return
	}
	n.send(Message{
		Kind: KindAppend, To: id, Index: prev, LogTerm: term,
		Entries: n.batchFrom(p.next), Commit: n.log.commit, Sent: n.now,
	})
}

func (n *Node) batchFrom(next uint64) []Entry {
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

// acceptLeader follows the sender of m when its term is current, and reports
// whether it is.
func (n *Node) acceptLeader(m Message) bool {
	if m.Term < n.state.Term {
		n.send(Message{Kind: KindAppendReply, To: m.From, Sent: m.Sent})
		return false
	}
	if m.Term > n.state.Term || n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.heardAt = n.now
	n.leaderCommit = max(n.leaderCommit, m.Commit)
	n.resetElection()
	return true
}

func (n *Node) onAppend(m Message) {
	if !n.acceptLeader(m) {
		return
	}
	if m.Index < n.log.base.Index {
		n.replyAppend(m, true, n.log.commit)
		return
	}
	term, ok := n.log.term(m.Index)
	if !ok || term != m.LogTerm {
		n.replyAppend(m, false, n.conflictHint(m.Index))
		return
	}
	n.appendNew(m.Entries)
	shared := m.Index + uint64(len(m.Entries))
	n.log.commit = max(n.log.commit, min(m.Commit, shared))
	n.replyAppend(m, true, shared)
}

// conflictHint returns the last index that the leader should try next: the
// end of a short log, or the entry before the conflicting term.
func (n *Node) conflictHint(index uint64) uint64 {
	if index > n.log.last() {
		return n.log.last()
	}
	bad, _ := n.log.term(index)
	for index > n.log.commit+1 {
		t, ok := n.log.term(index - 1)
		if !ok || t != bad {
			break
		}
		index--
	}
	return index - 1
}

func (n *Node) appendNew(entries []Entry) {
	for i, e := range entries {
		t, ok := n.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			n.log.cut(e.Index)
			n.out.Entries = slices.DeleteFunc(n.out.Entries, func(o Entry) bool { return o.Index >= e.Index })
		}
		for _, fresh := range entries[i:] {
			n.log.append(fresh)
		}
		n.out.Entries = append(n.out.Entries, entries[i:]...)
		return
	}
}

func (n *Node) replyAppend(m Message, granted bool, index uint64) {
	n.send(Message{Kind: KindAppendReply, To: m.From, Granted: granted, Index: index, Sent: m.Sent})
}

func (n *Node) onSnapshot(m Message) {
	if m.Snapshot == nil || !n.acceptLeader(m) {
		return
	}
	if m.Snapshot.Index <= n.log.commit {
		n.replyAppend(m, true, n.log.commit)
		return
	}
	n.log.restore(*m.Snapshot)
	n.out.Snapshot = m.Snapshot
	n.out.Entries = nil
	n.replyAppend(m, true, m.Snapshot.Index)
}

func (n *Node) onAppendReply(m Message) {
	if m.Term > n.state.Term {
		n.becomeFollower(m.Term, "")
		return
	}
	p := n.peers[m.From]
	if n.role != Leader || m.Term != n.state.Term || p == nil {
		return
	}
	p.ackedSend = max(p.ackedSend, m.Sent)
	p.waiting = false
	if !m.Granted {
		p.next = max(p.match+1, min(m.Index+1, p.next-1))
		n.sendAppend(m.From)
		return
	}
	p.match = max(p.match, m.Index)
	p.next = p.match + 1
	n.advanceCommit()
	if n.role == Leader && p.next <= n.log.last() {
		n.sendAppend(m.From)
	}
}

func (n *Node) advanceCommit() {
	voters := n.log.conf().Voters
	matches := make([]uint64, 0, len(voters))
	for _, id := range voters {
		if id == n.id {
			matches = append(matches, n.log.persists)
		} else {
			matches = append(matches, n.Match(id))
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-quorum(len(voters))]
	if t, ok := n.log.term(index); !ok || t != n.state.Term || index <= n.log.commit {
		return
	}
	n.log.commit = index
	n.stepDownIfRemoved()
}

func (n *Node) stepDownIfRemoved() {
	if !n.log.confPending() && !slices.Contains(n.log.conf().Voters, n.id) {
		n.becomeFollower(n.state.Term, "")
	}
}
