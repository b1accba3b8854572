package core

import (
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// flowKey identifies a flow by its two addresses.
type flowKey struct {
	client netip.AddrPort
	route  netip.AddrPort
}

// flow is the state that a host keeps for a flow. It is used for retransmissions,
// load and token corrections. Routing a packet after the handshake does not
// require it.
type flow struct {
	server *server
	route  *routes.Route
	// seq is the client's initial sequence number. It distinguishes a retransmitted
	// opening packet from a new flow.
	seq      uint32
	openedAt clock.Millis
	// offeredAt is when the opening packet was first sent to the present server.
	offeredAt clock.Millis
	lastAt    clock.Millis
	// established is set once the client has acknowledged the server's handshake.
	established bool
	// inFlight is set while a request, sent at requestedAt, is in flight. Previous and next
	// link the flow in Core.requests meanwhile.
	inFlight       bool
	previous, next *flow
	requestedAt    clock.Millis
	// loadAtRequest is the number of requests in flight per slot of the server when
	// the request began, with this one.
	loadAtRequest float64
	// retransmitted is set once a packet of the current request was retransmitted.
	retransmitted bool
	// active is set while the flow counts as an active long flow.
	active bool
	// requests is the number of requests on the flow, without its opening packet.
	requests int
	// adopted is set on a flow that came from another host, until its first request here,
	// of which it isn't known whether it is the first one of the flow.
	adopted bool
	// openedElsewhere is set on a flow whose opening packet went through another host, so
	// that seq is not known.
	openedElsewhere bool
	// confirmed is set once the client has acknowledged data, or the handshake, under the token
	// of the flow's server. A flow that came from another host may have come with the token of
	// a server that answered another copy of its opening.
	confirmed bool
	// askedAt is when the successor of the server was last asked about the flow, or 0.
	askedAt clock.Millis
	// ack is the highest acknowledgement number seen, dataEnd the highest sequence
	// number at the end of a packet's data.
	ack     uint32
	dataEnd uint32
	// closed is set once the client has closed or aborted the flow.
	closed bool
	// untracked is set on a flow that did not fit into the table. It does not count
	// as load, because no sweep would end it.
	untracked bool
}

// isOpenedBy reports whether an opening packet is one of those that opened the flow. The
// data of a flow follows its client's initial sequence number.
func (f *flow) isOpenedBy(p *Packet) bool {
	if f.openedElsewhere {
		return seqAfter(f.dataEnd, p.Seq) && sameStream(f.dataEnd, p.Seq)
	}
	return f.seq == p.Seq
}

// isOpenedAfter reports whether a later packet is not one of a flow that is being opened, but
// of an earlier one from its client's port. F may be nil.
func (f *flow) isOpenedAfter(p *Packet) bool {
	return f != nil && !f.established && !sameStream(p.Seq, f.seq)
}

// hasOpened reports whether a later packet is one of a flow that this host has opened. F may
// be nil.
func (f *flow) hasOpened(p *Packet) bool {
	return f != nil && !f.openedElsewhere && (!f.established || f.continuedBy(p))
}

// continuedBy reports whether a later packet is one of an established flow, and not of a later
// flow from its client's port: both directions must fit.
func (f *flow) continuedBy(p *Packet) bool {
	return sameStream(p.Ack, f.ack) && sameStream(p.Seq, f.dataEnd)
}

// maxStreamDistance bounds the distance between the numbers of two packets in one direction
// of a flow. Initial sequence numbers are random, so a larger distance means that the flow is
// with another server, or is a later one.
const maxStreamDistance = 1 << 26

// seqAfter reports whether sequence number a follows b, modulo 2^32.
func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }

// sameStream reports whether two sequence or acknowledgement numbers are close enough
// to belong to one byte stream.
func sameStream(a, b uint32) bool {
	d := int32(a - b)
	return d < maxStreamDistance && d > -maxStreamDistance
}

// beginRequest counts a request, or an opening packet, as in flight on the
// server. It does not change flow.requests.
func (f *flow) beginRequest(now clock.Millis) {
	f.requestedAt, f.retransmitted = now, false
	if !f.inFlight && !f.untracked {
		f.inFlight = true
		f.server.backend.RequestStarted()
		f.server.requests.add(f)
	}
}

func (f *flow) endRequest() {
	if f.inFlight {
		f.inFlight = false
		f.server.backend.RequestEnded()
		f.server.requests.remove(f)
	}
}

// markActive counts the flow as an active long flow of its server.
func (f *flow) markActive() {
	if !f.active && !f.untracked {
		f.active = true
		f.server.backend.FlowStarted()
	}
}

// markInactive undoes markActive.
func (f *flow) markInactive() {
	if f.active {
		f.active = false
		f.server.backend.FlowEnded()
	}
}

// moveTo assigns the flow, and the load that it counts as, to another server.
func (f *flow) moveTo(s *server) {
	if f.server == s {
		return
	}
	inFlight, requestedAt, retransmitted, active := f.inFlight, f.requestedAt, f.retransmitted, f.active
	f.endRequest()
	f.markInactive()
	f.server = s
	if inFlight {
		f.beginRequest(requestedAt)
		f.retransmitted = retransmitted
	}
	if active {
		f.markActive()
	}
}

const (
	// requestDecay multiplies the counts of a requestMix at each sweep.
	requestDecay = 0.9
	// minRequestCount is the decayed number of requests below which a requestMix is
	// dropped.
	minRequestCount = 0.01
)

// requestMix counts the requests on a route, with exponential decay: the first
// request of each flow and the further ones.
type requestMix struct {
	first, further float64
}

func (m *requestMix) decay() {
	m.first *= requestDecay
	m.further *= requestDecay
}

func (m *requestMix) negligible() bool { return m.first+m.further < minRequestCount }

// kind returns the expected kind of a new flow on the route: Long if further
// requests outnumber first ones, Short otherwise. M may be nil.
func (m *requestMix) kind() choose.Kind {
	if m != nil && m.further > m.first {
		return choose.Long
	}
	return choose.Short
}
