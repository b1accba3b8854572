package core

import (
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/flow/table"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// ResetReason tells why a flow was reset or its packet was refused.
type ResetReason uint8

// Reasons.
const (
	// NoService means that no service has the address.
	NoService ResetReason = iota + 1
	// NoServer means that no server of the service takes the flow.
	NoServer
	// UnknownFlow means that a packet in the middle of a flow belongs to no known flow.
	UnknownFlow
	// ServerEnded means that the server of the flow has ended, or now belongs to
	// another service.
	ServerEnded
	// NoProgress means that the client kept retransmitting a segment that reached its
	// server.
	NoProgress
	// ClientSilent means that the client answered no probe.
	ClientSilent
)

// String returns the reason in camel case.
func (r ResetReason) String() string {
	return [...]string{"none", "noRoute", "noServer", "unknownFlow", "serverEnded", "noProgress", "clientSilent"}[r]
}

// Reset describes a flow that this host reset, or whose packet it refused.
type Reset struct {
	Client  netip.AddrPort
	Service netip.AddrPort
	// Server is the server of the flow, or "" if it is unknown.
	Server string
	Reason ResetReason
}

// maxResets is the maximum number of resets, and of unknown outcomes, in one Output.
const maxResets = 32

func (c *Core) noteReset(key *inner.Key, server table.NameID, reason ResetReason) {
	if len(c.out.Resets) < maxResets {
		c.out.Resets = append(c.out.Resets, Reset{Client: key.Src(), Service: key.Dst(), Server: c.interner.Name(server), Reason: reason})
	}
}

// refuse rejects p with an ICMP port unreachable message for UDP, or a reset
// for TCP. Server is the server of its flow, or 0 if it is unknown.
func (c *Core) refuse(p *inner.Packet, in *arrival, server table.NameID, reason ResetReason) {
	if p.Flags&inner.RST != 0 && p.Key.Proto() == inner.TCP {
		return
	}
	c.noteReset(&p.Key, server, reason)
	if p.Key.Proto() == inner.UDP {
		c.send(in.origin, inner.BuildUnreachable(p), nil)
		return
	}
	c.send(in.origin, inner.BuildReset(p), nil)
}

// UnknownReason tells why a request was answered as unknown.
type UnknownReason uint8

// Reasons.
const (
	// NoMajority means that this host lacks a majority, so that another one may have
	// sent the request.
	NoMajority UnknownReason = iota + 1
	// HistoryUnknown means that this host took over the request's bucket after the
	// request was first sent, and no host could tell whether it was sent to a server.
	HistoryUnknown
	// NoOutcome means that the request was sent to a server whose answer is missing.
	NoOutcome
	// SentByAnother means that this host recorded it for another owner, or accepted it
	// as owner, when its sender wanted it forwarded.
	SentByAnother
)

// String returns the reason in camel case.
func (r UnknownReason) String() string {
	return [...]string{"none", "noMajority", "historyUnknown", "noOutcome", "sentByAnother"}[r]
}

// UnknownOutcome is a request that was answered as unknown.
type UnknownOutcome struct {
	ID     string
	Reason UnknownReason
}

func (c *Core) noteUnknown(id string, reason UnknownReason) {
	if len(c.out.Unknowns) < maxResets {
		c.out.Unknowns = append(c.out.Unknowns, UnknownOutcome{id, reason})
	}
}
