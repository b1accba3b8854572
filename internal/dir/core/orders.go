package core

import (
	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
)

// order is a call that waits for an entry of the log.
type order struct {
	ticket  Ticket
	data    []byte
	version uint64
	until   clock.Millis
	sentAt  clock.Millis
	sentTo  raft.ID
}

// proposal is an entry that this host proposed as leader.
type proposal struct {
	term   uint64
	from   raft.ID
	number uint64
	read   bool
}

// Publish asks for a routing table to be put in force. One that is not newer
// than the newest is acknowledged and changes nothing.
func (c *Core) Publish(now clock.Millis, t Ticket, p *msgs.Publication) {
	c.now = now
	if p.Table.Version <= c.tables.Version() {
		c.answer(t, Done, nil)
		return
	}
	data, err := msgpack.Marshal(p)
	if err != nil {
		c.note("Publication cannot be encoded.", "err", err)
		c.answer(t, Unavailable, nil)
		return
	}
	c.place(&order{ticket: t, data: data, version: p.Table.Version})
}

// Read asks for the newest routing table. A quorum confirms that it is.
func (c *Core) Read(now clock.Millis, t Ticket) {
	c.now = now
	c.place(&order{ticket: t})
}

func (c *Core) place(o *order) {
	c.number++
	o.until = c.now + callSpan
	c.orders[c.number] = o
	c.sendOrder(c.number, o)
}

func (c *Core) sendOrder(number uint64, o *order) {
	leader := c.node.Leader()
	if c.failed || leader == "" {
		return
	}
	o.sentAt, o.sentTo = c.now, leader
	m := &msgs.Order{From: c.options.ID, Number: number, Data: o.data}
	if leader == c.options.ID {
		c.onOrder(m)
		return
	}
	c.prompt(addressOf(leader), &msgs.Envelope{Order: m})
}

// retryOrders sends orders again after a change of the leader, or when a reply
// is overdue, and ends those whose time is up.
func (c *Core) retryOrders() {
	for number, o := range c.orders {
		switch {
		case c.now >= o.until:
			delete(c.orders, number)
			c.answer(o.ticket, Unavailable, nil)
		case o.version > 0 && o.version <= c.tables.Version():
			delete(c.orders, number)
			c.answer(o.ticket, Done, nil)
		case o.sentTo != c.node.Leader() || c.now-o.sentAt >= 2*retrySpan:
			c.sendOrder(number, o)
		}
	}
}

// onOrder proposes an order on the leader. Another host ignores it: the sender
// sends it again once it knows the leader.
func (c *Core) onOrder(m *msgs.Order) {
	if c.failed || !c.node.Leads(c.now) {
		return
	}
	for _, p := range c.proposals {
		if p.from == m.From && p.number == m.Number && p.term == c.node.Term() {
			return
		}
	}
	index, term, err := c.node.Propose(c.now, m.Data)
	if err != nil {
		return
	}
	c.proposals[index] = proposal{term: term, from: m.From, number: m.Number, read: len(m.Data) == 0}
}

// settleProposal replies to the order whose entry was committed.
func (c *Core) settleProposal(index, term uint64) {
	p, ok := c.proposals[index]
	if !ok {
		return
	}
	delete(c.proposals, index)
	if p.term != term {
		return
	}
	r := &msgs.OrderReply{Number: p.number, Done: true}
	if p.read {
		r.Data = c.tables.Encoded()
	}
	if p.from == c.options.ID {
		c.onOrderReply(r)
		return
	}
	c.prompt(addressOf(p.from), &msgs.Envelope{OrderReply: r})
}

func (c *Core) onOrderReply(m *msgs.OrderReply) {
	o := c.orders[m.Number]
	if o == nil || !m.Done {
		return
	}
	delete(c.orders, m.Number)
	if o.version > 0 {
		c.answer(o.ticket, Done, nil)
		return
	}
	if len(m.Data) == 0 {
		c.answer(o.ticket, Missing, nil)
		return
	}
	c.adopt(m.Data)
	c.answer(o.ticket, Done, c.tables.Source())
}
