package core

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/bundle/state"
	"monsooncleat.example/monsooncleat/internal/ctrl/msgs"
	"monsooncleat.example/monsooncleat/internal/wire/codec"
)

// sendJoinRequests sends a JoinRequest to all other control hosts every joinInterval.
// It is called while this host is not in the membership.
func (c *Core) sendJoinRequests() {
	if c.now < c.nextJoinAt {
		return
	}
	c.nextJoinAt = c.now + joinInterval
	for _, h := range c.opts.ControlHosts {
		if h.Name != c.opts.Name {
			c.send(h.Name, codec.JoinRequest, msgs.JoinRequest{Name: c.opts.Name, ID: c.id})
		}
	}
	if !c.joined {
		c.tryBootstrap()
	}
}

func (c *Core) onJoinRequest(_ ReplyHandle, m *msgs.JoinRequest) {
	c.send(m.Name, codec.JoinReply, msgs.JoinReply{Name: c.opts.Name, ID: c.id, Joined: c.joined, InitialConf: c.initialConf})
	if c.joined && c.node.Leads(c.now) && c.addressOf(m.Name) != "" {
		c.readmit(m)
	}
}

// readmit replaces the ID of a member that has returned with another disk. The old ID
// is removed from the membership and the new one added as a learner, which promote
// makes a voter once it has caught up.
func (c *Core) readmit(m *msgs.JoinRequest) {
	conf := c.node.Conf()
	if conf.Has(m.ID) {
		return
	}
	wasMember := false
	isSameHost := func(id raft.ID) bool {
		same := hostName(id) == m.Name
		wasMember = wasMember || same
		return same
	}
	conf.Voters = slices.DeleteFunc(conf.Voters, isSameHost)
	conf.Learners = slices.DeleteFunc(conf.Learners, isSameHost)
	if wasMember {
		conf.Learners = append(conf.Learners, m.ID)
		// On an error, the next JoinRequest of the host retries.
		_ = c.node.ProposeConf(c.now, conf)
	}
}

// promote makes the first learner that has caught up a voter.
func (c *Core) promote() {
	conf := c.node.Conf()
	for _, id := range conf.Learners {
		if c.node.Match(id) < c.node.Commit() || c.node.Match(id) == 0 {
			continue
		}
		conf.Learners = slices.DeleteFunc(conf.Learners, func(o raft.ID) bool { return o == id })
		conf.Voters = append(conf.Voters, id)
		// On an error, the next tick retries.
		_ = c.node.ProposeConf(c.now, conf)
		return
	}
}

func (c *Core) onJoinReply(m *msgs.JoinReply) {
	if c.joined {
		return
	}
	c.joinReplies[m.Name] = *m
	if m.Joined {
		c.joinLog(m.InitialConf)
		return
	}
	c.tryBootstrap()
}

// joinLog joins the log with the given initial membership. A host whose disk is not
// in it waits until the leader adds it as a learner and sends it a snapshot.
func (c *Core) joinLog(initial raft.Conf) {
	if slices.Contains(initial.Voters, c.id) {
		c.startLog(initial)
		return
	}
	// Without a membership the node never starts an election, but it accepts
	// messages from a leader.
	c.joined = true
	c.nextJoinAt = c.now
}

// tryBootstrap starts a new log once all initial hosts have replied and none of them
// has started or joined one. Only the initial host with the lowest name does so; the
// others join its log.
func (c *Core) tryBootstrap() {
	var conf raft.Conf
	var names []string
	for _, h := range c.opts.ControlHosts {
		if !h.Initial {
			continue
		}
		names = append(names, h.Name)
		if h.Name == c.opts.Name {
			conf.Voters = append(conf.Voters, c.id)
			continue
		}
		reply, ok := c.joinReplies[h.Name]
		if !ok || reply.Joined {
			return
		}
		conf.Voters = append(conf.Voters, reply.ID)
	}
	if len(names) == 0 || slices.Min(names) != c.opts.Name {
		return
	}
	slices.Sort(conf.Voters)
	c.startLog(conf)
}

// startLog installs the initial snapshot, which contains only the membership.
func (c *Core) startLog(initial raft.Conf) {
	snap := raft.Snapshot{Index: 1, Term: 1, Conf: initial}
	stored := raft.Stored{State: raft.HardState{Term: 1}, Snapshot: snap}
	c.node = raft.New(c.id, c.opts.Timing, stored, c.now, c.rand)
	c.joined = true
	c.initialConf = initial
	c.out.State = &stored.State
	c.out.Install = &snap
}

// onMemberChange verifies and proposes an operator's membership change. The reply is
// sent when the change is appended, not when it is committed.
func (c *Core) onMemberChange(from ReplyHandle, m *msgs.MemberChange) {
	if err := c.opts.Keys.Verify(m.Operator, m.SignedBytes(), m.Signature); err != nil {
		r := state.Result{Code: state.Forbidden, Text: err.Error()}
		c.reply(from, codec.CommandReply, msgs.CommandReply{Result: r})
		return
	}
	conf := c.node.Conf()
	isTarget := func(id raft.ID) bool { return hostName(id) == m.Name }
	isMember := slices.ContainsFunc(conf.Voters, isTarget) || slices.ContainsFunc(conf.Learners, isTarget)
	if isMember != m.Remove {
		r := state.Result{Code: state.Done, Text: "membership is so already"}
		c.reply(from, codec.CommandReply, msgs.CommandReply{Result: r})
		return
	}
	if m.Remove {
		conf.Voters = slices.DeleteFunc(conf.Voters, isTarget)
		conf.Learners = slices.DeleteFunc(conf.Learners, isTarget)
	} else {
		// The disk identity is unknown until the host sends a JoinRequest. Then
		// readmit replaces this placeholder.
		conf.Learners = append(conf.Learners, raft.ID(m.Name+"/"))
	}
	if err := c.node.ProposeConf(c.now, conf); err != nil {
		c.replyUnavailable(from, err.Error())
		return
	}
	r := state.Result{Code: state.Done, Text: "membership change is in the log"}
	c.reply(from, codec.CommandReply, msgs.CommandReply{Result: r})
}
