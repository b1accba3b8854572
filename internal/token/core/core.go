package core

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/conf/tune"
	"monsooncleat.example/monsooncleat/internal/serve/admit"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/serve/spans"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
	"monsooncleat.example/monsooncleat/internal/serve/warm"
)

const (
	// handshakeTimeout is how long a client waits for the answer to an opening
	// packet. The clients' protocol, which package platform implements, defines it.
	handshakeTimeout = 1400 * clock.Millis(1)
	// decisionTime is how long a decision may take to leave a host that is short of processor
	// time. RefusalTime is the same for a reset, which can't be taken back.
	decisionTime = 50 * clock.Millis(1)
	refusalTime  = 100 * clock.Millis(1)
	// sweepInterval is the time between two passes over the flows.
	sweepInterval = 500 * clock.Millis(1)
	// requestIdleTimeout is the time without packets after which the request of a
	// flow no longer counts as in flight here. A client without an answer
	// retransmits after 200 ms and again 400 ms later. If no packet arrives for
	// longer, the flow has moved to another host.
	requestIdleTimeout = 800 * clock.Millis(1)
	// loadTimeConstant is the time constant, in milliseconds, of the exponentially
	// smoothed load that is reported.
	loadTimeConstant = 1000.0
	// remoteLoadTTL is how long the loads of other hosts are used. A host that is cut
	// off from the control hosts relies on its own flows after that.
	remoteLoadTTL = 3 * clock.Second
	// minReportedLoad is the mean number of requests in flight below which the
	// load is treated as zero.
	minReportedLoad = 0.01
	// flowActiveTimeout is how long after its last packet a long flow counts as
	// active through this host. Flows move to other hosts without notice.
	flowActiveTimeout = 3 * clock.Second
	// maxMeasuredWait is how long a packet may wait on this host and still count for
	// the response times and the failures of servers.
	maxMeasuredWait = 20 * clock.Millis(1)
	// removedRouteTTL is how long the address of a removed route is kept, so that
	// packets of its flows are reset at once. It is the maximum lifetime of a flow.
	removedRouteTTL = 60 * clock.Second
	// tokenTTL is how long the token of a server is kept after its record was forgotten or
	// replaced. A server that is out of reach of the control hosts may serve on for as long.
	tokenTTL = 5 * clock.Minute
	// tokenSettling is how long the token of an incarnation that was replaced stays in the
	// packets of open flows. By then, all hosts have heard of the next incarnation, and control
	// hosts still tell new hosts of the alias.
	tokenSettling = 30 * clock.Second
)

// Options are the settings of a Core.
type Options struct {
	// Name is the name of this host. The hash of it, hash.String, is the entry of this
	// host in Update.Sharing.
	Name string
	// Centre is the data centre of this host.
	Centre string
	// Choice configures the selection of a server for a new flow.
	Choice choose.Settings
	Fleet  fleet.Options
	// DefaultIdleTimeout is the idle timeout of flows if the routing table sets none.
	DefaultIdleTimeout clock.Millis
	// MaxFlows is the maximum number of flows tracked.
	MaxFlows int
	// Off holds the mechanisms that are switched off.
	Off tune.Off
}

// server is one incarnation of a backend server as seen by this host.
type server struct {
	id      string
	started clock.Millis
	// entry is the fleet's entry for the server's ID. It describes the latest
	// incarnation, which may have replaced this one.
	entry *fleet.Server
	// record is the latest record of this incarnation. Its flows go to the address there.
	record  fleet.Record
	backend *choose.Backend
	token   tokens.Token
	// requests is Core.requests.
	requests *requests
	// service is the service in whose list the server is, or "".
	service string
	// meanInFlight is the smoothed number of requests in flight that this host
	// forwarded.
	meanInFlight float64
	// coldUntil is the time until which the server takes only the flows of budget, or 0.
	coldUntil clock.Millis
	budget    warm.Budget
	// retiredAt is when another incarnation replaced this one, or its record was forgotten,
	// or 0 if it hasn't been or has returned.
	retiredAt clock.Millis
}

