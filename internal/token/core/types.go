// Package core decides what becomes of the packets of flows that are routed by
// token: each packet after the handshake carries the token that its sender
// received last, so any host can route it without having seen the flow.
//
// The package does no I/O. Its caller passes the time and each packet, and
// carries out the Action returned.
package core

import (
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/token/mint"
)

// Packet is what a host reads of a caller's packet.
type Packet struct {
	// From is the caller's address, To the address of the route.
	From netip.AddrPort
	To   netip.AddrPort
	// Seq is the position of the data, or in an opening packet the caller's
	// choice of a first position.
	Seq uint32
	// Ack is the position up to which the caller has the server's data. In an
	// opening packet it counts the copies sent before.
	Ack uint32
	// Length is the length of the data in bytes.
	Length int
	Token  mint.Token
	// Open marks an opening packet, Close the last one of its end, Abort a
	// reset by the caller.
	Open  bool
	Close bool
	Abort bool
}

// Verdict says what becomes of a packet.
type Verdict uint8

// Verdicts.
const (
	// Drop discards the packet. Its sender sends it again.
	Drop Verdict = iota
	// Forward sends the packet on to a server.
	Forward
	// Reset tells the caller that the flow does not exist.
	Reset
)

// String returns the verdict in lower case.
func (v Verdict) String() string { return [...]string{"drop", "forward", "reset"}[v] }

// Reason says why a verdict was given.
type Reason uint8

// Reasons.
const (
	NoReason Reason = iota
	// NoConfig is given before the host has a routing table.
	NoConfig
	// NoRoute is given for an address without a route.
	NoRoute
	// RouteRemoved is given for a flow whose route was removed.
	RouteRemoved
	// NoServer is given when no server of the service takes new flows.
	NoServer
	// UnknownToken is given for a token that names no known server.
	UnknownToken
	// ServerEnded is given for a flow of a server that has ended.
	ServerEnded
	// NewFlow is given for a flow opened now.
	NewFlow
	// MovedFlow is given for the copy of an opening packet that goes to another
	// server than the packet did.
	MovedFlow
	// CorrectedToken is given for a packet whose token names another server
	// than the one that holds the flow.
	CorrectedToken
)

// String returns the reason in camel case.
func (r Reason) String() string {
	return [...]string{
		"none", "noConfig", "noRoute", "routeRemoved", "noServer", "unknownToken",
		"serverEnded", "newFlow", "movedFlow", "correctedToken",
	}[r]
}

// Action is what the caller does with a packet.
type Action struct {
	Verdict Verdict
	Reason  Reason
	// Server is the address to forward to, and Number the server that is meant.
	Server netip.AddrPort
	Number uint64
	// Token is written into the forwarded packet.
	Token mint.Token
	// ServerID is the ID of the server, for logs.
	ServerID string
	// Service is the service of the server.
	Service string
	// Load is the load by which the server was chosen.
	Load float64
	// Handshake is the time from the opening packet to its first acknowledgement,
	// and Response the time from a request to the first acknowledgement of its
	// response, when this packet brought them. Both are 0 otherwise.
	Handshake clock.Millis
	Response  clock.Millis
}

// Ending tells of a flow, or a request, that was given up without an answer.
type Ending struct {
	Caller   netip.AddrPort
	Route    netip.AddrPort
	ServerID string
	// Opened is false for a flow whose opening packet was never answered.
	Opened bool
	// Waited is the time since the opening packet or the request.
	Waited clock.Millis
}

// Update is news from the control hosts.
type Update struct {
	// Servers are records with their silence, as one control host sees it.
	Servers []ServerNews
	// Loads maps tokens to the load that all other hosts report. It replaces the
	// loads before when it is not nil.
	Loads choose.Shares
	// Silence tells whether a server still announces itself, and whether that is
	// known. It is not asked when it is nil.
	Silence func(id string) (silent, known bool)
}

// ServerNews is a record with what a control host adds.
type ServerNews struct {
	Record fleet.Record
	// Age is the time since the server announced itself.
	Age clock.Millis
	// Ended says that the incarnation is known to have ended.
	Ended bool
}
