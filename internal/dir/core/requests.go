package core

import (
	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
)

// request is a call that waits for a log entry to be committed: the entry that
// holds its routing table or evacuation order, or for a read an empty entry that
// confirms the leader's state.
type request struct {
	callID CallID
	// data is the encoded msgs.Publication or order, or nil for a read.
	data []byte
	// order is the evacuation order, or nil.
	order *evacuationOrder
	// list is set on a read of the evacuations.
	list bool
	// version is the version of the routing table, or 0 for an order or a read.
	version  uint64
	deadline clock.Millis
	sentAt   clock.Millis
	sentTo   raft.ID
}

// proposal is the origin of an entry that this host proposed as leader.
type proposal struct {
	term      uint64
	from      raft.ID
	requestID uint64
	read      bool
}

// Publish proposes a routing table. A table that is not newer than the one in
// force is acknowledged without effect.
func (c *Core) Publish(now clock.Millis, callID CallID, p *msgs.Publication) {
	c.advance(now)
	if p.Table.Version <= c.tables.Version() {
		c.answer(callID, Done, nil)
		return
	}
	data, err := msgpack.Marshal(p)
	if err != nil {
		c.logLine("Cannot encode a published routing table.", "err", err)
		c.answer(callID, Unavailable, nil)
		return
	}
	c.submit(&request{callID: callID, data: data, version: p.Table.Version})
}

// Read requests the newest routing table, as confirmed by a quorum.
func (c *Core) Read(now clock.Millis, callID CallID) {
	c.advance(now)
	c.submit(&request{callID: callID})
}

func (c *Core) submit(r *request) {
	c.lastRequestID++
	r.deadline = c.now + callTimeout
	c.requests[c.lastRequestID] = r
	c.sendRequest(c.lastRequestID, r)
}

func (c *Core) sendRequest(id uint64, r *request) {
	leader := c.node.Leader()
	if c.diskFailed || leader == "" {
		return
	}
	r.sentAt, r.sentTo = c.now, leader
	m := &msgs.ProposeRequest{From: c.options.ID, RequestID: id, Data: r.data}
	if leader == c.options.ID {
		c.onProposeRequest(m)
		return
	}
	c.sendNow(addressOf(leader), &msgs.Envelope{ProposeRequest: m})
}

// retryRequests resends requests after a leader change or when the reply is
// overdue. It ends those that timed out, and those whose routing table is
// already in force.
func (c *Core) retryRequests() {
	for id, r := range c.requests {
		switch {
		case c.now >= r.deadline:
			delete(c.requests, id)
			c.answer(r.callID, Unavailable, nil)
		case r.version > 0 && r.version <= c.tables.Version():
			delete(c.requests, id)
			c.answer(r.callID, Done, nil)
		case r.sentTo != c.node.Leader() || c.now-r.sentAt >= retryInterval:
			c.sendRequest(id, r)
		}
	}
}

// onProposeRequest proposes an entry if this host leads, unless a retry of the
// same request was already proposed in this term. A host that does not lead
// ignores the request: the sender resends it once it knows the leader.
func (c *Core) onProposeRequest(m *msgs.ProposeRequest) {
	if c.diskFailed || !c.node.Leads(c.now) {
		return
	}
	for _, p := range c.proposals {
		if p.from == m.From && p.requestID == m.RequestID && p.term == c.node.Term() {
			return
		}
	}
	index, term, err := c.node.Propose(c.now, m.Data)
	if err != nil {
		return
	}
	c.proposals[index] = proposal{term: term, from: m.From, requestID: m.RequestID, read: len(m.Data) == 0}
}

// completeProposal replies to the request whose entry was committed. Superseded is set if
// the entry held an evacuation order without effect. If the committed entry has another
// term, the proposal was overwritten and is dropped.
func (c *Core) completeProposal(index, term uint64, superseded bool) {
	p, ok := c.proposals[index]
	if !ok {
		return
	}
	delete(c.proposals, index)
	if p.term != term {
		return
	}
	r := &msgs.ProposeReply{RequestID: p.requestID, Committed: true, Superseded: superseded}
	if p.read {
		r.Data, r.Evacuations = c.tables.Encoded(), c.evacuations.Encode()
	}
	if p.from == c.options.ID {
		c.onProposeReply(r)
		return
	}
	c.sendNow(addressOf(p.from), &msgs.Envelope{ProposeReply: r})
}

func (c *Core) onProposeReply(m *msgs.ProposeReply) {
	r := c.requests[m.RequestID]
	if r == nil || !m.Committed {
		return
	}
	delete(c.requests, m.RequestID)
	if c.answerEvacuation(r, m) {
		return
	}
	if r.version > 0 {
		c.answer(r.callID, Done, nil)
		return
	}
	if len(m.Data) == 0 {
		c.answer(r.callID, Missing, nil)
		return
	}
	c.applyTable(m.Data)
	c.answer(r.callID, Done, c.tables.Source())
}
