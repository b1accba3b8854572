package core

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/evict"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
)

// requestJoin asks all known control hosts to add this host to the log, while it
// is no member or has no contact with a leader.
func (c *Core) requestJoin() {
	if c.resigning || c.node.Role() == raft.Leader || c.node.Current(c.now) && c.node.Conf().Has(c.options.ID) || c.now < c.nextJoinAt {
		return
	}
	c.nextJoinAt = c.now + joinInterval
	for _, address := range c.knownAddresses {
		c.sendNow(address, &msgs.Envelope{JoinRequest: &msgs.JoinRequest{ID: c.options.ID, Former: c.formerIDs}})
	}
}

func (c *Core) onJoinRequest(m *msgs.JoinRequest) {
	c.addAddresses([]string{addressOf(m.ID)})
	members := append(c.node.Electors(), c.node.Conf().Learners...)
	c.sendNow(addressOf(m.ID), &msgs.Envelope{JoinReply: &msgs.JoinReply{Members: members, Leader: c.node.Leader()}})
	for _, id := range m.Former {
		if sameHost(id, m.ID) && id != m.ID {
			c.node.MarkLost(c.now, id)
		}
	}
	if !c.diskFailed && c.node.Leads(c.now) {
		c.addLearner(m.ID)
	}
}

func (c *Core) onJoinReply(m *msgs.JoinReply) {
	for _, id := range m.Members {
		c.addAddresses([]string{addressOf(id)})
		if sameHost(id, c.options.ID) && id != c.options.ID && !slices.Contains(c.formerIDs, id) {
			c.formerIDs = append(c.formerIDs, id)
			c.logLine("The log names this host with a disk that it no longer has.", "former", id, "id", c.options.ID)
		}
	}
}

// sameHost reports whether two IDs belong to one host, with different disks unless they
// are equal.
func sameHost(a, b raft.ID) bool { return addressOf(a) == addressOf(b) }

// addLearner adds a host as a learner. In the same change it removes members with
// the same address: they are that host with an earlier disk.
func (c *Core) addLearner(id raft.ID) {
	conf := c.node.Conf()
	if conf.Has(id) {
		return
	}
	former := func(o raft.ID) bool { return sameHost(o, id) }
	conf.Voters = slices.DeleteFunc(conf.Voters, former)
	conf.Learners = slices.DeleteFunc(conf.Learners, former)
	conf.Learners = append(conf.Learners, id)
	if c.proposeMembers(conf) {
		c.logLine("Host added as a learner.", "id", id)
	}
}

// updateMembership runs on the leader. It promotes a learner that has caught up,
// or else removes a voter that is gone, or else names other witnesses.
func (c *Core) updateMembership() {
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
		if c.proposeMembers(conf) {
			c.logLine("Learner has caught up and is now a voter.", "id", id)
		}
		return
	}
	if id, remove := evict.Select(c.describeVoters(), c.evictionLimits()); remove {
		if c.removeVoter(id) {
			c.logLine("Unresponsive voter removed.", "id", id, "silence", int64(c.contacts.Silence(c.now, id)))
		}
		return
	}
	c.updateWitnesses()
}

// describeVoters returns the voters as this host, the leader, sees them.
func (c *Core) describeVoters() []evict.Voter {
	ids := c.node.Conf().Voters
	voters := make([]evict.Voter, 0, len(ids))
	for _, id := range ids {
		v := evict.Voter{ID: id, Acknowledged: true}
		if id != c.options.ID {
			v.Silence = c.contacts.Silence(c.now, id)
			v.Unacknowledged = c.now - c.node.LastContact(id)
			acknowledgedAt := c.node.LastAcknowledged(id)
			v.Acknowledged = acknowledgedAt > 0 && c.now-acknowledgedAt < c.options.EvictAfter
		}
		voters = append(voters, v)
	}
	return voters
}

func (c *Core) evictionLimits() evict.Limits {
	return evict.Limits{
		Silence: c.options.EvictAfter, SurplusSilence: min(c.options.Timing.Election, c.options.EvictAfter),
		MinVoters: evict.MinVoters(c.options.MaxLosses), Tied: len(c.node.Witnesses()) > 0,
	}
}

// removeVoter proposes a membership without a voter and reports whether that was
// possible.
func (c *Core) removeVoter(id raft.ID) bool {
	conf := c.node.Conf()
	conf.Voters = slices.DeleteFunc(conf.Voters, func(o raft.ID) bool { return o == id })
	return c.proposeMembers(conf)
}

// Resign starts to give up the vote of this host, before it stops. If the host does
// not come back, the others need no time to detect that. If it does, it joins
// again.
func (c *Core) Resign(now clock.Millis) {
	c.now, c.resigning = now, true
	c.requestResignation()
}

// Resigned reports whether there is nothing left to wait for after Resign: the
// others have removed the vote, or too few voters would remain without it.
func (c *Core) Resigned() bool {
	return c.diskFailed || c.resigned || len(c.node.Conf().Voters) <= evict.MinVoters(c.options.MaxLosses) && c.hasVote(c.options.ID)
}

func (c *Core) hasVote(id raft.ID) bool { return slices.Contains(c.node.Conf().Voters, id) }

func (c *Core) requestResignation() {
	if !c.resigning || c.Resigned() {
		return
	}
	m := &msgs.ResignRequest{ID: c.options.ID}
	switch leader := c.node.Leader(); leader {
	case "":
		// A leader that removed itself steps down once that is committed.
		c.resigned = !c.hasVote(c.options.ID) && !c.node.ConfPending()
	case c.options.ID:
		c.onResignRequest(m)
	default:
		c.sendNow(addressOf(leader), &msgs.Envelope{ResignRequest: m})
	}
}

// onResignRequest removes a voter that is about to stop, if enough of the others
// respond. It replies once the removal is committed.
func (c *Core) onResignRequest(m *msgs.ResignRequest) {
	if c.diskFailed || !c.node.Leads(c.now) || c.node.ConfPending() {
		return
	}
	if !c.hasVote(m.ID) {
		c.sendNow(addressOf(m.ID), &msgs.Envelope{ResignReply: &msgs.ResignReply{ID: m.ID}})
		return
	}
	voters, responsive := c.describeVoters(), 0
	for _, v := range voters {
		if v.ID != m.ID && v.Acknowledged {
			responsive++
		}
	}
	if c.evictionLimits().Removable(len(voters), responsive) && c.removeVoter(m.ID) {
		c.logLine("Voter that stops was removed.", "id", m.ID)
	}
}

func (c *Core) onResignReply(m *msgs.ResignReply) {
	c.resigned = c.resigned || c.resigning && m.ID == c.options.ID
}
