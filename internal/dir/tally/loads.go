// Package tally adds up the loads that entry hosts report to the control hosts.
package tally

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// maxAge is the age after which a report no longer counts. It covers several
// poll intervals of an entry host.
const maxAge = 2 * clock.Second

type report struct {
	at     clock.Millis
	shares choose.Shares
}

// Tally holds the latest report of each entry host that polls this control host,
// and the latest sum of each other control host. It is not safe for concurrent
// use.
type Tally struct {
	entryHosts  map[string]report
	controlSums map[string]report
}

// New returns a Tally without reports.
func New() *Tally { return &Tally{entryHosts: map[string]report{}, controlSums: map[string]report{}} }

// Report replaces the report of an entry host.
func (t *Tally) Report(now clock.Millis, host string, s choose.Shares) {
	t.entryHosts[host] = report{now, s}
}

// Sum replaces the sum of another control host.
func (t *Tally) Sum(now clock.Millis, control string, s choose.Shares) {
	t.controlSums[control] = report{now, s}
}

// Own returns the sum of the reports made to this control host, without those
// of the entry host named exclude.
func (t *Tally) Own(now clock.Millis, exclude string) choose.Shares {
	sum := choose.Shares{}
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
func (t *Tally) Total(now clock.Millis, exclude string) choose.Shares {
	sum := t.Own(now, exclude)
	for _, r := range t.controlSums {
		if now-r.at <= maxAge {
			sum.Add(r.shares)
		}
	}
	return sum
}
