package simnet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/timers"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

const (
	// clientDelay is the one-way delay between a client and an entry host or
	// server, serverDelay that from an entry host to a server.
	clientDelay = 2 * clock.Millis(1)
	serverDelay = clock.Millis(1)
	// tickInterval is the interval of the hosts' periodic work.
	tickInterval = 100 * clock.Millis(1)
	// A new server is cold for coldDuration: its service times are multiplied by
	// coldFactor.
	coldDuration = 2 * clock.Second
	coldFactor   = 1.6
	// serviceTimeSigma is the standard deviation of the logarithm of the service
	// time.
	serviceTimeSigma = 0.5
	// requestBytes and responseBytes are the lengths of a request and a response, unless
	// the kind of the request gives another one.
	requestBytes  = 100
	responseBytes = 4000
)

var (
	longRoute  = netip.MustParseAddrPort("198.18.0.1:443")
	shortRoute = netip.MustParseAddrPort("198.18.0.1:80")
)

// simulation is the state of one run.
type simulation struct {
	scenario       Scenario
	rand           *rand.Rand
	now            clock.Millis
	events         timers.Queue[func()]
	hosts          []*host
	serverByNumber map[uint64]*server
	// servers are in the order of their start.
	servers    []*server
	lastFlow   uint32
	result     *Result
	lastServer uint64
}

// host is an entry host.
type host struct {
	centre int
	core   *core.Core
	name   string
	// killed is set once the host has ended, and unrouted while the router sends it
	// nothing. They are used in scenarios with kinds only, and killedAt is when the host
	// ended.
	killed, unrouted bool
	killedAt         clock.Millis
	// in and out are the directions of the host's link.
	in, out direction
	// reported is the latest report of loads.
	reported choose.Loads
}

// Run simulates a scenario with a flow placement strategy. The same seed gives the
// same result.
func Run(scenario Scenario, strategy choose.Settings, seed uint64) *Result {
	sim := &simulation{
		scenario: scenario, rand: rand.New(rand.NewPCG(seed, 7)), now: 1, serverByNumber: map[uint64]*server{}, result: newResult(),
	}
	sim.result.Kinds = make([]KindResult, len(scenario.Kinds))
	for c := range scenario.DataCentres {
		for i := range scenario.Hosts {
			h := &host{centre: c, name: entryHostName(c, i)}
			h.core = sim.newCore(h, strategy)
			sim.hosts = append(sim.hosts, h)
		}
		for range scenario.Servers {
			sim.addServer(c)
		}
	}
	sim.announceServers(nil)
	sim.start(strategy)
	for sim.now < scenario.Duration {
		if event, ok := sim.events.PopDue(sim.now); ok {
			event()
			continue
		}
		sim.now++
	}
	return sim.result
}

func (sim *simulation) newCore(h *host, strategy choose.Settings) *core.Core {
	return core.New(core.Options{
		Name: h.name, Centre: centreName(h.centre), Choice: strategy, DefaultIdleTimeout: 15_000, MaxFlows: 100_000, Off: sim.scenario.Off,
		// Silence is reported by announceServers only.
		Fleet: fleet.Options{SilentAfter: 1 << 60, ForgetAfter: 90_000, Follower: true},
	}, rand.New(rand.NewPCG(sim.rand.Uint64(), 1)))
}

func centreName(c int) string { return fmt.Sprintf("centre-%d", c) }

// after schedules event after a delay.
func (sim *simulation) after(delay clock.Millis, event func()) { sim.events.Add(sim.now+delay, event) }

// table returns the routing table of the scenario.
func (sim *simulation) table() *routes.Table {
	table := &routes.Table{Version: 1, Services: []string{"x"}, IdleTimeout: 12_000}
	for _, addr := range []netip.AddrPort{longRoute, shortRoute} {
		r := routes.Route{
			Name: addr.String(), Address: addr, Timeout: 2000, Targets: []routes.Target{{Service: "x", Weight: 1}},
		}
		if sim.scenario.Goals {
			r.LatencyGoal, r.Priority = sim.scenario.target(addr == longRoute), 2
			if addr == shortRoute {
				r.Priority = 1
			}
		}
		table.Routes = append(table.Routes, r)
	}
	table.Routes = append(table.Routes, sim.kindRoutes()...)
	return table
}

