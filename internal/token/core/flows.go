package core

import (
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
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
	// ack is the highest position acknowledged, and data the end of the highest
	// data seen.
	ack  uint32
	data uint32
	// others is set when opening packets went to more than one server.
	others bool
	ended  bool
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

func (f *flow) begin(now clock.Millis) {
	if !f.busy {
		f.busy, f.busySince = true, now
		f.server.load.Began()
	}
}

func (f *flow) finish() {
	if f.busy {
		f.busy = false
		f.server.load.Ended()
	}
}

// move assigns the flow to another server.
func (f *flow) move(s *server) {
	if f.server == s {
		return
	}
	busy, since := f.busy, f.busySince
	f.finish()
	f.server = s
	if busy {
		f.begin(since)
	}
}
