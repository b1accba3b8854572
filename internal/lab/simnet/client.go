package simnet

import (
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

const (
	// requestTimeout is the time after which a client gives up a request.
	// maxAttempts is the maximum number of flows that it opens for one request.
	requestTimeout = 1500 * clock.Millis(1)
	maxAttempts    = 3
	// retryDelay is the wait before the next attempt of a shed or reset request.
	retryDelay = 30 * clock.Millis(1)
	// firstRetransmit and secondRetransmit are the times after an opening packet
	// at which it is retransmitted. Requests are retransmitted after
	// firstRetransmit and then with exponential backoff.
	firstRetransmit  = 200 * clock.Millis(1)
	secondRetransmit = 600 * clock.Millis(1)
)

// client sends requests one after the other on a long flow, or a single request
// on a short flow.
type client struct {
	sim    *simulation
	centre int
	long   bool
	// kind is the kind of a request in a scenario with kinds, and route its address.
	kind  *Kind
	route netip.AddrPort
	// pool is the pool to which a pooled client returns after each request, or nil.
	pool *pool
	flow *flow
	// requestID numbers the client's requests; startedAt is when the latest one
	// was first sent.
	requestID int
	startedAt clock.Millis
	attempts  int
	// waiting is true until the latest request is finished.
	waiting bool
}

// flow is the client's end of a flow.
type flow struct {
	client     *client
	clientAddr netip.AddrPort
	server     *server
	token      tokens.Token
	seq        uint32
	ack        uint32
	// receivedSeq is the sequence number of the last request that the server
	// received on this flow.
	receivedSeq uint32
	closed      bool
}

// startRequest starts a new request and its timeout.
func (c *client) startRequest() {
	sim := c.sim
	c.requestID++
	c.startedAt, c.attempts, c.waiting = sim.now, 0, true
	sim.result.Requests++
	sim.result.window(c.startedAt).requests++
	if sim.inBurst(c.startedAt) {
		sim.result.Burst.Requests++
	}
	id := c.requestID
	sim.after(sim.scenario.requestTimeout(), func() {
		if c.requestID == id && c.waiting {
			c.finish(false)
		}
	})
	c.attempt()
}

// attempt sends the request on the open flow, or opens a flow. It fails the
// request after maxAttempts flows.
func (c *client) attempt() {
	if c.flow != nil && !c.flow.closed {
		c.flow.sendRequest()
		return
	}
	if c.attempts++; c.attempts > maxAttempts {
		c.finish(false)
		return
	}
	sim := c.sim
	sim.lastFlow++
	f := &flow{client: c, seq: sim.rand.Uint32() &^ 0xffff}
	f.clientAddr = netip.AddrPortFrom(
		netip.AddrFrom4([4]byte{100, 64, byte(c.centre), byte(sim.lastFlow >> 16)}), uint16(sim.lastFlow))
	c.flow = f
	for retransmissions, delay := range []clock.Millis{0, firstRetransmit, secondRetransmit} {
		sim.after(delay, func() {
			if f.server == nil && !f.closed {
				// The Ack of an opening packet is the number of its earlier
				// transmissions.
				f.sendPacket(core.Packet{Seq: f.seq, Ack: uint32(retransmissions), Open: true})
			}
		})
	}
	if c.kind != nil {
		sim.after(openingTimeout, func() {
			if f.server == nil {
				f.onReset()
			}
		})
	}
}

// requestBytes returns the length of a request.
func (c *client) requestBytes() int {
	if c.kind != nil && c.kind.Bytes > 0 {
		return c.kind.Bytes
	}
	return requestBytes
}

func (f *flow) sendPacket(p core.Packet) {
	p.From, p.To = f.clientAddr, shortRoute
	if f.client.long {
		p.To = longRoute
	}
	if f.client.kind != nil {
		p.To = f.client.route
	}
	p.Token = f.token
	f.client.sim.forward(f.client.centre, p, f)
}

// onAccept receives the server's handshake reply and completes the handshake.
func (f *flow) onAccept(s *server, token tokens.Token) {
	sim := f.client.sim
	sim.after(clientDelay, func() {
		if f.server != nil || f.closed || sim.partitioned(f.client.centre, s.centre) {
			return
		}
		f.server, f.token, f.ack = s, token, sim.rand.Uint32()
		f.seq++
		s.flows[f] = true
		f.sendPacket(core.Packet{Seq: f.seq, Ack: f.ack})
		f.sendRequest()
	})
}

// sendRequest sends the request that is waiting and retransmits it until it is
// answered.
func (f *flow) sendRequest() {
	if f.server == nil || f.closed || !f.client.waiting {
		return
	}
	id := f.client.requestID
	f.sendPacket(core.Packet{Seq: f.seq, Ack: f.ack, Length: f.client.requestBytes()})
	var retransmitAfter func(delay clock.Millis)
	retransmitAfter = func(delay clock.Millis) {
		f.client.sim.after(delay, func() {
			if f.client.requestID == id && f.client.waiting && !f.closed && f.client.flow == f {
				f.sendPacket(core.Packet{Seq: f.seq, Ack: f.ack, Length: f.client.requestBytes()})
				retransmitAfter(2 * delay)
			}
		})
	}
	retransmitAfter(firstRetransmit)
}

// onResponse receives the server's response: served is false for a shed request,
// last is true if the server closes the flow.
func (f *flow) onResponse(served bool, token tokens.Token, last bool) {
	c := f.client
	if f.closed || c.flow != f {
		return
	}
	f.token = token
	f.seq += uint32(c.requestBytes())
	f.ack += responseBytes
	if c.kind != nil && !c.long {
		// The first bytes of the response are acknowledged before the last ones.
		f.sendPacket(core.Packet{Seq: f.seq, Ack: f.ack})
		c.sim.after(1, func() { f.sendPacket(closing(f)) })
	} else {
		f.sendPacket(core.Packet{Seq: f.seq, Ack: f.ack, Close: last || !c.long})
	}
	if last || !c.long {
		f.close()
	}
	if !c.waiting {
		return
	}
	if served {
		c.finish(true)
		return
	}
	c.sim.result.Shed++
	f.close()
	c.sim.after(c.sim.scenario.retryDelay(), c.retry)
}

// closing returns the packet that ends the flow.
func closing(f *flow) core.Packet { return core.Packet{Seq: f.seq, Ack: f.ack, Close: true} }

func (f *flow) close() {
	f.closed = true
	if f.server != nil {
		delete(f.server.flows, f)
	}
}

// onReset closes the flow after a reset and retries its request.
func (f *flow) onReset() {
	if f.closed {
		return
	}
	f.close()
	if f.client.flow == f {
		f.client.sim.after(f.client.sim.scenario.retryDelay(), f.client.retry)
	}
}

func (c *client) retry() {
	if c.waiting {
		c.attempt()
	}
}

// finish records the outcome of the request. A client with a long flow starts the
// next request after its think time, a pooled one returns to its pool.
func (c *client) finish(served bool) {
	sim := c.sim
	c.waiting = false
	if c.kind != nil {
		sim.recordKind(c.kind, c.startedAt, served)
	} else {
		sim.record(c.startedAt, served, sim.scenario.target(c.long))
	}
	if !served && c.flow != nil {
		c.flow.close()
	}
	switch {
	case c.pool != nil:
		c.pool.release(c)
	case c.long:
		thinkTime := sim.rand.ExpFloat64() * float64(sim.scenario.ThinkTime) / sim.rateFactor()
		sim.after(clock.Millis(thinkTime), c.startRequest)
	}
}
