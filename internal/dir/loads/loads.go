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
	at    clock.Millis
	loads choose.Loads
}

// Aggregator holds the latest report of each entry host that polls this control
// host, and the latest sum of each other control host. It is not safe for
// concurrent use.
type Aggregator struct {
	entryHosts  map[string]report
	controlSums map[string]report
}

// New returns an Aggregator without reports.
func New() *Aggregator {
	return &Aggregator{entryHosts: map[string]report{}, controlSums: map[string]report{}}
}

// SetReport replaces the report of an entry host.
func (a *Aggregator) SetReport(now clock.Millis, host string, l choose.Loads) {
	a.entryHosts[host] = report{now, l}
}

// SetControlSum replaces the sum of another control host.
func (a *Aggregator) SetControlSum(now clock.Millis, control string, l choose.Loads) {
	a.controlSums[control] = report{now, l}
}

// LocalSum returns the sum of the reports made to this control host, without
// those of the entry host named exclude.
func (a *Aggregator) LocalSum(now clock.Millis, exclude string) choose.Loads {
	sum := choose.Loads{}
	for host, r := range a.entryHosts {
		switch {
		case now-r.at > maxAge:
			delete(a.entryHosts, host)
		case host != exclude:
			sum.Add(r.loads)
		}
	}
	return sum
}

// Total returns LocalSum plus the latest sums of the other control hosts. Reports
// that the entry host named exclude made to other control hosts are included.
func (a *Aggregator) Total(now clock.Millis, exclude string) choose.Loads {
	sum := a.LocalSum(now, exclude)
	for _, r := range a.controlSums {
		if now-r.at <= maxAge {
			sum.Add(r.loads)
		}
	}
	return sum
}
