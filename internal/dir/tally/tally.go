// Package tally adds up the loads that entry hosts report to the control hosts.
package tally

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// maxAge is the age after which a report no longer counts. It covers several
// questions of an entry host.
const maxAge = 2 * clock.Second

type report struct {
	at     clock.Millis
	shares choose.Shares
}

// Tally holds the latest reports of entry hosts, and the sums that other control
// hosts made of theirs. It is not safe for concurrent use.
type Tally struct {
	hosts map[string]report
	sums  map[string]report
}

// New returns an empty Tally.
func New() *Tally { return &Tally{hosts: map[string]report{}, sums: map[string]report{}} }

// Report takes the shares that an entry host brings.
func (t *Tally) Report(now clock.Millis, host string, s choose.Shares) {
	t.hosts[host] = report{now, s}
}

// Sum takes what another control host adds up of its own reports.
func (t *Tally) Sum(now clock.Millis, control string, s choose.Shares) {
	t.sums[control] = report{now, s}
}

// Own returns the sum of the reports made here, but for one entry host.
func (t *Tally) Own(now clock.Millis, without string) choose.Shares {
	sum := choose.Shares{}
	for host, r := range t.hosts {
		switch {
		case now-r.at > maxAge:
			delete(t.hosts, host)
		case host != without:
			sum.Add(r.shares)
		}
	}
	return sum
}

// Total returns the sum of all reports known, but for one entry host.
func (t *Tally) Total(now clock.Millis, without string) choose.Shares {
	sum := t.Own(now, without)
	for _, r := range t.sums {
		if now-r.at <= maxAge {
			sum.Add(r.shares)
		}
	}
	return sum
}
