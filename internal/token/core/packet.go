package core

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/conf/tune"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
)

// HandlePacket decides on one packet from a client. UpToDate is true if the host was
// recently in contact with the control hosts, so that a route or server that it
// does not know does not exist.
func (c *Core) HandlePacket(now clock.Millis, p *Packet, upToDate bool) Action {
	if c.index == nil {
		return Action{Verdict: Drop, Reason: NoConfig}
	}
	key := flowKey{p.From, p.To}
	if p.Open {
		return c.handleOpening(now, key, p, upToDate)
	}
	return c.handleSubsequent(now, key, p)
}

func (c *Core) handleOpening(now clock.Millis, key flowKey, p *Packet, upToDate bool) Action {
	route := c.index.Find(p.To)
	if route == nil {
		if !upToDate || !p.mayBeRefused() {
			return Action{Verdict: Drop, Reason: NoRoute}
		}
		c.stats.ResetNoRoute++
		return Action{Verdict: Reset, Reason: NoRoute}
	}
	if p.isOutdated() {
		c.stats.DroppedCopies++
		reason := Outdated
		if p.AfterStall {
			reason = Stalled
		}
		return Action{Verdict: Drop, Reason: reason}
	}
	f := c.flows[key]
	if f != nil && f.isOpenedBy(p) {
		if f.closed {
			c.stats.DroppedCopies++
			return Action{Verdict: Drop, Reason: ClosedFlow}
		}
		return c.handleRetransmittedOpening(now, f, p)
	}
	// A copy may follow an opening that was forwarded by another host.
	if p.LinkFull && !p.mayHaveCopy() {
		return c.refuseLinkFull(p)
	}
	if f != nil {
		f.endRequest()
		f.markInactive()
	}
	c.endMovedRequests(now)
	kind := c.requestMix[key.route].kind()
	s, load, admitted := c.pickAdmitted(now, route, kind, p)
	if s == nil && c.allCold(route) {
		return c.refuseCold(p)
	}
	if s == nil {
		return c.refuseWithoutServer(route, p, upToDate)
	}
	if !admitted {
		return c.refuseOverloaded(p, s, load)
	}
	if c.isFull(key) {
		if other := c.pickWithoutRecord(now, key, route, kind); other != nil {
			s = other
		}
	}
	f = &flow{server: s, route: route, seq: p.Seq, openedAt: now, offeredAt: now, lastAt: now}
	c.track(key, f)
	f.beginRequest(now)
	if kind == choose.Long {
		f.markActive()
	}
	c.stats.Opened++
	c.admissionOf(s.record.Service).RecordAdmission(c.priorityOf(route))
	c.recordOpening(now, s)
	a := c.forward(s, NewFlow)
	a.Load = load
	return a
}

// refuseLinkFull decides on an opening whose data the link of this host has no room for.
func (c *Core) refuseLinkFull(p *Packet) Action {
	if !p.mayBeRefused() {
		c.stats.DroppedCopies++
		return Action{Verdict: Drop, Reason: LinkFull}
	}
	c.stats.ResetLinkFull++
	return Action{Verdict: Reset, Reason: LinkFull}
}

// refuseOverloaded decides on an opening for which no server has room. A copy is not reset,
// since an earlier transmission may have opened the flow through another host. Its client
// sends another copy or, in the end, a new opening.
func (c *Core) refuseOverloaded(p *Packet, s *server, load float64) Action {
	a := Action{Verdict: Reset, Reason: Overloaded, ServerID: s.id, Service: s.record.Service, Load: load}
	if !p.mayBeRefused() {
		c.stats.DroppedCopies++
		a.Verdict = Drop
		return a
	}
	c.stats.ResetOverloaded++
	return a
}

// refuseWithoutServer decides on an opening of a route without a server for new flows. The
// first transmission is refused at once, since a copy could not be served either.
func (c *Core) refuseWithoutServer(route *routes.Route, p *Packet, upToDate bool) Action {
	if c.hasEvacuatedServer(route) {
		c.stats.EvacuatedNoServer++
	}
	if upToDate && p.mayBeRefused() {
		c.stats.ResetNoServer++
		return Action{Verdict: Reset, Reason: NoServer}
	}
	c.stats.DroppedNoServer++
	return Action{Verdict: Drop, Reason: NoServer}
}

