package shape_test

import (
	"fmt"
	"net/netip"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/token/shape"
)

const (
	dataSize   = 1200
	smallSize  = 900
	tokenSize  = 20
	headerSize = 28
	window     = 16
	firstRetry = 200
	lastRetry  = 1600
	// roundTrip is the way to the server and back, without the waits in queues.
	roundTrip = 4
	playTime  = 9000
	// uploadsAt is when the uploads of a play begin.
	uploadsAt = 500
)

// uploadRoute is the route of uploads. That of small requests is route.
var uploadRoute = netip.MustParseAddrPort("198.18.0.2:443")

func flowOf(n int) *shape.Flow {
	return &shape.Flow{Client: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 4000), Route: route}
}

// packet is a packet of flow number flow that was sent at sentAt.
type packet struct {
	flow, length int
	seq          uint32
	sentAt       clock.Millis
}

// pipe is a link with a first-in, first-out queue. It carries perMilli bytes a
// millisecond.
type pipe struct {
	perMilli, budget float64
	queue            []packet
}

// take returns the packets that leave the pipe in this millisecond.
func (p *pipe) take() []packet {
	p.budget += p.perMilli
	n := 0
	for ; n < len(p.queue); n++ {
		size := float64(p.queue[n].length + tokenSize + headerSize)
		if p.budget < size {
			break
		}
		p.budget -= size
	}
	out := p.queue[:n]
	p.queue = p.queue[n:]
	if len(p.queue) == 0 {
		p.budget = min(p.budget, 0)
	}
	return out
}

// host is an entry host, with a shaper or nil, between the links from the clients and to
// the servers. It is idle while paused.
type host struct {
	in, out pipe
	shaper  *shape.Shaper
	paused  func(now clock.Millis) bool
	waiting []packet
}

func newHost(shaped bool, carries float64) *host {
	h := &host{in: pipe{perMilli: carries / 8000}, out: pipe{perMilli: carries / 8000}, paused: func(clock.Millis) bool { return false }}
	if shaped {
		h.shaper = shape.New(shape.Options{LinkRate: linkRate})
	}
	return h
}

// step runs the host for a millisecond and returns what reaches the servers.
func (h *host) step(now clock.Millis) []packet {
	h.waiting = append(h.waiting, h.in.take()...)
	if !h.paused(now) {
		h.forward(now)
	}
	return h.out.take()
}

func (h *host) forward(now clock.Millis) {
	for _, p := range h.waiting {
		if h.shaper == nil || h.offer(now, p) == shape.Send {
			h.out.queue = append(h.out.queue, p)
		}
	}
	h.waiting = nil
	for h.shaper != nil {
		p, ok := h.shaper.Next(now)
		if !ok {
			break
		}
		h.out.queue = append(h.out.queue, decode(p))
	}
}

// offer offers a packet to the shaper. The address has its flow and the datagram when it
// was sent.
func (h *host) offer(now clock.Millis, p packet) shape.Verdict {
	datagram := make([]byte, p.length+tokenSize)
	copy(datagram, fmt.Sprint(p.sentAt, " "))
	flow := flowOf(p.flow)
	if p.length == dataSize {
		flow.Route = uploadRoute
	}
	return h.shaper.Offer(now, flow, &shape.Packet{Seq: p.seq, Length: p.length, To: flowOf(p.flow).Client, Datagram: datagram})
}

func decode(p *shape.Packet) packet {
	b := p.To.Addr().As4()
	out := packet{flow: int(b[1])<<16 | int(b[2])<<8 | int(b[3]), length: p.Length, seq: p.Seq}
	_, _ = fmt.Sscan(string(p.Datagram[:tokenSize]), &out.sentAt)
	return out
}

