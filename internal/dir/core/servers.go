package core

import (
	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// replication is an announcement that is acknowledged once a quorum has it.
type replication struct {
	callID   CallID
	record   fleet.Record
	deadline clock.Millis
	sentAt   clock.Millis
	acked    map[raft.ID]bool
}

// Announce applies a server's announcement. The announcement that a server is
// draining or has left is acknowledged once a quorum has it. Any other is
// acknowledged at once if this host is in contact with a quorum, as servers
// repeat their announcements anyway.
func (c *Core) Announce(now clock.Millis, callID CallID, r fleet.Record) {
	c.now = now
	outcome := c.fleet.Apply(now, now, r, true)
	if outcome == fleet.Changed {
		c.logServer("Server announced.", &r)
	}
	switch {
	case r.State != fleet.Ready:
		c.replicate(callID, r)
	case c.Current():
		c.answer(callID, Done, nil)
	default:
		// The server then tries another host, which may be in contact with a quorum.
		c.answer(callID, Unavailable, nil)
	}
}

func (c *Core) logServer(text string, r *fleet.Record) {
	c.logLine(text, "id", r.ID, "started", int64(r.Started), "seq", r.Seq, "state", r.State.String(),
		"service", r.Service, "address", r.Address.String())
}

// Leave marks a server as left, on the server's own request. It is acknowledged
// once a quorum knows it.
func (c *Core) Leave(now clock.Millis, callID CallID, id string) {
	c.now = now
	r, known := c.fleet.Leave(now, id)
	if !known {
		r = fleet.Record{ID: id, State: fleet.Left}
	}
	c.logServer("Server left.", &r)
	c.replicate(callID, r)
}

func (c *Core) replicate(callID CallID, record fleet.Record) {
	c.lastRequestID++
	r := &replication{callID: callID, record: record, deadline: c.now + callTimeout, acked: map[raft.ID]bool{}}
	c.replications[c.lastRequestID] = r
	c.sendReplication(c.lastRequestID, r)
	c.completeReplication(c.lastRequestID, r)
}

func (c *Core) sendReplication(id uint64, r *replication) {
	r.sentAt = c.now
	for _, voter := range c.node.Conf().Voters {
		if voter != c.options.ID && !r.acked[voter] {
			m := &msgs.ReplicateRequest{From: c.options.ID, RequestID: id, Record: r.record}
			c.sendNow(addressOf(voter), &msgs.Envelope{ReplicateRequest: m})
		}
	}
}

// completeReplication acknowledges an announcement that a quorum of the voters
// has.
func (c *Core) completeReplication(id uint64, r *replication) {
	voters, acks := c.node.Conf().Voters, 0
	for _, voter := range voters {
		if voter == c.options.ID || r.acked[voter] {
			acks++
		}
	}
	if len(voters) == 0 || acks <= len(voters)/2 {
		return
	}
	delete(c.replications, id)
	c.answer(r.callID, Done, nil)
}

func (c *Core) retryReplications() {
	for id, r := range c.replications {
		if c.now >= r.deadline {
			delete(c.replications, id)
			c.answer(r.callID, Unavailable, nil)
		} else if c.now-r.sentAt >= retryInterval {
			c.sendReplication(id, r)
		}
	}
}

func (c *Core) onReplicateRequest(m *msgs.ReplicateRequest) {
	// A Leave for a server that the sender does not know carries only the ID.
	if m.Record.Started == 0 && m.Record.State == fleet.Left {
		c.fleet.Leave(c.now, m.Record.ID)
	} else {
		c.fleet.Apply(c.now, c.now, m.Record, false)
	}
	c.sendNow(addressOf(m.From), &msgs.Envelope{ReplicateReply: &msgs.ReplicateReply{From: c.options.ID, RequestID: m.RequestID}})
}

func (c *Core) onReplicateReply(m *msgs.ReplicateReply) {
	if r := c.replications[m.RequestID]; r != nil {
		r.acked[m.From] = true
		c.completeReplication(m.RequestID, r)
	}
}

// maintainServers requests announcements from the other control hosts, saves the
// server list, and marks as silent the servers that no longer announce themselves.
func (c *Core) maintainServers() {
	if c.now >= c.nextSyncAt {
		c.nextSyncAt = c.now + syncInterval
		conf := c.node.Conf()
		members := append(conf.Voters, conf.Learners...)
		c.contacts.Retain(members)
		for _, id := range members {
			if id != c.options.ID {
				cursor := c.cursorOf(id)
				m := &msgs.Sync{
					From: c.options.ID, RunID: cursor.runID, Since: cursor.position, ContactAges: c.contacts.Ages(c.now),
				}
				c.sendNow(addressOf(id), &msgs.Envelope{Sync: m})
			}
		}
	}
	c.saveServers()
	if c.now < c.nextExpireAt || c.now < c.noExpireBefore {
		return
	}
	c.nextExpireAt = c.now + expireInterval
	for _, id := range c.fleet.Expire(c.now) {
		s := c.fleet.Find(id)
		c.logLine("Server is silent.", "id", id, "service", s.Service, "silentFor", int64(c.now-s.LastAnnounced()))
	}
}

// saveServers outputs the server list after a change. A restarted host loads it,
// so that it knows the servers before they announce themselves again.
func (c *Core) saveServers() {
	if c.fleet.LastChange() == c.savedPosition || c.now-c.serversSavedAt < saveInterval {
		return
	}
	c.savedPosition, c.serversSavedAt = c.fleet.LastChange(), c.now
	var list []msgs.ServerStatus
	c.fleet.Each(func(s *fleet.Server) { list = append(list, c.statusOf(s)) })
	b, err := msgpack.Marshal(list)
	if err != nil {
		c.logLine("Cannot encode the server list.", "err", err)
		return
	}
	c.out.Servers = b
}

// LoadServers loads the server list that was saved before a restart. It sets the
// time of each server's latest announcement to ReuseAfter before now, so that a
// server that no longer announces itself becomes silent and its address can be
// reused.
func (c *Core) LoadServers(now clock.Millis, saved []byte) error {
	var list []msgs.ServerStatus
	if err := msgpack.Unmarshal(saved, &list); err != nil {
		return err
	}
	for i := range list {
		c.fleet.Apply(now, now-c.options.Fleet.ReuseAfter, list[i].Record, false)
		c.fleet.SetEnded(now, list[i].Record.ID, list[i].Ended)
		c.fleet.SetSilent(now, list[i].Record.ID, list[i].Silent)
	}
	c.savedPosition = c.fleet.LastChange()
	return nil
}

func (c *Core) cursorOf(id raft.ID) *syncCursor {
	cursor := c.cursors[id]
	if cursor == nil {
		cursor = &syncCursor{}
		c.cursors[id] = cursor
	}
	return cursor
}

func (c *Core) onSync(m *msgs.Sync) {
	c.contacts.Merge(c.now, m.ContactAges)
	since := m.Since
	if m.RunID != c.options.RunID {
		since = 0
	}
	r := &msgs.SyncReply{From: c.options.ID, RunID: c.options.RunID, Position: c.fleet.Position(), Loads: c.loads.LocalSum(c.now, "")}
	// Control hosts also need the repeated announcements, which change nothing but
	// the age.
	for _, s := range c.fleet.TouchedSince(since) {
		r.Servers = append(r.Servers, c.statusOf(s))
	}
	c.sendNow(addressOf(m.From), &msgs.Envelope{SyncReply: r})
}

func (c *Core) statusOf(s *fleet.Server) msgs.ServerStatus {
	return msgs.ServerStatus{Record: s.Record, Age: c.now - s.LastAnnounced(), Silent: s.Silent(), Ended: s.Ended()}
}

func (c *Core) onSyncReply(m *msgs.SyncReply) {
	cursor := c.cursorOf(m.From)
	cursor.runID, cursor.position = m.RunID, m.Position
	c.loads.SetControlSum(c.now, string(m.From), m.Loads)
	for i := range m.Servers {
		s := &m.Servers[i]
		if s.Age < 0 || s.Silent {
			continue
		}
		c.fleet.Apply(c.now, c.now-s.Age, s.Record, false)
	}
}

// onFetch replies to an entry host with the state of this host and the silent
// servers and, unless the fetch is brief, with the changes since the last fetch.
func (c *Core) onFetch(from ReplyHandle, m *msgs.Fetch) {
	r := &msgs.FetchReply{RequestID: m.RequestID, Current: c.Current(), RunID: c.options.RunID, Version: c.tables.Version()}
	c.fleet.Each(func(s *fleet.Server) {
		if s.Silent() && !s.Ended() {
			r.SilentServers = append(r.SilentServers, s.ID)
		}
	})
	if !m.Brief {
		c.addChanges(r, m)
	}
	c.reply(from, &msgs.Envelope{FetchReply: r})
}

// addChanges records the loads that the entry host reports. It adds to r the
// total loads, the changed servers and routes, and the addresses of the control
// hosts.
func (c *Core) addChanges(r *msgs.FetchReply, m *msgs.Fetch) {
	c.loads.SetReport(c.now, m.Name, m.Loads)
	since := m.Since
	if m.RunID != c.options.RunID {
		since = 0
	}
	r.Position, r.Loads = c.fleet.Position(), c.loads.Total(c.now, m.Name)
	r.Delta = c.tables.DeltaSince(m.Version)
	for _, s := range c.fleet.ChangedSince(since) {
		r.Servers = append(r.Servers, c.statusOf(s))
	}
	conf := c.node.Conf()
	for _, id := range append(conf.Voters, conf.Learners...) {
		r.ControlHosts = append(r.ControlHosts, addressOf(id))
	}
}