// handleRetransmittedOpening decides on the retransmission of an opening packet.
// The packet goes to the same server, which gives the same answer to each
// transmission. It goes to another server only if the first one has almost
// certainly not answered two of them, because after two answers the client may keep
// the token of either server, or if the route no longer allows the service of the first
// one. One answer that a link has lost is no sign: the server repeats it.
func (c *Core) handleRetransmittedOpening(now clock.Millis, f *flow, p *Packet) Action {
	f.lastAt, f.retransmitted = now, true
	f.moveTo(c.successor(f.server))
	s := f.server
	if f.established {
		return c.forward(s, NoReason)
	}
	if !f.route.Allows(s.record.Service) {
		return c.moveToAllowedService(now, f, p)
	}
	if now-f.offeredAt < choose.MinAnswerTime {
		return c.forward(s, NoReason)
	}
	if !p.late() && s.backend.RecordUnanswered(now, f.openedAt) {
		c.stats.Avoided++
	}
	// In an opening packet, Ack is the number of earlier transmissions.
	failed := p.Ack >= 2 && s.backend.Suspected()
	if failed && !c.options.Off.Has(tune.MoveOpenings) {
		if other := c.pickServer(now, f.route, c.requestMix[p.To].kind(), s); other != nil && other != s {
			return c.moveOpening(now, f, other)
		}
	}
	return c.forward(s, NoReason)
}

// moveToAllowedService decides on the retransmission of an opening packet whose route has
// got other services meanwhile. It isn't reset, since the transmission before may have
// opened the flow.
func (c *Core) moveToAllowedService(now clock.Millis, f *flow, p *Packet) Action {
	if other := c.pickServer(now, f.route, c.requestMix[p.To].kind(), nil); other != nil {
		return c.moveOpening(now, f, other)
	}
	return c.refuseWithoutServer(f.route, p, false)
}

// moveOpening sends the retransmission of an opening packet to another server.
func (c *Core) moveOpening(now clock.Millis, f *flow, to *server) Action {
	f.moveTo(to)
	f.offeredAt = now
	c.stats.Moved++
	c.recordOpening(now, to)
	return c.forward(to, MovedFlow)
}

func (c *Core) forward(s *server, reason Reason) Action {
	c.stats.Forwarded++
	return Action{
		Verdict: Forward, Reason: reason, Server: s.record.Address, Number: s.record.Number,
		Token: s.token, ServerID: s.id, Service: s.record.Service,
	}
}

// handleSubsequent decides on a packet that follows the opening packet.
func (c *Core) handleSubsequent(now clock.Millis, key flowKey, p *Packet) Action {
	f := c.flows[key]
	if f.isOpenedAfter(p) {
		return c.forwardByToken(now, p)
	}
	// A flow that was opened through another host, also one from the port of f, may be one
	// from after the route was added again.
	if removedAt, removed := c.removed[p.To]; removed && f.hasOpened(p) && f.openedAt < removedAt {
		c.stats.ResetRemoved++
		c.untrack(key)
		return Action{Verdict: Reset, Reason: RouteRemoved}
	}
	s, reason := c.serverOf(f, p)
	if s == nil {
		c.stats.DroppedUnknown++
		return Action{Verdict: Drop, Reason: UnknownToken}
	}
	claim := s.claim()
	if f.isAdvancedBy(p) && s == f.server {
		s.backend.RecordAnswer(now)
		if claim != NoClaim && reason == NoReason {
			reason = Contradicted
		}
	}
	if f == nil || f.established && !f.continuedBy(p) {
		f = c.adopt(now, key, s, p)
	}
	a := c.forward(s, reason)
	a.Token = c.settledToken(now, s, p)
	a.Claim = claim
	if claim != NoClaim && f.mayAsk(now, s, p) {
		c.askSuccessor(now, &a, f, s)
	}
	c.updateFlow(now, f, s, p, &a)
	return a
}

// askSuccessor has the server asked that is said to have replaced s, the server of f, at its
// address. It knows that s has ended, and resets the flow. If it isn't there, nothing gets the
// packet.
func (c *Core) askSuccessor(now clock.Millis, a *Action, f *flow, s *server) {
	next := c.occupant(s)
	if next == nil {
		return
	}
	f.askedAt = now
	a.AskedNumber = next.record.Number
	if a.Reason == NoReason {
		a.Reason = AskedSuccessor
	}
}

// forwardByToken forwards a packet without regard to the flows that this host knows.
func (c *Core) forwardByToken(now clock.Millis, p *Packet) Action {
	s, known := c.tokens.Find(p.Token)
	if !known {
		c.stats.DroppedUnknown++
		return Action{Verdict: Drop, Reason: UnknownToken}
	}
	s = c.successor(s)
	a := c.forward(s, NoReason)
	a.Token = c.settledToken(now, s, p)
	return a
}

// settledToken returns the token for a packet of an open flow that goes to s. It is that of
// the packet if it names a recent alias of s, such as the start before a restart: other hosts
// may not have heard of the restart, or of a record that looks like one. Nor does a host that
// doesn't know that a token is shared put it in the place of a later one.
func (c *Core) settledToken(now clock.Millis, s *server, p *Packet) tokens.Token {
	if p.Token == s.token {
		return s.token
	}
	named, known := c.tokens.Find(p.Token)
	switch {
	case !known || c.successor(named) != s:
		return s.token
	case named == s:
		return tokens.Later(s.id, s.started, p.Token, s.token)
	}
	for _, alias := range s.entry.Aliases(now) {
		if alias.Started == named.started && alias.Age < tokenSettling {
			return p.Token
		}
	}
	return s.token
}

