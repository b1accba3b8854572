package dirsim_test

import (
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// silence makes the connections from one host to another drop all messages until the
// first one dials again.
func (sim *simulation) silence(from, to string) {
	if from != to {
		sim.silentConns[[2]string{from, to}] = true
	}
}

// silenceAll makes the connections between all hosts silent.
func (sim *simulation) silenceAll() {
	for from := range sim.hosts {
		for to := range sim.hosts {
			sim.silence(from, to)
		}
	}
}

// TestSilentConnectionsLeaveNoHostOutOfContact guards against control hosts without a
// leader, or cut off from it in one direction, until a process is restarted. They must be
// in contact again by the time the platform allows.
func TestSilentConnectionsLeaveNoHostOutOfContact(t *testing.T) {
	faults := []struct {
		name  string
		apply func(sim *simulation, leader string)
	}{
		{"all", func(sim *simulation, _ string) { sim.silenceAll() }},
		{"fromLeader", func(sim *simulation, leader string) {
			for _, to := range sim.liveHosts() {
				sim.silence(leader, to)
			}
		}},
		{"toLeader", func(sim *simulation, leader string) {
			for _, from := range sim.liveHosts() {
				sim.silence(from, leader)
			}
		}},
	}
	for _, fault := range faults {
		for _, n := range []int{3, 4, 7} {
			t.Run(fmt.Sprint(fault.name, n), func(t *testing.T) {
				for seed := range uint64(10) {
					sim := newSimulation(t, seed, n)
					sim.publishWithRetry(1, ackTimeout)
					sim.awaitConvergence(recoveryTimeout)
					sim.run(1000)
					fault.apply(sim, sim.leader())
					// Each host goes on counting its leader as active for an election timeout.
					sim.run(electionTimeout)
					sim.awaitConvergence(recoveryTimeout - electionTimeout)
					sim.publishWithRetry(2, ackTimeout)
					sim.awaitConvergence(recoveryTimeout)
					sim.c.Check(sim.silentConns, qt.HasLen, 0, qt.Commentf("seed %d", seed))
					sim.c.Check(sim.violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
				}
			})
		}
	}
}

// TestHostThatJoinsOverSilentConnections guards against an added host that never becomes a
// member, because its requests or the replies to them are lost.
func TestHostThatJoinsOverSilentConnections(t *testing.T) {
	for _, joins := range []bool{false, true} {
		t.Run(fmt.Sprint("fromNewHost=", joins), func(t *testing.T) {
			for seed := range uint64(10) {
				sim := newSimulation(t, seed, 3)
				sim.publishWithRetry(1, ackTimeout)
				sim.awaitConvergence(recoveryTimeout)
				added := hostAddress(4)
				for _, other := range sim.liveHosts() {
					if joins {
						sim.silence(added, other)
					} else {
						sim.silence(other, added)
					}
				}
				sim.add(added, true)
				sim.awaitConvergence(recoveryTimeout)
				sim.c.Check(sim.hosts[added].core.Version(), qt.Equals, uint64(1))
				sim.c.Check(sim.violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
			}
		})
	}
}

// TestHostThatReturnsReportsNoServersAsSilent guards against resets for want of a server on the list of a control host that is in contact with a quorum again, and has not caught up on announcements.
func TestHostThatReturnsReportsNoServersAsSilent(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulation(t, seed, 3)
		sim.publishWithRetry(1, ackTimeout)
		sim.awaitConvergence(recoveryTimeout)
		announceFor := func(span clock.Millis) {
			for from := sim.now; sim.now-from < span; {
				r := announcement("s-1", uint64(sim.now), fleet.Ready)
				sim.announce(hostAddress(2), r, nil)
				sim.run(500)
			}
		}
		announceFor(2000)
		returning := sim.hosts[hostAddress(1)]
		sim.isolate(returning.address, true)
		announceFor(6000)
		sim.c.Assert(returning.core.Fleet().Find("s-1").Silent(), qt.IsTrue)
		sim.isolate(returning.address, false)
		sim.announce(hostAddress(2), announcement("s-1", uint64(sim.now), fleet.Ready), nil)
		wrong := 0
		for range 2000 {
			sim.run(1)
			if returning.core.Current() && returning.core.Fleet().Find("s-1").Silent() {
				wrong++
			}
		}
		sim.c.Check(wrong, qt.Equals, 0, qt.Commentf("seed %d: for %d ms", seed, wrong))
	}
}

const (
	// exchangeInterval and expireInterval are those of package share, and announceInterval that
	// of servers, in milliseconds.
	exchangeInterval = 300
	expireInterval   = 500
	announceInterval = 1200
)

// serverAt returns the announcement of a server at its own address.
func serverAt(i int, seq clock.Millis) fleet.Record {
	r := announcement(fmt.Sprint("s-", i), uint64(seq), fleet.Ready)
	r.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 80)
	return r
}

// runWithServer runs the simulation while s-1 announces itself to a control host, and calls check
// after each millisecond.
func (sim *simulation) runWithServer(home int, span clock.Millis, check func()) {
	for from := sim.now; sim.now-from < span; {
		if sim.now%announceInterval == 0 {
			sim.announce(hostAddress(home), serverAt(1, sim.now), nil)
		}
		sim.run(1)
		check()
	}
}

// TestHostThatReturnsKnowsWhichServersAreGone guards against dead servers that are offered, and running ones that aren't, after a control host was away.
func TestHostThatReturnsKnowsWhichServersAreGone(t *testing.T) {
	sides := func(sim *simulation, cut bool) {
		sim.partition([]string{hostAddress(1), hostAddress(3), hostAddress(4)}, []string{hostAddress(2), hostAddress(5), hostAddress(6), hostAddress(7)}, cut)
	}
	for _, test := range []struct {
		name  string
		hosts int
		// home is the control host that the server announces itself to.
		home       int
		goes, back func(sim *simulation)
		// within is the time in contact with a quorum after which the dead server is silent.
		within clock.Millis
	}{
		{
			"cut", 7, 2, func(sim *simulation) { sim.isolate(hostAddress(1), true) },
			func(sim *simulation) { sim.isolate(hostAddress(1), false) }, 2 * exchangeInterval,
		},
		{"halves", 7, 2, func(sim *simulation) { sides(sim, true) }, func(sim *simulation) { sides(sim, false) }, 2 * exchangeInterval},
		{
			"restart", 3, 2, func(sim *simulation) { sim.powerOff(hostAddress(1)) },
			func(sim *simulation) { sim.powerOn(hostAddress(1)) }, 2 * exchangeInterval,
		},
		{
			"anotherIsLost", 3, 2, func(sim *simulation) {
				sim.isolate(hostAddress(1), true)
				sim.run(500)
				sim.powerOff(hostAddress(3))
			}, func(sim *simulation) { sim.isolate(hostAddress(1), false) }, evictAfter + expireInterval,
		},
		{
			"anotherIsCutOff", 3, 3, func(sim *simulation) { sim.isolate(hostAddress(1), true) },
			func(sim *simulation) {
				sim.isolate(hostAddress(1), false)
				sim.partition([]string{hostAddress(1)}, []string{hostAddress(3)}, true)
			}, 1 << 60,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(10) {
				sim := newSimulation(t, seed, test.hosts)
				sim.publishWithRetry(1, ackTimeout)
				sim.awaitConvergence(recoveryTimeout)
				sim.announce(hostAddress(2), serverAt(2, 1), nil)
				sim.runWithServer(test.home, 7000, func() {})
				test.goes(sim)
				sim.runWithServer(test.home, 6000, func() {})
				test.back(sim)
				var current, wrong, gone clock.Millis
				sim.runWithServer(test.home, 10_000, func() {
					host := sim.hosts[hostAddress(1)].core
					if !host.Current() {
						return
					}
					current++
					if host.Fleet().Find("s-1").Silent() {
						wrong++
					}
					if !host.Fleet().Find("s-2").Silent() {
						gone = current
					}
				})
				sim.c.Check(wrong, qt.Equals, clock.Millis(0), qt.Commentf("seed %d: %d ms", seed, wrong))
				sim.c.Check(gone <= test.within, qt.IsTrue, qt.Commentf("seed %d: %d ms", seed, gone))
				sim.c.Check(sim.violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
			}
		})
	}
}

// TestDeadServersAreSilentInTime guards against dead servers that are offered for longer than their missed announcements take, also once a control host is gone for good.
func TestDeadServersAreSilentInTime(t *testing.T) {
	for _, lost := range []int{0, 1} {
		t.Run(fmt.Sprint("lost", lost), func(t *testing.T) {
			for seed := range uint64(20) {
				sim := newSimulation(t, seed, 3)
				sim.publishWithRetry(1, ackTimeout)
				sim.awaitConvergence(recoveryTimeout)
				if lost > 0 {
					sim.powerOff(hostAddress(3))
					sim.run(evictAfter + recoveryTimeout)
				}
				sim.announce(hostAddress(2), serverAt(2, 1), nil)
				sim.run(silentAfter + expireInterval + exchangeInterval)
				for _, address := range sim.liveHosts() {
					sim.c.Check(sim.hosts[address].core.Fleet().Find("s-2").Silent(), qt.IsTrue, qt.Commentf("seed %d: %s", seed, address))
				}
			}
		})
	}
}
