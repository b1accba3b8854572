package raft

import "monsooncleat.example/monsooncleat/internal/base/clock"

func (n *Node) setState(term uint64, vote ID) {
	if n.state.Term == term && n.state.Vote == vote {
		return
	}
	n.state = HardState{Term: term, Vote: vote}
	n.stateDirty = true
}

func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.state.Term {
		n.setState(term, "")
	}
	n.role = Follower
	n.leader = leader
	n.peers = nil
	n.votes = nil
	n.resetElection()
}

func (n *Node) resetElection() {
	extra := clock.Millis(n.rand.Int64N(int64(n.timing.Election)))
	n.electionAt = n.now + n.timing.Election + extra
}

// shortSpan is the wait before a vote check at the start, or after one that
// failed: a check disturbs no leader, so it need not wait out a whole span.
func (n *Node) shortSpan() clock.Millis {
	half := n.timing.Election / 2
	return half/2 + clock.Millis(n.rand.Int64N(int64(max(half, 1))))
}

// startPreVote asks whether an election could be won before the term is
// raised, so that a node back from isolation disturbs nobody.
func (n *Node) startPreVote() {
	n.role = PreCandidate
	n.leader = ""
	n.electionAt = n.now + n.shortSpan()
	n.votes = map[ID]bool{n.id: true}
	n.askVotes(KindPreVote, n.state.Term+1)
	n.countVotes()
}

func (n *Node) startVote() {
	n.role = Candidate
	n.setState(n.state.Term+1, n.id)
	n.resetElection()
	n.votes = map[ID]bool{n.id: true}
	n.askVotes(KindVote, n.state.Term)
	n.countVotes()
}

func (n *Node) askVotes(kind Kind, term uint64) {
	for _, id := range n.log.conf().Voters {
		if id != n.id {
			n.send(Message{Kind: kind, To: id, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm()})
		}
	}
}

func (n *Node) countVotes() {
	granted := 0
	voters := n.log.conf().Voters
	for _, id := range voters {
		if n.votes[id] {
			granted++
		}
	}
	if granted < quorum(len(voters)) {
		return
	}
	if n.role == PreCandidate {
		n.startVote()
		return
	}
	n.becomeLeader()
}

// giveUpLostVote ends a candidacy that cannot win any more because the votes are
// split, and tries again soon: nobody else can win the term either, or a leader
// will be heard.
func (n *Node) giveUpLostVote() {
	voters, refused := n.log.conf().Voters, 0
	for _, id := range voters {
		if granted, replied := n.votes[id]; replied && !granted {
			refused++
		}
	}
	if refused > len(voters)-quorum(len(voters)) {
		n.becomeFollower(n.state.Term, "")
		n.electionAt = n.now + n.shortSpan()
	}
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.id
	n.since = n.now
	n.peers = make(map[ID]*progress)
	n.appendOwn(EntryNoop, nil)
}

// onVoteRequest answers a candidate, or a node that considers to stand.
func (n *Node) onVoteRequest(m Message) {
	pre := m.Kind == KindPreVote
	if n.leaderAlive() {
		// A healthy leader is not deposed, and the term stays as it is.
		n.refuseVote(m)
		return
	}
	if !pre && m.Term > n.state.Term {
		n.becomeFollower(m.Term, "")
	}
	upToDate := m.LogTerm > n.log.lastTerm() ||
		m.LogTerm == n.log.lastTerm() && m.Index >= n.log.last()
	free := n.state.Vote == "" || n.state.Vote == m.From
	switch {
	case m.Term < n.state.Term, !upToDate, !pre && !free:
		n.refuseVote(m)
	case pre:
		n.send(Message{Kind: KindPreVoteReply, To: m.From, Term: m.Term, Granted: true})
	default:
		n.setState(m.Term, m.From)
		n.resetElection()
		n.send(Message{Kind: KindVoteReply, To: m.From, Granted: true})
	}
}

func (n *Node) leaderAlive() bool {
	if n.role == Leader {
		return n.Leads(n.now)
	}
	return n.leader != "" && n.now-n.heardAt < n.timing.Election
}

func (n *Node) refuseVote(m Message) {
	kind := KindVoteReply
	if m.Kind == KindPreVote {
		kind = KindPreVoteReply
	}
	n.send(Message{Kind: kind, To: m.From})
}

func (n *Node) onVoteReply(m Message) {
	wanted := m.Kind == KindPreVoteReply && n.role == PreCandidate && m.Term == n.state.Term+1 ||
		m.Kind == KindVoteReply && n.role == Candidate && m.Term == n.state.Term
	if m.Granted && wanted {
		n.votes[m.From] = true
		n.countVotes()
		return
	}
	if !m.Granted && n.role == Candidate && m.Kind == KindVoteReply && m.Term == n.state.Term {
		n.votes[m.From] = false
		n.giveUpLostVote()
		return
	}
	if !m.Granted && m.Term > n.state.Term {
		n.becomeFollower(m.Term, "")
	}
}
