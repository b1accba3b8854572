package simnet

import (
	"net/netip"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

const (
	// rerouteDelay is the time from the end of an entry host until its packets go to
	// others, which takes two failed readiness probes.
	rerouteDelay = clock.Second
	// rollTime is how long a host that is rolled takes no packets.
	rollTime = clock.Second
	// probeInterval is the time between two readiness probes of a router.
	probeInterval = 500 * clock.Millis(1)
	// delistDelay is the time from the end of an entry host until the control hosts
	// leave it out of the list, and delistSpread that until all entry hosts have polled.
	delistDelay  = 2 * clock.Second
	delistSpread = 600 * clock.Millis(1)
	// orderSpread is the time from the order of an evacuation until all entry hosts have
	// polled.
	orderSpread = 500 * clock.Millis(1)
	// differTime is how long lists of entry hosts differ.
	differTime = clock.Second
)

// Failures are the faults in a scenario with kinds of requests.
type Failures struct {
	// At is when the faults begin.
	At clock.Millis
	// Killed is the share of the entry hosts of each data centre that end without notice,
	// or of the first data centre only if KilledInOne is set.
	Killed      float64
	KilledInOne bool
	// PausedFor is the time after which the killed hosts go on where they were, or 0 if
	// they don't. RestartAfter is the time after which they start again without state.
	PausedFor    clock.Millis
	RestartAfter clock.Millis
	// RolledEvery is the time after which the next of all entry hosts, one after the other,
	// is stopped with notice, and started again without state after a second.
	RolledEvery clock.Millis
	// Rehash moves nearly all flows to other entry hosts whenever a router drops a host or
	// takes it back, which it does for each host at another time.
	Rehash bool
	// Differing is the share of the entry hosts that are missing, for a second, in the
	// lists of half of the entry hosts.
	Differing float64
	// Slow is the share of the servers whose work takes SlowFactor times as long until
	// the end of the burst.
	Slow       float64
	SlowFactor float64
	// Evacuated is the number of data centres that are evacuated. Their clients stay with
	// their entry hosts.
	Evacuated int
}

// shareList gives an entry host the sorted hashes of the entry hosts of its data centre
// for which listed is true and, while a data centre is evacuated, of the others.
func (sim *simulation) shareList(h *host, listed func(*host) bool) {
	lists := make([][]uint64, sim.scenario.DataCentres)
	for _, o := range sim.hosts {
		if listed(o) {
			lists[o.centre] = append(lists[o.centre], hash.String(o.name))
		}
	}
	u := core.Update{Sharing: []uint64{}}
	for c, list := range lists {
		slices.Sort(list)
		switch {
		case c == h.centre:
			u.Sharing = append(u.Sharing, list...)
		case sim.scenario.Failures.Evacuated > 0 && sim.now >= sim.scenario.Failures.At:
			if u.SharingElsewhere == nil {
				u.SharingElsewhere = map[string][]uint64{}
			}
			u.SharingElsewhere[centreName(c)] = list
		}
	}
	h.core.Learn(sim.now, &u)
}

// scheduleFailures gives the entry hosts their list and schedules the failures.
func (sim *simulation) scheduleFailures(strategy choose.Settings) {
	f := &sim.scenario.Failures
	alive := func(h *host) bool { return !h.killed }
	for _, h := range sim.hosts {
		sim.shareList(h, alive)
	}
	// Spread over the data centres and over the list.
	chosen := func(i int, share float64) bool { return int(float64(i+1)*share) > int(float64(i)*share) }
	killed := func(i int) bool {
		return chosen(i%sim.scenario.Hosts, f.Killed) && (!f.KilledInOne || i < sim.scenario.Hosts)
	}
	// relist gives an entry host a new list at its first poll after a time.
	relist := func(h *host, at clock.Millis) {
		sim.after(at+clock.Millis(sim.rand.IntN(int(delistSpread))), func() { sim.shareList(h, alive) })
	}
	if f.Killed > 0 {
		sim.after(f.At, func() {
			for i, h := range sim.hosts {
				h.killed, h.killedAt = killed(i), sim.now
			}
		})
		for i, h := range sim.hosts {
			if killed(i) {
				sim.after(f.At+rerouteDelay-sim.probePhase(), func() { h.unrouted = h.killed })
			}
		}
		for _, h := range sim.hosts {
			relist(h, f.At+delistDelay)
		}
	}
	if f.PausedFor > 0 {
		sim.after(f.At+f.PausedFor, func() {
			for _, h := range sim.hosts {
				h.killed, h.unrouted = false, false
			}
		})
		for _, h := range sim.hosts {
			relist(h, f.At+f.PausedFor)
		}
	}
	if f.RestartAfter > 0 {
		for i, h := range sim.hosts {
			if killed(i) {
				sim.after(f.At+f.RestartAfter, func() { sim.restart(h, strategy) })
			}
			relist(h, f.At+f.RestartAfter)
		}
	}
	if f.RolledEvery > 0 {
		for i, h := range sim.hosts {
			// Spread over the data centres.
			turn := i%sim.scenario.Hosts*sim.scenario.DataCentres + h.centre
			sim.after(f.At+clock.Millis(turn)*f.RolledEvery, func() {
				h.unrouted = true
				sim.after(rollTime, func() { sim.restart(h, strategy) })
			})
		}
	}
	if f.Evacuated > 0 {
		order := &core.Update{EvacuationsVersion: 1}
		for c := range f.Evacuated {
			order.Evacuations = append(order.Evacuations, core.EvacuationUpdate{Centre: centreName(c), Active: true})
		}
		for _, h := range sim.hosts {
			sim.after(f.At+clock.Millis(sim.rand.IntN(int(orderSpread))), func() {
				sim.shareList(h, alive)
				h.core.Learn(sim.now, order)
			})
		}
	}
	if f.Differing > 0 {
		for i, h := range sim.hosts {
			if i%2 == 0 {
				missing := map[*host]bool{}
				for j, o := range sim.hosts {
					missing[o] = chosen(j%sim.scenario.Hosts, f.Differing)
				}
				sim.after(f.At, func() { sim.shareList(h, func(o *host) bool { return !missing[o] }) })
				sim.after(f.At+differTime, func() { sim.shareList(h, alive) })
			}
		}
	}
	for i, s := range sim.servers {
		if chosen(i, f.Slow) {
			sim.after(f.At, func() { s.slowFactor = f.SlowFactor })
			sim.after(sim.scenario.BurstTo, func() { s.slowFactor = 1 })
		}
	}
}

// probePhase returns the time by which a router notices a change of an entry host earlier
// than after a whole probe interval, or 0 if all changes are noticed at once.
func (sim *simulation) probePhase() clock.Millis {
	if !sim.scenario.Failures.Rehash {
		return 0
	}
	return clock.Millis(sim.rand.IntN(int(probeInterval)))
}

// restart starts an entry host that ended, without state.
func (sim *simulation) restart(h *host, strategy choose.Settings) {
	h.core, h.killed = sim.newCore(h, strategy), false
	h.core.Configure(sim.now, sim.table())
	h.core.Learn(sim.now, sim.allServers())
	sim.after(probeInterval-sim.probePhase(), func() { h.unrouted = false })
}

// routeOf returns the entry host of a data centre to which the router sends the packets
// of an address.
func (sim *simulation) routeOf(centre int, from netip.AddrPort) *host {
	key := hash.String(from.String())
	hosts := sim.hosts[centre*sim.scenario.Hosts:][:sim.scenario.Hosts]
	if sim.scenario.Failures.Rehash {
		routed := slices.DeleteFunc(slices.Clone(hosts), func(h *host) bool { return h.unrouted })
		if len(routed) == 0 {
			return sim.routeOf((centre+1)%sim.scenario.DataCentres, from)
		}
		return routed[key%uint64(len(routed))]
	}
	for n := uint64(0); ; n++ {
		if h := hosts[key%uint64(len(hosts))]; !h.unrouted {
			return h
		}
		key = hash.Mix(key, n)
	}
}
