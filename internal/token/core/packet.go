package core

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// Packet decides on one packet of a caller. Settled says that the host is in
// touch with the control hosts, so that a route it does not know does not exist.
func (c *Core) Packet(now clock.Millis, p *Packet, settled bool) Action {
	if c.index == nil {
		return Action{Verdict: Drop, Reason: NoConfig}
	}
	key := flowKey{p.From, p.To}
	if p.Open {
		return c.opening(now, key, p, settled)
	}
	return c.following(now, key, p)
}

func (c *Core) opening(now clock.Millis, key flowKey, p *Packet, settled bool) Action {
	route := c.index.Find(p.To)
	if route == nil {
		if !settled {
			return Action{Verdict: Drop, Reason: NoRoute}
		}
		c.stats.ResetNoRoute++
		return Action{Verdict: Reset, Reason: NoRoute}
	}
	f := c.flows[key]
	if f != nil && f.seq == p.Seq && !f.ended {
		return c.copied(now, f, p)
	}
	if f != nil {
		f.finish()
		f.release()
	}
	kind := c.usages[key.route].kind()
	s := c.pick(now, route, kind, nil)
	if s == nil && settled {
		// No copy can be served either: the caller learns it at once.
		c.stats.ResetNoServer++
		return Action{Verdict: Reset, Reason: NoServer}
	}
	if s == nil {
		c.stats.DroppedNoServer++
		return Action{Verdict: Drop, Reason: NoServer}
	}
	load := s.load.Load(now, kind)
	f = &flow{server: s, route: route, seq: p.Seq, openedAt: now, lastAt: now}
	c.remember(key, f)
	f.begin(now)
	if kind == choose.Long {
		f.use()
	}
	c.stats.Opened++
	a := c.forward(s, NewFlow)
	a.Load = load
	return a
}

// copied decides on the copy of an opening packet. It goes to the same server,
// which answers both alike, unless that server surely has not answered: the
// answers of two servers would leave the caller with the token of either.
func (c *Core) copied(now clock.Millis, f *flow, p *Packet) Action {
	f.lastAt, f.resent = now, true
	s := f.server
	if f.open {
		return c.forward(s, NoReason)
	}
	if s.load.Unanswered(now, f.openedAt) {
		c.stats.Avoided++
	}
	lost := s.load.Avoided(now) || s.record.Silent() || s.over(now) || p.Ack >= 2 && s.load.Doubted()
	if lost {
		if other := c.pick(now, f.route, c.usages[p.To].kind(), s); other != nil && other != s {
			f.move(other)
			c.stats.Moved++
			return c.forward(other, MovedFlow)
		}
	}
	return c.forward(s, NoReason)
}

// pick chooses the server of a new flow, or nil when there is none. A server to
// leave out may be named.
func (c *Core) pick(now clock.Millis, route *routes.Route, kind choose.Kind, without *server) *server {
	list := c.services[route.Pick(c.rand.Uint64())]
	if len(list) == 0 {
		for _, t := range route.Targets {
			if t.Weight > 0 && len(c.services[t.Service]) > 0 {
				list = c.services[t.Service]
				break
			}
		}
	}
	if without != nil {
		kept := make([]*server, 0, len(list))
		for _, s := range list {
			if s != without {
				kept = append(kept, s)
			}
		}
		list = kept
	}
	at := c.policy.Pick(now, kind, list, func(s *server) *choose.Backend { return s.load })
	if at < 0 {
		return nil
	}
	return list[at]
}

func (c *Core) forward(s *server, reason Reason) Action {
	c.stats.Forwarded++
	return Action{
		Verdict: Forward, Reason: reason, Server: s.record.Address, Number: s.record.Number,
		Token: s.token, ServerID: s.id, Service: s.record.Service,
	}
}

// following decides on a packet after the opening one.
func (c *Core) following(now clock.Millis, key flowKey, p *Packet) Action {
	if _, gone := c.removed[p.To]; gone {
		c.stats.ResetRemoved++
		c.drop(key)
		return Action{Verdict: Reset, Reason: RouteRemoved}
	}
	s, known := c.book.Find(p.Token)
	f := c.flows[key]
	reason := NoReason
	if f != nil && f.open && near(p.Ack, f.ack) && (!known || s != f.server) {
		// The caller received a token of a server that does not hold the flow.
		s, known, reason = f.server, true, CorrectedToken
		c.stats.Corrected++
	}
	if !known {
		c.stats.DroppedUnknown++
		return Action{Verdict: Drop, Reason: UnknownToken}
	}
	if f != nil && f.open && s == f.server && after(p.Ack, f.ack) {
		s.load.Answered(now)
	}
	if s.over(now) {
		c.stats.ResetEnded++
		c.drop(key)
		return Action{Verdict: Reset, Reason: ServerEnded, ServerID: s.id, Service: s.record.Service}
	}
	if f == nil || f.open && !near(p.Ack, f.ack) {
		f = c.adopt(now, key, s, p)
	}
	a := c.forward(s, reason)
	c.note(now, f, s, p, &a)
	return a
}

// adopt begins to remember a flow that was opened through another host.
func (c *Core) adopt(now clock.Millis, key flowKey, s *server, p *Packet) *flow {
	if old := c.flows[key]; old != nil {
		old.finish()
		old.release()
	}
	f := &flow{
		server: s, route: c.index.Find(p.To), openedAt: now, lastAt: now, open: true,
		ack: p.Ack, data: p.Seq, requests: 1,
	}
	c.remember(key, f)
	return f
}

// remember keeps a flow if there is room. Its packets are routed either way.
func (c *Core) remember(key flowKey, f *flow) {
	if len(c.flows) < c.options.MaxFlows || c.flows[key] != nil {
		c.flows[key] = f
		return
	}
	f.untracked = true
}

func (c *Core) drop(key flowKey) {
	if f := c.flows[key]; f != nil {
		f.finish()
		f.release()
		delete(c.flows, key)
	}
}

// note reads from a packet how far the flow's requests are. A request is in
// progress from its data, or from the opening packet, until the caller
// acknowledges the first bytes of the response.
func (c *Core) note(now clock.Millis, f *flow, s *server, p *Packet, a *Action) {
	f.lastAt = now
	if !f.open {
		a.Handshake = now - f.openedAt
		f.open = true
		f.move(s)
		f.ack, f.data = p.Ack, p.Seq
		s.load.Answered(now)
		c.stats.Answered++
	}
	if p.Abort || p.Close {
		f.finish()
		f.release()
		f.ended = true
		return
	}
	if after(p.Ack, f.ack) {
		f.ack = p.Ack
		if f.busy {
			a.Response = now - f.busySince
		}
		f.finish()
		s.load.Answered(now)
	}
	if end := p.Seq + uint32(p.Length); p.Length > 0 && after(end, f.data) {
		f.data = end
		f.begin(now)
		c.count(f, p)
	} else if p.Length > 0 && f.busy {
		// The caller sends a request again that the server has not answered.
		f.resent = true
		if s.load.Unanswered(now, f.busySince) {
			c.stats.Avoided++
		}
	}
}

// count learns from a request whether the flows of its route are long ones.
func (c *Core) count(f *flow, p *Packet) {
	u := c.usages[p.To]
	if u == nil {
		u = &usage{}
		c.usages[p.To] = u
	}
	if f.requests++; f.requests == 1 {
		u.first++
		return
	}
	u.further++
	if u.kind() == choose.Long {
		f.use()
	}
}
