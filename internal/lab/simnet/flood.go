package simnet

import (
	"fmt"
	"net/netip"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

// Kind is a kind of requests, each of which is a flow of its own.
type Kind struct {
	Name string
	// Rate is the usual number of requests per second in all data centres, and Burst the
	// factor on it during the burst.
	Rate  float64
	Burst float64
	// ServiceTime is the mean time that a request occupies a slot.
	ServiceTime clock.Millis
	Goal        clock.Millis
	Priority    int
}

// Failures are the faults in a scenario with kinds of requests.
type Failures struct {
	// At is when the faults begin.
	At clock.Millis
	// Killed is the share of the entry hosts of each data centre that end without notice.
	Killed float64
	// PausedFor is the time after which the killed hosts go on where they were, or 0 if
	// they don't.
	PausedFor clock.Millis
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

const (
	// openingTimeout is the time without an answer after which a client gives up a flow.
	openingTimeout = 1400 * clock.Millis(1)
	// rerouteDelay is the time from the end of an entry host until its packets go to
	// others, which takes two failed readiness probes.
	rerouteDelay = clock.Second
	// delistDelay is the time from the end of an entry host until the control hosts
	// leave it out of the list, and delistSpread that until all entry hosts have polled.
	delistDelay  = 2 * clock.Second
	delistSpread = 600 * clock.Millis(1)
	// reportTTL is how long the control hosts use the load reported by an entry host.
	reportTTL = 2 * clock.Second
	// orderSpread is the time from the order of an evacuation until all entry hosts have
	// polled.
	orderSpread = 500 * clock.Millis(1)
	// settleTime is the time after the burst from which requests count as after it.
	settleTime = clock.Second
	// unbounded is a length that no queue reaches.
	unbounded = 1 << 20
	// differTime is how long lists of entry hosts differ.
	differTime = clock.Second
)

// Flood returns a scenario with the demand of a flood warning office: short requests of
// two kinds through many entry hosts. During the burst, the reads are multiplied by
// reads and the reports, which are more urgent, by reports.
//
// Of the servers it is known that they queue 8 requests and reject what waits for about
// 160 ms. With a queue of 8, from which further requests are rejected at once, the
// simulated servers stay busy while they reject. The loads that were observed, 23,272 of
// 65,597 arrivals rejected while most slots were idle, are met closest by a queue without
// a bound from which requests are rejected after 300 ms.
func Flood(entryHosts int, reads, reports float64) Scenario {
	return Scenario{
		Name: "flood", DataCentres: 3, Hosts: entryHosts / 3, Servers: 40, Slots: 2, Queue: unbounded, QueueTimeout: 300,
		Kinds: []Kind{
			{Name: "reads", Rate: 985, Burst: reads, ServiceTime: 40, Goal: 600, Priority: 2},
			{Name: "reports", Rate: 488, Burst: reports, ServiceTime: 52, Goal: 600, Priority: 1},
		},
		// A refused request comes again after 3 ms, which makes 7 ms with the way to an
		// entry host and back.
		RetryDelay: 3, RequestTimeout: 4000,
		Duration: 20_000, BurstFrom: 10_000, BurstTo: 15_000, ExchangeInterval: 300, ExchangeDelay: 250,
	}
}

// KindResult holds the outcomes of one kind of requests.
type KindResult struct {
	// Rest, Burst and After count the requests that started before the burst, during it
	// from Scenario.CountFrom on, and from settleTime after it on.
	Rest, Burst, After Outcomes
	// Work is the work of the requests of Burst that were answered within the goal, in
	// milliseconds of a slot.
	Work float64
}

// Share returns the share of the requests that were answered within the goal.
func (o *Outcomes) Share() float64 { return float64(o.OnTime) / float64(max(o.Requests, 1)) }

// DescribeFlood returns the figures of a run of a scenario of Flood in one line.
func (r *Result) DescribeFlood(s *Scenario, seed uint64) string {
	reads, reports := &r.Kinds[0], &r.Kinds[1]
	return fmt.Sprintf("%s, %d entry hosts, reads x%v, reports x%v, seed %d: %.3f of the slots, in time %.3f of reads and %.3f of reports, "+
		"after the burst %.3f and %.3f; refused %d, servers rejected %d of %d", s.Name, s.DataCentres*s.Hosts, s.Kinds[0].Burst, s.Kinds[1].Burst,
		seed, r.UseOfSlots(s), reads.Burst.Share(), reports.Burst.Share(), reads.After.Share(), reports.After.Share(), r.Refused, r.Shed, r.Arrivals)
}

// UseOfSlots returns the work of the requests that started during the burst, from
// Scenario.CountFrom on, and were answered within the goal, as a share of what the slots
// bear in that time.
func (r *Result) UseOfSlots(s *Scenario) float64 {
	slots := float64(s.DataCentres * s.Servers * s.Slots)
	if f := s.Failures.SlowFactor; f > 1 {
		slots *= 1 - s.Failures.Slow*(1-1/f)
	}
	slots *= 1 - float64(s.Failures.Evacuated)/float64(s.DataCentres)
	work := 0.0
	for i := range r.Kinds {
		work += r.Kinds[i].Work
	}
	return work / (slots * float64(s.BurstTo-max(s.BurstFrom, s.CountFrom)))
}

// kindOutcomes returns the counts for a request that started at a time, or nil.
func (sim *simulation) kindOutcomes(k *Kind, startedAt clock.Millis) *Outcomes {
	r := &sim.result.Kinds[slices.IndexFunc(sim.scenario.Kinds, func(o Kind) bool { return o.Name == k.Name })]
	switch {
	case sim.inBurst(startedAt) && startedAt < sim.scenario.CountFrom:
		return nil
	case sim.inBurst(startedAt):
		return &r.Burst
	// The hosts know nothing of the servers in the first seconds, and the last requests
	// are not finished at the end.
	case startedAt >= 3*clock.Second && startedAt < sim.scenario.BurstFrom:
		return &r.Rest
	case startedAt >= sim.scenario.BurstTo+settleTime && startedAt < sim.scenario.Duration-clock.Second:
		return &r.After
	default:
		return nil
	}
}

// recordKind counts the outcome of a request of a kind.
func (sim *simulation) recordKind(k *Kind, startedAt clock.Millis, served bool) {
	o := sim.kindOutcomes(k, startedAt)
	if o == nil {
		return
	}
	o.Requests++
	switch {
	case !served:
		o.Failed++
	case sim.now-startedAt > k.Goal:
		o.Late++
	default:
		o.OnTime++
		if sim.inBurst(startedAt) {
			for i := range sim.scenario.Kinds {
				if sim.scenario.Kinds[i].Name == k.Name {
					sim.result.Kinds[i].Work += float64(k.ServiceTime)
				}
			}
		}
	}
}

// kindRoute returns the address of the route of a kind.
func kindRoute(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(i)}), 80)
}

