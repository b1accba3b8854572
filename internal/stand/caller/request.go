package caller

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
	resendAfter = 250 * time.Millisecond
	resendMost  = 500 * time.Millisecond
	// lateWait is how long after its deadline an answer is still waited for
	// before the request counts as lost.
	lateWait   = 2 * time.Second
	minBody    = 100
	moreBody   = 700
	firstPort  = 10000
	askPorts   = 20000
	streamPort = 40000
)

// ask is one request under way.
type ask struct {
	request envel.Request
	body    []byte
	answers chan envel.Answer
}

func (c *Caller) newAsk() *ask {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := make([]byte, 16)
	body := make([]byte, minBody+c.rand.IntN(moreBody))
	for _, b := range [][]byte{id, body} {
		for i := range b {
			b[i] = byte(c.rand.Uint32())
		}
	}
	a := &ask{body: body, answers: make(chan envel.Answer, 16)}
	a.request = envel.Request{ID: hex.EncodeToString(id), Idempotent: c.rand.Float64() < c.opts.Idempotent, Body: body}
	c.asks[a.request.ID] = a
	return a
}

// runRequest brings one request to its final answer.
func (c *Caller) runRequest(i int) {
	a := c.newAsk()
	src := netip.AddrPortFrom(c.self, uint16(firstPort+i%askPorts))
	result := Result{ID: a.request.ID, Idempotent: a.request.Idempotent}
	begin := time.Now()
	for try := range uint32(c.opts.Tries) {
		a.request.Try = try
		answer, ok := c.runTry(a, src)
		if !ok {
			result.Outcome = "lost"
			break
		}
		result.Outcome = answer.Outcome.String()
		if answer.Outcome != envel.NotRun {
			c.check(a, &answer, begin)
			break
		}
		result.Refused = append(result.Refused, try)
		c.noteRefusal()
		if int(try) < c.opts.Tries-1 {
			time.Sleep(answer.RetryAfter.Duration())
		}
	}
	c.noteResult(result)
}

// runTry sends one try, again and again until it is answered.
func (c *Caller) runTry(a *ask, src netip.AddrPort) (envel.Answer, bool) {
	begin := time.Now()
	wait := resendAfter
	for first := true; ; first = false {
		spent := time.Since(begin)
		if spent > c.opts.Deadline+lateWait {
			return envel.Answer{}, false
		}
		if spent < c.opts.Deadline {
			a.request.Since = clock.Of(spent)
			a.request.Deadline = clock.Of(c.opts.Deadline - spent)
			c.spray(inner.BuildUDP(src, c.opts.RequestService, envel.EncodeRequest(&a.request)))
			c.noteResend(!first)
		}
		timer := time.After(wait)
		for waiting := true; waiting; {
			select {
			case answer := <-a.answers:
				if answer.Try == a.request.Try {
					return answer, true
				}
			case <-timer:
				waiting = false
			}
		}
		wait = min(2*wait, resendMost)
	}
}

func (c *Caller) onAnswer(p *inner.Packet) {
	answer, err := envel.DecodeAnswer(p.Payload)
	if err != nil {
		return
	}
	c.mu.Lock()
	a := c.asks[answer.ID]
	c.mu.Unlock()
	if a == nil {
		return
	}
	select {
	case a.answers <- *answer:
	default:
	}
}

// check compares the whole body of an answer with the right one.
func (c *Caller) check(a *ask, answer *envel.Answer, begin time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer.Outcome != envel.Answered {
		return
	}
	if !bytes.Equal(answer.Body, server.AnswerBody(a.request.ID, a.body)) {
		c.report.Crossed++
	}
	took := time.Since(begin).Microseconds()
	_ = c.latency.RecordValue(took)
	c.report.ByServer[answer.Server]++
	s, h := c.second()
	s.Answered++
	s.ByServer[answer.Server]++
	_ = h.RecordValue(took)
}

func (c *Caller) noteRefusal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Refusals++
	s, _ := c.second()
	s.NotRun++
}

func (c *Caller) noteResend(resend bool) {
	if resend {
		c.mu.Lock()
		c.report.Resends++
		c.mu.Unlock()
	}
}

func (c *Caller) noteResult(r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.asks, r.ID)
	c.results = append(c.results, r)
	switch r.Outcome {
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
