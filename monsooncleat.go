// Package monsooncleat exports the parts of the load balancer that other programs
// can embed. Each part is a deterministic state machine that does no I/O: the
// caller passes in the current time and all events, and carries out the actions
// that are returned. No part starts a goroutine, opens a file or a socket, or is
// safe for concurrent use.
//
// Times and durations are Millis, a number of milliseconds.
package monsooncleat

import (
	"math/rand/v2"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/ask/ledger"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/host/homes"
	"monsooncleat.example/monsooncleat/internal/host/member"
	"monsooncleat.example/monsooncleat/internal/serve/lease"
	"monsooncleat.example/monsooncleat/internal/serve/maglev"
)

// Millis is a time or a duration in milliseconds.
type Millis = clock.Millis

// Placement maps the hash of a key to a backend by weighted consistent hashing. It
// keeps no state per key.
type Placement = maglev.Table

// Backend is a server in a Placement.
type Backend = maglev.Backend

// NewPlacement returns the placement over backends. The number of buckets must be
// prime. Equal arguments give equal placements on all hosts.
func NewPlacement(buckets int, backends []Backend) *Placement {
	return maglev.New(buckets, backends)
}

// Homes maps each bucket of the key space to the host that owns it and to the
// successor of that host.
type Homes = homes.Table

// Host is a host in Homes.
type Host = homes.Host

// NewHomes returns the assignment of all buckets to hosts.
func NewHomes(hosts []Host) *Homes { return homes.New(hosts) }

// Ledger remembers requests by ID, to detect duplicates.
type Ledger = ledger.Ledger

type (
	// Request is one request in a Ledger.
	Request = ledger.Entry
	// RequestKey identifies a request.
	RequestKey = ledger.Key
)

// NewLedger returns a Ledger that holds at most maxRequests requests.
func NewLedger(maxRequests int) *Ledger { return ledger.New(maxRequests) }

type (
	// Keeper grants leases on the slots of servers.
	Keeper = lease.Keeper
	// Holder holds leases on slots and chooses servers with a free leased slot.
	Holder = lease.Holder
	// Limit is the capacity of a server whose slots a Keeper leases.
	Limit = lease.Limit
)

// NewKeeper returns a Keeper without servers.
func NewKeeper() *Keeper { return lease.NewKeeper() }

// NewHolder returns the Holder of the host with the given name. The boot number
// must be larger at each start of the host.
func NewHolder(name string, boot uint64, r *rand.Rand) *Holder {
	return lease.NewHolder(name, boot, r)
}

// Group is one host's view of the membership of a group of hosts.
type Group = member.Group

type (
	// HostInfo describes one host in the messages between the hosts of a Group.
	HostInfo = member.Info
	// GroupTiming holds the intervals and timeouts of a Group.
	GroupTiming = member.Timing
	// Piggyback supplies and receives the data that the probes of a Group carry for
	// another layer.
	Piggyback = member.Piggyback
)

// NewGroup returns a group in which a host knows only itself and the addresses of
// seeds.
func NewGroup(self HostInfo, seeds []string, timing GroupTiming, piggyback Piggyback, now Millis, r *rand.Rand) *Group {
	return member.New(self, seeds, timing, piggyback, now, r)
}

// Log is one member of a replicated log that uses the Raft algorithm.
type Log = raft.Node

type (
	// LogID identifies one disk of one member of a Log. A member that lost its disk
	// rejoins under a new ID, since under the old one it could vote twice in a term.
	LogID = raft.ID
	// LogTiming holds the heartbeat interval and the election timeout of a Log.
	LogTiming = raft.Timing
	// LogStored is the state that a member of a Log reads from its disk at start.
	LogStored = raft.Stored
	// LogMessage is a message between members of a Log.
	LogMessage = raft.Message
	// LogOutput holds the actions that the caller of a Log must carry out next.
	LogOutput = raft.Output
	// LogSynced is what the caller of a Log has written to disk.
	LogSynced = raft.Synced
	// LogPosition identifies an entry of a Log.
	LogPosition = raft.Position
	// LogConf is the membership of a Log.
	LogConf = raft.Conf
)

// Errors of Log.Propose and Log.ProposeConf.
var (
	ErrNotLeader   = raft.ErrNotLeader
	ErrConfPending = raft.ErrConfPending
	ErrUnsafeConf  = raft.ErrUnsafeConf
)

// NewLog returns the member with the given ID, restored from its stored state.
func NewLog(id LogID, timing LogTiming, stored LogStored, now Millis, r *rand.Rand) *Log {
	return raft.New(id, timing, stored, now, r)
}
