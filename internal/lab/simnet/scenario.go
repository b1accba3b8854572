// Package simnet simulates a deployment on a virtual clock: clients with long
// and short flows, a router that spreads packets over entry hosts, and servers
// with few slots. The entry hosts run the real decision core, so that flow
// placement strategies can be compared over many seeds in seconds.
package simnet

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/conf/tune"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// Scenario describes a deployment, the requests of its clients and the faults
// that occur during a run.
type Scenario struct {
	Name string
	// DataCentres is the number of data centres. Hosts and Servers are per data
	// centre, Slots per server.
	DataCentres int
	Hosts       int
	Servers     int
	Slots       int
	// Queue is the number of requests that a server queues before it sheds.
	Queue int
	// LongFlows is the number of clients with a long flow in each data centre. The
	// first data centre has more of them, by the fraction Skew.
	LongFlows int
	Skew      float64
	// ThinkTime is the mean pause between the requests of a long flow.
	ThinkTime clock.Millis
	// PooledRate is the number of requests per second in each data centre that are
	// sent, whether or not earlier ones were answered, on an idle long flow of a pool,
	// or on a new one if none is idle. Pools is the number of pools there. A pooled
	// flow ends after RequestsPerFlow requests on average.
	PooledRate      float64
	Pools           int
	RequestsPerFlow float64
	// ShortFlowRate is the number of short flows per second in each data centre.
	ShortFlowRate float64
	// ServiceTime is the mean time that a request occupies a slot.
	ServiceTime clock.Millis
	// LatencyTarget is the latency up to which an answer counts as on time. It is the
	// latency goal of the routes if Goals is set.
	LatencyTarget clock.Millis
	// ShortTarget replaces LatencyTarget for short flows unless it is 0.
	ShortTarget clock.Millis
	// Goals gives the routes their latency goals and short flows a higher priority.
	Goals bool
	// QueueTimeout is the time after which a queued request is shed, or 0 for never.
	QueueTimeout clock.Millis
	// Duration is the length of the run. Between BurstFrom and BurstTo the request
	// rate of the long flows, and of pools and short flows if there are pools, is
	// multiplied by Burst.
	Duration  clock.Millis
	BurstFrom clock.Millis
	BurstTo   clock.Millis
	Burst     float64
	// BurstShortFlowRate is the number of additional short flows per second in
	// each data centre during the burst.
	BurstShortFlowRate float64
	// Crashed is the number of servers that stop answering at CrashAt.
	Crashed int
	CrashAt clock.Millis
	// DetectionDelay is the time from the crash until the hosts are told of it.
	DetectionDelay clock.Millis
	// CutAt is the start of a partition between the first data centre and the
	// others.
	CutAt clock.Millis
	// CutDuration is the length of the partition, or 0 for none.
	CutDuration clock.Millis
	// Replaced is the number of servers that drain while cold ones start in their
	// place, one each second from ReplaceAt on.
	Replaced  int
	ReplaceAt clock.Millis
	// ExchangeInterval is the interval at which hosts exchange their loads, or 0
	// for never. It is also the delay until the hosts learn of a replacement.
	ExchangeInterval clock.Millis
	// Off holds the mechanisms of the entry hosts that are switched off.
	Off tune.Off
	// ExchangeDelay is the age of the loads when an exchange delivers them.
	ExchangeDelay clock.Millis
	// Kinds, if not empty, are the only requests. The loads then reach the entry hosts
	// at different times of the exchange interval.
	Kinds []Kind
	// Failures are the faults of a scenario with Kinds.
	Failures Failures
	// CountFrom is when the counts of the burst begin, if that is later than BurstFrom.
	CountFrom clock.Millis
	// RetryDelay is the wait before the next attempt of a shed or reset request, or 0 for
	// retryDelay. RequestTimeout is the time after which a client gives up a request, or
	// 0 for requestTimeout.
	RetryDelay     clock.Millis
	RequestTimeout clock.Millis
	// LinkRate is the rate of the link of an entry host in each direction, in bits per
	// second, or 0 without a bound.
	LinkRate float64
}

// Scenarios returns the scenarios to compare: one without faults (calm), and one
// each with a burst, crashed servers, a rolling replacement of servers (release),
// a partition (cut) and three times the usual demand (overload).
func Scenarios() []Scenario {
	calm := Scenario{
		Name: "calm", DataCentres: 4, Hosts: 3, Servers: 4, Slots: 2, Queue: 8, LongFlows: 75, Skew: 0.2, ThinkTime: 950, ShortFlowRate: 21,
		ServiceTime: 32, LatencyTarget: 150, Duration: 20_000, Burst: 1, ExchangeInterval: 300, ExchangeDelay: 500,
	}
	burst := calm
	burst.Name, burst.Burst, burst.BurstShortFlowRate, burst.BurstFrom, burst.BurstTo = "burst", 1.3, 110, 6000, 10_000
	crash := calm
	crash.Name, crash.Crashed, crash.CrashAt, crash.DetectionDelay = "crash", 3, 6000, 3600
	release := calm
	release.Name, release.Replaced, release.ReplaceAt = "release", 6, 5000
	cut := calm
	cut.Name, cut.CutAt, cut.CutDuration = "cut", 6000, 5500
	return []Scenario{calm, burst, crash, release, cut, Overload(3, 6000)}
}

