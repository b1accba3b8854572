// Package loss holds the reasons for which an entry host resets flows and answers
// requests as unknown, and collects such losses for logs.
package loss

import "net/netip"

// ResetReason tells why a flow was reset or its packet was refused.
type ResetReason uint8

// Reasons of a reset.
const (
	// NoService means that no service has the address.
	NoService ResetReason = iota + 1
	// NoServer means that no server of the service takes the flow.
	NoServer
	// UnknownFlow means that a packet in the middle of a flow belongs to no known flow.
	UnknownFlow
	// NoProgress means that the client kept retransmitting a segment, or that all packets
	// of a flow by UDP were dropped, for a long time.
	NoProgress
	// ClientSilent means that the client answered no probe.
	ClientSilent
)

// String returns the reason in camel case, as logs show it.
func (r ResetReason) String() string {
	return [...]string{"none", "noRoute", "noServer", "unknownFlow", "noProgress", "clientSilent"}[r]
}

// Reset describes a flow that was reset, or whose packet was refused.
type Reset struct {
	Client  netip.AddrPort
	Service netip.AddrPort
	// Server is the server of the flow, or "" if it is unknown.
	Server string
	Reason ResetReason
}

// UnknownReason tells why a request was answered as unknown.
type UnknownReason uint8

// Reasons of an unknown outcome.
const (
	// NoMajority means that the host lacks a majority, so that another one may have
	// sent the request.
	NoMajority UnknownReason = iota + 1
	// HistoryUnknown means that the host took over the request's bucket after the
	// request was first sent, and no host could tell whether it was sent to a server.
	HistoryUnknown
	// NoOutcome means that the request was sent to a server whose answer is missing.
	NoOutcome
	// SentByAnother means that the host had accepted the request as owner, or had
	// recorded it for another owner, when its sender wanted it forwarded.
	SentByAnother
)

// String returns the reason in camel case, as logs show it.
func (r UnknownReason) String() string {
	return [...]string{"none", "noMajority", "historyUnknown", "noOutcome", "sentByAnother"}[r]
}

// Unknown is a request that was answered as unknown.
type Unknown struct {
	// ID is the ID that its client gave the request.
	ID     string
	Reason UnknownReason
	// Server is the server whose answer is missing, or "" if the request was sent to none.
	Server string
}

// maxKept is the maximum number of losses of each kind that a List keeps.
const maxKept = 32

// List collects losses. It leaves out some if there are many. It is not safe for
// concurrent use.
type List struct {
	resets   []Reset
	unknowns []Unknown
}

// AddReset adds a reset.
func (l *List) AddReset(r Reset) {
	if len(l.resets) < maxKept {
		l.resets = append(l.resets, r)
	}
}

// AddUnknown adds a request that was answered as unknown.
func (l *List) AddUnknown(u Unknown) {
	if len(l.unknowns) < maxKept {
		l.unknowns = append(l.unknowns, u)
	}
}

// Resets returns the resets. The result is valid until Clear.
func (l *List) Resets() []Reset { return l.resets }

// Unknowns returns the requests that were answered as unknown. The result is valid
// until Clear.
func (l *List) Unknowns() []Unknown { return l.unknowns }

// Clear empties the list.
func (l *List) Clear() { l.resets, l.unknowns = l.resets[:0], l.unknowns[:0] }
