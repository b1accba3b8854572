package core

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/ask/ledger"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/entry/count"
	"monsooncleat.example/monsooncleat/internal/entry/loss"
	"monsooncleat.example/monsooncleat/internal/serve/lease"
	"monsooncleat.example/monsooncleat/internal/wire/envel"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// HandleAnswer handles a datagram that a backend server sent to Options.Answers.
func (c *Core) HandleAnswer(now clock.Millis, data []byte) {
	c.now = now
	a, err := envel.DecodeAnswer(data)
	if err != nil {
		c.counters.Add(count.Malformed, 1)
		return
	}
	e := c.pendingAttempts[a.Attempt]
	if e == nil || e.Key.ID != a.ID || e.Stage == ledger.Done {
		c.counters.Add(count.AnswersLate, 1)
		return
	}
	attempt := e.Attempt(a.Attempt)
	s := c.services[e.Key.Service]
	if attempt == nil || s == nil {
		c.counters.Add(count.AnswersLate, 1)
		return
	}
	if a.Outcome != envel.NotRun {
		c.closeAttempt(e, attempt, lease.Answered)
		c.complete(s, e, *a)
		return
	}
	attempt.NotRun = true
	c.closeAttempt(e, attempt, lease.Shed)
	c.counters.Add(count.ServerSheds, 1)
	if e.Stage == ledger.Queued || slices.ContainsFunc(e.Attempts, func(other ledger.Attempt) bool { return other.Open }) {
		return
	}
	c.retryOrAbandon(s, e)
}

// closeAttempt releases the slot of an open attempt.
func (c *Core) closeAttempt(e *ledger.Entry, attempt *ledger.Attempt, result lease.Result) {
	if attempt.Open {
		attempt.Open = false
		c.leaseHolder.Release(c.now, e.Key.Service, attempt.Server, c.now-attempt.SentAt, result)
	}
}

// retryOrAbandon queues e for another attempt if that is safe and within the
// attempt limit, the retry budget and the deadline. Otherwise it abandons e.
func (c *Core) retryOrAbandon(s *service, e *ledger.Entry) {
	retryable := e.Request.Idempotent || !e.MayHaveRun()
	if retryable && len(e.Attempts) < maxAttempts && s.retryTokens >= 1 && c.now < e.Deadline {
		s.retryTokens--
		c.counters.Add(count.Retries, 1)
		c.enqueue(s, e)
		return
	}
	c.abandon(s, e)
}

// abandon completes e without a server's answer: as not run, or as unknown if a
// server may have run it. On a fenced host the outcome of a request that is not
// idempotent is unknown too, because another host may have sent it.
func (c *Core) abandon(s *service, e *ledger.Entry) {
	a := envel.Answer{Outcome: envel.NotRun, RetryAfter: c.retryAfter(s)}
	if e.MayHaveRun() || c.fenced() && !e.Request.Idempotent {
		a = envel.Answer{Outcome: envel.Unknown}
		reason := loss.NoOutcome
		if !e.MayHaveRun() {
			reason = loss.NoMajority
		}
		c.out.Losses.AddUnknown(loss.Unknown{ID: e.Key.ID, Reason: reason, Server: e.Unanswered()})
	}
	c.complete(s, e, a)
}

// complete sends the final answer of e to its clients and cancels its open
// attempts.
func (c *Core) complete(s *service, e *ledger.Entry, a envel.Answer) {
	a.ID, a.Try, a.Attempt = e.Key.ID, e.Request.Try, 0
	for i := range e.Attempts {
		attempt := &e.Attempts[i]
		delete(c.pendingAttempts, attempt.Number)
		if attempt.Open {
			c.cancelOrInquire(s, e, attempt)
			// Releases the slot as after a timeout, because the outcome of this
			// attempt is not known.
			c.closeAttempt(e, attempt, lease.TimedOut)
		}
	}
	c.countOutcome(s, a.Outcome)
	if a.Outcome == envel.NotRun {
		c.ledger.Remove(e)
		e.Stage = ledger.Done
		c.refusedTries.Add(c.now, e.Key.Hash(), e.Request.Try)
	} else {
		e.Stage, e.Answer = ledger.Done, a
		c.ledger.Keep(e, c.now+s.spec.DedupWindow())
	}
	for _, r := range e.ReturnPaths {
		c.sendAnswer(r, &a)
	}
	e.Request.Body = nil
	c.dispatchQueued(s)
}