// start configures the hosts and schedules their periodic work, the clients and
// the faults of the scenario.
func (sim *simulation) start(strategy choose.Settings) {
	table := sim.table()
	for _, h := range sim.hosts {
		h.core.Configure(sim.now, table)
		sim.tick(h)
	}
	if sim.scenario.ExchangeInterval > 0 {
		sim.exchangeLoads()
	}
	if len(sim.scenario.Kinds) > 0 {
		sim.startKinds(strategy)
	} else {
		sim.startClients()
	}
	sim.scheduleFaults()
}

// startClients schedules the clients.
func (sim *simulation) startClients() {
	for c := range sim.scenario.DataCentres {
		longFlows := sim.scenario.LongFlows
		if c == 0 {
			longFlows = int(float64(longFlows) * (1 + sim.scenario.Skew))
		}
		for range longFlows {
			longClient := &client{sim: sim, centre: c, long: true}
			sim.after(clock.Millis(sim.rand.IntN(int(sim.scenario.ThinkTime))), longClient.startRequest)
		}
		sim.scheduleShortFlow(c)
		for range sim.scenario.Pools {
			s := &sim.scenario
			(&pool{
				sim: sim, centre: c, rate: s.PooledRate / float64(s.Pools), burst: s.Burst, requestsPerFlow: s.RequestsPerFlow,
			}).scheduleRequest()
		}
	}
}

func (sim *simulation) tick(h *host) {
	if !h.killed {
		h.core.Tick(sim.now)
	}
	sim.after(tickInterval, func() { sim.tick(h) })
}

// exchangeLoads collects the loads of all hosts and delivers to each the sum of the
// others, as the control hosts do.
func (sim *simulation) exchangeLoads() {
	if len(sim.scenario.Kinds) > 0 {
		sim.exchangeKindLoads()
		return
	}
	byHost := make([]choose.Loads, len(sim.hosts))
	total := choose.Loads{}
	for i, h := range sim.hosts {
		byHost[i] = h.core.Loads()
		total.Add(byHost[i])
	}
	sim.after(sim.scenario.ExchangeDelay, func() { sim.deliverLoads(byHost, total) })
	sim.after(sim.scenario.ExchangeInterval, sim.exchangeLoads)
}

// deliverLoads gives each host the sum of the loads that the other hosts reported.
func (sim *simulation) deliverLoads(byHost []choose.Loads, total choose.Loads) {
	for i, h := range sim.hosts {
		sim.deliverLoad(h, byHost[i], total)
	}
}

// deliverLoad gives a host the sum of all loads without its own report.
func (sim *simulation) deliverLoad(h *host, report, total choose.Loads) {
	others := choose.Loads{}
	for token, load := range total {
		own := report[token]
		others[token] = choose.Load{InFlight: load.InFlight - own.InFlight, Flows: load.Flows - own.Flows}
	}
	h.core.Learn(sim.now, &core.Update{Loads: others})
}

// scheduleFaults schedules the crashes and replacements of the scenario. The
// strides 5 and 3 spread them over the data centres.
func (sim *simulation) scheduleFaults() {
	for i := range sim.scenario.Crashed {
		s := sim.servers[(i*5)%len(sim.servers)]
		sim.after(sim.scenario.CrashAt, func() { s.crash() })
		sim.after(sim.scenario.CrashAt+sim.scenario.DetectionDelay, func() { sim.announceServers(map[string]bool{s.record.ID: true}) })
	}
	for i := range sim.scenario.Replaced {
		old := sim.servers[(i*3)%len(sim.servers)]
		sim.after(sim.scenario.ReplaceAt+clock.Millis(i)*clock.Second, func() {
			replacement := sim.addServer(old.centre)
			replacement.coldUntil = sim.now + coldDuration
			old.record.State, old.record.Seq, old.draining = fleet.Draining, 2, true
			sim.after(sim.scenario.ExchangeInterval, func() { sim.announceServers(nil) })
		})
	}
}

