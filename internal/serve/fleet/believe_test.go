package fleet_test

import (
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// step is an announcement, or a DELETE if the record has no service, and the states of the
// servers after it.
type step struct {
	at     clock.Millis
	record fleet.Record
	want   string
}

type scenario struct {
	name  string
	steps []step
}

func ready(id string, started clock.Millis, seq uint64) fleet.Record {
	return record(id, started, seq, fleet.Ready)
}

func at(address string, r fleet.Record) fleet.Record {
	r.Address = netip.MustParseAddrPort(address)
	return r
}

func of(service string, r fleet.Record) fleet.Record {
	r.Service = service
	return r
}

func leave(id string) fleet.Record { return fleet.Record{ID: id} }

// run applies the steps. States are compared as "ID@start:state", where a server is held if
// it takes no new flows, but has not ended.
func (s *scenario) run(t *testing.T) {
	t.Run(s.name, func(t *testing.T) {
		c := qt.New(t)
		f := fleet.New(options)
		for _, step := range s.steps {
			if step.record.Service == "" {
				f.Leave(step.at, step.record.ID)
			} else {
				f.Apply(step.at, step.at, step.record, true)
			}
			for _, want := range strings.Fields(step.want) {
				id, state, _ := strings.Cut(want, ":")
				server := f.Find(id)
				got := "held"
				if server.Ended() {
					got = "ended"
				} else if server.Usable() {
					got = "usable"
				}
				c.Check(got, qt.Equals, state, qt.Commentf("%s at %d", id, step.at))
			}
		}
	})
}

// TestServerThatGoesOnOwnsTheAddress guards against the end of a server by the start time of
// another one at its address.
func TestServerThatGoesOnOwnsTheAddress(t *testing.T) {
	tests := []scenario{
		{"later start while the owner goes on", []step{
			{1000, ready("a", 100, 1), "a:usable"},
			{1500, ready("b", 200, 1), "a:usable b:held"},
			{2200, ready("a", 100, 2), "a:usable b:held"},
			{3400, ready("a", 100, 3), "a:usable b:held"},
			{4600, ready("a", 100, 4), "a:usable b:ended"},
		}},
		{"earlier start while the owner goes on", []step{
			{1000, ready("a", 200, 1), "a:usable"},
			{1500, ready("b", 100, 1), "a:usable b:held"},
			{4000, ready("a", 200, 2), "a:usable b:ended"},
		}},
		{"earlier start after the owner left", []step{
			{1000, ready("a", 200, 1), "a:usable"},
			{1500, leave("a"), "a:ended"},
			{1600, ready("b", 100, 1), "a:ended b:usable"},
		}},
		{"earlier start after the owner stopped", []step{
			{1000, ready("a", 200, 1), "a:usable"},
			{3000, ready("b", 100, 1), "a:ended b:usable"},
		}},
		{"later start that replaces an owner that stopped", []step{
			{1000, ready("a", 100, 1), "a:usable"},
			{2500, ready("b", 200, 1), "a:usable b:held"},
			{3700, ready("b", 200, 2), "a:ended b:usable"},
		}},
		{"delayed announcement of the owner before", []step{
			{1000, ready("a", 200, 1), "a:usable"},
			{3500, ready("b", 100, 1), "a:ended b:usable"},
			{4000, ready("a", 200, 2), "b:usable"},
			{4700, ready("b", 100, 2), "b:usable"},
			{6100, ready("b", 100, 3), "a:ended b:usable"},
		}},
		{"delayed announcement of a known server", []step{
			{1000, ready("a", 200, 1), "a:usable"},
			{3500, ready("b", 100, 1), "a:ended b:usable"},
			{5600, ready("a", 200, 2), "a:ended b:usable"},
			{5900, ready("b", 100, 3), "a:ended b:usable"},
		}},
		{"server that was taken for ended goes on", []step{
			{1000, ready("a", 100, 1), "a:usable"},
			{3200, ready("b", 200, 1), "a:ended b:usable"},
			{3400, ready("a", 100, 2), "a:ended b:usable"},
			{4600, ready("a", 100, 3), "b:usable"},
			{5800, ready("a", 100, 4), "a:usable b:ended"},
		}},
		{"both go on, the rival with the earlier start", []step{
			{1000, ready("a", 200, 1), "a:usable"},
			{1500, ready("b", 100, 1), "a:usable b:held"},
			{2200, ready("a", 200, 2), "a:usable b:held"},
			{2700, ready("b", 100, 2), "a:usable b:held"},
			{3400, ready("a", 200, 3), "a:usable b:held"},
			{3900, ready("b", 100, 3), "a:held b:usable"},
			{4600, ready("a", 200, 4), "a:held b:usable"},
			{5800, ready("a", 200, 5), "a:held b:usable"},
		}},
		{"both go on, the rival with the later start", []step{
			{1000, ready("a", 100, 1), "a:usable"},
			{1500, ready("b", 200, 1), "a:usable b:held"},
			{2200, ready("a", 100, 2), "a:usable b:held"},
			{2700, ready("b", 200, 2), "a:usable b:held"},
			{3400, ready("a", 100, 3), "a:usable b:held"},
			{3900, ready("b", 200, 3), "a:usable b:held"},
		}},
		{"owner that moves to another address", []step{
			{1000, ready("a", 100, 1), "a:usable"},
			{3200, ready("b", 200, 1), "a:ended b:usable"},
			{3300, at("10.0.0.9:80", ready("b", 300, 1)), "a:ended b:usable"},
			{4500, at("10.0.0.9:80", ready("b", 300, 2)), "a:ended b:usable"},
			{4600, ready("a", 100, 2), "a:usable b:usable"},
		}},
		{"announcement after a DELETE that was delayed", []step{
			{1000, ready("a", 100, 1), "a:usable"},
			{1500, leave("a"), "a:ended"},
			{2200, ready("a", 100, 2), "a:usable"},
		}},
	}
	for i := range tests {
		tests[i].run(t)
	}
}

// TestIncarnationThatGoesOnIsBelieved guards against a record that hides a running server for
// good because its start, its Seq or its place differ.
func TestIncarnationThatGoesOnIsBelieved(t *testing.T) {
	const elsewhere = "10.0.0.9:80"
	tests := []struct {
		name    string
		records []step
		// The record that is believed in the end.
		started clock.Millis
		seq     uint64
		service string
		address string
	}{
		{"later start", []step{{1000, ready("a", 5, 9), ""}, {1000, ready("a", 6, 1), ""}}, 6, 1, "x", ""},
		{"later start announced before", []step{{1000, ready("a", 5, 9), ""}, {900, ready("a", 6, 1), ""}}, 5, 9, "x", ""},
		{"one announcement with an earlier start", []step{{1000, ready("a", 6, 1), ""}, {9000, ready("a", 5, 9), ""}}, 6, 1, "x", ""},
		{"earlier start goes on", []step{{1000, ready("a", 6, 9), ""}, {1500, ready("a", 5, 1), ""}, {2700, ready("a", 5, 2), ""}, {3900, ready("a", 5, 3), ""}}, 5, 3, "x", ""},
		{"earlier start goes on for less", []step{{1000, ready("a", 6, 9), ""}, {1500, ready("a", 5, 1), ""}, {3400, ready("a", 5, 2), ""}}, 6, 9, "x", ""},
		{"the same announcement again", []step{{1000, ready("a", 6, 9), ""}, {1500, ready("a", 5, 1), ""}, {3900, ready("a", 5, 1), ""}}, 6, 9, "x", ""},
		{"both starts go on", []step{
			{1000, ready("a", 6, 9), ""},
			{1500, ready("a", 5, 1), ""},
			{2200, ready("a", 6, 10), ""},
			{2700, ready("a", 5, 2), ""},
			{3400, ready("a", 6, 11), ""},
			{3900, ready("a", 5, 3), ""},
		}, 6, 11, "x", ""},
		{"one announcement with a later start", []step{
			{1000, ready("a", 5, 1), ""},
			{1500, at(elsewhere, ready("a", 6, 40)), ""},
			{2200, ready("a", 5, 2), ""},
			{3400, ready("a", 5, 3), ""},
			{4600, ready("a", 5, 4), ""},
		}, 5, 4, "x", ""},
		{"one announcement with another address", []step{{1000, ready("a", 5, 1), ""}, {1500, at(elsewhere, ready("a", 5, 40)), ""}, {2200, ready("a", 5, 2), ""}}, 5, 2, "x", ""},
		{"one announcement with another service", []step{{1000, ready("a", 5, 1), ""}, {1500, of("y", ready("a", 5, 40)), ""}, {2200, ready("a", 5, 2), ""}}, 5, 2, "x", ""},
		{"another address goes on", []step{
			{1000, ready("a", 5, 40), ""},
			{2200, at(elsewhere, ready("a", 5, 1)), ""},
			{3400, at(elsewhere, ready("a", 5, 2)), ""},
			{4600, at(elsewhere, ready("a", 5, 3)), ""},
		}, 5, 3, "x", elsewhere},
		{"higher Seq that is not repeated", []step{
			{1000, ready("a", 5, 1), ""},
			{1500, ready("a", 5, 4000), ""},
			{2200, ready("a", 5, 2), ""},
			{3400, ready("a", 5, 3), ""},
			{4600, ready("a", 5, 4), ""},
		}, 5, 4, "x", ""},
		{"delayed announcements of a server that left", []step{
			{1000, record("a", 5, 10, fleet.Draining), ""}, {1500, leave("a"), ""}, {2200, ready("a", 5, 8), ""}, {4600, ready("a", 5, 9), ""},
		}, 5, 10, "x", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := fleet.New(options)
			for _, s := range test.records {
				if s.record.Service == "" {
					f.Leave(s.at, "a")
					continue
				}
				f.Apply(s.at, s.at, s.record, true)
			}
			got := f.Find("a")
			c.Check(got.Started, qt.Equals, test.started)
			c.Check(got.Seq, qt.Equals, test.seq)
			c.Check(got.Service, qt.Equals, test.service)
			if test.address != "" {
				c.Check(got.Address.String(), qt.Equals, test.address)
			}
		})
	}
}

// TestFollowerEndsNoServerByComparison guards against the end of a server on a relay by
// another server's record, while control hosts say that it runs.
func TestFollowerEndsNoServerByComparison(t *testing.T) {
	for _, started := range []clock.Millis{50, 100, 200} {
		c := qt.New(t)
		o := options
		o.Follower = true
		f := fleet.New(o)
		f.Apply(1000, 1000, ready("a", 100, 1), false)
		f.Apply(9000, 9000, ready("b", started, 1), false)
		c.Check(f.Find("a").Usable(), qt.IsTrue)
		c.Check(f.Find("b").Usable(), qt.IsTrue)
		f.SetEnded(9000, "a", true)
		c.Check(f.Find("a").Ended(), qt.IsTrue)
		c.Check(f.Find("b").Usable(), qt.IsTrue)
	}
}
