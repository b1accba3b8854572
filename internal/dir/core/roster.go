package core

import (
	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// tell is an announcement that a quorum has to hold before it is acknowledged.
type tell struct {
	ticket Ticket
	record fleet.Record
	until  clock.Millis
	sentAt clock.Millis
	held   map[raft.ID]bool
}

// Announce takes a server's announcement. That a server leaves is acknowledged
// once a quorum knows it; the rest is repeated by the server anyway.
func (c *Core) Announce(now clock.Millis, t Ticket, r fleet.Record) {
	c.now = now
	outcome := c.fleet.Apply(now, now, r, true)
	if outcome == fleet.Changed {
		c.noteServer("Server announced.", &r)
	}
	switch {
	case r.State != fleet.Ready:
		c.tell(t, r)
	case c.Current():
		c.answer(t, Done, nil)
	default:
		// The server tries another host next, which may hear more of the others.
		c.answer(t, Unavailable, nil)
	}
}

func (c *Core) noteServer(text string, r *fleet.Record) {
	c.note(text, "id", r.ID, "started", int64(r.Started), "seq", r.Seq, "state", r.State.String(),
		"service", r.Service, "address", r.Address.String())
}

// Leave takes a server's word that it has left.
func (c *Core) Leave(now clock.Millis, t Ticket, id string) {
	c.now = now
	r, known := c.fleet.Leave(now, id)
	if !known {
		r = fleet.Record{ID: id, State: fleet.Left}
	}
	c.noteServer("Server left.", &r)
	c.tell(t, r)
}

func (c *Core) tell(t Ticket, r fleet.Record) {
	c.number++
	w := &tell{ticket: t, record: r, until: c.now + callSpan, held: map[raft.ID]bool{}}
	c.tells[c.number] = w
	c.sendTell(c.number, w)
	c.settleTell(c.number, w)
}

func (c *Core) sendTell(number uint64, w *tell) {
	w.sentAt = c.now
	for _, id := range c.node.Conf().Voters {
		if id != c.options.ID && !w.held[id] {
			m := &msgs.Tell{From: c.options.ID, Number: number, Record: w.record}
			c.prompt(addressOf(id), &msgs.Envelope{Tell: m})
		}
	}
}

// settleTell acknowledges an announcement that a quorum of the voters holds.
func (c *Core) settleTell(number uint64, w *tell) {
	voters, held := c.node.Conf().Voters, 0
	for _, id := range voters {
		if id == c.options.ID || w.held[id] {
			held++
		}
	}
	if len(voters) == 0 || held <= len(voters)/2 {
		return
	}
	delete(c.tells, number)
	c.answer(w.ticket, Done, nil)
}

func (c *Core) expireTells() {
	for number, w := range c.tells {
		if c.now >= w.until {
			delete(c.tells, number)
			c.answer(w.ticket, Unavailable, nil)
		} else if c.now-w.sentAt >= retrySpan {
			c.sendTell(number, w)
		}
	}
}

func (c *Core) onTell(m *msgs.Tell) {
	if m.Record.Started == 0 && m.Record.State == fleet.Left {
		c.fleet.Leave(c.now, m.Record.ID)
	} else {
		c.fleet.Apply(c.now, c.now, m.Record, false)
	}
	c.prompt(addressOf(m.From), &msgs.Envelope{TellReply: &msgs.TellReply{From: c.options.ID, Number: m.Number}})
}

func (c *Core) onTellReply(m *msgs.TellReply) {
	if w := c.tells[m.Number]; w != nil {
		w.held[m.From] = true
		c.settleTell(m.Number, w)
	}
}

// exchange asks the other control hosts for announcements, and marks servers
// that ceased to make any.
func (c *Core) exchange() {
	if c.now >= c.syncAt {
		c.syncAt = c.now + syncSpan
		conf := c.node.Conf()
		for _, id := range append(conf.Voters, conf.Learners...) {
			if id != c.options.ID {
				p := c.peerOf(id)
				m := &msgs.Sync{From: c.options.ID, Run: p.run, Since: p.position}
				c.prompt(addressOf(id), &msgs.Envelope{Sync: m})
			}
		}
	}
	c.keepServers()
	if c.now < c.expireAt || c.now < c.quietTo {
		return
	}
	c.expireAt = c.now + expireSpan
	for _, id := range c.fleet.Expire(c.now) {
		s := c.fleet.Find(id)
		c.note("Server is silent.", "id", id, "service", s.Service, "silentFor", int64(c.now-s.Heard()))
	}
}

// keepServers hands out the list of servers after a change, so that a host that
// starts again knows them before they announce themselves.
func (c *Core) keepServers() {
	if c.fleet.ChangedAt() == c.kept || c.now-c.keptAt < keepSpan {
		return
	}
	c.kept, c.keptAt = c.fleet.ChangedAt(), c.now
	var list []msgs.News
	c.fleet.Each(func(s *fleet.Server) { list = append(list, c.news(s)) })
	b, err := msgpack.Marshal(list)
	if err != nil {
		c.note("Servers cannot be encoded.", "err", err)
		return
	}
	c.out.Servers = b
}

// Recall takes the list of servers that was kept before a restart. They have to
// announce themselves soon, and whoever announces itself at the address of one
// takes its place.
func (c *Core) Recall(now clock.Millis, kept []byte) error {
	var list []msgs.News
	if err := msgpack.Unmarshal(kept, &list); err != nil {
		return err
	}
	for i := range list {
		c.fleet.Apply(now, now-c.options.Fleet.ReuseAfter, list[i].Record, false)
		c.fleet.SetEnded(now, list[i].Record.ID, list[i].Ended)
		c.fleet.SetSilent(now, list[i].Record.ID, list[i].Silent)
	}
	c.kept = c.fleet.ChangedAt()
	return nil
}

func (c *Core) peerOf(id raft.ID) *peer {
	p := c.peers[id]
	if p == nil {
		p = &peer{}
		c.peers[id] = p
	}
	return p
}

func (c *Core) onSync(m *msgs.Sync) {
	since := m.Since
	if m.Run != c.options.Run {
		since = 0
	}
	r := &msgs.SyncReply{From: c.options.ID, Run: c.options.Run, Position: c.fleet.Position(), Loads: c.tally.Own(c.now, "")}
	for _, s := range c.fleet.TouchedSince(since) {
		r.News = append(r.News, c.news(s))
	}
	c.prompt(addressOf(m.From), &msgs.Envelope{SyncReply: r})
}

func (c *Core) news(s *fleet.Server) msgs.News {
	return msgs.News{Record: s.Record, Age: c.now - s.Heard(), Silent: s.Silent(), Ended: s.Ended()}
}

func (c *Core) onSyncReply(m *msgs.SyncReply) {
	p := c.peerOf(m.From)
	p.run, p.position = m.Run, m.Position
	c.tally.Sum(c.now, string(m.From), m.Loads)
	for i := range m.News {
		n := &m.News[i]
		if n.Age < 0 || n.Silent {
			continue
		}
		c.fleet.Apply(c.now, c.now-n.Age, n.Record, false)
	}
}

// onFetch gives an entry host what it does not have yet.
func (c *Core) onFetch(from Token, m *msgs.Fetch) {
	r := &msgs.FetchReply{Number: m.Number, Current: c.Current(), Run: c.options.Run, Version: c.tables.Version()}
	c.fleet.Each(func(s *fleet.Server) {
		if s.Silent() && !s.Ended() {
			r.Silent = append(r.Silent, s.ID)
		}
	})
	if !m.Brief {
		c.fill(r, m)
	}
	c.reply(from, &msgs.Envelope{FetchReply: r})
}

// fill adds to a reply what the entry host does not have yet.
func (c *Core) fill(r *msgs.FetchReply, m *msgs.Fetch) {
	c.tally.Report(c.now, m.Name, m.Loads)
	since := m.Since
	if m.Run != c.options.Run {
		since = 0
	}
	r.Position, r.Loads = c.fleet.Position(), c.tally.Total(c.now, m.Name)
	r.Delta = c.tables.Since(m.Version)
	for _, s := range c.fleet.ChangedSince(since) {
		r.News = append(r.News, c.news(s))
	}
	conf := c.node.Conf()
	for _, id := range append(conf.Voters, conf.Learners...) {
		r.Controls = append(r.Controls, addressOf(id))
	}
}