// Core makes the routing decisions of one host. It is not safe for concurrent
// use.
type Core struct {
	options Options
	rand    *rand.Rand
	policy  choose.Policy[*server]
	index   *routes.Index
	// removed maps the address of each removed route to the time of its removal.
	removed map[netip.AddrPort]clock.Millis
	fleet   *fleet.Fleet
	servers map[string]*server
	// ordered holds the servers in the order in which they became known.
	ordered []*server
	tokens  *tokens.Index[*server]
	// occupants maps addresses to the servers whose latest records name them.
	occupants map[netip.AddrPort][]*server
	// sharedTokens is set if tokens were shared by servers at the latest change.
	sharedTokens bool
	// retired holds the previous incarnations of restarted servers, and those whose records
	// were forgotten, in the order in which that happened. Clients may still send their tokens.
	retired []retirement
	// services maps each service to its usable servers outside the evacuated data centres,
	// sorted by ID.
	services   map[string][]*server
	flows      map[flowKey]*flow
	requestMix map[netip.AddrPort]*requestMix
	// admission holds the estimates by service.
	admission map[string]*admit.Service
	refusals  *admit.Refusals[refusal]
	// spans holds how long requests take by service, and requests the flows with a request
	// in flight. MovedAt is when a flow last came here from another host, endedMovedAt when
	// requests that may have moved were last looked for.
	spans                 map[string]*spans.Service
	requests              requests
	movedAt, endedMovedAt clock.Millis
	nextSweepAt           clock.Millis
	smoothedAt            clock.Millis
	// self is the hash of this host's name. Sharing holds the sorted hashes of the hosts
	// of this data centre that take new flows, and shares this host's part by service.
	self    uint64
	sharing []uint64
	// sharers is the number of hosts that split the slots, and rank the position of this
	// host among them, or -1 if it is not one of them. They are the hosts of all data
	// centres if sharesAll is set, which is while a data centre is evacuated.
	sharers        int
	rank           int
	sharesAll      bool
	sharingVersion uint64
	shares         map[string]*share
	// listVersion counts the changes of services.
	listVersion uint64
	// loadsAt is when the loads of other hosts on the servers of each data centre were
	// received. Those that are too old are removed.
	loadsAt     map[string]clock.Millis
	evacuations evacuations
	cold        coldState
	stats       Stats
}

// Stats are the counters of a Core. Opened counts new flows, Answered those whose
// handshake was completed, Moved retransmitted opening packets sent to another
// server, Corrected tokens that were replaced, and Avoided the backoffs that were
// started. EvacuatedNoServer counts the packets of ResetNoServer and DroppedNoServer that
// a server in an evacuated data centre could have served. The others count packets by
// their verdict and reason. OpenedCold counts the flows opened on or moved to cold
// servers, DroppedCopies the opening packets that had no room and may have copies.
type Stats struct {
	Opened, Forwarded, ResetNoRoute, ResetNoServer, ResetRemoved, ResetOverloaded, ResetLinkFull, DroppedUnknown, DroppedNoServer,
	Moved, Corrected, Avoided, Answered, EvacuatedNoServer, OpenedCold, ResetCold, DroppedCopies uint64
}

// New returns a Core without a routing table and without servers.
func New(options Options, r *rand.Rand) *Core {
	c := &Core{
		options: options, rand: r, self: hash.String(options.Name), shares: map[string]*share{},
		policy:  choose.NewLeastLoaded[*server](options.Centre, options.Choice.Without(options.Off), r),
		removed: map[netip.AddrPort]clock.Millis{}, fleet: fleet.New(options.Fleet),
		servers: map[string]*server{}, occupants: map[netip.AddrPort][]*server{}, tokens: tokens.NewIndex[*server](), services: map[string][]*server{},
		flows: map[flowKey]*flow{}, requestMix: map[netip.AddrPort]*requestMix{},
		loadsAt: map[string]clock.Millis{}, admission: map[string]*admit.Service{}, refusals: admit.NewRefusals[refusal](),
		cold: coldState{centres: warm.NewCentres(), changes: map[string]uint64{}}, spans: map[string]*spans.Service{},
	}
	c.requests.refusals = c.refusals
	return c
}

