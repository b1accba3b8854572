package core

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/bundle/state"
	"monsooncleat.example/monsooncleat/internal/ctrl/msgs"
	"monsooncleat.example/monsooncleat/internal/wire/codec"
)

// greet asks the other hosts how things stand while this one is no member.
func (c *Core) greet() {
	if c.now < c.helloAt {
		return
	}
	c.helloAt = c.now + helloSpan
	for _, m := range c.opts.Members {
		if m.Name != c.opts.Name {
			c.send(m.Name, codec.Hello, msgs.Hello{Name: c.opts.Name, ID: c.id})
		}
	}
	if !c.member {
		c.tryBootstrap()
	}
}

func (c *Core) onHello(_ Token, m *msgs.Hello) {
	c.send(m.Name, codec.HelloReply, msgs.HelloReply{Name: c.opts.Name, ID: c.id, Member: c.member, First: c.first})
	if c.member && c.node.Leads(c.now) && c.addressOf(m.Name) != "" {
		c.admit(m)
	}
}

// admit takes a host back that comes with another disk: its old identity loses
// the vote at once, and the new one learns until it has caught up.
func (c *Core) admit(m *msgs.Hello) {
	conf := c.node.Conf()
	if conf.Has(m.ID) {
		return
	}
	known := false
	old := func(id raft.ID) bool {
		same := nameOf(id) == m.Name
		known = known || same
		return same
	}
	conf.Voters = slices.DeleteFunc(conf.Voters, old)
	conf.Learners = slices.DeleteFunc(conf.Learners, old)
	if known {
		conf.Learners = append(conf.Learners, m.ID)
		_ = c.node.ProposeConf(c.now, conf)
	}
}

// promote gives a learner that has caught up its vote.
func (c *Core) promote() {
	conf := c.node.Conf()
	for _, id := range conf.Learners {
		if c.node.Match(id) < c.node.Commit() || c.node.Match(id) == 0 {
			continue
		}
		conf.Learners = slices.DeleteFunc(conf.Learners, func(o raft.ID) bool { return o == id })
		conf.Voters = append(conf.Voters, id)
		_ = c.node.ProposeConf(c.now, conf)
		return
	}
}

func (c *Core) onHelloReply(m *msgs.HelloReply) {
	if c.member {
		return
	}
	c.hellos[m.Name] = *m
	if m.Member {
		c.adopt(m.First)
		return
	}
	c.tryBootstrap()
}

// adopt joins a log whose first membership names this disk. A host whose disk
// is not named waits until the leader sends it a snapshot as a learner.
func (c *Core) adopt(first raft.Conf) {
	if slices.Contains(first.Voters, c.id) {
		c.begin(first)
		return
	}
	// An empty member has no vote and never stands for election, but takes
	// what a leader sends.
	c.member = true
	c.helloAt = c.now
}

// tryBootstrap founds the log once each initial host was heard and none holds
// one. Only the first by name does so; the others adopt its membership.
func (c *Core) tryBootstrap() {
	var conf raft.Conf
	var names []string
	for _, m := range c.opts.Members {
		if !m.Initial {
			continue
		}
		names = append(names, m.Name)
		if m.Name == c.opts.Name {
			conf.Voters = append(conf.Voters, c.id)
			continue
		}
		h, ok := c.hellos[m.Name]
		if !ok || h.Member {
			return
		}
		conf.Voters = append(conf.Voters, h.ID)
	}
	if len(names) == 0 || slices.Min(names) != c.opts.Name {
		return
	}
	slices.Sort(conf.Voters)
	c.begin(conf)
}

// begin installs the first snapshot, which holds only the membership.
func (c *Core) begin(first raft.Conf) {
	snap := raft.Snapshot{Index: 1, Term: 1, Conf: first}
	stored := raft.Stored{State: raft.HardState{Term: 1}, Snapshot: snap}
	c.node = raft.New(c.id, c.opts.Timing, stored, c.now, c.rand)
	c.member = true
	c.first = first
	c.out.State = &stored.State
	c.out.Install = &snap
}

func (c *Core) onMemberChange(from Token, m *msgs.MemberChange) {
	if err := c.opts.Keys.Verify(m.Operator, m.SignedBytes(), m.Signature); err != nil {
		r := state.Result{Code: state.Forbidden, Text: err.Error()}
		c.reply(from, codec.CommandReply, msgs.CommandReply{Result: r})
		return
	}
	conf := c.node.Conf()
	held := func(id raft.ID) bool { return nameOf(id) == m.Name }
	has := slices.ContainsFunc(conf.Voters, held) || slices.ContainsFunc(conf.Learners, held)
	if has != m.Remove {
		r := state.Result{Code: state.Done, Text: "membership is so already"}
		c.reply(from, codec.CommandReply, msgs.CommandReply{Result: r})
		return
	}
	if m.Remove {
		conf.Voters = slices.DeleteFunc(conf.Voters, held)
		conf.Learners = slices.DeleteFunc(conf.Learners, held)
	} else {
		// The host itself says under which identity it comes.
		conf.Learners = append(conf.Learners, raft.ID(m.Name+"/"))
	}
	if err := c.node.ProposeConf(c.now, conf); err != nil {
		c.refuse(from, err.Error())
		return
	}
	r := state.Result{Code: state.Done, Text: "membership change is in the log"}
	c.reply(from, codec.CommandReply, msgs.CommandReply{Result: r})
}
