// Package monsooncleat is the public face of the parts of the load balancer that
// other programs can embed. Each part is a deterministic machine without I/O:
// the caller passes the present time and every event, and performs what comes
// back. None of them starts a goroutine, opens a file or a socket, or is safe
// for concurrent use.
//
// Instants and spans are Millis, a count of milliseconds.
package monsooncleat

import (
	"math/rand/v2"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/ask/ledger"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/host/homes"
	"monsooncleat.example/monsooncleat/internal/host/member"
	"monsooncleat.example/monsooncleat/internal/serve/lease"
	"monsooncleat.example/monsooncleat/internal/serve/place"
)

// Millis is an instant or a span in milliseconds.
type Millis = clock.Millis

// Placement maps the hash of a key to a weighted backend without state.
type Placement = place.Table

// Backend is a server of a Placement.
type Backend = place.Backend

// NewPlacement returns the placement over backends. Buckets is a prime number;
// all that use the same arguments compute the same placement.
func NewPlacement(buckets int, backends []Backend) *Placement {
	return place.New(buckets, backends)
}

// Homes maps the hash of a key to the host that owns it and to its successor.
type Homes = homes.Table

// Host is a host of Homes.
type Host = homes.Host

// NewHomes returns the owners of all keys among hosts.
func NewHomes(hosts []Host) *Homes { return homes.New(hosts) }

// Ledger remembers requests by id.
type Ledger = ledger.Ledger

type (
	// Request is one request in a Ledger.
	Request = ledger.Entry
	// RequestKey names a request.
	RequestKey = ledger.Key
)

// NewLedger returns a Ledger that holds at most most requests.
func NewLedger(most int) *Ledger { return ledger.New(most) }

type (
	// Keeper grants leases on the slots of servers.
	Keeper = lease.Keeper
	// Holder holds leases and chooses servers by them.
	Holder = lease.Holder
	// Limit is what a Keeper needs to know of a server.
	Limit = lease.Limit
)

// NewKeeper returns a Keeper without servers.
func NewKeeper() *Keeper { return lease.NewKeeper() }

// NewHolder returns the Holder of the host called name. Boot is larger at each
// start of the host.
func NewHolder(name string, boot uint64, r *rand.Rand) *Holder {
	return lease.NewHolder(name, boot, r)
}

// Group is one host's view of a group of hosts.
type Group = member.Group

type (
	// HostInfo is what hosts of a Group tell each other about one host.
	HostInfo = member.Info
	// GroupTiming sets the pace of a Group.
	GroupTiming = member.Timing
	// Piggyback is the layer whose updates travel with the probes of a Group.
	Piggyback = member.Piggyback
)

// NewGroup returns the group of one host that knows only itself and the
// addresses of seeds.
func NewGroup(self HostInfo, seeds []string, timing GroupTiming, load Piggyback, now Millis, r *rand.Rand) *Group {
	return member.New(self, seeds, timing, load, now, r)
}

// Log is one member of an agreed log.
type Log = raft.Node

type (
	// LogID names one disk of one member of a Log.
	LogID = raft.ID
	// LogTiming sets the pace of a Log.
	LogTiming = raft.Timing
	// LogStored is what a member of a Log finds on its disk.
	LogStored = raft.Stored
	// LogMessage travels between members of a Log.
	LogMessage = raft.Message
	// LogOutput is what the caller of a Log does next.
	LogOutput = raft.Output
	// LogConf is the membership of a Log.
	LogConf = raft.Conf
)

// Errors of Log.Propose and Log.ProposeConf.
var (
	ErrNotLeader   = raft.ErrNotLeader
	ErrConfPending = raft.ErrConfPending
	ErrUnsafeConf  = raft.ErrUnsafeConf
)

// NewLog returns the member id with what it had stored.
func NewLog(id LogID, timing LogTiming, stored LogStored, now Millis, r *rand.Rand) *Log {
	return raft.New(id, timing, stored, now, r)
}