// serverOf returns the server that a packet goes to, or nil if that is not known: the one
// that its token names, unless the flow is known to be with another one. F may be nil.
func (c *Core) serverOf(f *flow, p *Packet) (*server, Reason) {
	s, known := c.tokens.Find(p.Token)
	if known {
		s = c.successor(s)
	}
	if f == nil {
		return s, NoReason
	}
	f.moveTo(c.successor(f.server))
	if f.isAdvancedBy(p) && known && !f.confirmed {
		f.moveTo(s)
		f.confirmed = true
	}
	if f.established && f.continuedBy(p) && s != f.server && !c.options.Off.Has(tune.CorrectTokens) {
		// The token is unknown, or is that of another server, for example of one that
		// answered another transmission of the opening packet.
		c.stats.Corrected++
		return f.server, CorrectedToken
	}
	return s, NoReason
}

// adopt starts tracking a flow that was opened through another host.
func (c *Core) adopt(now clock.Millis, key flowKey, s *server, p *Packet) *flow {
	if old := c.flows[key]; old != nil {
		old.endRequest()
		old.markInactive()
	}
	c.movedAt = now
	f := &flow{
		server: s, route: c.index.Find(p.To), openedAt: now, lastAt: now, established: true,
		ack: p.Ack, dataEnd: p.Seq, adopted: true, openedElsewhere: true,
	}
	c.track(key, f)
	return f
}

// track adds a flow to the table if there is room. Its packets are routed either
// way.
func (c *Core) track(key flowKey, f *flow) {
	if c.isFull(key) {
		f.untracked = true
		return
	}
	c.flows[key] = f
}

// isFull reports whether the table has no room for a flow.
func (c *Core) isFull(key flowKey) bool {
	return len(c.flows) >= c.options.MaxFlows && c.flows[key] == nil
}

func (c *Core) untrack(key flowKey) {
	if f := c.flows[key]; f != nil {
		f.endRequest()
		f.markInactive()
		delete(c.flows, key)
	}
}

// updateFlow updates the state of a flow from one of its packets. A request is in
// flight from its data, or from the opening packet, until the client acknowledges
// the first bytes of the response.
func (c *Core) updateFlow(now clock.Millis, f *flow, s *server, p *Packet, a *Action) {
	f.lastAt = now
	if !f.established {
		a.Handshake = now - f.openedAt
		if !f.retransmitted && !p.late() {
			c.admissionOf(s.record.Service).RecordHandshake(a.Handshake)
			c.spansOf(s.record.Service).RecordHandshake(a.Handshake)
		}
		f.established, f.confirmed = true, true
		f.moveTo(s)
		f.ack, f.dataEnd = p.Ack, p.Seq
		s.backend.RecordAnswer(now)
		c.stats.Answered++
	}
	if p.Abort || p.Close {
		f.endRequest()
		f.markInactive()
		f.closed = true
		return
	}
	if seqAfter(p.Ack, f.ack) {
		f.ack = p.Ack
		if f.inFlight {
			a.Response = now - f.requestedAt
			if !f.retransmitted && !p.late() {
				c.admissionOf(s.record.Service).RecordResponse(a.Response, f.loadAtRequest)
				c.spansOf(s.record.Service).RecordResponse(a.Response)
			}
		}
		f.endRequest()
		s.backend.RecordAnswer(now)
	}
	if end := p.Seq + uint32(p.Length); p.Length > 0 && seqAfter(end, f.dataEnd) {
		f.dataEnd = end
		if f.requests > 0 {
			c.spansOf(s.record.Service).RecordInterval(now - f.requestedAt)
		}
		f.beginRequest(now)
		f.loadAtRequest = s.backend.Utilization()
		c.countRequest(f, p)
	} else if p.Length > 0 && f.inFlight {
		// The client retransmits a request that the server has not answered.
		f.retransmitted = true
		if !p.late() && s.backend.RecordUnanswered(now, f.requestedAt) {
			c.stats.Avoided++
		}
	}
}

// countRequest counts a request in the mix of its route. From the second request
// on, it marks the flow as an active long one if the route's flows are usually
// long.
func (c *Core) countRequest(f *flow, p *Packet) {
	m := c.requestMix[p.To]
	if m == nil {
		m = &requestMix{}
		c.requestMix[p.To] = m
	}
	f.requests++
	switch {
	case f.adopted:
		f.adopted = false
	case f.requests == 1:
		m.first++
		return
	default:
		m.further++
	}
	if m.kind() == choose.Long {
		f.markActive()
	}
}
