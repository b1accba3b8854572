package core

import (
	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// group shows the membership of the log to package share.
type group struct{ c *Core }

func (g group) Self() raft.ID      { return g.c.options.ID }
func (g group) Voters() []raft.ID  { return g.c.node.Conf().Voters }
func (g group) Members() []raft.ID { return g.c.node.Conf().Members() }

// Announce applies a server's announcement. The announcement that a server is
// draining or has left is acknowledged once a quorum has it. Any other is
// acknowledged at once if this host is in contact with a quorum, as servers
// repeat their announcements anyway. A drain that has no effect is not acknowledged, so
// that the server announces it again.
func (c *Core) Announce(now clock.Millis, callID CallID, r fleet.Record) {
	c.advance(now)
	r.Warmup = c.warmupOf(&r)
	outcome := c.list.Apply(now, now, r, true)
	if outcome == fleet.Changed {
		c.logServer("Server announced.", &r)
	}
	if r.State != fleet.Ready {
		if outcome == fleet.Stale && c.holdsReady(r.ID) {
			c.logServer("Drain without effect: another record of the server is believed.", &r)
			c.acknowledge(callID, false)
			return
		}
		c.departed(r.ID)
		c.replicate(callID, r)
		return
	}
	// Without contact with a quorum, the server tries another host, which may have it.
	c.acknowledge(callID, c.Current())
}

// holdsReady reports whether the record of a server says that it is ready. A call or a
// message that it drains or has left had no effect then, and must not be acknowledged.
func (c *Core) holdsReady(id string) bool {
	s := c.list.Fleet().Find(id)
	return s != nil && s.State == fleet.Ready
}

func (c *Core) acknowledge(callID CallID, done bool) {
	if done {
		c.answer(callID, Done, nil)
		return
	}
	c.answer(callID, Unavailable, nil)
}

// replicate acknowledges that a server drains or has left, once a quorum has saved it.
func (c *Core) replicate(callID CallID, r fleet.Record) {
	c.replicator.Start(c.now, r, func(replicated bool) {
		if replicated {
			c.answerWhenSaved(callID)
			return
		}
		c.acknowledge(callID, false)
	})
}

func (c *Core) logServer(text string, r *fleet.Record) {
	c.logLine(text, "id", r.ID, "started", int64(r.Started), "seq", r.Seq, "state", r.State.String(),
		"service", r.Service, "address", r.Address.String())
}

// logDecision logs why a server counts as ended or takes no new flows.
func (c *Core) logDecision(d fleet.Decision) {
	c.logLine("Server not used.", "rule", d.Rule.String(), "id", d.Server.ID, "started", int64(d.Server.Started), "seq", d.Server.Seq,
		"address", d.Server.Address.String(), "service", d.Server.Service, "age", int64(d.Age),
		"rival", d.Rival.ID, "rivalStarted", int64(d.Rival.Started), "rivalSeq", d.Rival.Seq,
		"rivalAddress", d.Rival.Address.String(), "rivalService", d.Rival.Service, "rivalAge", int64(d.RivalAge))
}

// Leave marks a server as left, on the server's own request. It is acknowledged
// once a quorum knows it.
func (c *Core) Leave(now clock.Millis, callID CallID, id string) {
	c.advance(now)
	r, known := c.list.Fleet().Leave(now, id)
	if !known {
		r = fleet.Record{ID: id, State: fleet.Left}
	}
	c.logServer("Server left.", &r)
	c.departed(id)
	c.replicate(callID, r)
}

func (c *Core) onReplicateRequest(m *msgs.ReplicateRequest) {
	c.list.HandleReplication(c.now, m.Record)
	if c.holdsReady(m.Record.ID) {
		return
	}
	c.departed(m.Record.ID)
	c.replyWhenSaved(addressOf(m.From), &msgs.Envelope{ReplicateReply: &msgs.ReplicateReply{From: c.options.ID, RequestID: m.RequestID}})
}

// maintainServers requests announcements from the other control hosts, saves the
// server list, and marks as silent the servers that no longer announce themselves.
func (c *Core) maintainServers() {
	if c.list.SyncDue(c.now) {
		c.contacts.Retain(c.node.Conf().Members())
		// Without a leader, the others must learn soon which witnesses have ended.
		witnesses := c.panel.Shared(c.now, c.node.Leader() == "", c.node.Conf().Witnesses)
		c.list.RequestSync(c.now, func(to raft.ID, m *msgs.Sync) {
			m.CountsWitnesses, m.Witnesses = true, witnesses
			m.ContactAges, m.Centre, m.SharingVersion = c.contacts.Ages(c.now), c.options.Centre, c.peers.Version(string(to))
		})
	}
	if saved := c.list.Save(c.now); saved != nil {
		c.saveServers(saved)
	}
	for _, s := range c.list.Expire(c.now) {
		c.logLine("Server is silent.", "id", s.ID, "service", s.Service, "silentFor", int64(c.now-s.LastAnnounced()))
	}
}

// LoadServers loads the server list that was saved before a restart.
func (c *Core) LoadServers(now clock.Millis, saved []byte) error { return c.list.Load(now, saved) }

func (c *Core) onSync(m *msgs.Sync) {
	c.contacts.Merge(c.now, m.ContactAges)
	if m.Centre != "" {
		c.centres[addressOf(m.From)] = m.Centre
	}
	c.panel.Told(m.From, m.CountsWitnesses)
	c.panel.Learned(c.now, m.Witnesses)
	r := c.list.ReplyToSync(c.now, m)
	r.Loads = c.loads.LocalSum(c.now)
	known := m.EntryHostsVersion
	if m.RunID != c.options.RunID {
		known = 0
	}
	r.EntryHosts, r.EntryHostsVersion = c.entryHosts.Own(known)
	r.Sharing, r.SharingVersion = c.peers.Own(c.now, m.SharingVersion)
	c.sendNow(addressOf(m.From), &msgs.Envelope{SyncReply: r})
}

func (c *Core) onSyncReply(m *msgs.SyncReply) {
	c.loads.SetControlSum(c.now, string(m.From), m.Loads)
	c.entryHosts.Learned(c.now, m.EntryHosts)
	c.peers.Learned(c.now, string(m.From), m.SharingVersion, m.Sharing)
	if err := c.list.HandleSyncReply(c.now, m); err != nil {
		c.logLine("Cannot decode the announcements from another control host. They are requested again.", "from", m.From, "err", err)
	}
}
