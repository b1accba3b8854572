package core_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/conf/tune"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

// The usual kind of requests is on routeX, the urgent one on routeY.
const sharedService = "x"

// hostsOf returns the names of n entry hosts of a data centre, in the order of the
// hashes, and the hashes.
func hostsOf(centre string, n int) (names []string, hashes []uint64) {
	for i := range n {
		names = append(names, fmt.Sprint("entry-", centre, i))
	}
	slices.SortFunc(names, func(a, b string) int {
		if hash.String(a) < hash.String(b) {
			return -1
		}
		return 1
	})
	for _, name := range names {
		hashes = append(hashes, hash.String(name))
	}
	return names, hashes
}

// newSharingCore returns a Core of a data centre. In each of centres there are four
// servers with two slots, numbered from 1 on.
func newSharingCore(name, centre string, off tune.Off, centres ...string) *core.Core {
	h := core.New(core.Options{
		Name: name, Centre: centre, Choice: choose.DefaultSettings, DefaultIdleTimeout: 15_000, MaxFlows: 1000, Off: off,
		Fleet: fleet.Options{SilentAfter: 1 << 60, ForgetAfter: 90_000, Follower: true},
	}, rand.New(rand.NewPCG(1, 1)))
	u := core.Update{}
	for i := range 4 * len(centres) {
		r := record(i+1, sharedService, 1)
		r.Centre = centres[i/4]
		u.Servers = append(u.Servers, core.ServerUpdate{Record: r})
	}
	h.Learn(1, &u)
	t := table(1, routeX, routeY)
	for i := range t.Routes {
		t.Routes[i].Targets = []routes.Target{{Service: sharedService, Weight: 1}}
		t.Routes[i].LatencyGoal, t.Routes[i].Priority = 600, 2-i
	}
	h.Configure(1, t)
	return h
}

// report has other hosts report a load on the servers from first to last.
func report(h *core.Core, now clock.Millis, load choose.Load, first, last int, loads choose.Loads) choose.Loads {
	for n := first; n <= last; n++ {
		loads[uint32(tokens.Candidate(record(n, sharedService, 1).ID, 1, 0))] = load
	}
	h.Learn(now, &core.Update{Loads: loads})
	return loads
}

// openUntilRefused opens flows on a route until one is refused, and returns the numbers
// of their servers.
func openUntilRefused(t *testing.T, h *core.Core, now clock.Millis, route netip.AddrPort, port *uint16) []int {
	t.Helper()
	var servers []int
	for range 100 {
		*port++
		p := opening(*port)
		p.To = route
		a := h.HandlePacket(now, p, true)
		if a.Verdict == core.Reset {
			qt.Check(t, a.Reason, qt.Equals, core.Overloaded)
			return servers
		}
		servers = append(servers, int(a.Number))
	}
	t.Fatal("no opening was refused")
	return nil
}

// open opens a flow on a route and returns the number of its server.
func open(h *core.Core, now clock.Millis, route netip.AddrPort, port *uint16) int {
	*port++
	p := opening(*port)
	p.To = route
	return int(h.HandlePacket(now, p, true).Number)
}

func count(servers []int) map[int]int {
	counts := map[int]int{}
	for _, n := range servers {
		counts[n]++
	}
	return counts
}

// TestBusyHostOpensOnItsOwnPlaces guards against entry hosts that all open flows on the
// servers with the lowest reported load, and against urgent requests that find the
// servers filled by others.
func TestBusyHostOpensOnItsOwnPlaces(t *testing.T) {
	names, hashes := hostsOf("a", 2)
	for rank, own := range [][]int{{1, 2}, {3, 4}} {
		h := newSharingCore(names[rank], "a", 0, "a")
		h.Learn(5, &core.Update{Sharing: hashes})
		report(h, 10, choose.Load{InFlight: 4}, 1, 4, choose.Loads{})
		port := uint16(0)
		opened := []int{open(h, 20, routeY, &port)}
		opened = append(opened, openUntilRefused(t, h, 20, routeX, &port)...)
		qt.Check(t, count(opened), qt.DeepEquals, map[int]int{own[0]: 4, own[1]: 4})
		opened = append(opened, openUntilRefused(t, h, 20, routeY, &port)...)
		qt.Check(t, count(opened), qt.DeepEquals, map[int]int{own[0]: 8, own[1]: 8})
	}
}

// TestRareUrgentRequestsKeepTheirPlaces guards against usual requests that come again
// after each refusal, which makes urgent ones rare, and then take their places.
func TestRareUrgentRequestsKeepTheirPlaces(t *testing.T) {
	names, hashes := hostsOf("a", 2)
	h := newSharingCore(names[0], "a", 0, "a")
	h.Learn(5, &core.Update{Sharing: hashes})
	report(h, 10, choose.Load{InFlight: 4}, 1, 4, choose.Loads{})
	port := uint16(0)
	for range 3 {
		open(h, 20, routeY, &port)
	}
	opened := 3
	for range 200 {
		if open(h, 20, routeX, &port) > 0 {
			opened++
		}
	}
	qt.Check(t, opened, qt.Equals, 8)
	qt.Check(t, openUntilRefused(t, h, 20, routeY, &port), qt.HasLen, 8)
}

