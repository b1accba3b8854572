// Package loads adds up the loads that entry hosts report to the control hosts. It is
// designed for hundreds of entry hosts that each report a few servers several times a
// second: a report costs as much as it has entries, and the sums are encoded once for
// all hosts that ask within a short time.
package loads

import (
	"math"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

const (
	// maxAge is the age after which a report no longer counts. It covers three poll
	// intervals of an entry host, and the change to another control host. The requests
	// through an entry host that is lost end sooner.
	maxAge = clock.Second
	// expireInterval is the time between two searches for reports that are too old.
	expireInterval = 250 * clock.Millis(1)
	// totalsInterval is the time for which encoded totals are reused.
	totalsInterval = 100 * clock.Millis(1)
	// scale is the number of steps per unit of the sums. Loads are exchanged in
	// multiples of its inverse, so sums stay exact however often they change.
	scale = 1024
)

// sum is a load in fixed point.
type sum struct{ inFlight, flows int64 }

func fixed(l choose.Load) sum {
	return sum{int64(math.Round(float64(l.InFlight) * scale)), int64(math.Round(float64(l.Flows) * scale))}
}

func (s sum) load() choose.Load {
	return choose.Load{InFlight: float32(s.inFlight) / scale, Flows: float32(s.flows) / scale}
}

// report is the latest report of an entry host.
type report struct {
	at    clock.Millis
	loads choose.Loads
	// id is the request that carried the report, and seq its number in the order of
	// all reports. The others are those of the report before.
	id, seq                 uint64
	previousID, previousSeq uint64
}

// controlSum is the latest sum of another control host.
type controlSum struct {
	at    clock.Millis
	loads choose.Loads
}

// Aggregator holds the latest report of each entry host that polls this control
// host, and the latest sum of each other control host. It is not safe for
// concurrent use.
type Aggregator struct {
	entryHosts  map[string]*report
	controlSums map[string]controlSum
	// local is the sum of the reports in entryHosts.
	local        map[uint32]sum
	lastSeq      uint64
	nextExpireAt clock.Millis
	// totals are the sums of all loads by data centre, encoded at totalsAt, after the
	// report totalsSeq.
	totals    []msgs.CentreLoads
	totalsAt  clock.Millis
	totalsSeq uint64
}

// New returns an Aggregator without reports.
func New() *Aggregator {
	return &Aggregator{entryHosts: map[string]*report{}, controlSums: map[string]controlSum{}, local: map[uint32]sum{}}
}

// SetReport replaces the report of an entry host by the one in the request with the
// given ID.
func (a *Aggregator) SetReport(now clock.Millis, host string, id uint64, l choose.Loads) {
	a.expire(now)
	r := a.entryHosts[host]
	if r == nil {
		r = &report{}
		a.entryHosts[host] = r
	}
	a.add(r.loads, -1)
	a.add(l, 1)
	a.lastSeq++
	r.previousID, r.previousSeq = r.id, r.seq
	r.at, r.loads, r.id, r.seq = now, l, id, a.lastSeq
}

// add adds loads to the local sums, or subtracts them if sign is -1.
func (a *Aggregator) add(l choose.Loads, sign int64) {
	for token, load := range l {
		s, f := a.local[token], fixed(load)
		s.inFlight += sign * f.inFlight
		s.flows += sign * f.flows
		if s == (sum{}) {
			delete(a.local, token)
			continue
		}
		a.local[token] = s
	}
}

// expire drops the reports that are too old.
func (a *Aggregator) expire(now clock.Millis) {
	if now < a.nextExpireAt {
		return
	}
	a.nextExpireAt = now + expireInterval
	for host, r := range a.entryHosts {
		if now-r.at > maxAge {
			a.add(r.loads, -1)
			delete(a.entryHosts, host)
		}
	}
}

// SetControlSum replaces the sum of another control host.
func (a *Aggregator) SetControlSum(now clock.Millis, control string, l choose.Loads) {
	a.controlSums[control] = controlSum{now, l}
}

// Hosts returns the number of entry hosts that report to this control host.
func (a *Aggregator) Hosts() int { return len(a.entryHosts) }

// LocalSum returns the sum of the reports made to this control host.
func (a *Aggregator) LocalSum(now clock.Millis) choose.Loads {
	a.expire(now)
	out := make(choose.Loads, len(a.local))
	for token, s := range a.local {
		out[token] = s.load()
	}
	return out
}

// sumAll returns the local sum plus the latest sums of the other control hosts.
func (a *Aggregator) sumAll(now clock.Millis) choose.Loads {
	all := a.LocalSum(now)
	for _, r := range a.controlSums {
		if now-r.at <= maxAge {
			all.Add(r.loads)
		}
	}
	return all
}

// TotalWithout returns the sum of all loads but those that the named entry host
// reported to this control host.
func (a *Aggregator) TotalWithout(now clock.Millis, host string) choose.Loads {
	all := a.sumAll(now)
	if r := a.entryHosts[host]; r != nil {
		for token, load := range r.loads {
			all[token] = all[token].Minus(load)
		}
	}
	return all
}

// Totals returns the sums of all loads by data centre, sorted by it, as they were at
// most totalsInterval ago. CentreOf returns the data centre of a server, or "" if the
// server is not known, whose load is left out. ReportID is the request of the named
// entry host whose loads the sums include, or 0.
func (a *Aggregator) Totals(now clock.Millis, host string, centreOf func(token uint32) string) (totals []msgs.CentreLoads, reportID uint64) {
	if a.totals == nil || now-a.totalsAt >= totalsInterval {
		a.encodeTotals(now, centreOf)
	}
	if r := a.entryHosts[host]; r != nil {
		switch {
		case r.seq <= a.totalsSeq:
			reportID = r.id
		case r.previousSeq > 0 && r.previousSeq <= a.totalsSeq:
			reportID = r.previousID
		}
	}
	return a.totals, reportID
}

func (a *Aggregator) encodeTotals(now clock.Millis, centreOf func(token uint32) string) {
	byCentre := map[string]choose.Loads{}
	for token, load := range a.sumAll(now) {
		centre := centreOf(token)
		if centre == "" {
			continue
		}
		if byCentre[centre] == nil {
			byCentre[centre] = choose.Loads{}
		}
		byCentre[centre][token] = load
	}
	a.totals, a.totalsAt, a.totalsSeq = []msgs.CentreLoads{}, now, a.lastSeq
	for centre, l := range byCentre {
		a.totals = append(a.totals, msgs.CentreLoads{Centre: centre, Loads: l.Append(nil)})
	}
	slices.SortFunc(a.totals, func(x, y msgs.CentreLoads) int {
		if x.Centre < y.Centre {
			return -1
		}
		return 1
	})
}
