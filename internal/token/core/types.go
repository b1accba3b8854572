// Package core decides how to handle the packets of flows that are routed by
// token. Each packet after the handshake carries the token that its sender
// received last, so any host can route it without state for the flow.
//
// The package does no I/O. The program that uses it passes in the time and each
// packet, and carries out the returned Action.
package core

import (
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
)

// Packet holds the fields of a client's packet that routing depends on.
type Packet struct {
	// From is the client's address, To the address of the route.
	From netip.AddrPort
	To   netip.AddrPort
	// Seq is the sequence number of the first byte of data, or in an opening
	// packet the client's initial sequence number.
	Seq uint32
	// Ack is the acknowledgement number for the server's data. In an opening
	// packet it is the number of transmissions before this one.
	Ack uint32
	// Length is the length of the data in bytes.
	Length int
	Token  tokens.Token
	// Open marks an opening packet, Close the last packet from the client, Abort
	// a reset by the client.
	Open  bool
	Close bool
	Abort bool
	// Waited is the longest time for which the packet may have waited on this host
	// before it is decided, if the process ran as soon as something had arrived.
	Waited clock.Millis
	// LongestWait is the same for a process that may have been short of processor time. It
	// is 0 if that isn't known.
	LongestWait clock.Millis
	// AfterStall is set if the packet may have arrived while the process was stalled.
	// Routers may have sent copies of it to other hosts meanwhile.
	AfterStall bool
	// LinkFull is set on an opening packet if the link of this host has no room for the
	// data of another flow of the route.
	LinkFull bool
}

// mayHaveCopy reports whether another transmission of an opening packet may have opened
// the flow through another host, whatever this host knows of routes, servers and loads.
func (p *Packet) mayHaveCopy() bool { return p.Ack > 0 || p.AfterStall }

// mayBeRefused reports whether an opening packet that can't be served may be answered with
// a reset: it has no copy, neither an earlier one nor one that was sent while it waited on
// this host.
func (p *Packet) mayBeRefused() bool { return !p.mayHaveCopy() && !p.mayBeOvertaken(refusalTime) }

// mayBeOvertaken reports whether the client may have sent a copy of an opening packet, or may
// have given up, before a decision that takes the given time takes effect.
func (p *Packet) mayBeOvertaken(taking clock.Millis) bool {
	sent, next := copyAges[min(int(p.Ack), len(copyAges)-1)], handshakeTimeout
	if n := int(p.Ack) + 1; n < len(copyAges) {
		next = copyAges[n]
	}
	return max(p.Waited, p.LongestWait)+taking >= next-sent
}

// isOutdated reports whether the client may have sent a copy of an opening packet, or may
// have given up, while the packet waited on this host. After a stall, it will soon do so. If
// routers have sent the copy to another host, a second server would answer the client of an
// open flow.
func (p *Packet) isOutdated() bool {
	return p.AfterStall && p.Ack == 0 || p.mayBeOvertaken(decisionTime)
}

// late reports whether the packet may have waited for so long that it says little about
// when its sender sent it.
func (p *Packet) late() bool { return p.Waited > maxMeasuredWait }

// Verdict is the decision on a packet.
type Verdict uint8

// Verdicts.
const (
	// Drop discards the packet. The client retransmits it.
	Drop Verdict = iota
	// Forward sends the packet to a server.
	Forward
	// Reset tells the client that its flow is reset.
	Reset
)

// String returns the verdict in lower case.
func (v Verdict) String() string { return [...]string{"drop", "forward", "reset"}[v] }

// Reason explains a verdict.
type Reason uint8

// Reasons.
const (
	NoReason Reason = iota
	// NoConfig means that the host has no routing table yet.
	NoConfig
	// NoRoute means that the address has no route.
	NoRoute
	// RouteRemoved means that the route of the flow was removed.
	RouteRemoved
	// NoServer means that no server of the route's services takes new flows.
	NoServer
	// UnknownToken means that the token identifies no known server.
	UnknownToken
	// NewFlow means that the packet opened a flow.
	NewFlow
	// MovedFlow means that a retransmitted opening packet goes to another server
	// than the transmission before.
	MovedFlow
	// Contradicted means that the server answers although it is said to have ended.
	Contradicted
	// AskedSuccessor means that the server that is said to have replaced the one of the flow
	// gets the packet, too.
	AskedSuccessor
	// CorrectedToken means that the token did not identify the server that holds
	// the flow, and was replaced.
	CorrectedToken
	// Overloaded means that the servers could not answer a new flow in time.
	Overloaded
	// LinkFull means that the link of the host has no room for a new flow.
	LinkFull
	// ColdServers means that all servers are cold, and that this host may not open
	// another flow on one of them now.
	ColdServers
	// Stalled means that the opening packet may have waited while the process was stalled.
	Stalled
	// ClosedFlow means that the opening packet is a copy, and that its flow was closed.
	ClosedFlow
	// Outdated means that the client has sent a copy of the opening packet, or has given up,
	// while the packet waited on this host.
	Outdated
	// Reasons is the number of reasons.
	Reasons
)

