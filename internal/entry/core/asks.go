package core

import (
	"net/netip"
	"slices"

	"monsooncleat.example/monsooncleat/internal/ask/ledger"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/serve/lease"
	"monsooncleat.example/monsooncleat/internal/wire/envel"
	"monsooncleat.example/monsooncleat/internal/wire/geneve"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

type entry = ledger.Entry

const (
	defaultDeadline = 5 * clock.Second
	maxDeadline     = 30 * clock.Second
	// queueWait is the longest that a request waits for a slot.
	queueWait = clock.Second
	// queueSpan is the wait that a request may expect when it is let into the
	// queue; one that would wait longer is refused at once.
	queueSpan = 200 * clock.Millis(1)
	// minQueue is how many requests of a service may wait when this host
	// holds few or no leases.
	minQueue = 4
	// retryBurst is the retries that may be saved up.
	retryBurst = 10
	maxTries   = 3
	// minAttempt is the shortest time that an idempotent attempt may take.
	minAttempt = 250 * clock.Millis(1)
	// inquireWait is how long an attempt may take before the server is asked
	// about it, and how long the server may take to tell a new home.
	inquireWait = 500 * clock.Millis(1)
	// sinceMargin allows for the time that a packet travels.
	sinceMargin = 100 * clock.Millis(1)
)

// dueKind tells what falls due for a request.
type dueKind uint8

const (
	dueDeadline dueKind = iota
	dueQueue
	dueAttempt
	dueInquire
)

type due struct {
	kind    dueKind
	key     ledger.Key
	attempt uint64
}

// request handles a caller's request.
func (c *Core) request(s *service, p *inner.Packet, in *arrival) {
	req, err := envel.DecodeRequest(p.Payload)
	if err != nil || req.Cancel {
		c.counters.Add(Malformed, 1)
		return
	}
	key := ledger.Key{Service: s.spec.Name(), Caller: p.Key.Src().Addr(), ID: req.ID}
	h := key.Hash()
	bucket := c.bucketOf(h)
	if c.relayHome(bucket, p, in) {
		return
	}
	ret := ledger.Return{Caller: p.Key.Src(), Service: p.Key.Dst(), Origin: in.origin}
	if e := c.ledger.Find(key); e != nil && !c.opts.Off.Ledger {
		c.rejoin(s, e, req, ret)
		return
	}
	if c.refused.Has(c.now, h, req.Try) {
		c.answer(ret, &envel.Answer{ID: req.ID, Try: req.Try, Outcome: envel.NotRun, RetryAfter: c.retryAfter(s)})
		return
	}
	if c.answerAsk(bucket, p, in) {
		return
	}
	if c.standsAside() {
		c.counters.Add(StoodAside, 1)
		return
	}
	certain := c.certain(bucket, req, in)
	if !certain {
		if target := c.askTarget(bucket, in, s.spec.Ledger()); target != "" {
			if c.looped(in) {
				return
			}
			c.counters.Add(RequestsAsked, 1)
			c.relay(target, p, in, askFlag)
			return
		}
	}
	c.fresh(s, key, req, ret, certain)
}

// certain reports whether this host would know if another home had taken the
// request: the previous home said that it had not, or it is gone and this host
// has been home or successor since before the request was first sent.
func (c *Core) certain(bucket int, req *envel.Request, in *arrival) bool {
	if in.has(geneve.FlagAsked) || c.opts.Off.Notes {
		return true
	}
	if former := c.homes.Former(bucket); former != "" && former != c.opts.Name && !c.opts.Off.Ask {
		return false
	}
	since := c.since[bucket]
	return since <= c.born || c.now-req.Since-sinceMargin >= since
}

// rejoin handles a resend of a request that is known.
func (c *Core) rejoin(s *service, e *entry, req *envel.Request, ret ledger.Return) {
	c.counters.Add(RequestsJoined, 1)
	if e.Request != nil && e.Body != hash.Bytes(req.Body) {
		c.counters.Add(RequestsClashed, 1)
		c.answer(ret, &envel.Answer{ID: req.ID, Try: req.Try, Outcome: envel.NotRun, RetryAfter: c.retryAfter(s)})
		return
	}
	if e.Request == nil {
		e.Request, e.Body = req, hash.Bytes(req.Body)
	}
	if req.Try < e.Request.Try {
		c.counters.Add(AnswersLate, 1)
		return
	}
	// A caller that came back waits for an answer to its latest try.
	e.Request.Try, e.Answer.Try = req.Try, req.Try
	e.Join(ret)
	switch e.Stage {
	case ledger.Done:
		c.answer(ret, &e.Answer)
	case ledger.Noted:
		c.takeOver(e, req)
	}
}

// takeOver goes on with a request that a home which is gone had sent: the
// server is asked how it ended.
func (c *Core) takeOver(e *entry, req *envel.Request) {
	e.Stage = ledger.Sent
	e.Deadline = c.now + deadlineOf(req)
	c.deadline.Add(e.Deadline, due{kind: dueDeadline, key: e.Key})
	for i := range e.Attempts {
		c.pending[e.Attempts[i].Number] = e
	}
	c.inquire(e)
}

func deadlineOf(req *envel.Request) clock.Millis {
	if req.Deadline <= 0 {
		return defaultDeadline
	}
	return min(req.Deadline, maxDeadline)
}

// fresh takes a request that is not known here.
func (c *Core) fresh(s *service, key ledger.Key, req *envel.Request, ret ledger.Return, certain bool) {
	c.counters.Add(RequestsTaken, 1)
	c.holder.Arrive(c.now, s.spec.Name())
	fenced := c.fenced()
	if !req.Idempotent && (fenced || !certain) {
		c.counters.Add(RequestsUncertain, 1)
		if fenced {
			c.counters.Add(RequestsFenced, 1)
		}
		c.answer(ret, &envel.Answer{ID: req.ID, Try: req.Try, Outcome: envel.Unknown})
		return
	}
	e := &entry{
		Key: key, Request: req, Body: hash.Bytes(req.Body),
		Returns: []ledger.Return{ret}, Deadline: c.now + deadlineOf(req),
	}
	s.tokens = min(retryBurst, s.tokens+s.spec.RetryShare())
	if c.ledger.Full() || c.tooMany(s) {
		c.refuseRequest(s, e)
		return
	}
	c.ledger.Add(e, e.Deadline+s.spec.Ledger())
	c.deadline.Add(e.Deadline, due{kind: dueDeadline, key: key})
	c.enqueue(s, e)
}

// tooMany reports whether more requests wait than this host can soon serve.
func (c *Core) tooMany(s *service) bool {
	if c.opts.Off.Shed {
		return false
	}
	return len(s.queue) >= max(minQueue, c.holder.Turnover(c.now, s.spec.Name(), queueSpan))
}

// enqueue sends e to a server at once when a slot is free, or lets it wait.
func (c *Core) enqueue(s *service, e *entry) {
	e.Stage = ledger.Queued
	s.queue = append(s.queue, e)
	c.deadline.Add(c.now+queueWait, due{kind: dueQueue, key: e.Key})
	c.drainQueue(s)
}

// drainQueues sends what waits for a slot and can have one now.
func (c *Core) drainQueues() {
	for _, s := range c.order {
		if len(s.queue) > 0 {
			c.drainQueue(s)
		}
	}
}

func (c *Core) drainQueue(s *service) {
	name := s.spec.Name()
	for len(s.queue) > 0 {
		e := s.queue[0]
		if e.Stage != ledger.Queued {
			s.queue = s.queue[1:]
			continue
		}
		if !e.Request.Idempotent && c.fenced() {
			s.queue = s.queue[1:]
			c.giveUp(s, e)
			continue
		}
		server := c.holder.Acquire(c.now, name, lastServer(e))
		if server == "" {
			break
		}
		s.queue = s.queue[1:]
		c.dispatch(s, e, server)
	}
	c.holder.SetQueued(name, len(s.queue))
}

func lastServer(e *entry) string {
	if len(e.Attempts) == 0 {
		return ""
	}
	return e.Attempts[len(e.Attempts)-1].Server
}

// dispatch sends e to server. A request that must not run twice goes through
// the successor of its home, which notes it, so that the next home knows.
func (c *Core) dispatch(s *service, e *entry, server string) {
	srv := c.roster.Find(server)
	if srv == nil || srv.Info().Service != s.spec.Name() && !c.opts.Off.Apart {
		c.counters.Add(CrossedPrevented, 1)
		c.holder.Release(c.now, s.spec.Name(), server, 0, lease.Shed)
		c.finish(s, e, envel.Answer{Outcome: envel.NotRun, RetryAfter: c.retryAfter(s)})
		return
	}
	a := ledger.Attempt{Number: c.rand.Uint64(), Server: server, SentAt: c.now, Open: true}
	e.Attempts = append(e.Attempts, a)
	e.Stage = ledger.Sent
	c.pending[a.Number] = e
	left := e.Deadline - c.now
	wire := envel.Request{
		ID: e.Key.ID, Try: e.Request.Try, Attempt: a.Number, Caller: e.Key.Caller.String(),
		Idempotent: e.Request.Idempotent, Deadline: left, Body: e.Request.Body,
	}
	packet := inner.BuildUDP(c.opts.Answers, e.Returns[0].Service, envel.EncodeRequest(&wire))
	c.counters.Add(RequestsSent, 1)
	c.sendToServer(e, c.serverAddr(srv.Info().Address), packet)
	if e.Request.Idempotent {
		c.deadline.Add(c.now+max(minAttempt, left/3), due{dueAttempt, e.Key, a.Number})
		return
	}
	c.deadline.Add(c.now+inquireWait, due{dueInquire, e.Key, a.Number})
}

func (c *Core) sendToServer(e *entry, server netip.AddrPort, packet []byte) {
	next := c.homes.Next(c.bucketOf(e.Key.Hash()))
	if e.Request.Idempotent || next == "" || next == c.opts.Name || c.opts.Off.Notes {
		c.send(server, packet, nil)
		return
	}
	r := geneve.Relay{Hops: 1, Flags: geneve.FlagNote, Origin: server, View: c.viewed}
	c.send(c.addrs[next], packet, &r)
}

// passNoted notes a request of another home and passes it on to its server. It
// refuses when this host is neither the successor nor free of the request.
func (c *Core) passNoted(p *inner.Packet, in *arrival) {
	req, err := envel.DecodeRequest(p.Payload)
	if err != nil {
		c.counters.Add(Malformed, 1)
		return
	}
	caller, err := netip.ParseAddr(req.Caller)
	s := c.serviceAt(p.Key.Dst())
	if err != nil || s == nil {
		c.replyNoted(p, req, envel.NotRun)
		return
	}
	key := ledger.Key{Service: s.spec.Name(), Caller: caller, ID: req.ID}
	bucket := c.bucketOf(key.Hash())
	if c.homes.Home(bucket) != c.opts.Name && c.homes.Next(bucket) != c.opts.Name || c.ledger.Full() {
		c.replyNoted(p, req, envel.NotRun)
		return
	}
	e := c.ledger.Find(key)
	if e != nil && e.Stage != ledger.Noted {
		c.replyNoted(p, req, envel.Unknown)
		return
	}
	if e == nil {
		e = &entry{Key: key, Stage: ledger.Noted}
		c.ledger.Add(e, c.now+req.Deadline+s.spec.Ledger())
	}
	if e.Attempt(req.Attempt) == nil {
		e.Attempts = append(e.Attempts, ledger.Attempt{Number: req.Attempt, Server: c.serverAt(s, in.origin)})
	}
	c.counters.Add(RequestsNoted, 1)
	c.send(in.origin, p.Raw, nil)
}

func (c *Core) serviceAt(addr netip.AddrPort) *service {
	for _, s := range c.order {
		for _, a := range s.spec.Addresses() {
			if a.AddrPort == addr && a.Proto == inner.UDP {
				return s
			}
		}
	}
	return nil
}

// serverAt returns the name of the server of s that listens at addr, or "".
func (c *Core) serverAt(s *service, addr netip.AddrPort) string {
	for _, b := range s.place.Backends() {
		if srv := c.roster.Find(b.Name); srv != nil && c.serverAddr(srv.Info().Address) == addr {
			return b.Name
		}
	}
	return ""
}

// replyNoted answers the home in the place of the server.
func (c *Core) replyNoted(p *inner.Packet, req *envel.Request, o envel.Outcome) {
	c.counters.Add(RequestsNoteRefused, 1)
	a := envel.EncodeAnswer(&envel.Answer{ID: req.ID, Try: req.Try, Attempt: req.Attempt, Outcome: o})
	c.arena = append(c.arena, a...)
	c.out.Datagrams = append(c.out.Datagrams, Datagram{p.Key.Src(), c.arena[len(c.arena)-len(a):]})
}

// answer sends a to where one caller waits.
func (c *Core) answer(to ledger.Return, a *envel.Answer) {
	a.Attempt = 0
	packet := inner.BuildUDP(to.Service, to.Caller, envel.EncodeAnswer(a))
	c.send(to.Origin, packet, nil)
}

// refuseRequest tells the caller at once that its request did not run and when
// to come back. It stays silent only when it could not make sure that a doubled
// packet is not run later.
func (c *Core) refuseRequest(s *service, e *entry) {
	s.load.refused++
	if !c.refused.Add(c.now, e.Key.Hash(), e.Request.Try) {
		c.counters.Add(RequestsDropped, 1)
		return
	}
	c.counters.Add(RequestsRefused, 1)
	a := envel.Answer{ID: e.Key.ID, Try: e.Request.Try, Outcome: envel.NotRun, RetryAfter: c.retryAfter(s)}
	for _, r := range e.Returns {
		c.answer(r, &a)
	}
}

func (c *Core) refuseQueue(s *service) {
	for _, e := range slices.Clone(s.queue) {
		if e.Stage == ledger.Queued {
			c.finish(s, e, envel.Answer{Outcome: envel.NotRun, RetryAfter: c.retryAfter(s)})
		}
	}
	s.queue = nil
}