// Version returns the version of the routing table in force, or 0.
func (c *Core) Version() uint64 {
	if c.index == nil {
		return 0
	}
	return c.index.Table().Version
}

// Table returns the routing table in force, or nil.
func (c *Core) Table() *routes.Table {
	if c.index == nil {
		return nil
	}
	return c.index.Table()
}

// Stats returns the counters.
func (c *Core) Stats() Stats { return c.stats }

// Flows returns the number of flows tracked.
func (c *Core) Flows() int { return len(c.flows) }

// Servers returns the number of known servers.
func (c *Core) Servers() int { return c.fleet.Len() }

// UsableServers returns the number of servers that take new flows.
func (c *Core) UsableServers() int {
	n := 0
	c.fleet.Each(func(s *fleet.Server) {
		if s.Usable() {
			n++
		}
	})
	return n
}

// Configure puts a routing table in force if it is newer than the current one,
// and reports whether it did.
func (c *Core) Configure(now clock.Millis, table *routes.Table) bool {
	if table.Version <= c.Version() {
		return false
	}
	c.refusals.Forget()
	old := c.index
	c.index = routes.NewIndex(table)
	if old != nil {
		for i := range old.Table().Routes {
			address := old.Table().Routes[i].Address
			if c.index.Find(address) == nil {
				c.removed[address] = now
			}
		}
	}
	for i := range table.Routes {
		delete(c.removed, table.Routes[i].Address)
	}
	for key, f := range c.flows {
		if r := c.index.Find(key.route); r != nil {
			f.route = r
		}
	}
	c.updateCold(now)
	return true
}

// Learn applies an update and returns the servers whose state changed.
func (c *Core) Learn(now clock.Millis, u *Update) []*fleet.Server {
	c.refusals.Forget()
	c.setEvacuations(u)
	position := c.fleet.Position()
	for i := range u.Servers {
		s := &u.Servers[i]
		c.fleet.Apply(now, now-s.Age, s.Record, false)
		c.fleet.AddAliases(now, &s.Record, s.Aliases)
		// The end of another incarnation than the one held says nothing about that.
		if held := c.fleet.Find(s.Record.ID); held != nil && held.Started == s.Record.Started {
			c.fleet.SetEnded(now, s.Record.ID, s.Ended)
		}
	}
	c.updateSilent(now, u)
	changed := c.fleet.ChangedSince(position)
	c.updateServers(now, changed)
	if u.Sharing != nil {
		c.setSharing(u.Sharing, u.SharingElsewhere)
	}
	c.learnCold(now, u, len(changed) > 0)
	if u.Loads != nil && !c.options.Off.Has(tune.LoadExchange) {
		c.setRemoteLoads(now, u)
	}
	return changed
}

// setRemoteLoads sets the loads of other hosts on the servers that an update covers.
func (c *Core) setRemoteLoads(now clock.Millis, u *Update) {
	for _, centre := range u.LoadCentres {
		c.loadsAt[centre] = now
	}
	for _, s := range c.ordered {
		if u.LoadCentres == nil {
			c.loadsAt[s.entry.Centre] = now
		}
		if u.LoadCentres == nil || slices.Contains(u.LoadCentres, s.entry.Centre) {
			s.backend.SetRemoteLoad(u.Loads[uint32(s.token)])
		}
	}
}

// expireRemoteLoads drops the loads of other hosts that are too old.
func (c *Core) expireRemoteLoads(now clock.Millis) {
	for centre, at := range c.loadsAt {
		if now-at <= remoteLoadTTL {
			continue
		}
		delete(c.loadsAt, centre)
		for _, s := range c.ordered {
			if s.entry.Centre == centre {
				s.backend.SetRemoteLoad(choose.Load{})
			}
		}
	}
}