// countOutcome adds an outcome to the counters, and to the load of s unless it
// is unknown.
func (c *Core) countOutcome(s *service, outcome envel.Outcome) {
	switch outcome {
	case envel.Answered:
		s.load.Serve()
		c.counters.Add(count.RequestsAnswered, 1)
	case envel.NotRun:
		s.load.Refuse()
		c.counters.Add(count.RequestsRefused, 1)
	case envel.Unknown:
		c.counters.Add(count.RequestsUnknown, 1)
	}
}

// cancelOrInquire asks a server to drop an attempt that has not started, or else
// to report its outcome.
func (c *Core) cancelOrInquire(s *service, e *ledger.Entry, attempt *ledger.Attempt) {
	srv := c.servers.Find(attempt.Server)
	if srv == nil || srv.Info().Service != s.spec.Name() || len(e.ReturnPaths) == 0 {
		return
	}
	msg := envel.Request{
		ID: e.Key.ID, Try: e.Request.Try, Attempt: attempt.Number, Client: e.Key.Client.String(),
		Idempotent: e.Request.Idempotent, Cancel: true,
	}
	packet := inner.BuildUDP(c.opts.Answers, e.ReturnPaths[0].Service, envel.EncodeRequest(&msg))
	c.counters.Add(count.Cancels, 1)
	c.send(c.parseAddr(srv.Info().Address), packet, nil)
}

// inquire asks the servers once for the outcomes of all attempts of e. If e is not
// completed within inquiryTimeout or by its deadline, it is abandoned.
func (c *Core) inquire(e *ledger.Entry) {
	s := c.services[e.Key.Service]
	if s == nil || e.Inquired {
		return
	}
	e.Inquired = true
	for i := range e.Attempts {
		c.cancelOrInquire(s, e, &e.Attempts[i])
	}
	c.requestTimers.Add(min(e.Deadline, c.now+inquiryTimeout), requestTimer{kind: timerDeadline, key: e.Key})
}

// runRequestTimers handles the expired request timers.
func (c *Core) runRequestTimers() {
	for {
		timer, ok := c.requestTimers.PopDue(c.now)
		if !ok {
			break
		}
		e := c.ledger.Find(timer.key)
		s := c.services[timer.key.Service]
		if e == nil || s == nil || e.Stage == ledger.Done || e.Stage == ledger.Replica {
			continue
		}
		c.onRequestTimer(s, e, timer)
	}
	c.ledger.Expire(c.now)
	c.dispatchAllQueued()
}

// onRequestTimer handles an expired timer of e.
func (c *Core) onRequestTimer(s *service, e *ledger.Entry, timer requestTimer) {
	switch timer.kind {
	case timerQueue:
		if e.Stage == ledger.Queued {
			c.abandon(s, e)
		}
	case timerAttempt:
		if attempt := e.Attempt(timer.attempt); attempt != nil && attempt.Open {
			c.cancelOrInquire(s, e, attempt)
			c.closeAttempt(e, attempt, lease.TimedOut)
			c.counters.Add(count.AttemptsSilent, 1)
			c.retryOrWait(s, e)
		}
	case timerInquire:
		if attempt := e.Attempt(timer.attempt); attempt != nil && attempt.Open {
			c.cancelOrInquire(s, e, attempt)
			// Exponential backoff: the next inquiry is due when the age of the
			// attempt has doubled.
			c.requestTimers.Add(c.now+(c.now-attempt.SentAt), timer)
		}
	case timerDeadline:
		c.abandon(s, e)
	}
}

// retryOrWait retries an idempotent request if the attempt limit and the retry
// budget allow it. Otherwise e waits for a late answer until its deadline.
func (c *Core) retryOrWait(s *service, e *ledger.Entry) {
	if len(e.Attempts) < maxAttempts && s.retryTokens >= 1 {
		s.retryTokens--
		c.counters.Add(count.Retries, 1)
		c.enqueue(s, e)
	}
}
