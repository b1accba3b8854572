package core

import (
	"net/netip"
	"slices"

	"monsooncleat.example/monsooncleat/internal/ask/ledger"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/entry/count"
	"monsooncleat.example/monsooncleat/internal/entry/loss"
	"monsooncleat.example/monsooncleat/internal/serve/lease"
	"monsooncleat.example/monsooncleat/internal/serve/roster"
	"monsooncleat.example/monsooncleat/internal/wire/envel"
	"monsooncleat.example/monsooncleat/internal/wire/geneve"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

const (
	defaultTimeout = 5 * clock.Second
	maxTimeout     = 30 * clock.Second
	// queueTimeout is how long a request may wait for a slot.
	queueTimeout = clock.Second
	// maxExpectedWait is the maximum expected wait for a slot. A request that
	// would have to wait longer is refused at once.
	maxExpectedWait = 200 * clock.Millis(1)
	// minQueueLength is the queue length that each service may reach, even if
	// this host holds few leases or none.
	minQueueLength = 4
	// retryBurst is the maximum of a service's retry budget.
	retryBurst  = 10
	maxAttempts = 3
	// minAttemptTimeout is the minimum timeout of an idempotent attempt.
	minAttemptTimeout = 250 * clock.Millis(1)
	// inquiryTimeout is how long the host waits for an answer before it asks
	// the server for the outcome, and how long a new owner waits for the reply.
	inquiryTimeout = 500 * clock.Millis(1)
	// transitMargin allows for the transit time of a packet.
	transitMargin = 100 * clock.Millis(1)
)

// timerKind is the kind of a request timer.
type timerKind uint8

const (
	// timerDeadline fires when the request must be completed.
	timerDeadline timerKind = iota
	// timerQueue fires when the request has waited too long for a slot.
	timerQueue
	// timerAttempt fires when an idempotent attempt has timed out.
	timerAttempt
	// timerInquire fires when the server is to be asked for the outcome of an
	// attempt that is not idempotent.
	timerInquire
)

// requestTimer is a timer of one request, or of one attempt of it.
type requestTimer struct {
	kind    timerKind
	key     ledger.Key
	attempt uint64
}

// handleRequest handles a request from a client.
func (c *Core) handleRequest(s *service, p *inner.Packet, in *arrival) {
	req, err := envel.DecodeRequest(p.Payload)
	if err != nil || req.Cancel {
		c.counters.Add(count.Malformed, 1)
		return
	}
	key := ledger.Key{Service: s.spec.Name(), Client: p.Key.Src().Addr(), ID: req.ID}
	keyHash := key.Hash()
	bucket := c.bucketOf(keyHash)
	if c.relayToOwner(bucket, p, in) {
		return
	}
	returnTo := ledger.ReturnPath{Client: p.Key.Src(), Service: p.Key.Dst(), Origin: in.origin}
	if e := c.ledger.Find(key); e != nil && !c.opts.Disabled.Deduplication {
		c.joinResend(s, e, req, returnTo)
		return
	}
	if c.refusedTries.Has(c.now, keyHash, req.Try) {
		c.sendAnswer(returnTo, &envel.Answer{ID: req.ID, Try: req.Try, Outcome: envel.NotRun, RetryAfter: c.retryAfter(s)})
		return
	}
	if c.returnToOwner(bucket, p, in) {
		return
	}
	if c.declinesNewWork() {
		c.counters.Add(count.StoodAside, 1)
		return
	}
	historyKnown := c.historyKnown(bucket, req, in)
	if !historyKnown {
		if target := c.lookupTarget(bucket, in, s.spec.DedupWindow()); target != "" {
			if c.hopLimitReached(in) {
				return
			}
			c.counters.Add(count.RequestsAsked, 1)
			c.relay(target, p, in, geneve.FlagLookup)
			return
		}
	}
	c.admitRequest(s, key, req, returnTo, historyKnown)
}

// historyKnown reports whether the lack of a record on this host shows that no
// other owner has accepted the request. That is the case if the previous owner
// has no record either, or if there is no leaving owner and this host has been
// owner or successor since its start or since before the request was first sent.
func (c *Core) historyKnown(bucket int, req *envel.Request, in *arrival) bool {
	if in.has(geneve.FlagLookupMiss) || c.opts.Disabled.RequestReplication {
		return true
	}
	if former := c.owners.Former(bucket); former != "" && former != c.opts.Name && !c.opts.Disabled.OwnerLookup {
		return false
	}
	responsibleSince := c.responsibleSince[bucket]
	return responsibleSince <= c.startedAt || c.now-req.Elapsed-transitMargin >= responsibleSince
}

// joinResend handles a resend of a known request.
func (c *Core) joinResend(s *service, e *ledger.Entry, req *envel.Request, returnTo ledger.ReturnPath) {
	c.counters.Add(count.RequestsJoined, 1)
	if e.Request != nil && e.BodyHash != hash.Bytes(req.Body) {
		c.counters.Add(count.RequestsClashed, 1)
		c.sendAnswer(returnTo, &envel.Answer{ID: req.ID, Try: req.Try, Outcome: envel.NotRun, RetryAfter: c.retryAfter(s)})
		return
	}
	if e.Request == nil {
		e.Request, e.BodyHash = req, hash.Bytes(req.Body)
	}
	if req.Try < e.Request.Try {
		c.counters.Add(count.AnswersLate, 1)
		return
	}
	// The client only accepts an answer to its latest try.
	e.Request.Try, e.Answer.Try = req.Try, req.Try
	e.Join(returnTo)
	switch e.Stage {
	case ledger.Done:
		c.sendAnswer(returnTo, &e.Answer)
	case ledger.Replica:
		c.takeOver(e, req)
	}
}

// takeOver continues a request that a failed owner had sent, by asking the
// servers for the outcome.
func (c *Core) takeOver(e *ledger.Entry, req *envel.Request) {
	e.Stage = ledger.Sent
	e.Deadline = c.now + timeoutOf(req)
	c.requestTimers.Add(e.Deadline, requestTimer{kind: timerDeadline, key: e.Key})
	for i := range e.Attempts {
		c.pendingAttempts[e.Attempts[i].Number] = e
	}
	c.inquire(e)
}

// timeoutOf returns how long the client waits for an answer: the timeout of req,
// at most maxTimeout, or defaultTimeout if it has none.
func timeoutOf(req *envel.Request) clock.Millis {
	if req.Timeout <= 0 {
		return defaultTimeout
	}
	return min(req.Timeout, maxTimeout)
}

// admitRequest queues a new request or refuses it. Without a majority or a known
// history, a request that is not idempotent gets the outcome unknown, because
// another host may have sent it.
func (c *Core) admitRequest(s *service, key ledger.Key, req *envel.Request, returnTo ledger.ReturnPath, historyKnown bool) {
	c.counters.Add(count.RequestsTaken, 1)
	c.leaseHolder.Arrive(c.now, s.spec.Name())
	fenced := c.fenced()
	if !req.Idempotent && (fenced || !historyKnown) {
		c.counters.Add(count.RequestsUncertain, 1)
		reason := loss.HistoryUnknown
		if fenced {
			c.counters.Add(count.RequestsFenced, 1)
			reason = loss.NoMajority
		}
		c.out.Losses.AddUnknown(loss.Unknown{ID: req.ID, Reason: reason})
		c.sendAnswer(returnTo, &envel.Answer{ID: req.ID, Try: req.Try, Outcome: envel.Unknown})
		return
	}
	e := &ledger.Entry{
		Key: key, Request: req, BodyHash: hash.Bytes(req.Body),
		ReturnPaths: []ledger.ReturnPath{returnTo}, Deadline: c.now + timeoutOf(req),
	}
	s.retryTokens = min(retryBurst, s.retryTokens+s.spec.RetryShare())
	if c.ledger.Full() || c.queueFull(s) {
		c.refuseRequest(s, e)
		return
	}
	c.ledger.Add(e, e.Deadline+s.spec.DedupWindow())
	c.requestTimers.Add(e.Deadline, requestTimer{kind: timerDeadline, key: key})
	c.enqueue(s, e)
}

// queueFull reports whether a new request would wait longer than
// maxExpectedWait.
func (c *Core) queueFull(s *service) bool {
	if c.opts.Disabled.LoadShedding {
		return false
	}
	return len(s.queue) >= max(minQueueLength, c.leaseHolder.Turnover(c.now, s.spec.Name(), maxExpectedWait))
}

// enqueue adds e to the queue of its service, and sends it at once if a slot is
// free.
func (c *Core) enqueue(s *service, e *ledger.Entry) {
	e.Stage = ledger.Queued
	s.queue = append(s.queue, e)
	c.requestTimers.Add(c.now+queueTimeout, requestTimer{kind: timerQueue, key: e.Key})
	c.dispatchQueued(s)
}

// dispatchAllQueued runs dispatchQueued for each service with queued requests.
func (c *Core) dispatchAllQueued() {
	for _, s := range c.sortedServices {
		if len(s.queue) > 0 {
			c.dispatchQueued(s)
		}
	}
}

// dispatchQueued sends the queued requests of s while leased slots are free.
// Without a majority it abandons those that are not idempotent.
func (c *Core) dispatchQueued(s *service) {
	name := s.spec.Name()
	for len(s.queue) > 0 {
		e := s.queue[0]
		if e.Stage != ledger.Queued {
			s.queue = s.queue[1:]
			continue
		}
		if !e.Request.Idempotent && c.fenced() {
			s.queue = s.queue[1:]
			c.abandon(s, e)
			continue
		}
		server := c.leaseHolder.Acquire(c.now, name, lastServer(e))
		if server == "" {
			break
		}
		s.queue = s.queue[1:]
		c.dispatch(s, e, server)
	}
	c.leaseHolder.SetQueued(name, len(s.queue))
}

// lastServer returns the server of the latest attempt, or "".
func lastServer(e *ledger.Entry) string {
	if len(e.Attempts) == 0 {
		return ""
	}
	return e.Attempts[len(e.Attempts)-1].Server
}

// dispatch sends a new attempt of e to server.
func (c *Core) dispatch(s *service, e *ledger.Entry, server string) {
	srv := c.servers.Find(server)
	if srv == nil || srv.Info().Service != s.spec.Name() && !c.opts.Disabled.ServiceCheck {
		c.counters.Add(count.CrossedPrevented, 1)
		c.leaseHolder.Release(c.now, s.spec.Name(), server, 0, lease.Shed)
		c.complete(s, e, envel.Answer{Outcome: envel.NotRun, RetryAfter: c.retryAfter(s)})
		return
	}
	attempt := ledger.Attempt{Number: c.rand.Uint64(), Server: server, Try: e.Request.Try, SentAt: c.now, Open: true}
	prior := e.Numbers()
	e.Attempts = append(e.Attempts, attempt)
	e.Stage = ledger.Sent
	c.pendingAttempts[attempt.Number] = e
	remaining := e.Deadline - c.now
	msg := envel.Request{
		ID: e.Key.ID, Try: e.Request.Try, Attempt: attempt.Number, Prior: prior, Client: e.Key.Client.String(),
		Idempotent: e.Request.Idempotent, Timeout: remaining, Body: e.Request.Body,
	}
	packet := inner.BuildUDP(c.opts.Answers, e.ReturnPaths[0].Service, envel.EncodeRequest(&msg))
	c.counters.Add(count.RequestsSent, 1)
	c.sendToServer(e, c.parseAddr(srv.Info().Address), packet)
	if e.Request.Idempotent {
		c.requestTimers.Add(c.now+max(minAttemptTimeout, remaining/3), requestTimer{timerAttempt, e.Key, attempt.Number})
		return
	}
	c.requestTimers.Add(c.now+inquiryTimeout, requestTimer{timerInquire, e.Key, attempt.Number})
}

// sendToServer sends packet to a server. A request that is not idempotent goes
// through the successor, which records it, so that it is known after a failover.
func (c *Core) sendToServer(e *ledger.Entry, server netip.AddrPort, packet []byte) {
	successor := c.owners.Successor(c.bucketOf(e.Key.Hash()))
	if e.Request.Idempotent || successor == "" || successor == c.opts.Name || c.opts.Disabled.RequestReplication {
		c.send(server, packet, nil)
		return
	}
	relay := geneve.Relay{Hops: 1, Flags: geneve.FlagReplicate, Origin: server, ViewVersion: c.viewVersion}
	c.send(c.addrs[successor], packet, &relay)
}

// recordAndForward records a request for its owner and forwards it to the
// server. It replies with an outcome instead if the service is unknown or the
// client's address invalid, if this host is neither owner nor successor, if its
// ledger is full, or if it has refused the try, accepted the request as owner or
// recorded it for another owner: the sender may not know yet that it no longer owns the
// bucket, or that it was sent before it became the owner.
func (c *Core) recordAndForward(p *inner.Packet, in *arrival) {
	req, err := envel.DecodeRequest(p.Payload)
	if err != nil {
		c.counters.Add(count.Malformed, 1)
		return
	}
	client, err := netip.ParseAddr(req.Client)
	s := c.serviceByAddress(p.Key.Dst())
	if err != nil || s == nil {
		c.replyForServer(p, req, envel.NotRun)
		return
	}
	key := ledger.Key{Service: s.spec.Name(), Client: client, ID: req.ID}
	bucket := c.bucketOf(key.Hash())
	if c.owners.Home(bucket) != c.opts.Name && c.owners.Successor(bucket) != c.opts.Name || c.ledger.Full() {
		c.replyForServer(p, req, envel.NotRun)
		return
	}
	if c.refusedTries.Has(c.now, key.Hash(), req.Try) {
		c.replyForServer(p, req, envel.NotRun)
		return
	}
	e := c.ledger.Find(key)
	if e != nil && (e.Stage != ledger.Replica || e.SentByAnother(req.Try, append(req.Prior, req.Attempt))) {
		c.out.Losses.AddUnknown(loss.Unknown{ID: req.ID, Reason: loss.SentByAnother})
		c.replyForServer(p, req, envel.Unknown)
		return
	}
	if e == nil {
		e = &ledger.Entry{Key: key, Stage: ledger.Replica}
		c.ledger.Add(e, c.now+req.Timeout+s.spec.DedupWindow())
	}
	if e.Attempt(req.Attempt) == nil {
		e.Attempts = append(e.Attempts, ledger.Attempt{Number: req.Attempt, Try: req.Try, Server: c.serverByAddress(s, in.origin)})
	}
	c.counters.Add(count.RequestsNoted, 1)
	c.send(in.origin, p.Raw, nil)
}

// serviceByAddress returns the service at a UDP address, or nil.
func (c *Core) serviceByAddress(addr netip.AddrPort) *service {
	for _, s := range c.sortedServices {
		for _, a := range s.spec.Addresses() {
			if a.AddrPort == addr && a.Proto == inner.UDP {
				return s
			}
		}
	}
	return nil
}

// serverByAddress returns the name of the server of s at addr, or "". It prefers servers
// that get new work to draining ones: another host may not know yet that a server drains.
func (c *Core) serverByAddress(s *service, addr netip.AddrPort) string {
	for _, name := range s.places.Current().Names() {
		if srv := c.servers.Find(name); srv != nil && c.parseAddr(srv.Info().Address) == addr {
			return name
		}
	}
	for _, info := range c.servers.All() {
		if info.Service == s.spec.Name() && info.State == roster.Draining && c.parseAddr(info.Address) == addr {
			return info.Name
		}
	}
	return ""
}

// replyForServer sends the outcome to the owner in place of the server. The
// answer is sent without Geneve, as servers send theirs to Options.Answers.
func (c *Core) replyForServer(p *inner.Packet, req *envel.Request, outcome envel.Outcome) {
	c.counters.Add(count.RequestsNoteRefused, 1)
	a := envel.EncodeAnswer(&envel.Answer{ID: req.ID, Try: req.Try, Attempt: req.Attempt, Outcome: outcome})
	c.sendBuffer = append(c.sendBuffer, a...)
	c.out.Datagrams = append(c.out.Datagrams, Datagram{p.Key.Src(), c.sendBuffer[len(c.sendBuffer)-len(a):]})
}

// sendAnswer sends a to a client.
func (c *Core) sendAnswer(to ledger.ReturnPath, a *envel.Answer) {
	a.Attempt = 0
	packet := inner.BuildUDP(to.Service, to.Client, envel.EncodeAnswer(a))
	c.send(to.Origin, packet, nil)
}

// refuseRequest answers that e did not run and when to retry. It sends nothing
// if the refused try cannot be recorded, because then a duplicate of the packet
// could still be run later.
func (c *Core) refuseRequest(s *service, e *ledger.Entry) {
	s.load.Refuse()
	if !c.refusedTries.Add(c.now, e.Key.Hash(), e.Request.Try) {
		c.counters.Add(count.RequestsDropped, 1)
		return
	}
	c.counters.Add(count.RequestsRefused, 1)
	a := envel.Answer{ID: e.Key.ID, Try: e.Request.Try, Outcome: envel.NotRun, RetryAfter: c.retryAfter(s)}
	for _, r := range e.ReturnPaths {
		c.sendAnswer(r, &a)
	}
}

// refuseQueue refuses all queued requests of s.
func (c *Core) refuseQueue(s *service) {
	for _, e := range slices.Clone(s.queue) {
		if e.Stage == ledger.Queued {
			c.complete(s, e, envel.Answer{Outcome: envel.NotRun, RetryAfter: c.retryAfter(s)})
		}
	}
	s.queue = nil
}