// String returns the reason in camel case.
func (r Reason) String() string {
	return [...]string{
		"none", "noConfig", "noRoute", "routeRemoved", "noServer", "unknownToken",
		"newFlow", "movedFlow", "contradicted", "askedSuccessor", "correctedToken", "overloaded", "linkFull", "coldServers", "stalled",
		"closedFlow", "outdated",
	}[r]
}

// Action tells how to handle a packet.
type Action struct {
	Verdict Verdict
	Reason  Reason
	// Server is the address of the server to forward to, Number the numeric ID of
	// that server.
	Server netip.AddrPort
	Number uint64
	// AskedNumber is the numeric ID of another server, or 0. It is said to have replaced the
	// flow's server at Server. The packet is sent there under this number, too: only if that
	// server has the address, and the other one has ended, it gets the packet, and resets the
	// flow.
	AskedNumber uint64
	// Token is written into the forwarded packet.
	Token tokens.Token
	// ServerID is the ID of the server, for logs.
	ServerID string
	// Service is the service of the server.
	Service string
	// Load is the load of the server when a new flow was assigned to it, without
	// the penalty for another data centre, or the load for which the flow was
	// refused. It is 0 unless Reason is NewFlow or Overloaded.
	Load float64
	// Claim is why the server is said to have ended, if it is.
	Claim Claim
	// Handshake is the time from the opening packet to the client's next packet,
	// which acknowledges the server's handshake. Response is the time from a
	// request to the client's first acknowledgement of its response. Each is 0
	// unless this packet completed the measurement.
	Handshake clock.Millis
	Response  clock.Millis
}

// Timeout describes an opening packet or a request that was retransmitted and
// given up without an answer.
type Timeout struct {
	Client   netip.AddrPort
	Route    netip.AddrPort
	ServerID string
	// Established is false if the opening packet was never answered.
	Established bool
	// Waited is the time since the opening packet or the request.
	Waited clock.Millis
	// Claim is why the server is said to have ended, if it is.
	Claim Claim
}

// Update carries changes received from the control hosts.
type Update struct {
	// Servers are the servers that changed, as known to one control host.
	Servers []ServerUpdate
	// Loads maps tokens to the load that all other hosts report. If it is not nil, it
	// replaces the previous loads of the servers in LoadCentres, or of all servers if
	// that is nil.
	Loads       choose.Loads
	LoadCentres []string
	// Silence reports whether a server is silent, that is, has stopped sending
	// announcements, and whether that is known. If it is nil, the silent state of
	// all servers stays as it is.
	Silence func(id string) (silent, known bool)
	// Evacuations are the states of the data centres that are or were evacuated. They
	// replace the previous ones if EvacuationsVersion is higher.
	Evacuations        []EvacuationUpdate
	EvacuationsVersion uint64
	// Sharing are the sorted hashes of the entry hosts of this data centre that take new
	// flows, this host included. If it is nil, the previous list stays.
	Sharing []uint64
	// SharingElsewhere maps each other data centre to such a list, while a data centre is
	// evacuated. It replaces the previous lists if Sharing is not nil.
	SharingElsewhere map[string][]uint64
	// Grants replace the previous grants if GrantedAt is not 0, which is when the request
	// that they answer was sent.
	Grants    []GrantUpdate
	GrantedAt clock.Millis
}

// EvacuationUpdate tells whether a data centre is evacuated, and the time since that
// changed.
type EvacuationUpdate struct {
	Centre string
	Active bool
	Age    clock.Millis
	// Changed is the number of the order that changed it last. It tells a change that is
	// already known from a new one, since a control host that was restarted gives its Age
	// as the time since then.
	Changed uint64
}

// GrantUpdate allows this host to open flows on a cold server.
type GrantUpdate struct {
	Token tokens.Token
	// Rate is in requests a second.
	Rate float64
	// Term is how long the grant holds after Update.GrantedAt.
	Term clock.Millis
}

// ServerUpdate is the record of a server with the state that a control host
// derived for it.
type ServerUpdate struct {
	Record fleet.Record
	// Age is the time since the server's latest announcement.
	Age clock.Millis
	// Ended is true if the incarnation is known to have ended.
	Ended bool
	// Aliases are the other starts under whose tokens packets may come.
	Aliases []fleet.Alias
}
