package raft

import (
	"cmp"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// electorate is a set of voters of which a quorum must agree.
//
// If the membership is committed and has an even number of voters, one of which has
// lost its disk, half of the voters is a quorum, too, provided that all of the half
// replied after this node had learned of the loss. Such a half intersects every
// majority. Two disjoint halves would each need a voter whose loss the other had
// learned of before, so one of these would have replied after its own loss.
type electorate struct {
	voters []ID
	// halfSuffices is set if half of the voters that kept their disks is a quorum.
	halfSuffices bool
}

// electorates returns the sets of voters that must all have a quorum: those of the
// membership in effect and, until that is committed, those of the one before.
func (n *Node) electorates() []electorate {
	committed, pending := n.log.electingConfs()
	out := []electorate{{committed.Voters, n.halfSuffices(committed.Voters)}}
	if pending != nil && countVoterChanges(committed.Voters, pending.Voters) > 0 {
		out = append(out, electorate{pending.Voters, false})
	}
	return out
}

func (n *Node) halfSuffices(voters []ID) bool {
	return len(voters)%2 == 0 && slices.ContainsFunc(voters, func(id ID) bool { return n.lost[id] })
}

// electors returns the members of all electorates.
func (n *Node) electors() []ID {
	var out []ID
	for _, e := range n.electorates() {
		for _, id := range e.voters {
			if !slices.Contains(out, id) {
				out = append(out, id)
			}
		}
	}
	return out
}

// reachedByQuorum returns the highest value that a quorum of each electorate has
// reached. The value of a voter counts towards a half only if fresh reports true.
func reachedByQuorum[V cmp.Ordered](electorates []electorate, value func(ID) V, fresh func(ID) bool) V {
	var lowest V
	for i, e := range electorates {
		reached := nthHighest(e.voters, quorum(len(e.voters)), value)
		if e.halfSuffices {
			eligible := slices.DeleteFunc(slices.Clone(e.voters), func(id ID) bool { return !fresh(id) })
			reached = max(reached, nthHighest(eligible, len(e.voters)/2, value))
		}
		if i == 0 || reached < lowest {
			lowest = reached
		}
	}
	return lowest
}

// nthHighest returns the n-th highest value, or the zero value if there are fewer.
func nthHighest[V cmp.Ordered](voters []ID, n int, value func(ID) V) V {
	var zero V
	if n == 0 || len(voters) < n {
		return zero
	}
	values := make([]V, 0, len(voters))
	for _, id := range voters {
		values = append(values, value(id))
	}
	slices.Sort(values)
	return values[len(values)-n]
}

func quorum(voters int) int { return voters/2 + 1 }

// MarkLost records that a member has lost its disk for good, so that no message of it
// can follow. The caller must be certain of that: the host itself reports it, under its
// new ID.
func (n *Node) MarkLost(now clock.Millis, id ID) {
	if id == n.id || n.lost[id] || !slices.Contains(n.electors(), id) {
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
	return slices.DeleteFunc(n.electors(), func(id ID) bool { return !n.lost[id] })
}

// keptDisk reports whether a voter is not known to have lost its disk.
func (n *Node) keptDisk(id ID) bool { return !n.lost[id] }

// acknowledgedSinceLoss reports whether a voter has acknowledged a message that this
// node, the leader, sent after it learned of the latest loss of a disk.
func (n *Node) acknowledgedSinceLoss(id ID) bool {
	return id == n.id || n.keptDisk(id) && n.LastAcknowledged(id) > n.lossLearnedAt
}
