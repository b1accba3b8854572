// Package yard emulates a deployment on a simulated clock: callers with long and
// short flows, a router that spreads packets over entry hosts, and servers with
// few slots. The entry hosts run the real decision machine, so that ways of
// placing flows can be compared over many seeds in seconds.
package yard

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// Load is a deployment and what its callers do.
type Load struct {
	Name string
	// Centres is the count of data centres, each with as many hosts and servers.
	Centres int
	Hosts   int
	Servers int
	Slots   int
	// Queue is how many requests a server keeps waiting before it sheds.
	Queue int
	// Users hold a long flow each, in each data centre. Skew is how many more the
	// first data centre has, as a share.
	Users int
	Skew  float64
	// Think is the mean pause between the requests of a long flow.
	Think clock.Millis
	// Shorts is the count of short flows a second in each data centre.
	Shorts float64
	// Work is the mean time that a request holds a slot.
	Work clock.Millis
	// Aim is the latency that callers want.
	Aim clock.Millis
	// Span is the length of the run. Between BurstFrom and BurstTo the callers
	// send Burst times as much.
	Span      clock.Millis
	BurstFrom clock.Millis
	BurstTo   clock.Millis
	Burst     float64
	// BurstShorts is the count of short flows a second in each data centre that
	// come on top during the burst.
	BurstShorts float64
	// Crashed servers fall silent at CrashAt, and control hosts notice after
	// Notice.
	Crashed int
	CrashAt clock.Millis
	Notice  clock.Millis
	// CutAt and CutFor set a partition of the first data centre from the others.
	CutAt  clock.Millis
	CutFor clock.Millis
	// Replaced servers are exchanged for cold ones, one each second from
	// ReplaceAt.
	Replaced  int
	ReplaceAt clock.Millis
	// Share is the span between two exchanges of load, or 0 for none.
	Share clock.Millis
	// Lag is the age of the loads that an exchange brings.
	Lag clock.Millis
}

// Loads returns the loads that are compared: a calm one and the days that the
// users fear.
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

// Ways returns the ways of placing flows that are compared, by name.
func Ways() map[string]choose.Settings {
	anywhere := choose.Settings{Remote: 0.1, LocalUse: -1}
	byRequests, ofTwo, ofAll, ofThree := anywhere, anywhere, choose.DefaultSettings, choose.DefaultSettings
	byRequests.ByRequests = true
	ofTwo.ByRequests, ofTwo.Looks = true, 2
	ofAll.Looks, ofThree.Looks = 0, 3
	return map[string]choose.Settings{
		"anywhere, two, by requests":        ofTwo,
		"anywhere, all, by requests":        byRequests,
		"anywhere, all, long by count":      anywhere,
		"data centre first, all":            ofAll,
		"data centre first, three":          ofThree,
		"data centre first, two (in force)": choose.DefaultSettings,
	}
}

// Result is what the callers of one run got.
type Result struct {
	Asked  int
	InAim  int
	Late   int
	Failed int
	// Shed counts requests that a full server rejected.
	Shed int
	// Latency holds the served requests, in milliseconds.
	Latency *hdrhistogram.Histogram
	windows map[clock.Millis]*window
}

type window struct{ asked, inAim int }

// windowSpan is the span over which the worst seconds are taken.
const windowSpan = 2 * clock.Second

func newResult() *Result {
	return &Result{Latency: hdrhistogram.New(1, 60_000, 2), windows: map[clock.Millis]*window{}}
}

func (r *Result) window(at clock.Millis) *window {
	w := r.windows[at/windowSpan]
	if w == nil {
		w = &window{}
		r.windows[at/windowSpan] = w
	}
	return w
}

// Share returns the part of all requests that was answered within the aim.
func (r *Result) Share() float64 { return float64(r.InAim) / float64(max(r.Asked, 1)) }

// Worst returns that part over the worst two seconds.
func (r *Result) Worst() float64 {
	worst := 1.0
	for _, w := range r.windows {
		if w.asked >= 20 {
			worst = min(worst, float64(w.inAim)/float64(w.asked))
		}
	}
	return worst
}
