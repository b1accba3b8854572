package yard

import (
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/token/core"
	"monsooncleat.example/monsooncleat/internal/token/mint"
)

const (
	// deadline is when a caller gives a request up, and retries how many flows
	// it opens for it.
	deadline = 1500 * clock.Millis(1)
	retries  = 3
	// retryPause is the wait before a request is tried again.
	retryPause = 30 * clock.Millis(1)
	// firstCopy and secondCopy are when an opening packet is sent again.
	firstCopy  = 200 * clock.Millis(1)
	secondCopy = 600 * clock.Millis(1)
)

// caller makes one request after the other on a long flow, or a single one on a
// flow of its own.
type caller struct {
	yard   *yard
	centre int
	long   bool
	flow   *flow
	// request counts the requests; askedAt is when the present one was made.
	request int
	askedAt clock.Millis
	tries   int
	waiting bool
}

// flow is the caller's end of a flow.
type flow struct {
	caller  *caller
	from    netip.AddrPort
	server  *server
	token   mint.Token
	seq     uint32
	ack     uint32
	pending uint32
	closed  bool
}

func (c *caller) ask() {
	y := c.yard
	c.request++
	c.askedAt, c.tries, c.waiting = y.now, 0, true
	y.result.Asked++
	y.result.window(c.askedAt).asked++
	request := c.request
	y.after(deadline, func() {
		if c.request == request && c.waiting {
			c.end(false)
		}
	})
	c.try()
}

// try sends the request on the open flow, or opens one.
func (c *caller) try() {
	if c.flow != nil && !c.flow.closed {
		c.flow.send()
		return
	}
	if c.tries++; c.tries > retries {
		c.end(false)
		return
	}
	y := c.yard
	y.port++
	f := &flow{caller: c, seq: y.rand.Uint32() &^ 0xffff}
	f.from = netip.AddrPortFrom(
		netip.AddrFrom4([4]byte{100, 64, byte(c.centre), byte(y.port >> 16)}), uint16(y.port))
	c.flow = f
	for copies, at := range []clock.Millis{0, firstCopy, secondCopy} {
		y.after(at, func() {
			if f.server == nil && !f.closed {
				f.packet(core.Packet{Seq: f.seq, Ack: uint32(copies), Open: true})
			}
		})
	}
}

func (f *flow) packet(p core.Packet) {
	p.From, p.To = f.from, shortRoute
	if f.caller.long {
		p.To = longRoute
	}
	p.Token = f.token
	f.caller.yard.route(f.caller.centre, p, f)
}

// answer takes the server's side of the handshake.
func (f *flow) answer(s *server, token mint.Token) {
	y := f.caller.yard
	y.after(callerWay, func() {
		if f.server != nil || f.closed || y.cut(f.caller.centre, s.centre) {
			return
		}
		f.server, f.token, f.ack = s, token, y.rand.Uint32()
		f.seq++
		s.flows[f] = true
		f.packet(core.Packet{Seq: f.seq, Ack: f.ack})
		f.send()
	})
}

// send sends the present request, and again until it is answered.
func (f *flow) send() {
	if f.server == nil || f.closed || !f.caller.waiting {
		return
	}
	request := f.caller.request
	f.packet(core.Packet{Seq: f.seq, Ack: f.ack, Length: 100})
	var again func(span clock.Millis)
	again = func(span clock.Millis) {
		f.caller.yard.after(span, func() {
			if f.caller.request == request && f.caller.waiting && !f.closed && f.caller.flow == f {
				f.packet(core.Packet{Seq: f.seq, Ack: f.ack, Length: 100})
				again(2 * span)
			}
		})
	}
	again(firstCopy)
}

// done takes the server's response.
func (f *flow) done(served bool, token mint.Token, last bool) {
	c := f.caller
	if f.closed || c.flow != f {
		return
	}
	f.token = token
	f.seq += 100
	f.ack += responseSize
	f.packet(core.Packet{Seq: f.seq, Ack: f.ack, Close: last || !c.long})
	if last || !c.long {
		f.close()
	}
	if !c.waiting {
		return
	}
	if served {
		c.end(true)
		return
	}
	c.yard.result.Shed++
	f.close()
	c.yard.after(retryPause, c.retry)
}

func (f *flow) close() {
	f.closed = true
	if f.server != nil {
		delete(f.server.flows, f)
	}
}

// reset takes a reset of the flow.
func (f *flow) reset() {
	if f.closed {
		return
	}
	f.close()
	if f.caller.flow == f {
		f.caller.yard.after(retryPause, f.caller.retry)
	}
}

func (c *caller) retry() {
	if c.waiting {
		c.try()
	}
}

// end records what became of the request, and makes the next one after a pause.
func (c *caller) end(served bool) {
	y := c.yard
	c.waiting = false
	latency := y.now - c.askedAt
	switch {
	case !served:
		y.result.Failed++
		if c.flow != nil {
			c.flow.close()
		}
	case latency <= y.load.Aim:
		y.result.InAim++
		y.result.window(c.askedAt).inAim++
	default:
		y.result.Late++
	}
	if served {
		_ = y.result.Latency.RecordValue(int64(max(latency, 1)))
	}
	if c.long {
		pause := y.rand.ExpFloat64() * float64(y.load.Think) / y.pace()
		y.after(clock.Millis(pause), c.ask)
	}
}
