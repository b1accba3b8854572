package client

import (
	"bytes"
	"encoding/hex"
	"net/netip"
	"time"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/stand/server"
	"monsooncleat.example/monsooncleat/internal/wire/envel"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

const (
	initialResendDelay = 250 * time.Millisecond
	maxResendDelay     = 500 * time.Millisecond
	// lateAnswerWait is how long a client waits for an answer after the deadline
	// of a try, before it counts the request as lost.
	lateAnswerWait = 2 * time.Second
	// Request bodies have minBodyBytes and up to bodyBytesRange-1 bytes more.
	minBodyBytes   = 100
	bodyBytesRange = 700
	// Requests cycle through requestPortCount client ports from
	// requestPortBase on; each stream has its own port from streamPortBase on.
	requestPortBase  = 10000
	requestPortCount = 20000
	streamPortBase   = 40000
)

// pendingRequest is a request without a final outcome.
type pendingRequest struct {
	request envel.Request
	body    []byte
	answers chan envel.Answer
}

// newRequest returns a request with a random ID and body, and adds it to c.pending.
func (c *Client) newRequest() *pendingRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := make([]byte, 16)
	body := make([]byte, minBodyBytes+c.rand.IntN(bodyBytesRange))
	for _, b := range [][]byte{id, body} {
		for i := range b {
			b[i] = byte(c.rand.Uint32())
		}
	}
	r := &pendingRequest{body: body, answers: make(chan envel.Answer, 16)}
	r.request = envel.Request{ID: hex.EncodeToString(id), Idempotent: c.rand.Float64() < c.opts.IdempotentRate, Body: body}
	c.pending[r.request.ID] = r
	return r
}

// runRequest runs one request to its final outcome. It tries again after a
// refusal, up to the configured number of tries.
func (c *Client) runRequest(i int) {
	r := c.newRequest()
	src := netip.AddrPortFrom(c.clientIP, uint16(requestPortBase+i%requestPortCount))
	result := Result{ID: r.request.ID, Idempotent: r.request.Idempotent}
	begin := time.Now()
	for try := range uint32(c.opts.MaxTries) {
		r.request.Try = try
		answer, ok := c.runTry(r, src)
		if !ok {
			result.Outcome = "lost"
			break
		}
		result.Outcome = answer.Outcome.String()
		if answer.Outcome != envel.NotRun {
			c.recordAnswer(r, &answer, begin)
			break
		}
		result.Refused = append(result.Refused, try)
		c.countRefusal()
		if int(try) < c.opts.MaxTries-1 {
			time.Sleep(answer.RetryAfter.Duration())
		}
	}
	c.recordResult(result)
}

// runTry sends one try and resends it with exponential backoff until it is
// answered or its deadline has passed. It returns false if no answer has come
// by lateAnswerWait after the deadline.
func (c *Client) runTry(r *pendingRequest, src netip.AddrPort) (envel.Answer, bool) {
	begin := time.Now()
	wait := initialResendDelay
	for first := true; ; first = false {
		elapsed := time.Since(begin)
		if elapsed > c.opts.TryTimeout+lateAnswerWait {
			return envel.Answer{}, false
		}
		if elapsed < c.opts.TryTimeout {
			r.request.Elapsed = clock.FromDuration(elapsed)
			r.request.Timeout = clock.FromDuration(c.opts.TryTimeout - elapsed)
			c.sendToRandomHost(inner.BuildUDP(src, c.opts.RequestService, envel.EncodeRequest(&r.request)))
			c.countResend(!first)
		}
		timer := time.After(wait)
		for waiting := true; waiting; {
			select {
			case answer := <-r.answers:
				if answer.Try == r.request.Try {
					return answer, true
				}
			case <-timer:
				waiting = false
			}
		}
		wait = min(2*wait, maxResendDelay)
	}
}

func (c *Client) onAnswer(p *inner.Packet) {
	answer, err := envel.DecodeAnswer(p.Payload)
	if err != nil {
		return
	}
	c.mu.Lock()
	r := c.pending[answer.ID]
	c.mu.Unlock()
	if r == nil {
		return
	}
	select {
	case r.answers <- *answer:
	default:
	}
}

// recordAnswer compares the body of an answer with the expected one, and records its
// server and its latency since begin. It ignores answers with an unknown outcome.
func (c *Client) recordAnswer(r *pendingRequest, answer *envel.Answer, begin time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer.Outcome != envel.Answered {
		return
	}
	if !bytes.Equal(answer.Body, server.AnswerBody(r.request.ID, r.body)) {
		c.report.WrongAnswers++
	}
	latency := time.Since(begin).Microseconds()
	_ = c.latency.RecordValue(latency)
	c.report.ByServer[answer.Server]++
	second, histogram := c.currentSecond()
	second.Answered++
	second.ByServer[answer.Server]++
	_ = histogram.RecordValue(latency)
}

func (c *Client) countRefusal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Refusals++
	second, _ := c.currentSecond()
	second.Refusals++
}

// countResend counts a send in the report if it is a resend, that is, not the first
// send of a try.
func (c *Client) countResend(isResend bool) {
	if isResend {
		c.mu.Lock()
		c.report.Resends++
		c.mu.Unlock()
	}
}

func (c *Client) recordResult(result Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, result.ID)
	c.results = append(c.results, result)
	switch result.Outcome {
	case "answered":
		c.report.Answered++
	case "notRun":
		c.report.NotRun++
	case "unknown":
		c.report.Unknown++
	default:
		c.report.Lost++
	}
}
