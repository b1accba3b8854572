package core

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/token/mint"
)

const (
	// endedGrace is the span between a server's end and the reset of its flows.
	// It covers packets on their way, and the next announcement of a server whose
	// address an announcement that was held up seemed to take.
	endedGrace = 1500 * clock.Millis(1)
	// handshakeSpan is how long a caller waits for the answer to an opening
	// packet, by the platform's protocol.
	handshakeSpan = 1400 * clock.Millis(1)
	// sweepSpan is the span between two passes over the flows.
	sweepSpan = 500 * clock.Millis(1)
	// quietSpan is the silence of a flow after which its request no longer counts
	// as in progress here. A caller without an answer sends again after 200 and
	// another 400 ms; one that is silent for longer was moved to another host.
	quietSpan = 800 * clock.Millis(1)
	// loadSpan is the time constant of the mean load that is reported.
	loadSpan = 1000.0
	// leastMean is the mean count of requests below which a load is not reported.
	leastMean = 0.01
	// inUseSpan is how long after its last packet a long flow counts as in use
	// through this host. Flows move to other hosts unseen.
	inUseSpan = 3 * clock.Second
	// keepRemoved is how long the address of a removed route is remembered, so
	// that its flows are told at once. It is the longest life of a flow.
	keepRemoved = 60 * clock.Second
)

// Options are the settings of a Core.
type Options struct {
	// Centre is the data centre of this host.
	Centre string
	// Choice tunes the choice of a server for a new flow.
	Choice choose.Settings
	Fleet  fleet.Options
	// DefaultIdle is how long an idle flow is remembered when the routing table
	// does not say.
	DefaultIdle clock.Millis
	// MaxFlows bounds the flows remembered.
	MaxFlows int
}

// server is a backend server as this host sees it.
type server struct {
	id      string
	started clock.Millis
	record  *fleet.Server
	load    *choose.Backend
	token   mint.Token
	// mean is the smoothed count of requests in progress sent from here.
	mean float64
}

type pastServer struct {
	server *server
	at     clock.Millis
}

// Core decides for one host. It is not safe for concurrent use.
type Core struct {
	options Options
	rand    *rand.Rand
	policy  choose.Policy[*server]
	index   *routes.Index
	// removed maps addresses of routes that a version removed to its time.
	removed map[netip.AddrPort]clock.Millis
	fleet   *fleet.Fleet
	servers map[string]*server
	book    *mint.Book[*server]
	// past holds the incarnations that a restart of their server has ended, whose
	// tokens callers may still send.
	past     []pastServer
	services map[string][]*server
	flows    map[flowKey]*flow
	usages   map[netip.AddrPort]*usage
	sweepAt  clock.Millis
	meanAt   clock.Millis
	stats    Stats
}

// Stats are the counters of a Core.
type Stats struct {
	Opened, Forwarded, ResetNoRoute, ResetNoServer, ResetRemoved, ResetEnded, DroppedUnknown, DroppedNoServer,
	Moved, Corrected, Avoided, Answered uint64
}

