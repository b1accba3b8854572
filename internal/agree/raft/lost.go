package raft

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/agree/quorum"
	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// electorates returns the sets of voters that must all have a quorum: those of the
// membership in effect and, until that is committed, those of the one before.
func (n *Node) electorates() []quorum.Electorate[ID] {
	committed, pending := n.log.electingConfs()
	out := []quorum.Electorate[ID]{{
		Voters: committed.Voters, HalfSuffices: slices.ContainsFunc(committed.Voters, func(id ID) bool { return n.lost[id] }),
	}}
	if pending != nil && countVoterChanges(committed.Voters, pending.Voters) > 0 {
		out = append(out, quorum.Electorate[ID]{Voters: pending.Voters})
	}
	return out
}

// Electors returns the voters of which a quorum must agree: those of the membership in
// effect and, until that is committed, those of the one before.
func (n *Node) Electors() []ID {
	var out []ID
	for _, e := range n.electorates() {
		for _, id := range e.Voters {
			if !slices.Contains(out, id) {
				out = append(out, id)
			}
		}
	}
	return out
}

// MarkLost records that a member has lost its disk for good, so that no message of it
// can follow. The caller must be certain of that: the host itself reports it, under its
// new ID.
func (n *Node) MarkLost(now clock.Millis, id ID) {
	if id == n.id || n.lost[id] || !slices.Contains(n.Electors(), id) {
		return
	}
	n.now = now
	n.lost[id] = true
	n.lossLearnedAt = now
	if n.role == PreCandidate || n.role == Candidate {
		// Votes that were requested before must not count towards a half.
		n.becomeFollower(n.state.Term, "")
		n.electionDeadline = now + n.preVoteDelay()
	}
}

// Lost returns the voters that are known to have lost their disks.
func (n *Node) Lost() []ID {
	return slices.DeleteFunc(n.Electors(), func(id ID) bool { return !n.lost[id] })
}

// keptDisk reports whether a voter is not known to have lost its disk.
func (n *Node) keptDisk(id ID) bool { return !n.lost[id] }

// acknowledgedSinceLoss reports whether a voter has acknowledged a message that this
// node, the leader, sent after it learned of the latest loss of a disk.
func (n *Node) acknowledgedSinceLoss(id ID) bool {
	return id == n.id || n.keptDisk(id) && n.LastAcknowledged(id) > n.lossLearnedAt
}