// Overload returns a scenario in which the given multiple of the usual demand is
// sent for a while. The usual demand takes 45% of the slots.
func Overload(factor float64, length clock.Millis) Scenario {
	return Scenario{
		Name: "overload", DataCentres: 4, Hosts: 2, Servers: 4, Slots: 2, Queue: 8, QueueTimeout: 125, ServiceTime: 32,
		PooledRate: 84, Pools: 28, RequestsPerFlow: 8, ShortFlowRate: 24,
		LatencyTarget: 150, ShortTarget: 200, Goals: true,
		Duration: 8000 + length, Burst: factor, BurstFrom: 6000, BurstTo: 6000 + length,
		ExchangeInterval: 300, ExchangeDelay: 250,
	}
}

// Strategies returns the flow placement strategies to compare, by name.
func Strategies() map[string]choose.Settings {
	// A negative MaxLocalUse keeps no flow in its data centre.
	anyCentre := choose.Settings{RemotePenalty: 0.1, MaxLocalUse: -1}
	allByRequests, twoByRequests, localBestOfAll, localBestOfThree := anyCentre, anyCentre, choose.DefaultSettings, choose.DefaultSettings
	allByRequests.ByRequests = true
	twoByRequests.ByRequests, twoByRequests.Samples = true, 2
	localBestOfAll.Samples, localBestOfThree.Samples = 0, 3
	return map[string]choose.Settings{
		"any data centre, best of two, by requests":                   twoByRequests,
		"any data centre, best of all, by requests":                   allByRequests,
		"any data centre, best of all, long flows by number of flows": anyCentre,
		"local data centre first, best of all":                        localBestOfAll,
		"local data centre first, best of three":                      localBestOfThree,
		"local data centre first, best of two (default)":              choose.DefaultSettings,
	}
}

// Result holds the request outcomes of one run.
type Result struct {
	// Requests is the number of requests that were started.
	Requests int
	// OnTime counts requests that were answered within the latency target.
	OnTime int
	// Late counts requests that were answered after it.
	Late int
	// Failed counts requests that were given up without an answer.
	Failed int
	// Shed counts requests that a server rejected because its queue was full.
	Shed int
	// Refused counts attempts that were reset before they reached a server.
	Refused int
	// Arrivals counts the requests that reached a server.
	Arrivals int
	Counts   Counts
	// LostInFront counts the packets that were lost in front of a full link.
	LostInFront int
	// Kinds are the outcomes by kind, in the order of Scenario.Kinds.
	Kinds []KindResult
	// Burst counts the requests that started during the burst.
	Burst Outcomes
	// Latency holds the latencies of the served requests, in milliseconds.
	Latency *hdrhistogram.Histogram
	windows map[clock.Millis]*window
}

// Outcomes counts requests by their outcome.
type Outcomes struct{ Requests, OnTime, Late, Failed int }

// window counts the requests that started within one period of windowLength, and
// those of them that were answered within the latency target.
type window struct{ requests, onTime int }

const (
	windowLength = 2 * clock.Second
	// minWindowRequests is the minimum number of requests in a window that counts
	// in WorstWindow.
	minWindowRequests = 20
)

func newResult() *Result {
	return &Result{Latency: hdrhistogram.New(1, 60_000, 2), windows: map[clock.Millis]*window{}}
}

func (r *Result) window(at clock.Millis) *window {
	w := r.windows[at/windowLength]
	if w == nil {
		w = &window{}
		r.windows[at/windowLength] = w
	}
	return w
}

// OnTimeShare returns the share of all requests that were answered within the
// latency target.
func (r *Result) OnTimeShare() float64 { return float64(r.OnTime) / float64(max(r.Requests, 1)) }

// WorstWindow returns the lowest such share of any window with at least
// minWindowRequests requests.
func (r *Result) WorstWindow() float64 {
	worst := 1.0
	for _, w := range r.windows {
		if w.requests >= minWindowRequests {
			worst = min(worst, float64(w.onTime)/float64(w.requests))
		}
	}
	return worst
}

// target returns the latency target of the long or the short flows.
func (s *Scenario) target(long bool) clock.Millis {
	if !long && s.ShortTarget > 0 {
		return s.ShortTarget
	}
	return s.LatencyTarget
}

func (sim *simulation) inBurst(at clock.Millis) bool {
	return at >= sim.scenario.BurstFrom && at < sim.scenario.BurstTo
}

// record counts the outcome of a request.
func (sim *simulation) record(startedAt clock.Millis, served bool, target clock.Millis) {
	r, latency := sim.result, sim.now-startedAt
	count := func(total, burst *int) {
		*total++
		if sim.inBurst(startedAt) {
			*burst++
		}
	}
	switch {
	case !served:
		count(&r.Failed, &r.Burst.Failed)
	case latency <= target:
		count(&r.OnTime, &r.Burst.OnTime)
		r.window(startedAt).onTime++
	default:
		count(&r.Late, &r.Burst.Late)
	}
	if served {
		_ = r.Latency.RecordValue(int64(max(latency, 1)))
	}
}

func (s *Scenario) requestTimeout() clock.Millis {
	if s.RequestTimeout > 0 {
		return s.RequestTimeout
	}
	return requestTimeout
}

func (s *Scenario) retryDelay() clock.Millis {
	if s.RetryDelay > 0 {
		return s.RetryDelay
	}
	return retryDelay
}
