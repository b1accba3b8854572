package raft

import (
	"math"
	"slices"

	"monsooncleat.example/monsooncleat/internal/agree/quorum"
	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// witnessLossElections is the number of election timeouts after which half of the voters
// suffice although there were witnesses. It covers the restart of a host and an election.
const witnessLossElections = 3

// Witnesses returns the witnesses of the membership in effect and, until that is
// committed, those of the one before, as far as half of the voters can be a quorum.
func (n *Node) Witnesses() []ID {
	var out []ID
	for _, e := range n.electorates() {
		if !e.Even() {
			continue
		}
		for _, id := range e.Witnesses {
			if !slices.Contains(out, id) {
				out = append(out, id)
			}
		}
	}
	return out
}

func (n *Node) isWitness(id ID) bool {
	return slices.ContainsFunc(n.electorates(), func(e quorum.Electorate[ID]) bool { return slices.Contains(e.Witnesses, id) })
}

// askWitnessesForVotes requests the votes of the witnesses if half of the voters have
// granted theirs and the others have had time to reply.
func (n *Node) askWitnessesForVotes() {
	electing := n.role == PreCandidate || n.role == Candidate
	if !electing || n.witnessesAsked || n.now-n.roundStartedAt < n.timing.Heartbeat/2 {
		return
	}
	witnesses := n.Witnesses()
	granted := func(id ID) bool { return n.votes[id] || slices.Contains(witnesses, id) }
	if len(witnesses) == 0 || !quorum.Agree(n.electorates(), granted, n.keptDisk) {
		return
	}
	n.witnessesAsked = true
	m := Message{Kind: KindPreVote, Term: n.state.Term + 1, Index: n.log.last(), LogTerm: n.log.lastTerm()}
	if n.role == Candidate {
		m.Kind, m.Term = KindVote, n.state.Term
	}
	m.Supporters = slices.DeleteFunc(n.Electors(), func(id ID) bool { return !n.votes[id] })
	m.Alone = n.alone(m.Supporters)
	for _, id := range witnesses {
		m.To = id
		n.send(m)
	}
}

// sendToWitnesses sends what half of the voters have stored to the witnesses, if no
// majority has replied to this node, the leader, within replyTimeout.
func (n *Node) sendToWitnesses() {
	witnesses := n.Witnesses()
	if len(witnesses) == 0 || n.now-max(n.majorityAckedSentAt(), n.leaderSince) < n.replyTimeout() {
		return
	}
	m := Message{Kind: KindAppend, Sent: n.now, Supporters: n.supporters()}
	m.Alone = n.alone(m.Supporters)
	m.Index = n.storedByHalf(witnesses)
	if m.LogTerm, _ = n.log.term(m.Index); m.LogTerm != n.state.Term {
		// What an earlier leader has appended may yet be replaced.
		m.Index, m.LogTerm = 0, 0
	}
	for _, id := range witnesses {
		p := n.progressOf(id)
		if n.now-p.sentAt >= n.timing.Heartbeat || m.Index >= p.next {
			p.sentAt, p.next = n.now, m.Index+1
			m.To = id
			n.send(m)
		}
	}
}

// majorityAckedSentAt returns the latest time such that a majority of the voters
// acknowledged messages sent at that time or later.
func (n *Node) majorityAckedSentAt() clock.Millis {
	electorates := n.electorates()
	for i := range electorates {
		electorates[i].Witnesses = nil
	}
	return n.ackedSentAt(electorates)
}

// storedByHalf returns the last entry that enough voters have stored to commit it with
// the witnesses. What they acknowledge must outlive the loss of one more voter: they refuse
// candidates without it.
func (n *Node) storedByHalf(witnesses []ID) uint64 {
	match := func(id ID) uint64 {
		switch {
		case id == n.id:
			return n.log.persisted
		case slices.Contains(witnesses, id):
			return math.MaxUint64
		default:
			return n.Match(id)
		}
	}
	return quorum.Reached(n.electorates(), match, n.acknowledgedSinceLoss)
}

// alone reports whether the voters besides the supporters can't be half of any electorate
// with witnesses, because some have lost their disks.
func (n *Node) alone(supporters []ID) bool {
	return !slices.ContainsFunc(n.electorates(), func(e quorum.Electorate[ID]) bool {
		others := 0
		for _, id := range e.Voters {
			if n.keptDisk(id) && !slices.Contains(supporters, id) {
				others++
			}
		}
		return e.Even() && len(e.Witnesses) > 0 && others >= len(e.Voters)/2
	})
}

// replyTimeout is the time after which a voter that has not replied is not awaited.
func (n *Node) replyTimeout() clock.Millis { return 2 * n.timing.Heartbeat }

// supporters returns the voters that have acknowledged a message of this node, the
// leader, within replyTimeout.
func (n *Node) supporters() []ID {
	return slices.DeleteFunc(n.Electors(), func(id ID) bool {
		return id != n.id && n.now-n.LastAcknowledged(id) >= n.replyTimeout()
	})
}