// kindRoutes returns the routes of the kinds.
func (sim *simulation) kindRoutes() []routes.Route {
	var list []routes.Route
	for i := range sim.scenario.Kinds {
		k := &sim.scenario.Kinds[i]
		list = append(list, routes.Route{
			Name: k.Name, Address: kindRoute(i), Timeout: sim.scenario.RequestTimeout, LatencyGoal: k.Goal, Priority: k.Priority,
			Targets: []routes.Target{{Service: "x", Weight: 1}},
		})
	}
	return list
}

// startKinds schedules the requests of the kinds and the failures.
func (sim *simulation) startKinds() {
	for i := range sim.scenario.Kinds {
		for c := range sim.scenario.DataCentres {
			sim.scheduleKind(c, &sim.scenario.Kinds[i], kindRoute(i))
		}
	}
	sim.scheduleFailures()
}

// exchangeKindLoads collects the loads of all hosts and delivers to each, at its own time
// within the interval, the sum of those that its data centre is in contact with.
func (sim *simulation) exchangeKindLoads() {
	reports := make([]choose.Loads, len(sim.hosts))
	totals := make([]choose.Loads, sim.scenario.DataCentres)
	for i, h := range sim.hosts {
		if h.killed && sim.now-h.killedAt > reportTTL {
			continue
		}
		reports[i] = h.core.Loads()
		for c := range totals {
			if totals[c] == nil {
				totals[c] = choose.Loads{}
			}
			if !sim.partitioned(c, h.centre) {
				totals[c].Add(reports[i])
			}
		}
	}
	for i, h := range sim.hosts {
		phase := sim.scenario.ExchangeInterval * clock.Millis(i%sim.scenario.Hosts) / clock.Millis(sim.scenario.Hosts)
		sim.after(sim.scenario.ExchangeDelay+phase, func() { sim.deliverLoad(h, reports[i], totals[h.centre]) })
	}
	sim.after(sim.scenario.ExchangeInterval, sim.exchangeLoads)
}

