package simnet

import (
	"fmt"
	"net/netip"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// Kind is a kind of requests, each of which is a flow of its own unless Pools is set.
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
	// Pools is the number of pools of long flows in each data centre, and RequestsPerFlow
	// the mean number of requests on one of these flows.
	Pools           int
	RequestsPerFlow float64
	// Bytes is the length of a request, or 0 for requestBytes.
	Bytes int
}

const (
	// openingTimeout is the time without an answer after which a client gives up a flow.
	openingTimeout = 1400 * clock.Millis(1)
	// reportTTL is how long the control hosts use the load reported by an entry host.
	reportTTL = clock.Second
	// settleTime is the time after the burst from which requests count as after it.
	settleTime = clock.Second
	// unbounded is a length that no queue reaches.
	unbounded = 1 << 20
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

// Weighing returns a scenario with the demand of a weighbridge operator: short requests
// on long flows, and more urgent ones on flows of their own, in four data centres. The
// usual demand takes a fifth of the slots. During the burst it is multiplied by factor.
func Weighing(entryHosts int, factor float64) Scenario {
	return Scenario{
		Name: "weighing", DataCentres: 4, Hosts: max(entryHosts/4, 1), Servers: 30, Slots: 2, Queue: 8, QueueTimeout: 160,
		Kinds: []Kind{
			{Name: "feeds", Rate: 986, Burst: factor, ServiceTime: 30, Goal: 300, Priority: 2, Pools: 40, RequestsPerFlow: 12},
			{Name: "tickets", Rate: 488, Burst: factor, ServiceTime: 39, Goal: 300, Priority: 1, Bytes: 1050},
		},
		LinkRate: 120_000_000 / float64(entryHosts), RetryDelay: 3, RequestTimeout: 2500,
		Duration: 20_000, BurstFrom: 8000, BurstTo: 15_000, ExchangeInterval: 300, ExchangeDelay: 250,
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
func (sim *simulation) startKinds(strategy choose.Settings) {
	for i := range sim.scenario.Kinds {
		k := &sim.scenario.Kinds[i]
		for c := range sim.scenario.DataCentres {
			if k.Pools == 0 {
				sim.scheduleKind(c, k, kindRoute(i))
			}
			for range k.Pools {
				rate := k.Rate / float64(sim.scenario.DataCentres*k.Pools)
				(&pool{sim: sim, centre: c, rate: rate, burst: k.Burst, requestsPerFlow: k.RequestsPerFlow, kind: k, route: kindRoute(i)}).scheduleRequest()
			}
		}
	}
	sim.scheduleFailures(strategy)
	sim.after(countInterval, sim.compareCounts)
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
		if !h.killed {
			h.reported = h.core.Loads()
		}
		reports[i] = h.reported
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
