package core

import (
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// flowKey names a flow by its two ends.
type flowKey struct {
	caller netip.AddrPort
	route  netip.AddrPort
}

// flow is what a host remembers of a flow that it sees. The memory helps with
// copies, load and corrections; no packet after the handshake depends on it.
type flow struct {
	server *server
	route  *routes.Route
	// seq is the caller's first position, by which the copies of an opening
	// packet are told from another flow.
	seq      uint32
	openedAt clock.Millis
	lastAt   clock.Millis
	// open is set once the caller has acknowledged the server's handshake.
	open bool
	// busy is set while a request is in progress, since busySince.
	busy      bool
	busySince clock.Millis
	// resent is set once a packet of the present request was sent again.
	resent bool
	// counted is set while the flow counts as a long one in use.
	counted bool
	// requests is the count of requests seen on the flow.
	requests int
	// ack is the highest position acknowledged, and data the end of the highest
	// data seen.
	ack   uint32
	data  uint32
	ended bool
	// untracked is set on a flow for which the table had no room. It counts as no
	// load, since nothing would end it.
	untracked bool
}

// ackSpan bounds how far acknowledgements of one flow are apart between two
// packets that a host sees: positions of different servers are drawn at random.
const ackSpan = 1 << 26

// after reports whether position a follows b, in arithmetic modulo 2^32.
func after(a, b uint32) bool { return int32(a-b) > 0 }

// near reports whether two positions belong to one stream of bytes.
func near(a, b uint32) bool {
	d := int32(a - b)
	return d < ackSpan && d > -ackSpan
}

// begin counts a request in progress, which the opening of a flow announces.
func (f *flow) begin(now clock.Millis) {
	f.busySince, f.resent = now, false
	if !f.busy && !f.untracked {
		f.busy = true
		f.server.load.Began()
	}
}

func (f *flow) finish() {
	if f.busy {
		f.busy = false
		f.server.load.Ended()
	}
}

// use counts the flow as a long one in use.
func (f *flow) use() {
	if !f.counted && !f.untracked {
		f.counted = true
		f.server.load.FlowBegan()
	}
}

// release undoes use.
func (f *flow) release() {
	if f.counted {
		f.counted = false
		f.server.load.FlowEnded()
	}
}

// move assigns the flow to another server.
func (f *flow) move(s *server) {
	if f.server == s {
		return
	}
	busy, since, counted := f.busy, f.busySince, f.counted
	f.finish()
	f.release()
	f.server = s
	if busy {
		f.begin(since)
	}
	if counted {
		f.use()
	}
}

// fading is the part of a usage that is left after a sweep.
const fading = 0.9

// usage tells from the flows of a route whether they carry many requests.
type usage struct {
	first, further float64
}

func (u *usage) fade() {
	u.first *= fading
	u.further *= fading
}

func (u *usage) idle() bool { return u.first+u.further < leastMean }

// kind returns what a new flow of the route is taken to be.
func (u *usage) kind() choose.Kind {
	if u != nil && u.further > u.first {
		return choose.Long
	}
	return choose.Short
}