// announceServers sends all hosts the records of all servers. The servers whose IDs
// are in silent are reported as no longer announcing themselves.
func (sim *simulation) announceServers(silent map[string]bool) {
	update := sim.allServers()
	if silent != nil {
		// The first result is whether the server is silent, the second whether
		// that is known.
		update.Silence = func(id string) (bool, bool) { return silent[id], silent[id] }
	}
	for _, h := range sim.hosts {
		h.core.Learn(sim.now, update)
	}
}

// allServers returns an update with the records of all servers.
func (sim *simulation) allServers() *core.Update {
	update := &core.Update{}
	for _, s := range sim.servers {
		update.Servers = append(update.Servers, core.ServerUpdate{Record: s.record})
	}
	return update
}

// partitioned reports whether packets between two data centres are lost now.
func (sim *simulation) partitioned(a, b int) bool {
	active := sim.now >= sim.scenario.CutAt && sim.now < sim.scenario.CutAt+sim.scenario.CutDuration
	return active && a != b && (a == 0 || b == 0)
}

// forward sends a client's packet through an entry host of its data centre, which
// the router selects by a hash of the client's address.
func (sim *simulation) forward(centre int, p core.Packet, f *flow) {
	sim.after(clientDelay, func() {
		h := sim.routeOf(centre, p.From)
		if h.killed {
			return
		}
		sim.throughLink(&h.in, p.Length, func() { sim.handle(h, p, f) })
	})
}

// handle lets an entry host decide on a packet and carries out the decision.
func (sim *simulation) handle(h *host, p core.Packet, f *flow) {
	if h.killed {
		return
	}
	const upToDate = true
	action := h.core.HandlePacket(sim.now, &p, upToDate)
	switch action.Verdict {
	case core.Forward:
		s := sim.serverByNumber[action.Number]
		if !sim.partitioned(h.centre, s.centre) {
			sim.throughLink(&h.out, p.Length, func() { sim.after(serverDelay, func() { s.receive(p, action.Token, f) }) })
		}
	case core.Reset:
		if p.Open {
			sim.result.Refused++
		}
		sim.throughLink(&h.out, 0, func() { sim.after(clientDelay, f.onReset) })
	case core.Drop:
	}
}

// serviceTime draws the service time of a request from a log-normal distribution
// whose mean is that of the kind, or the scenario's ServiceTime.
func (sim *simulation) serviceTime(k *Kind) clock.Millis {
	mean := float64(sim.scenario.ServiceTime)
	if k != nil {
		mean = float64(k.ServiceTime)
	}
	millis := mean * math.Exp(serviceTimeSigma*sim.rand.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2)
	return clock.Millis(max(1, math.Round(millis)))
}

// rateFactor returns the current factor on the request rate of long flows, which
// is 1 outside a burst.
func (sim *simulation) rateFactor() float64 {
	if sim.inBurst(sim.now) {
		return sim.scenario.Burst
	}
	return 1
}

// scheduleShortFlow schedules the next short flow of a data centre. The arrivals
// are a Poisson process.
func (sim *simulation) scheduleShortFlow(centre int) {
	rate := sim.scenario.ShortFlowRate
	if sim.scenario.Pools > 0 {
		rate *= sim.rateFactor()
	}
	if sim.inBurst(sim.now) {
		rate += sim.scenario.BurstShortFlowRate
	}
	interval := sim.rand.ExpFloat64() * float64(clock.Second) / rate
	sim.after(clock.Millis(interval), func() {
		(&client{sim: sim, centre: centre}).startRequest()
		sim.scheduleShortFlow(centre)
	})
}
