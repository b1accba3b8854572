package dirsim_test

import (
	"fmt"
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
