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
	out := []quorum.Electorate[ID]{{Voters: committed.Voters, Witnesses: committed.Witnesses, HalfSuffices: n.halfSuffices(committed)}}
	if pending != nil && (countVoterChanges(committed.Voters, pending.Voters) > 0 || !slices.Equal(committed.Witnesses, pending.Witnesses)) {
		out = append(out, quorum.Electorate[ID]{Voters: pending.Voters, Witnesses: pending.Witnesses})
	}
	return out
}

// halfSuffices reports whether half of the voters are a quorum because others have lost
// their disks. While the witnesses can decide, half of the voters need them: the other
// half may have decided with them before one of its disks was lost. Once they can't, the
// voters that may have taken part in that get time to reply first.
func (n *Node) halfSuffices(c Conf) bool {
	if !slices.ContainsFunc(c.Voters, func(id ID) bool { return n.lost[id] }) {
		return false
	}
	if len(c.Witnesses) == 0 {
		return true
	}
	able := 0
	for _, id := range c.Witnesses {
		if !n.lost[id] {
			able++
		}
	}
	return able <= len(c.Witnesses)/2 && n.now-max(n.lossLearnedAt, n.witnessLostAt) >= witnessLossElections*n.timing.Election
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

// MarkLost records that a voter has lost its disk for good, or that the process of a
// witness has ended, so that no message of it can follow. The caller must be certain of
// that: the host itself reports it, under its new ID.
func (n *Node) MarkLost(now clock.Millis, id ID) {
	if id == n.id || n.lost[id] {
		return
	}
	n.now = now
	if n.isWitness(id) {
		n.lost[id], n.witnessLostAt = true, now
		return
	}
	if !slices.Contains(n.Electors(), id) {
		return
	}
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
