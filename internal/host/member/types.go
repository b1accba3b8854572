// Package member keeps the group membership of the entry hosts of one data
// centre by the SWIM protocol, with probes, suspicion, incarnations and gossip.
// The bytes that each host sends per second do not grow with the size of the
// group.
package member

import "monsooncleat.example/monsooncleat/internal/base/clock"

// State is the state of a host in the membership.
type State uint8

// States. At the same incarnation, a state overrides those listed before it.
const (
	Alive State = iota
	// Suspect hosts did not answer a probe. They are declared dead unless they
	// refute the suspicion in time.
	Suspect
	Dead
	// Left hosts have shut down in an orderly way.
	Left
)

// String returns the state in lower case.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// Phase is the stage of a host between its start and its shutdown. Only Serving
// hosts own keys. The others relay packets to the owners.
type Phase uint8

// Phases.
const (
	// Joining hosts do not yet have the state that they need to serve.
	Joining Phase = iota
	Serving
	// Leaving hosts hand their keys over to the new owners.
	Leaving
)

// String returns the phase in lower case.
func (p Phase) String() string { return [...]string{"joining", "serving", "leaving"}[min(p, Leaving)] }

// Info is the gossiped record of one host.
type Info struct {
	Name string
	// Fabric is the host's address for datagrams, and Peer that for frames.
	Fabric string
	Peer   string
	// Boot identifies one run of the host. It changes when the host loses its
	// state, by a restart or by rejoining after it was declared dead.
	Boot  uint64
	Phase Phase
	// Incarnation orders the records of one host. Only the host itself
	// increments it.
	Incarnation uint64
	State       State
}

// overrides reports whether a replaces b as the record of the same host.
func (a *Info) overrides(b *Info) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// Ping is a probe of the receiver.
type Ping struct {
	Seq     uint64
	From    string
	Members []Info
	// Payload is the data from the Piggyback of the sender.
	Payload []byte
}

// Ack answers a Ping or a PingReq. Target is the host that was probed.
type Ack struct {
	Seq     uint64
	From    string
	Target  string
	Members []Info
	// Payload is the data from the Piggyback of the sender.
	Payload []byte
}

// PingReq asks the receiver to probe Target for the sender.
type PingReq struct {
	Seq     uint64
	From    string
	Target  string
	Members []Info
}

// Sync carries the sender's whole membership. The receiver of a codec.Sync
// frame replies with its own in a codec.SyncReply frame.
type Sync struct {
	From    string
	Members []Info
	// Payload is the data from the Piggyback of the sender.
	Payload []byte
}

// Timing sets the intervals and timeouts of a Group.
type Timing struct {
	// Period is the interval between two probes that a host sends.
	Period clock.Millis
	// AckWait is the timeout of a direct probe. After it, indirect probes are
	// requested, and after the same time again the host becomes suspect.
	AckWait clock.Millis
	// SuspectFor is how long a suspect has to refute before it is declared
	// dead.
	SuspectFor clock.Millis
	// FenceAfter is how long after sending its last answered probe a host becomes
	// fenced. It is shorter than 2*AckWait plus SuspectFor, after which others
	// declare the host dead.
	FenceAfter clock.Millis
	// DeadRetention is how long a dead host stays in the membership and counts for
	// the majority. For as long after the start, the group counts as having at least
	// as many members as there are seeds, plus this host.
	DeadRetention clock.Millis
}

// DefaultTiming detects a dead host within about two seconds.
var DefaultTiming = Timing{
	Period: 200, AckWait: 200, SuspectFor: 700, FenceAfter: 800, DeadRetention: 2 * clock.Minute,
}

// helperCount is the number of hosts that are asked to probe a host that did
// not answer.
const helperCount = 2

// maxUpdates is the maximum number of gossiped records in one message.
const maxUpdates = 6