// TestFullHostUsesFewPlacesOfOthers guards against requests that are refused while other
// servers are idle, and against hosts that all fill these at once.
func TestFullHostUsesFewPlacesOfOthers(t *testing.T) {
	names, hashes := hostsOf("a", 2)
	h := newSharingCore(names[0], "a", 0, "a")
	h.Learn(5, &core.Update{Sharing: hashes})
	loads := report(h, 10, choose.Load{InFlight: 4}, 1, 2, choose.Loads{})
	report(h, 10, choose.Load{}, 3, 4, loads)
	port := uint16(0)
	opened := count(openUntilRefused(t, h, 20, routeY, &port))
	qt.Check(t, opened[1]+opened[2], qt.Equals, 16)
	// A quarter of its four slots.
	qt.Check(t, opened[3]+opened[4], qt.Equals, 1)
}

// TestWhenSlotsAreSplit has the host's own servers, 1 and 2, twice as busy as the others,
// to which a host goes that decides by the reported loads.
func TestWhenSlotsAreSplit(t *testing.T) {
	names, two := hostsOf("a", 2)
	namesOf7, seven := hostsOf("a", 7)
	namesOf8, eight := hostsOf("a", 8)
	busy, flows := choose.Load{InFlight: 2}, choose.Load{InFlight: 2, Flows: 1}
	for _, test := range []struct {
		name    string
		host    string
		sharing []uint64
		own     choose.Load
		off     tune.Off
		split   bool
	}{
		{"two hosts", names[0], two, busy, 0, true},
		{"switched off", names[0], two, busy, tune.Off(0).With(tune.Subsets), false},
		{"own name unknown", "other", two, busy, 0, false},
		{"one host", names[0], two[:1], busy, 0, false},
		{"empty list", names[0], []uint64{}, busy, 0, false},
		{"not busy", names[0], two, choose.Load{InFlight: 1.2}, 0, false},
		{"long flows, few hosts", namesOf7[0], seven, flows, 0, false},
		{"long flows, many hosts", namesOf8[0], eight, flows, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newSharingCore(test.host, "a", test.off, "a")
			h.Learn(5, &core.Update{Sharing: test.sharing})
			loads := report(h, 10, test.own, 1, 2, choose.Loads{})
			report(h, 10, choose.Load{InFlight: 1}, 3, 4, loads)
			port := uint16(0)
			qt.Check(t, open(h, 20, routeX, &port) <= 2, qt.Equals, test.split)
		})
	}
}

// TestEvacuatedDataCentreSharesTheOthers guards against places that nobody or two hosts
// own while the entry hosts of all data centres form one line, and against places that
// stay away after the evacuation.
func TestEvacuatedDataCentreSharesTheOthers(t *testing.T) {
	centres := []string{"a", "b", "c"}
	lists := map[string][]uint64{}
	hosts := map[string][]string{}
	for _, centre := range centres {
		hosts[centre], lists[centre] = hostsOf(centre, 2)
	}
	var opened []int
	for _, centre := range centres {
		for _, name := range hosts[centre] {
			h := newSharingCore(name, centre, 0, centres...)
			elsewhere := map[string][]uint64{}
			for other, list := range lists {
				if other != centre {
					elsewhere[other] = list
				}
			}
			h.Learn(5, &core.Update{
				EvacuationsVersion: 1, Evacuations: []core.EvacuationUpdate{{Centre: "b", Active: true}},
				Sharing: lists[centre], SharingElsewhere: elsewhere,
			})
			report(h, 10, choose.Load{InFlight: 4}, 1, 12, choose.Loads{})
			port := uint16(0)
			opened = append(opened, openUntilRefused(t, h, 20, routeY, &port)...)
			h.Learn(30, &core.Update{EvacuationsVersion: 2, Sharing: lists[centre]})
			report(h, 30, choose.Load{InFlight: 4}, 1, 12, choose.Loads{})
			n := open(h, 30, routeY, &port)
			qt.Check(t, centres[(n-1)/4], qt.Equals, centre)
		}
	}
	qt.Check(t, count(opened), qt.DeepEquals, map[int]int{1: 8, 2: 8, 3: 8, 4: 8, 9: 8, 10: 8, 11: 8, 12: 8})
}

// TestSplitKeepsToTheGrantsOfColdServers guards against openings on a cold server beyond
// its grants because this host owns places there.
func TestSplitKeepsToTheGrantsOfColdServers(t *testing.T) {
	names, hashes := hostsOf("a", 2)
	h := newSharingCore(names[1], "a", 0, "a")
	cold := record(4, sharedService, 1)
	cold.Seq, cold.Warmup = 2, 4000
	h.Learn(5, &core.Update{Sharing: hashes, Servers: []core.ServerUpdate{{Record: cold}}})
	limited := *h.Table()
	limited.Version, limited.Warmups = 2, map[string]routes.Warmup{sharedService: {Duration: 10_000, Rate: 10}}
	h.Configure(5, &limited)
	qt.Assert(t, h.ColdCount(), qt.Equals, 1)
	h.Learn(10, grants(8, 4))
	report(h, 10, choose.Load{InFlight: 4}, 1, 4, choose.Loads{})
	port := uint16(0)
	var opened []int
	for now := clock.Millis(150); now < 250; now += 10 {
		opened = append(opened, open(h, now, routeY, &port))
	}
	// The rate of 10 a second gives one flow in 100 ms, and one that was saved.
	qt.Check(t, count(opened)[4] <= 2, qt.IsTrue, qt.Commentf("opened on %v", opened))
	qt.Check(t, count(opened)[3] > 0, qt.IsTrue, qt.Commentf("opened on %v", opened))
}