// updateSilent copies the silent state of the servers from the update.
func (c *Core) updateSilent(now clock.Millis, u *Update) {
	if u.Silence == nil || c.options.Off.Has(tune.QuorumSilence) {
		return
	}
	update := func(s *fleet.Server) {
		if silent, known := u.Silence(s.ID); known && silent != s.Silent() {
			c.fleet.SetSilent(now, s.ID, silent)
		}
	}
	for _, s := range c.ordered {
		update(s.entry)
	}
	// Those that this update brings are not in the list yet.
	for i := range u.Servers {
		if s := c.fleet.Find(u.Servers[i].Record.ID); s != nil {
			update(s)
		}
	}
}

// Tick updates the smoothed loads and, once per sweepInterval, removes expired
// flows, routes and servers. It returns the retransmitted opening packets and
// requests that were given up without an answer since the previous call.
func (c *Core) Tick(now clock.Millis) []Timeout {
	c.endMovedRequests(now)
	c.smoothLoads(now)
	c.expireRemoteLoads(now)
	if c.cold.count > 0 {
		c.updateCold(now)
	}
	if now < c.nextSweepAt {
		return nil
	}
	var timeouts []Timeout
	c.nextSweepAt = now + sweepInterval
	idleTimeout := c.options.DefaultIdleTimeout
	if c.index != nil && c.index.Table().IdleTimeout > 0 {
		idleTimeout = c.index.Table().IdleTimeout
	}
	for key, f := range c.flows {
		if c.sweep(now, idleTimeout, key, f) {
			timeouts = append(timeouts, Timeout{key.client, key.route, f.server.id, f.established, now - f.requestedAt, f.server.claim()})
		}
	}
	for address, m := range c.requestMix {
		if m.decay(); m.negligible() {
			delete(c.requestMix, address)
		}
	}
	for address, removedAt := range c.removed {
		if now-removedAt > removedRouteTTL {
			delete(c.removed, address)
		}
	}
	c.forgetRetired(now)
	c.updateServers(now, c.expireServers(now))
	return timeouts
}

// sweep applies the timeouts to a flow. It reports whether an opening packet or a
// request that was retransmitted was given up without an answer.
func (c *Core) sweep(now, idleTimeout clock.Millis, key flowKey, f *flow) bool {
	idle, inFlight := now-f.lastAt, f.inFlight
	switch {
	case f.closed && idle > handshakeTimeout, idle > idleTimeout, !f.established && idle > 2*handshakeTimeout:
		f.endRequest()
		f.markInactive()
		delete(c.flows, key)
	case f.inFlight && (idle > requestIdleTimeout || now-f.requestedAt > max(f.requestTimeout(), handshakeTimeout)):
		f.endRequest()
	case idle > c.activeTime(f):
		f.markInactive()
	}
	return inFlight && !f.inFlight && f.retransmitted
}

func (f *flow) requestTimeout() clock.Millis {
	if f.route == nil {
		return handshakeTimeout
	}
	return f.route.Timeout
}

// smoothLoads updates the exponentially weighted mean of the requests in flight
// to each server.
func (c *Core) smoothLoads(now clock.Millis) {
	elapsed := float64(now - c.smoothedAt)
	c.smoothedAt = now
	weight := min(elapsed/loadTimeConstant, 1)
	for _, s := range c.ordered {
		s.meanInFlight += (float64(s.backend.InFlight()) - s.meanInFlight) * weight
	}
}

// Loads returns the load that this host puts on each server, by the server's
// token.
func (c *Core) Loads() choose.Loads {
	loads := choose.Loads{}
	for _, s := range c.ordered {
		if s.meanInFlight > minReportedLoad || s.backend.Flows() > 0 {
			loads[uint32(s.token)] = choose.Load{InFlight: float32(s.meanInFlight), Flows: float32(s.backend.Flows())}
		}
	}
	return loads
}
