package core

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/evict"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
)

const (
	// The log is compacted into a snapshot when it reaches either of these sizes.
	compactAtEntries = 64
	compactAtBytes   = 1 << 20
	// replacementWindow is the time after the addition of a voter during which that
	// voter counts as the replacement of an unresponsive one.
	replacementWindow = 20 * clock.Second
)

// takeLogOutput moves the output of the Raft node into c.out and applies
// committed entries.
func (c *Core) takeLogOutput() {
	o := c.node.Take()
	if o.State != nil {
		c.out.State = o.State
	}
	if o.Snapshot != nil {
		c.out.Install = o.Snapshot
		c.out.Entries = nil
		c.applySnapshot(o.Snapshot.Data)
	}
	c.out.Entries = append(c.out.Entries, o.Entries...)
	for i := range o.Messages {
		m := &o.Messages[i]
		c.out.SendAfterSync = append(c.out.SendAfterSync, OutMessage{addressOf(m.To), msgs.Encode(&msgs.Envelope{Raft: m})})
	}
	for i := range o.Committed {
		c.applyEntry(&o.Committed[i])
	}
	if len(o.Committed) > 0 {
		c.compact()
	}
}

// applySnapshot puts the routing table of a snapshot in force, if it has one.
func (c *Core) applySnapshot(data []byte) {
	if len(data) == 0 {
		return
	}
	c.applyTable(data)
}

// applyTable decodes a publication and puts its routing table in force if it is
// newer than the present one.
func (c *Core) applyTable(data []byte) {
	newer, err := c.tables.Adopt(data)
	if err != nil {
		c.logLine("Cannot decode a routing table.", "err", err)
	}
	if newer {
		c.logLine("Routing table in force.", "version", c.tables.Version(), "routes", c.tables.Routes())
	}
}

func (c *Core) applyEntry(e *raft.Entry) {
	if e.Kind == raft.EntryCommand && len(e.Data) > 0 {
		c.applyTable(e.Data)
	}
	if e.Kind == raft.EntryConf {
		c.logLine("Membership changed.", "voters", c.node.Conf().Voters, "learners", c.node.Conf().Learners)
	}
	c.completeProposal(e.Index, e.Term)
}

func (c *Core) compact() {
	size, entries := 0, c.node.Entries()
	for i := range entries {
		size += len(entries[i].Data)
	}
	if len(entries) < compactAtEntries && size < compactAtBytes {
		return
	}
	if snap := c.node.Compact(c.node.Commit(), c.tables.Encoded()); snap != nil {
		c.out.Snapshot = snap
		c.out.Retained = c.node.Entries()
	}
}

// requestJoin asks all known control hosts to add this host to the log, while it
// is no member or has no contact with a leader.
func (c *Core) requestJoin() {
	if c.node.Role() == raft.Leader || c.node.Current(c.now) && c.node.Conf().Has(c.options.ID) || c.now < c.nextJoinAt {
		return
	}
	c.nextJoinAt = c.now + joinInterval
	for _, address := range c.knownAddresses {
		c.sendNow(address, &msgs.Envelope{JoinRequest: &msgs.JoinRequest{ID: c.options.ID}})
	}
}

func (c *Core) onJoinRequest(m *msgs.JoinRequest) {
	c.addAddresses([]string{addressOf(m.ID)})
	conf := c.node.Conf()
	members := append(slices.Clone(conf.Voters), conf.Learners...)
	c.sendNow(addressOf(m.ID), &msgs.Envelope{JoinReply: &msgs.JoinReply{Members: members, Leader: c.node.Leader()}})
	if !c.diskFailed && c.node.Leads(c.now) {
		c.addLearner(m.ID)
	}
}

func (c *Core) onJoinReply(m *msgs.JoinReply) {
	for _, id := range m.Members {
		c.addAddresses([]string{addressOf(id)})
	}
}

// addLearner adds a host as a learner. In the same change it removes members with
// the same address: they are that host with an earlier disk.
func (c *Core) addLearner(id raft.ID) {
	conf := c.node.Conf()
	if conf.Has(id) {
		return
	}
	sameHost := func(o raft.ID) bool { return addressOf(o) == addressOf(id) }
	conf.Voters = slices.DeleteFunc(conf.Voters, sameHost)
	conf.Learners = slices.DeleteFunc(conf.Learners, sameHost)
	conf.Learners = append(conf.Learners, id)
	if err := c.node.ProposeConf(c.now, conf); err == nil {
		c.logLine("Host added as a learner.", "id", id)
	}
}

// updateMembership runs on the leader. It promotes a learner that has caught up,
// or else removes a voter that is gone.
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
		if c.node.ProposeConf(c.now, conf) == nil {
			c.voterAddedAt = c.now
			c.logLine("Learner has caught up and is now a voter.", "id", id)
		}
		return
	}
	voters := make([]evict.Voter, 0, len(conf.Voters))
	for _, id := range conf.Voters {
		v := evict.Voter{ID: id}
		if id != c.options.ID {
			v.Silence = c.now - c.node.LastContact(id)
		}
		voters = append(voters, v)
	}
	if id, remove := evict.Select(voters, c.voterAddedAt > 0 && c.now-c.voterAddedAt < replacementWindow); remove {
		conf.Voters = slices.DeleteFunc(conf.Voters, func(o raft.ID) bool { return o == id })
		if c.node.ProposeConf(c.now, conf) == nil {
			c.logLine("Unresponsive voter removed.", "id", id)
		}
	}
}
