package core

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/seats"
)

const (
	// compactEntries and compactBytes are the size of the log from which a
	// snapshot replaces it.
	compactEntries = 64
	compactBytes   = 1 << 20
	// grownSpan is how long after a voter was added a silent one is taken to be
	// the one it replaces.
	grownSpan = 20 * clock.Second
)

// drain moves the output of the log into the Core's own.
func (c *Core) drain() {
	o := c.node.Take()
	if o.State != nil {
		c.out.State = o.State
	}
	if o.Snapshot != nil {
		c.out.Install = o.Snapshot
		c.out.Entries = nil
		c.install(o.Snapshot.Data)
	}
	c.out.Entries = append(c.out.Entries, o.Entries...)
	for i := range o.Messages {
		m := &o.Messages[i]
		c.out.Sends = append(c.out.Sends, Send{addressOf(m.To), msgs.Encode(&msgs.Envelope{Raft: m})})
	}
	for i := range o.Committed {
		c.apply(&o.Committed[i])
	}
	if len(o.Committed) > 0 {
		c.compact()
	}
}

func (c *Core) install(data []byte) {
	if len(data) == 0 {
		return
	}
	c.adopt(data)
}

// adopt puts an encoded publication in force when it is newer.
func (c *Core) adopt(data []byte) {
	newer, err := c.tables.Adopt(data)
	if err != nil {
		c.note("Publication in the log cannot be read.", "err", err)
	}
	if newer {
		c.note("Routing table in force.", "version", c.tables.Version(), "routes", c.tables.Routes())
	}
}

func (c *Core) apply(e *raft.Entry) {
	if e.Kind == raft.EntryCommand && len(e.Data) > 0 {
		c.adopt(e.Data)
	}
	if e.Kind == raft.EntryConf {
		c.note("Membership changed.", "voters", c.node.Conf().Voters, "learners", c.node.Conf().Learners)
	}
	c.settleProposal(e.Index, e.Term)
}

func (c *Core) compact() {
	size, entries := 0, c.node.Entries()
	for i := range entries {
		size += len(entries[i].Data)
	}
	if len(entries) < compactEntries && size < compactBytes {
		return
	}
	if snap := c.node.Compact(c.node.Commit(), c.tables.Encoded()); snap != nil {
		c.out.Snapshot = snap
		c.out.After = c.node.Entries()
	}
}

// greet asks to be taken into the log while this host is no member, or hears no
// leader.
func (c *Core) greet() {
	if c.node.Role() == raft.Leader || c.node.Current(c.now) && c.node.Conf().Has(c.options.ID) || c.now < c.helloAt {
		return
	}
	c.helloAt = c.now + helloSpan
	for _, address := range c.known {
		c.prompt(address, &msgs.Envelope{Hello: &msgs.Hello{ID: c.options.ID}})
	}
}

func (c *Core) onHello(m *msgs.Hello) {
	c.learnAddresses([]string{addressOf(m.ID)})
	conf := c.node.Conf()
	members := append(slices.Clone(conf.Voters), conf.Learners...)
	c.prompt(addressOf(m.ID), &msgs.Envelope{Welcome: &msgs.Welcome{Members: members, Leader: c.node.Leader()}})
	if !c.failed && c.node.Leads(c.now) {
		c.admit(m.ID)
	}
}

func (c *Core) onWelcome(m *msgs.Welcome) {
	for _, id := range m.Members {
		c.learnAddresses([]string{addressOf(id)})
	}
}

// admit takes a host in as a learner. One that comes with another disk than
// before loses its old vote at once.
func (c *Core) admit(id raft.ID) {
	conf := c.node.Conf()
	if conf.Has(id) {
		return
	}
	old := func(o raft.ID) bool { return addressOf(o) == addressOf(id) }
	conf.Voters = slices.DeleteFunc(conf.Voters, old)
	conf.Learners = slices.DeleteFunc(conf.Learners, old)
	conf.Learners = append(conf.Learners, id)
	if err := c.node.ProposeConf(c.now, conf); err == nil {
		c.note("Host admitted as a learner.", "id", id)
	}
}

// reshape gives learners that have caught up their vote and removes voters that
// are gone.
func (c *Core) reshape() {
	if !c.node.Leads(c.now) {
		return
	}
	conf := c.node.Conf()
	for _, id := range conf.Learners {
		if c.node.Match(id) == 0 || c.node.Match(id) < c.node.Commit() {
			continue
		}
		conf.Learners = slices.DeleteFunc(conf.Learners, func(o raft.ID) bool { return o == id })
		conf.Voters = append(conf.Voters, id)
		if c.node.ProposeConf(c.now, conf) == nil {
			c.grownAt = c.now
			c.note("Learner has caught up and votes.", "id", id)
		}
		return
	}
	voters := make([]seats.Voter, 0, len(conf.Voters))
	for _, id := range conf.Voters {
		v := seats.Voter{ID: id}
		if id != c.options.ID {
			v.Silence = c.now - c.node.LastReply(id)
		}
		voters = append(voters, v)
	}
	if id, gone := seats.Lost(voters, c.grownAt > 0 && c.now-c.grownAt < grownSpan); gone {
		conf.Voters = slices.DeleteFunc(conf.Voters, func(o raft.ID) bool { return o == id })
		if c.node.ProposeConf(c.now, conf) == nil {
			c.note("Silent voter removed.", "id", id)
		}
	}
}
