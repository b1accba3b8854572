// Package core implements the logic of an entry host without I/O: it assigns
// flows to servers, dispatches requests, shares server capacity with the other
// hosts and applies configuration bundles.
//
// Flows and requests hash to buckets. Each bucket has an owner among the entry
// hosts, to which the other hosts relay packets, and a successor that takes
// over when the owner fails.
//
// Clients' packets arrive Geneve-encapsulated from fabric endpoints and are
// sent on, encapsulated as well, to backend servers. A release is a signed
// bundle for one data centre.
//
// A try is one submission of a request by its client: the first, or a later one
// after the answer NotRun. Resends within a try carry the same try number. An
// attempt is one transmission of a request from this host to a server, and is
// identified by a random number.
//
// The caller passes in datagrams, answers, frames, announcements and ticks,
// and sends the output that PendingOutput returns.
package core

import (
	"math/rand/v2"
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/ask/ledger"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/timers"
	"monsooncleat.example/monsooncleat/internal/bundle/chain"
	"monsooncleat.example/monsooncleat/internal/bundle/sign"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/entry/batch"
	"monsooncleat.example/monsooncleat/internal/entry/count"
	"monsooncleat.example/monsooncleat/internal/entry/loss"
	"monsooncleat.example/monsooncleat/internal/entry/place"
	"monsooncleat.example/monsooncleat/internal/entry/poll"
	"monsooncleat.example/monsooncleat/internal/flow/table"
	"monsooncleat.example/monsooncleat/internal/host/homes"
	"monsooncleat.example/monsooncleat/internal/host/member"
	"monsooncleat.example/monsooncleat/internal/serve/lease"
	"monsooncleat.example/monsooncleat/internal/serve/roster"
	"monsooncleat.example/monsooncleat/internal/wire/codec"
	"monsooncleat.example/monsooncleat/internal/wire/geneve"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// Options are the settings of a Core.
type Options struct {
	Name   string
	Centre string
	// Boot increases with each start of the host.
	Boot uint64
	// Fabric is the address on which this host receives datagrams from the
	// fabric and from other entry hosts. Peer is its address for frames from
	// entry hosts and control hosts.
	Fabric string
	Peer   string
	// Answers is the address to which backend servers send answers to requests.
	Answers netip.AddrPort
	// ReturnPort is the port on which fabric endpoints receive datagrams. Zero
	// means the source port of their datagrams.
	ReturnPort uint16
	// Seeds are the addresses of entry hosts through which this host joins the
	// group, and Controls those of the control hosts.
	Seeds    []string
	Controls []string
	Keys     sign.Keyring
	MaxFlows int
	// MaxRequests limits the requests held in the ledger.
	MaxRequests int
	Timing      member.Timing
	// Disabled selects the mechanisms to disable, for tests that show which failure
	// each of them prevents.
	Disabled Mechanisms
}

// Mechanisms selects the safety mechanisms that a test disables.
type Mechanisms struct {
	// FlowReplication disables replication of flows that are not on their default
	// server.
	FlowReplication bool
	// RequestReplication disables recording of requests at the successor.
	RequestReplication bool
	// Deduplication makes resends count as new requests.
	Deduplication bool
	// Fencing lets a host that has lost the majority continue as if it had one.
	Fencing bool
	// OwnerLookup disables lookups at the previous owner of a key.
	OwnerLookup bool
	// ServiceCheck disables the check that a server belongs to the flow's service.
	ServiceCheck bool
	// LoadBound disables the limit on a server's share of the flows.
	LoadBound bool
	// LoadShedding disables the limit on queued requests.
	LoadShedding bool
	// IdleProbes disables idle probes, and the reset of flows of which one end
	// no longer responds.
	IdleProbes bool
}

// Datagram is a datagram to send. Data is valid until the next method call on
// the Core.
type Datagram struct {
	To   netip.AddrPort
	Data []byte
}

// Frame is a frame to send to the process at address To.
type Frame struct {
	To   string
	Body []byte
}

// Output holds what the caller must send and store.
type Output struct {
	Datagrams []Datagram
	Frames    []Frame
	// Losses are the flows that were reset and the requests that were answered as
	// unknown, for logs.
	Losses loss.List
	// Release is the active release if it changed, else nil. The caller stores
	// it, so that it survives a restart.
	Release *chain.Update
}

// Core is the state of an entry host. It is not safe for concurrent use.
type Core struct {
	opts      Options
	rand      *rand.Rand
	now       clock.Millis
	startedAt clock.Millis

	group       *member.Group
	owners      *homes.Table
	viewVersion uint64
	// fencedSince is the time at which the host lost the majority, or zero, and unfencedAt
	// that at which it was back the last time.
	fencedSince   clock.Millis
	unfencedAt    clock.Millis
	viewChangedAt clock.Millis
	// responsibleSince is the time at which this host became owner or successor
	// of each bucket.
	responsibleSince [homes.Buckets]clock.Millis
	// bucketOwner holds the boot ID of each bucket's owner, formerOwner that of the
	// owner before, or zero.
	bucketOwner [homes.Buckets]table.NameID
	formerOwner [homes.Buckets]table.NameID
	history     [homes.Buckets]place.Owners
	// addrs caches the fabric addresses of hosts by name, and the parsed form
	// of server and origin addresses.
	addrs map[string]netip.AddrPort
	// bootIDs holds by host name an ID that differs for each boot of the host.
	bootIDs map[string]table.NameID
	peers   map[string]*peerStatus
	serving bool
	leaving bool
	// joiningSince is the time at which the host began to join the group.
	joiningSince clock.Millis

	servers        *roster.Roster
	serversVersion uint64
	services       map[string]*service
	// sortedServices holds the services sorted by name.
	sortedServices         []*service
	leaseHolder            *lease.Holder
	leaseKeeper            *lease.Keeper
	nextLeaseRequest       clock.Millis
	nextUrgentLeaseRequest clock.Millis
	serversDifferSince     clock.Millis

	interner   *table.Interner
	flows      *table.Table
	originIDs  map[netip.AddrPort]table.NameID
	replicator *batch.Replicator

	ledger       *ledger.Ledger
	refusedTries *ledger.RefusedTries
	// pendingAttempts holds, by attempt number, the requests that are not yet
	// completed. Attempts that timed out stay in it, so that late answers count.
	pendingAttempts map[uint64]*ledger.Entry
	requestTimers   timers.Queue[requestTimer]

	releases *chain.Replica
	// serviceChangedAt is the time at which an address was last moved to
	// another service.
	serviceChangedAt   map[spec.Address]clock.Millis
	control            *poll.Poller
	nextPull           clock.Millis
	releaseActivatedAt clock.Millis

	counters   count.Counters
	decoder    geneve.Decoder
	parser     inner.Parser
	datagram   geneve.Datagram
	packet     inner.Packet
	sendBuffer []byte
	out        Output
}

// New returns a Core without flows, requests or a bundle.
func New(opts Options, now clock.Millis, r *rand.Rand) *Core {
	c := &Core{
		opts: opts, rand: r, now: now, startedAt: now, joiningSince: now,
		addrs: map[string]netip.AddrPort{}, bootIDs: map[string]table.NameID{}, peers: map[string]*peerStatus{},
		servers: roster.New(opts.Name, now), services: map[string]*service{},
		leaseHolder: lease.NewHolder(opts.Name, opts.Boot, r), leaseKeeper: lease.NewKeeper(),
		interner: table.NewInterner(), flows: table.New(), originIDs: map[netip.AddrPort]table.NameID{},
		ledger: ledger.New(opts.MaxRequests), refusedTries: ledger.NewRefusedTries(clock.Minute, opts.MaxRequests),
		pendingAttempts: map[uint64]*ledger.Entry{}, releases: chain.New(opts.Centre, opts.Keys),
		serviceChangedAt: map[spec.Address]clock.Millis{},
	}
	self := member.Info{Name: opts.Name, Fabric: opts.Fabric, Peer: opts.Peer, Boot: opts.Boot, Incarnation: opts.Boot}
	c.group = member.New(self, opts.Seeds, opts.Timing, (*gossip)(c), now, r)
	c.control = poll.New(opts.Controls, r)
	c.replicator = batch.New(opts.Name, c.interner, func(host string, f *batch.Frame) { c.sendFrame(host, codec.Exceptions, f) })
	c.refreshView()
	return c
}

// Tick runs the periodic work. Call it about every 20 ms.
func (c *Core) Tick(now clock.Millis) {
	c.now = now
	c.group.Tick(now)
	if c.group.TakeDeposed() {
		c.resetAndRejoin()
	}
	c.updateFencing()
	c.startServing()
	c.servers.Tick(now, !c.fenced(), c.hostAlive)
	c.refreshView()
	c.runRequestTimers()
	c.sweepFlows()
	c.requestLeases()
	c.pollControl()
}

// hostAlive reports whether the named host is a member that is alive or suspect.
func (c *Core) hostAlive(name string) bool {
	m, ok := c.group.Find(name)
	return ok && m.State <= member.Suspect
}

// startServing lets the host own buckets once it has a bundle and has synced
// with another host, or has waited isolationTimeout for one. A host without
// seeds does not wait.
func (c *Core) startServing() {
	if c.serving || c.leaving || c.releases.Bundle() == nil {
		return
	}
	startAlone := len(c.opts.Seeds) == 0 || c.now-c.joiningSince >= isolationTimeout
	if c.group.Joined() || startAlone {
		c.serving = true
		// Placements from before serving were computed from an incomplete
		// server list and never used by any host.
		for _, s := range c.sortedServices {
			s.places.Clear()
		}
		c.group.Enter(member.Serving)
	}
}

// isolationTimeout is how long a host without a majority declines new work, and
// how long a joining host waits to sync with another one. After that it assumes
// that the others are dead and serves alone.
const isolationTimeout = 30 * clock.Second

// updateFencing records when the host lost the majority. When it is back, other hosts may
// have taken flows and requests of its buckets, so that it asks them as after a takeover.
func (c *Core) updateFencing() {
	switch {
	case !c.group.Fenced(c.now) || c.opts.Disabled.Fencing:
		if c.fencedSince != 0 {
			c.unfencedAt = c.now
		}
		c.fencedSince = 0
	case c.fencedSince == 0:
		c.fencedSince = c.now
	}
}

// fenced reports whether the host lacks a majority, so that other hosts may be
// serving its buckets.
func (c *Core) fenced() bool {
	return !c.opts.Disabled.Fencing && c.group.Fenced(c.now)
}

// declinesNewWork reports whether the host drops new flows and requests. It does
// during the first isolationTimeout without a majority, because the other hosts
// have probably taken over its buckets and receive the packets of their clients.
func (c *Core) declinesNewWork() bool {
	return (c.fenced() || c.fencedSince != 0) && (c.fencedSince == 0 || c.now-c.fencedSince < isolationTimeout)
}

// Ready reports whether the fabric should send packets to this host.
func (c *Core) Ready() bool { return c.serving && !c.declinesNewWork() }

// AcceptsAnnouncements reports whether a server may rely on announcing itself to
// this host only. It is false during the first isolationTimeout without a
// majority: announcements are stored then too, but they do not reach the other
// hosts, which would consider the server dead.
func (c *Core) AcceptsAnnouncements() bool { return !c.declinesNewWork() }

// resetAndRejoin drops the flows, the leases, the queued requests and the
// requests recorded for other owners, and rejoins the group with a new boot
// number. It is called after the other hosts declared this host dead and took
// over its buckets, because its records may be older than theirs.
func (c *Core) resetAndRejoin() {
	c.counters.Add(count.Deposed, 1)
	c.opts.Boot = max(c.opts.Boot+1, uint64(c.now))
	c.flows.Clear()
	c.replicator.Reset()
	c.leaseHolder.Reset()
	for _, s := range c.sortedServices {
		s.clearWork()
	}
	c.ledger.Each(func(e *ledger.Entry) {
		if e.Stage == ledger.Queued || e.Stage == ledger.Replica {
			c.ledger.Remove(e)
		}
	})
	c.serving, c.joiningSince = false, c.now
	c.group.Rejoin(c.opts.Boot)
	c.refreshView()
}

// Leave starts a graceful shutdown: the host gives up its buckets and hands
// over its flows.
func (c *Core) Leave(now clock.Millis) {
	c.now = now
	c.leaving = true
	c.serving = false
	c.group.Enter(member.Leaving)
	c.refreshView()
}

// Drained reports whether a leaving host has answered its requests, replicated
// its flows and relayed packets for at least minLeaveTime.
func (c *Core) Drained() bool {
	for _, s := range c.sortedServices {
		if len(s.queue) > 0 {
			return false
		}
	}
	return c.leaving && len(c.pendingAttempts) == 0 && c.replicator.Idle() && c.now-c.viewChangedAt >= minLeaveTime
}

// minLeaveTime is how long a leaving host goes on relaying packets after the
// last membership change.
const minLeaveTime = 2 * clock.Second

// Depart announces to the other hosts that this host is gone.
func (c *Core) Depart() { c.group.Depart() }

// PendingOutput returns the output to send and store. The result is valid until
// the next method call. Until ClearOutput, later calls return the same output
// together with what was added since.
func (c *Core) PendingOutput() *Output {
	for _, frame := range c.group.Take() {
		c.out.Frames = append(c.out.Frames, Frame(frame))
	}
	return &c.out
}

// ClearOutput discards the output that PendingOutput returned, after the caller
// has sent it.
func (c *Core) ClearOutput() {
	c.out.Datagrams = c.out.Datagrams[:0]
	c.out.Frames = c.out.Frames[:0]
	c.out.Losses.Clear()
	c.out.Release = nil
	c.sendBuffer = c.sendBuffer[:0]
}

// Counters returns the event counters since the start of the process.
func (c *Core) Counters() *count.Counters { return &c.counters }

// Flows returns the number of flow records, including replicas.
func (c *Core) Flows() int { return c.flows.Len() }

// HandleAnnouncement handles the announcement of a backend server.
func (c *Core) HandleAnnouncement(now clock.Millis, a *roster.Announcement) {
	c.now = now
	c.servers.Announce(now, a)
	c.refreshView()
}

// send queues packet, encapsulated in Geneve, for the address to. The relay
// option is added unless it is nil. For an invalid address it only counts the
// packet.
func (c *Core) send(to netip.AddrPort, packet []byte, relay *geneve.Relay) {
	if !to.IsValid() {
		c.counters.Add(count.Unroutable, 1)
		return
	}
	start := len(c.sendBuffer)
	c.sendBuffer = geneve.Append(c.sendBuffer, packet, relay)
	c.out.Datagrams = append(c.out.Datagrams, Datagram{to, c.sendBuffer[start:len(c.sendBuffer):len(c.sendBuffer)]})
}
