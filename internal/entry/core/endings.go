package core

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/ask/ledger"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/lease"
	"monsooncleat.example/monsooncleat/internal/wire/envel"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// Answer takes a datagram that a backend server sent to the answers address.
func (c *Core) Answer(now clock.Millis, data []byte) {
	c.now = now
	a, err := envel.DecodeAnswer(data)
	if err != nil {
		c.counters.Add(Malformed, 1)
		return
	}
	e := c.pending[a.Attempt]
	if e == nil || e.Key.ID != a.ID || e.Stage == ledger.Done {
		c.counters.Add(AnswersLate, 1)
		return
	}
	at := e.Attempt(a.Attempt)
	s := c.services[e.Key.Service]
	if at == nil || s == nil {
		c.counters.Add(AnswersLate, 1)
		return
	}
	if a.Outcome != envel.NotRun {
		c.closeAttempt(e, at, lease.Answered)
		c.finish(s, e, *a)
		return
	}
	at.NotRun = true
	c.closeAttempt(e, at, lease.Shed)
	c.counters.Add(ServerSheds, 1)
	if e.Stage == ledger.Queued || slices.ContainsFunc(e.Attempts, func(o ledger.Attempt) bool { return o.Open }) {
		return
	}
	c.again(s, e)
}

func (c *Core) closeAttempt(e *entry, at *ledger.Attempt, ending lease.Ending) {
	if at.Open {
		at.Open = false
		c.holder.Release(c.now, e.Key.Service, at.Server, c.now-at.SentAt, ending)
	}
}

// again tries e at another server when the budget, the deadline and the kind
// of the request allow it, and gives it up otherwise.
func (c *Core) again(s *service, e *entry) {
	safe := e.Request.Idempotent || !e.MayHaveRun()
	if safe && len(e.Attempts) < maxTries && s.tokens >= 1 && c.now < e.Deadline {
		s.tokens--
		c.counters.Add(Retries, 1)
		c.enqueue(s, e)
		return
	}
	c.giveUp(s, e)
}

// giveUp ends e with what is certain: that it did not run, or that it may have.
// A host that lost the majority can't tell whether another one has run it.
func (c *Core) giveUp(s *service, e *entry) {
	a := envel.Answer{Outcome: envel.NotRun, RetryAfter: c.retryAfter(s)}
	if e.MayHaveRun() || c.fenced() && !e.Request.Idempotent {
		a = envel.Answer{Outcome: envel.Unknown}
	}
	c.finish(s, e, a)
}

// finish gives e its final answer, at once.
func (c *Core) finish(s *service, e *entry, a envel.Answer) {
	a.ID, a.Try, a.Attempt = e.Key.ID, e.Request.Try, 0
	for i := range e.Attempts {
		at := &e.Attempts[i]
		delete(c.pending, at.Number)
		if at.Open {
			c.cancel(s, e, at)
			c.closeAttempt(e, at, lease.Silent)
		}
	}
	c.countEnding(s, a.Outcome)
	if a.Outcome == envel.NotRun {
		c.ledger.Remove(e)
		e.Stage = ledger.Done
		c.refused.Add(c.now, e.Key.Hash(), e.Request.Try)
	} else {
		e.Stage, e.Answer = ledger.Done, a
		c.ledger.Keep(e, c.now+s.spec.Ledger())
	}
	for _, r := range e.Returns {
		c.answer(r, &a)
	}
	e.Request.Body = nil
	c.drainQueue(s)
}

func (c *Core) countEnding(s *service, o envel.Outcome) {
	switch o {
	case envel.Answered:
		s.load.served++
		c.counters.Add(RequestsAnswered, 1)
	case envel.NotRun:
		s.load.refused++
		c.counters.Add(RequestsRefused, 1)
	case envel.Unknown:
		c.counters.Add(RequestsUnknown, 1)
	}
}

// cancel tells a server that nobody waits for an attempt any more, or asks how
// it ended: the message is the same.
func (c *Core) cancel(s *service, e *entry, at *ledger.Attempt) {
	srv := c.roster.Find(at.Server)
	if srv == nil || srv.Info().Service != s.spec.Name() || len(e.Returns) == 0 {
		return
	}
	wire := envel.Request{
		ID: e.Key.ID, Try: e.Request.Try, Attempt: at.Number, Caller: e.Key.Caller.String(),
		Idempotent: e.Request.Idempotent, Cancel: true,
	}
	packet := inner.BuildUDP(c.opts.Answers, e.Returns[0].Service, envel.EncodeRequest(&wire))
	c.counters.Add(Cancels, 1)
	c.send(c.serverAddr(srv.Info().Address), packet, nil)
}

// inquire asks the servers how the attempts at e ended.
func (c *Core) inquire(e *entry) {
	s := c.services[e.Key.Service]
	if s == nil || e.Inquired {
		return
	}
	e.Inquired = true
	for i := range e.Attempts {
		c.cancel(s, e, &e.Attempts[i])
	}
	c.deadline.Add(min(e.Deadline, c.now+inquireWait), due{kind: dueDeadline, key: e.Key})
}

// requestsDue handles what falls due by now.
func (c *Core) requestsDue() {
	for {
		d, ok := c.deadline.Due(c.now)
		if !ok {
			break
		}
		e := c.ledger.Find(d.key)
		s := c.services[d.key.Service]
		if e == nil || s == nil || e.Stage == ledger.Done || e.Stage == ledger.Noted {
			continue
		}
		c.fallsDue(s, e, d)
	}
	c.ledger.Expire(c.now)
	c.drainQueues()
}

func (c *Core) fallsDue(s *service, e *entry, d due) {
	switch d.kind {
	case dueQueue:
		if e.Stage == ledger.Queued {
			c.giveUp(s, e)
		}
	case dueAttempt:
		if at := e.Attempt(d.attempt); at != nil && at.Open {
			c.cancel(s, e, at)
			c.closeAttempt(e, at, lease.Silent)
			c.counters.Add(AttemptsSilent, 1)
			c.retryOrWait(s, e)
		}
	case dueInquire:
		if at := e.Attempt(d.attempt); at != nil && at.Open {
			c.cancel(s, e, at)
			c.deadline.Add(c.now+(c.now-at.SentAt), d)
		}
	case dueDeadline:
		c.giveUp(s, e)
	}
}

// retryOrWait tries an idempotent request anew when it may, and else waits for
// the late answer until the deadline.
func (c *Core) retryOrWait(s *service, e *entry) {
	if len(e.Attempts) < maxTries && s.tokens >= 1 {
		s.tokens--
		c.counters.Add(Retries, 1)
		c.enqueue(s, e)
	}
}
