package raft

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/agree/quorum"
	"monsooncleat.example/monsooncleat/internal/base/clock"
)

func (n *Node) setState(term uint64, vote ID) {
	if n.state.Term == term && n.state.Vote == vote {
		return
	}
	n.state.Term, n.state.Vote = term, vote
	n.stateDirty = true
	if !n.voteUnsynced {
		n.voteUnsynced, n.voteChangedAt = true, n.now
	}
}

func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.state.Term {
		n.setState(term, "")
	}
	n.role = Follower
	n.leader = leader
	n.followers = nil
	n.votes = nil
	n.resetElectionDeadline()
}

// resetElectionDeadline restarts the randomized election timeout. The followers of a
// leader divide the random part among them, in the order of the voters after the leader,
// so that one of them times out early and alone.
func (n *Node) resetElectionDeadline() {
	from, span := clock.Millis(0), n.timing.Election
	voters := n.log.conf().Voters
	leader, self := slices.Index(voters, n.leader), slices.Index(voters, n.id)
	if followers := len(voters) - 1; leader >= 0 && self >= 0 && leader != self {
		rank := (self - leader - 1 + len(voters)) % len(voters)
		span = max(n.timing.Election/clock.Millis(followers), 1)
		from = clock.Millis(rank) * span
	}
	n.electionDeadline = n.now + n.timing.Election + from + clock.Millis(n.rand.Int64N(int64(span)))
}

// preVoteDelay returns a random delay, from a quarter to three quarters of the
// election timeout, before a pre-vote after startup or after a failed pre-vote or
// election. A pre-vote doesn't disturb a working leader, so the delay can be
// shorter than the election timeout.
func (n *Node) preVoteDelay() clock.Millis {
	half := n.timing.Election / 2
	return half/2 + clock.Millis(n.rand.Int64N(int64(max(half, 1))))
}

// startPreVote asks the voters whether they would vote for this node, without
// incrementing the term. A node that rejoins after a partition therefore doesn't
// force a new election.
func (n *Node) startPreVote() {
	n.role = PreCandidate
	n.leader = ""
	n.yielded = false
	n.electionDeadline = n.now + n.preVoteDelay()
	n.startRound(KindPreVote, n.state.Term+1)
}

func (n *Node) startElection() {
	n.role = Candidate
	n.setState(n.state.Term+1, n.id)
	n.resetElectionDeadline()
	n.startRound(KindVote, n.state.Term)
}

// startRound starts to collect the votes of the others, its own being granted.
func (n *Node) startRound(kind Kind, term uint64) {
	n.votes = map[ID]bool{n.id: true}
	n.roundStartedAt, n.witnessesAsked = n.now, false
	n.requestVotes(kind, term)
	n.countVotes()
}

func (n *Node) requestVotes(kind Kind, term uint64) {
	for _, id := range n.Electors() {
		if id != n.id {
			n.send(Message{Kind: kind, To: id, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm()})
		}
	}
}

// countVotes starts the election after a won pre-vote, and takes the leadership
// after a won election.
func (n *Node) countVotes() {
	if !quorum.Agree(n.electorates(), func(id ID) bool { return n.votes[id] }, n.keptDisk) {
		return
	}
	if n.role == PreCandidate {
		n.startElection()
		return
	}
	n.becomeLeader()
}

// abandonLostElection returns to follower once too many voters have rejected the
// candidate for it to win. It schedules a pre-vote after a short delay: after a
// split vote no candidate can win the term, and if another candidate has won, its
// append resets the deadline.
func (n *Node) abandonLostElection() {
	mayGrant := func(id ID) bool {
		granted, replied := n.votes[id]
		return granted || !replied
	}
	if !quorum.Agree(n.electorates(), mayGrant, n.keptDisk) {
		n.becomeFollower(n.state.Term, "")
		n.electionDeadline = n.now + n.preVoteDelay()
	}
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.id
	n.leaderSince = n.now
	n.followers = make(map[ID]*progress)
	n.appendAsLeader(EntryNoop, nil)
}

// onVoteRequest replies to a vote or pre-vote request.
func (n *Node) onVoteRequest(m Message) {
	preVote := m.Kind == KindPreVote
	if n.hasActiveLeader() {
		// The higher term is ignored, so that an active leader is not deposed.
		n.rejectVote(m)
		return
	}
	if !preVote && m.Term > n.state.Term {
		n.becomeFollower(m.Term, "")
	}
	upToDate := Position{m.Index, m.LogTerm}.AtLeast(Position{n.log.last(), n.log.lastTerm()})
	voteAvailable := n.state.Vote == "" || n.state.Vote == m.From
	switch {
	case m.Term < n.state.Term, !upToDate, !preVote && !voteAvailable:
		n.rejectVote(m)
	case preVote:
		n.yield()
		n.send(Message{Kind: KindPreVoteReply, To: m.From, Term: m.Term, Granted: true})
	default:
		n.setState(m.Term, m.From)
		n.resetElectionDeadline()
		n.send(Message{Kind: KindVoteReply, To: m.From, Granted: true})
	}
}

// yield leaves the election to a host that this node would vote for: while that host stores its
// vote, this node would otherwise become a candidate in the same term. It does so once before each
// pre-vote of its own, since the other host may lack the votes of a quorum.
func (n *Node) yield() {
	if n.yielded || n.role == Candidate {
		return
	}
	n.yielded = true
	n.awaitElection()
}

// hasActiveLeader reports the same as Current at n.now. While it is true, the node
// rejects vote requests, which the leader lease relies on.
func (n *Node) hasActiveLeader() bool {
	if n.role == Leader {
		return n.Leads(n.now)
	}
	return n.leader != "" && n.now-n.leaderContactAt < n.timing.Election
}

func (n *Node) rejectVote(m Message) {
	kind := KindVoteReply
	if m.Kind == KindPreVote {
		kind = KindPreVoteReply
	}
	n.send(Message{Kind: kind, To: m.From})
}

func (n *Node) onVoteReply(m Message) {
	expected := m.Kind == KindPreVoteReply && n.role == PreCandidate && m.Term == n.state.Term+1 ||
		m.Kind == KindVoteReply && n.role == Candidate && m.Term == n.state.Term
	if m.Granted && expected {
		n.votes[m.From] = true
		n.countVotes()
		return
	}
	if !m.Granted && n.role == Candidate && m.Kind == KindVoteReply && m.Term == n.state.Term {
		n.votes[m.From] = false
		n.abandonLostElection()
		return
	}
	if !m.Granted && m.Term > n.state.Term {
		n.becomeFollower(m.Term, "")
	}
}