// New returns a Core that knows no routes and no servers.
func New(options Options, r *rand.Rand) *Core {
	return &Core{
		options: options, rand: r,
		policy:  choose.NewLeastLoaded[*server](options.Centre, options.Choice, r),
		removed: map[netip.AddrPort]clock.Millis{}, fleet: fleet.New(options.Fleet),
		servers: map[string]*server{}, book: mint.NewBook[*server](), services: map[string][]*server{},
		flows: map[flowKey]*flow{}, usages: map[netip.AddrPort]*usage{},
	}
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

// Flows returns the count of flows remembered.
func (c *Core) Flows() int { return len(c.flows) }

// Servers returns the count of servers known.
func (c *Core) Servers() int { return c.fleet.Len() }

// Usable returns the count of servers that take new flows.
func (c *Core) Usable() int {
	n := 0
	c.fleet.Each(func(s *fleet.Server) {
		if s.Usable() {
			n++
		}
	})
	return n
}

// Configure puts a routing table in force and reports whether it is newer than
// the one before.
func (c *Core) Configure(now clock.Millis, table *routes.Table) bool {
	if table.Version <= c.Version() {
		return false
	}
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
	return true
}

// Learn takes news of servers and loads, and returns the servers whose state
// changed.
func (c *Core) Learn(now clock.Millis, u *Update) []*fleet.Server {
	at := c.fleet.Position()
	for i := range u.Servers {
		news := &u.Servers[i]
		c.fleet.Apply(now, now-news.Age, news.Record, false)
		c.fleet.SetEnded(now, news.Record.ID, news.Ended)
	}
	c.followSilence(now, u)
	changed := c.fleet.ChangedSince(at)
	if len(changed) > 0 {
		c.rebuild(now)
	}
	if u.Loads != nil {
		for _, s := range c.servers {
			s.load.SetShared(u.Loads[uint32(s.token)])
		}
	}
	return changed
}

// followSilence takes over which servers are silent.
func (c *Core) followSilence(now clock.Millis, u *Update) {
	if u.Silence == nil {
		return
	}
	c.fleet.Each(func(s *fleet.Server) {
		if silent, known := u.Silence(s.ID); known && silent != s.Silent() {
			c.fleet.SetSilent(now, s.ID, silent)
		}
	})
}

// rebuild follows the fleet: it makes the servers that came, replaces those that
// started again and sorts the ones in use by service.
func (c *Core) rebuild(now clock.Millis) {
	c.services = map[string][]*server{}
	c.fleet.Each(func(r *fleet.Server) {
		s := c.servers[r.ID]
		if s == nil || s.started != r.Started {
			if s != nil {
				c.past = append(c.past, pastServer{s, now})
			}
			s = &server{
				id: r.ID, started: r.Started, record: r,
				load: choose.NewBackend(r.Slots, r.Centre),
			}
			c.servers[r.ID] = s
			c.book.Add(r.ID, r.Started, s)
		}
		if r.WarmUp > 0 {
			s.load.WarmUp(r.Heard() + r.WarmUp)
		}
		if r.Usable() {
			c.services[r.Service] = append(c.services[r.Service], s)
		}
	})
	for id, s := range c.servers {
		if c.fleet.Find(id) == nil {
			delete(c.servers, id)
			c.book.Remove(id, s.started)
		}
	}
	for _, s := range c.servers {
		s.token = c.book.Write(s.id, s.started)
	}
	for _, list := range c.services {
		slices.SortFunc(list, func(a, b *server) int {
			if a.id < b.id {
				return -1
			}
			return 1
		})
	}
}

// over reports whether the incarnation of s has surely ended: it started again,
// or has been known to have ended for long enough, or answers nothing besides.
func (s *server) over(now clock.Millis) bool {
	if s.started != s.record.Started {
		return true
	}
	return s.record.Ended() && (s.load.Doubted() || s.record.EndedFor(now) > endedGrace)
}

// Tick does the periodic work, and returns what was given up without an answer
// since.
func (c *Core) Tick(now clock.Millis) []Ending {
	c.smooth(now)
	if now < c.sweepAt {
		return nil
	}
	var endings []Ending
	c.sweepAt = now + sweepSpan
	idle := c.options.DefaultIdle
	if c.index != nil && c.index.Table().IdleTimeout > 0 {
		idle = c.index.Table().IdleTimeout
	}
	for key, f := range c.flows {
		if c.sweep(now, idle, key, f) {
			endings = append(endings, Ending{key.caller, key.route, f.server.id, f.open, now - f.busySince})
		}
	}
	for address, u := range c.usages {
		if u.fade(); u.idle() {
			delete(c.usages, address)
		}
	}
	for address, at := range c.removed {
		if now-at > keepRemoved {
			delete(c.removed, address)
		}
	}
	for len(c.past) > 0 && now-c.past[0].at > c.options.Fleet.ForgetAfter {
		c.book.Remove(c.past[0].server.id, c.past[0].server.started)
		c.past = c.past[1:]
	}
	if len(c.fleet.Expire(now)) > 0 {
		c.rebuild(now)
	}
	return endings
}

// sweep forgets a flow that is over, and reports whether a request was given up
// without an answer.
func (c *Core) sweep(now, idle clock.Millis, key flowKey, f *flow) bool {
	silent, busy := now-f.lastAt, f.busy
	switch {
	case f.ended && silent > handshakeSpan, silent > idle, !f.open && silent > 2*handshakeSpan:
		f.finish()
		f.release()
		delete(c.flows, key)
	case f.busy && (silent > quietSpan || now-f.busySince > max(f.timeout(), handshakeSpan)):
		f.finish()
	case silent > inUseSpan:
		f.release()
	}
	return busy && !f.busy && f.resent
}

func (f *flow) timeout() clock.Millis {
	if f.route == nil {
		return handshakeSpan
	}
	return f.route.Timeout
}

// smooth follows the mean count of requests in progress of each server.
func (c *Core) smooth(now clock.Millis) {
	span := float64(now - c.meanAt)
	c.meanAt = now
	weight := min(span/loadSpan, 1)
	for _, s := range c.servers {
		s.mean += (float64(s.load.Busy()) - s.mean) * weight
	}
}

// Loads returns the load brought from here, by the token of the server.
func (c *Core) Loads() choose.Shares {
	loads := make(choose.Shares, len(c.servers))
	for _, s := range c.servers {
		if s.mean > leastMean || s.load.Flows() > 0 {
			loads[uint32(s.token)] = choose.Share{Busy: float32(s.mean), Flows: float32(s.load.Flows())}
		}
	}
	return loads
}
