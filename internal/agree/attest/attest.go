// Package attest is a witness of a Raft group: a process without a disk that breaks ties
// between halves of an even number of voters. Witnesses are known from replicated storage
// and from Cheap Paxos, whose auxiliaries are asked only after a failure. That their votes
// count beside those of half of the voters is an instance of Flexible Paxos: any two quorums
// must intersect, see package quorum.
//
// A witness keeps its term, its vote and the last position that it has acknowledged, in
// memory. A process that was started again is another witness with another ID, so nothing
// that a witness has promised is ever forgotten by it.
//
// A witness decides for neither half while both ask: then the voters are cut off from each
// other, not lost, and what one half committed would be on its disks only. It therefore
// listens for a while before it decides, unless the other half can't ask any more.
//
// The package does no I/O.
package attest

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// observeElections is the number of election timeouts for which a witness listens before
// it decides. A half that is cut off asks at least that often.
const observeElections = 2

// request is the latest request of a voter.
type request struct {
	at         clock.Millis
	supporters []raft.ID
}

// Witness is the state machine of a witness. It is not safe for concurrent use.
type Witness struct {
	id       raft.ID
	election clock.Millis

	term uint64
	vote raft.ID
	// acknowledged is the last entry that the witness has acknowledged.
	acknowledged raft.Position
	// leader is that of term, and contactAt when the witness last accepted a message from
	// it.
	leader    raft.ID
	contactAt clock.Millis

	// requests are those of the voters within the observed time, and requestedSince is
	// since when there have been any.
	requests       map[raft.ID]request
	requestedSince clock.Millis
}

// New returns a witness for one run of a process. Election is the minimum election timeout
// of the voters.
func New(id raft.ID, election clock.Millis) *Witness {
	return &Witness{id: id, election: election, requests: map[raft.ID]request{}}
}

// ID returns the ID of the witness.
func (w *Witness) ID() raft.ID { return w.id }

// Term returns the highest term that the witness has seen.
func (w *Witness) Term() uint64 { return w.term }

// Step handles a request of a voter. It returns the reply and true, or false if there is
// none: the voter asks again.
func (w *Witness) Step(now clock.Millis, m *raft.Message) (raft.Message, bool) {
	if m.To != w.id || !slices.Contains(m.Supporters, m.From) {
		return raft.Message{}, false
	}
	decides := w.observe(now, m)
	switch m.Kind {
	case raft.KindPreVote, raft.KindVote:
		return w.onVoteRequest(now, m, decides)
	case raft.KindAppend:
		return w.onAppend(now, m, decides)
	default:
		return raft.Message{}, false
	}
}

// observe records a request, and reports whether the witness may decide for its sender:
// it has been asked for long enough, and only by voters that support the sender, or no
// other half can ask.
func (w *Witness) observe(now clock.Millis, m *raft.Message) bool {
	span := observeElections * w.election
	for id, r := range w.requests {
		if now-r.at >= span {
			delete(w.requests, id)
		}
	}
	if len(w.requests) == 0 {
		w.requestedSince = now
	}
	w.requests[m.From] = request{now, m.Supporters}
	if m.Alone {
		return true
	}
	if now-w.requestedSince < span {
		return false
	}
	for _, r := range w.requests {
		if slices.ContainsFunc(r.supporters, func(id raft.ID) bool { return !slices.Contains(m.Supporters, id) }) {
			return false
		}
	}
	return true
}

func (w *Witness) onVoteRequest(now clock.Millis, m *raft.Message, decides bool) (raft.Message, bool) {
	preVote := m.Kind == raft.KindPreVote
	kind := raft.KindVoteReply
	if preVote {
		kind = raft.KindPreVoteReply
	}
	if m.Term < w.term {
		return w.reply(m, kind), true
	}
	hasActiveLeader := w.leader != "" && now-w.contactAt < w.election
	if !decides || hasActiveLeader {
		return raft.Message{}, false
	}
	if !preVote {
		w.adoptTerm(m.Term)
	}
	voted := !preVote && w.vote != "" && w.vote != m.From
	upToDate := raft.Position{Index: m.Index, Term: m.LogTerm}.AtLeast(w.acknowledged)
	r := w.reply(m, kind)
	if !voted && upToDate {
		r.Granted, r.Term = true, m.Term
		if !preVote {
			w.vote = m.From
		}
	}
	return r, true
}

// onAppend acknowledges an entry of the leader's term, and the leader's messages.
func (w *Witness) onAppend(now clock.Millis, m *raft.Message, decides bool) (raft.Message, bool) {
	if m.Term < w.term {
		return w.reply(m, raft.KindAppendReply), true
	}
	if !decides {
		return raft.Message{}, false
	}
	w.adoptTerm(m.Term)
	w.leader, w.contactAt = m.From, now
	r := w.reply(m, raft.KindAppendReply)
	r.Granted = true
	if m.LogTerm == m.Term {
		r.Index = m.Index
		if at := (raft.Position{Index: m.Index, Term: m.LogTerm}); at.AtLeast(w.acknowledged) {
			w.acknowledged = at
		}
	}
	return r, true
}

func (w *Witness) adoptTerm(term uint64) {
	if term > w.term {
		w.term, w.vote, w.leader = term, "", ""
	}
}

// reply returns a reply that does not grant the request.
func (w *Witness) reply(m *raft.Message, kind raft.Kind) raft.Message {
	return raft.Message{Kind: kind, From: w.id, To: m.From, Term: w.term, Sent: m.Sent}
}