// upload is a sender that has up to window packets in flight.
type upload struct {
	flow, packets int
	// next is the first packet that was not sent, acked the first that isn't acknowledged.
	next, acked int
	// received counts the arrivals of each packet, sent its transmissions.
	received, sent []int
	// reordered counts first transmissions that arrived after a later one.
	reordered, highest int
	retryAt, timeout   clock.Millis
	acks               []ack
	done               clock.Millis
}

type ack struct {
	at    clock.Millis
	acked int
}

func newUpload(flow, size int) *upload {
	n := (size + dataSize - 1) / dataSize
	return &upload{flow: flow, packets: n, received: make([]int, n+1), sent: make([]int, n), highest: -1, timeout: firstRetry}
}

// step sends what the window allows, and the first missing packet again after a time-out.
func (u *upload) step(now clock.Millis, h *host) {
	for len(u.acks) > 0 && u.acks[0].at <= now {
		if u.acks[0].acked > u.acked {
			u.acked, u.timeout, u.retryAt = u.acks[0].acked, firstRetry, now+firstRetry
		}
		u.acks = u.acks[1:]
	}
	if u.acked == u.packets {
		if u.done == 0 {
			u.done = now
		}
		return
	}
	for ; u.next < min(u.packets, u.acked+window); u.next++ {
		if u.next == 0 {
			u.retryAt = now + u.timeout
		}
		u.send(now, h, u.next)
	}
	if now >= u.retryAt {
		u.send(now, h, u.acked)
		u.timeout = min(2*u.timeout, lastRetry)
		u.retryAt = now + u.timeout
	}
}

func (u *upload) send(now clock.Millis, h *host, n int) {
	u.sent[n]++
	h.in.queue = append(h.in.queue, packet{u.flow, dataSize, uint32(n * dataSize), now})
}

func (u *upload) receive(now clock.Millis, p packet) {
	n := int(p.seq) / dataSize
	u.received[n]++
	if n < u.highest && u.sent[n] == 1 {
		u.reordered++
	}
	u.highest = max(u.highest, n)
	// The last place is never filled.
	u.acks = append(u.acks, ack{now + roundTrip, slices.Index(u.received, 0)})
}

// result is what the callers of a play got.
type result struct {
	uploads []*upload
	// waits are the sorted waits of small requests in all queues.
	waits []clock.Millis
	stats shape.Stats
}

// wait returns the quantile of the waits at percent.
func (r *result) wait(percent int) clock.Millis { return r.waits[(len(r.waits)-1)*percent/100] }

func (r *result) String() string {
	var took []clock.Millis
	sent := 0
	for _, u := range r.uploads {
		took = append(took, u.done-uploadsAt)
		for _, n := range u.sent {
			sent += n
		}
	}
	return fmt.Sprintf("uploads %v with %d packets, %d small requests waited p50 %d p99 %d max %d, %+v",
		took, sent, len(r.waits), r.wait(50), r.wait(99), r.wait(100), r.stats)
}

// play runs uploads of the given sizes beside small requests, of a flow each, that need a
// share of linkRate.
func play(h *host, share float64, uploads ...int) *result {
	r := &result{}
	for i, size := range uploads {
		r.uploads = append(r.uploads, newUpload(i, size))
	}
	due, flows := 0.0, len(uploads)
	for now := clock.Millis(1); now <= playTime; now++ {
		for due += share * linkRate / 8000; due >= smallSize+tokenSize+headerSize; due -= smallSize + tokenSize + headerSize {
			h.in.queue = append(h.in.queue, packet{flows, smallSize, 1, now})
			flows++
		}
		for _, u := range r.uploads {
			if now > uploadsAt {
				u.step(now, h)
			}
		}
		for _, p := range h.step(now) {
			if p.flow < len(r.uploads) {
				r.uploads[p.flow].receive(now, p)
			} else {
				r.waits = append(r.waits, now-p.sentAt)
			}
		}
	}
	slices.Sort(r.waits)
	if h.shaper != nil {
		r.stats = h.shaper.Stats(playTime)
	}
	return r
}
