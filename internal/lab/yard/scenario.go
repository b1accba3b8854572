// Package yard simulates a deployment on a virtual clock: clients with long and
// short flows, a router that spreads packets over entry hosts, and servers with
// few slots. The entry hosts run the real decision core, so that flow placement
// strategies can be compared over many seeds in seconds.
package yard

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// Load describes a deployment, the requests of its clients and the faults that
// occur during a run.
type Load struct {
	Name string
	// Centres is the number of data centres. Hosts and Servers are per data
	// centre, Slots per server.
	Centres int
	Hosts   int
	Servers int
	Slots   int
	// Queue is the number of requests that a server queues before it sheds.
	Queue int
	// Users is the number of clients with a long flow in each data centre. The
	// first data centre has more of them, by the fraction Skew.
	Users int
	Skew  float64
	// Think is the mean pause between the requests of a long flow.
	Think clock.Millis
	// Shorts is the number of short flows per second in each data centre.
	Shorts float64
	// Work is the mean time that a request occupies a slot.
	Work clock.Millis
	// Aim is the latency up to which an answer counts as on time.
	Aim clock.Millis
	// Span is the length of the run. Between BurstFrom and BurstTo the request
	// rate of the long flows is multiplied by Burst.
	Span      clock.Millis
	BurstFrom clock.Millis
	BurstTo   clock.Millis
	Burst     float64
	// BurstShorts is the number of additional short flows per second in each data
	// centre during the burst.
	BurstShorts float64
	// Crashed is the number of servers that stop answering at CrashAt.
	Crashed int
	CrashAt clock.Millis
	// Notice is the time from the crash until the hosts are told of it.
	Notice clock.Millis
	// CutAt is the start of a partition between the first data centre and the
	// others.
	CutAt clock.Millis
	// CutFor is the length of the partition, or 0 for none.
	CutFor clock.Millis
	// Replaced is the number of servers that drain while cold ones start in their
	// place, one each second from ReplaceAt on.
	Replaced  int
	ReplaceAt clock.Millis
	// Share is the interval at which hosts exchange their loads, or 0 for never.
	Share clock.Millis
	// Lag is the age of the loads when an exchange delivers them.
	Lag clock.Millis
}

// Loads returns the scenarios to compare: a calm one, and one each with a burst,
// crashed servers, a release and a partition.
func Loads() []Load {
	calm := Load{
		Name: "calm", Centres: 4, Hosts: 3, Servers: 4, Slots: 2, Queue: 8, Users: 75, Skew: 0.2, Think: 950, Shorts: 21,
		Work: 32, Aim: 150, Span: 20_000, Burst: 1, Share: 300, Lag: 500,
	}
	burst := calm
	burst.Name, burst.Burst, burst.BurstShorts, burst.BurstFrom, burst.BurstTo = "burst", 1.3, 110, 6000, 10_000
	crash := calm
	crash.Name, crash.Crashed, crash.CrashAt, crash.Notice = "crash", 3, 6000, 3600
	release := calm
	release.Name, release.Replaced, release.ReplaceAt = "release", 6, 5000
	cut := calm
	cut.Name, cut.CutAt, cut.CutFor = "cut", 6000, 5500
	return []Load{calm, burst, crash, release, cut}
}

// Ways returns the flow placement strategies to compare, by name.
func Ways() map[string]choose.Settings {
	anyCentre := choose.Settings{Remote: 0.1, LocalUse: -1}
	byRequests, ofTwo, ofAll, ofThree := anyCentre, anyCentre, choose.DefaultSettings, choose.DefaultSettings
	byRequests.ByRequests = true
	ofTwo.ByRequests, ofTwo.Looks = true, 2
	ofAll.Looks, ofThree.Looks = 0, 3
	return map[string]choose.Settings{
		"any data centre, best of two, by requests":         ofTwo,
		"any data centre, best of all, by requests":         byRequests,
		"any data centre, best of all, long flows by count": anyCentre,
		"local data centre first, best of all":              ofAll,
		"local data centre first, best of three":            ofThree,
		"local data centre first, best of two (default)":    choose.DefaultSettings,
	}
}

// Result holds the request outcomes of one run.
type Result struct {
	// Asked is the number of requests that were started.
	Asked int
	// InAim counts requests that were answered within the latency target.
	InAim int
	// Late counts requests that were answered after it.
	Late int
	// Failed counts requests that were given up without an answer.
	Failed int
	// Shed counts requests that a server rejected because its queue was full.
	Shed int
	// Latency holds the latencies of the served requests, in milliseconds.
	Latency *hdrhistogram.Histogram
	windows map[clock.Millis]*window
}

// window counts the requests that started in one window of the run, and those of
// them that were answered within the latency target.
type window struct{ requests, onTime int }

// windowLength is the length of a window in milliseconds.
const windowLength = 2 * clock.Second

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

// Share returns the share of all requests that were answered within the latency
// target.
func (r *Result) Share() float64 { return float64(r.InAim) / float64(max(r.Asked, 1)) }

// Worst returns that share for the worst two-second window. Windows with fewer
// than 20 requests are left out.
func (r *Result) Worst() float64 {
	worst := 1.0
	for _, w := range r.windows {
		if w.requests >= 20 {
			worst = min(worst, float64(w.onTime)/float64(w.requests))
		}
	}
	return worst
}
