// Package loads adds up the loads that entry hosts report to the control hosts.
package loads

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// maxAge is the age after which a report no longer counts. It covers several
// poll intervals of an entry host.
const maxAge = 2 * clock.Second

type report struct {
	at     clock.Millis
	shares choose.Loads
}

// Aggregator holds the latest report of each entry host that polls this control host,
// and the latest sum of each other control host. It is not safe for concurrent
// use.
type Aggregator struct {
	entryHosts  map[string]report
	controlSums map[string]report
}

// New returns a Tally without reports.
func New() *Aggregator { return &Aggregator{entryHosts: map[string]report{}, controlSums: map[string]report{}} }

// SetReport replaces the report of an entry host.
func (t *Aggregator) SetReport(now clock.Millis, host string, s choose.Loads) {
	t.entryHosts[host] = report{now, s}
}

// SetControlSum replaces the sum of another control host.
func (t *Aggregator) SetControlSum(now clock.Millis, control string, s choose.Loads) {
	t.controlSums[control] = report{now, s}
}

// LocalSum returns the sum of the reports made to this control host, without those
// of the entry host named exclude.
func (t *Aggregator) LocalSum(now clock.Millis, exclude string) choose.Loads {
	sum := choose.Loads{}
	for host, r := range t.entryHosts {
		switch {
		case now-r.at > maxAge:
			delete(t.entryHosts, host)
		case host != exclude:
			sum.Add(r.shares)
		}
	}
	return sum
}

// Total returns the sum of the reports made to any control host, without those
// that the entry host named exclude made to this one.
func (t *Aggregator) Total(now clock.Millis, exclude string) choose.Loads {
	sum := t.LocalSum(now, exclude)
	for _, r := range t.controlSums {
		if now-r.at <= maxAge {
			sum.Add(r.shares)
		}
	}
	return sum
}