// scheduleKind schedules the next request of a kind in a data centre. The arrivals are a
// Poisson process.
func (sim *simulation) scheduleKind(centre int, k *Kind, route netip.AddrPort) {
	rate := k.Rate / float64(sim.scenario.DataCentres)
	if sim.inBurst(sim.now) {
		rate *= k.Burst
	}
	sim.afterExact(sim.rand.ExpFloat64()*float64(clock.Second)/rate, func() {
		(&client{sim: sim, centre: centre, kind: k, route: route}).startRequest()
		sim.scheduleKind(centre, k, route)
	})
}

// afterExact schedules event after a delay in milliseconds, rounded so that the mean of
// many delays is kept.
func (sim *simulation) afterExact(delay float64, event func()) {
	whole := clock.Millis(delay)
	if sim.rand.Float64() < delay-float64(whole) {
		whole++
	}
	sim.after(whole, event)
}

// entryHostName returns the name of the entry host with an index in its data centre.
func entryHostName(centre, index int) string { return fmt.Sprintf("entry-%d-%d", centre, index) }

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
func (sim *simulation) scheduleFailures() {
	f := &sim.scenario.Failures
	alive := func(h *host) bool { return !h.killed }
	for _, h := range sim.hosts {
		sim.shareList(h, alive)
	}
	// Spread over the data centres and over the list.
	chosen := func(i int, share float64) bool { return int(float64(i+1)*share) > int(float64(i)*share) }
	if f.Killed > 0 {
		sim.after(f.At, func() {
			for i, h := range sim.hosts {
				h.killed, h.killedAt = chosen(i%sim.scenario.Hosts, f.Killed), sim.now
			}
		})
		sim.after(f.At+rerouteDelay, func() {
			for _, h := range sim.hosts {
				h.unrouted = h.killed
			}
		})
		for _, h := range sim.hosts {
			sim.after(f.At+delistDelay+clock.Millis(sim.rand.IntN(int(delistSpread))), func() { sim.shareList(h, alive) })
		}
	}
	if f.PausedFor > 0 {
		sim.after(f.At+f.PausedFor, func() {
			for _, h := range sim.hosts {
				h.killed, h.unrouted = false, false
			}
		})
		for _, h := range sim.hosts {
			sim.after(f.At+f.PausedFor+clock.Millis(sim.rand.IntN(int(delistSpread))), func() { sim.shareList(h, alive) })
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

// routeOf returns the entry host of a data centre to which the router sends the packets
// of an address.
func (sim *simulation) routeOf(centre int, from netip.AddrPort) *host {
	key := hash.String(from.String())
	hosts := sim.hosts[centre*sim.scenario.Hosts:][:sim.scenario.Hosts]
	for n := uint64(0); ; n++ {
		if h := hosts[key%uint64(len(hosts))]; !h.unrouted {
			return h
		}
		key = hash.Mix(key, n)
	}
}
