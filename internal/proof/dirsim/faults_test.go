package dirsim_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/core"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// ackTimeout is the platform's limit for an acknowledgement while the control hosts
// are stable.
const ackTimeout = 5 * clock.Second

// recoveryTimeout is the time after which a new or restarted host must be able to
// replace a lost one.
const recoveryTimeout = 4 * clock.Second

func TestClusterFormsWithAndWithoutHostsOutsideSeeds(t *testing.T) {
	for _, n := range []int{1, 3, 4, 8} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			sim := newSimulation(t, 1, n)
			sim.publishWithRetry(1, ackTimeout)
			sim.awaitConvergence(recoveryTimeout)
			sim.c.Check(sim.violations, qt.HasLen, 0)
			sim.c.Check(sim.hosts[hostAddress(1)].core.Node().Conf().Voters, qt.HasLen, n)
		})
	}
}

// TestRestartOfAllElectsSoon restarts all hosts after a power loss, when clients
// wait for the first routing table. An early election can't disturb a leader, as
// there is none, so all hosts must be up to date within one election timeout.
func TestRestartOfAllElectsSoon(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(t, seed, 4)
		sim.publishWithRetry(1, ackTimeout)
		sim.awaitConvergence(recoveryTimeout)
		for _, addr := range sim.liveHosts() {
			sim.powerOff(addr)
		}
		sim.run(700)
		for i := 1; i <= 4; i++ {
			sim.powerOn(hostAddress(i))
			sim.run(70)
		}
		start := sim.now
		sim.awaitConvergence(recoveryTimeout)
		sim.c.Check(sim.now-start <= electionTimeout, qt.IsTrue, qt.Commentf("seed %d: %d ms", seed, sim.now-start))
		sim.c.Check(sim.violations, qt.HasLen, 0)
	}
}

// TestRestartedHostKnowsCommittedVersion restarts a host that has no contact with the
// others. It must know the version before the newest, which it stored as committed.
func TestRestartedHostKnowsCommittedVersion(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulation(t, seed, 3)
		sim.run(2500)
		for version := uint64(1); version <= 5; version++ {
			sim.publishWithRetry(version, ackTimeout)
			sim.run(500)
		}
		addr := hostAddress(int(seed)%3 + 1)
		sim.isolate(addr, true)
		sim.powerOff(addr)
		sim.powerOn(addr)
		sim.c.Check(sim.hosts[addr].core.Version() >= 4, qt.IsTrue, qt.Commentf("version %d", sim.hosts[addr].core.Version()))
		sim.c.Check(sim.hosts[addr].core.Current(), qt.IsFalse)
	}
}

// TestSplitVoteIsRetriedQuickly starts three of four hosts at the same moment. Each
// needs the votes of both others, so votes can split. Two pre-votes, each within
// three quarters of an election timeout, must suffice in nine of ten cases.
func TestSplitVoteIsRetriedQuickly(t *testing.T) {
	late := 0
	for seed := range uint64(60) {
		sim := newSimulation(t, seed, 4)
		sim.publishWithRetry(1, ackTimeout)
		sim.awaitConvergence(recoveryTimeout)
		sim.powerOffAll(4, "")
		for i := 1; i <= 3; i++ {
			sim.powerOn(hostAddress(i))
		}
		start := sim.now
		sim.awaitConvergence(recoveryTimeout)
		if sim.now-start > electionTimeout+electionTimeout/2 {
			late++
		}
		sim.c.Check(sim.violations, qt.HasLen, 0)
	}
	qt.Check(t, late <= 6, qt.IsTrue, qt.Commentf("%d of 60 elections late", late))
}

// TestRecallsServersAfterARestart restarts a host, which must still know an
// announced server and must detect that this server has become silent.
func TestRecallsServersAfterARestart(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(t, 3, 3)
	sim.run(2000)
	h := sim.hosts[hostAddress(1)]
	sim.call(hostAddress(1), func(h *host, id core.CallID) {
		h.core.Announce(sim.now, id, announcement("s-1", 1, fleet.Ready))
	}, func(core.Answer) {})
	sim.run(1500)
	sim.powerOff(hostAddress(1))
	sim.powerOn(hostAddress(1))
	s := h.core.Fleet().Find("s-1")
	c.Assert(s, qt.Not(qt.IsNil))
	c.Check(s.Usable(), qt.IsTrue)
	sim.run(5000)
	c.Check(s.Silent(), qt.IsTrue, qt.Commentf("a server that no longer announces itself must be silent"))
}

// TestAcknowledgedVersionSurvivesFaults injects each fault that the hosts must
// tolerate right after a version is acknowledged.
func TestAcknowledgedVersionSurvivesFaults(t *testing.T) {
	faults := map[string]func(sim *simulation, n int, at int){
		"power loss of all": func(sim *simulation, n, _ int) {
			sim.powerOffAll(n, "")
			sim.powerOnAll(n, "")
		},
		"disk loss of one and power loss of the rest": func(sim *simulation, n, at int) {
			sim.powerOffAll(n, hostAddress(at))
			sim.wipe(hostAddress(at))
			sim.run(800)
			sim.powerOnAll(n, "")
		},
		"power loss of one": func(sim *simulation, _, at int) {
			sim.powerOff(hostAddress(at))
			sim.run(3000)
			sim.powerOn(hostAddress(at))
		},
		"freeze of one": func(sim *simulation, _, at int) {
			sim.freeze(hostAddress(at))
			sim.run(3000)
			sim.unfreeze(hostAddress(at))
		},
		"isolation of one": func(sim *simulation, _, at int) {
			sim.isolate(hostAddress(at), true)
			sim.run(5000)
			sim.isolate(hostAddress(at), false)
		},
		"partition into halves": func(sim *simulation, n, _ int) {
			left, right := []string{}, []string{}
			for i := 1; i <= n; i++ {
				if i <= n/2 {
					left = append(left, hostAddress(i))
				} else {
					right = append(right, hostAddress(i))
				}
			}
			sim.partition(left, right, true)
			sim.run(5000)
			sim.partition(left, right, false)
		},
	}
	for name, inject := range faults {
		for _, n := range []int{3, 4, 8} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, n), func(t *testing.T) {
				for at := 1; at <= n; at++ {
					sim := newSimulation(t, uint64(at), n)
					sim.run(2500)
					for v := uint64(1); v <= 4; v++ {
						sim.publishWithRetry(v, ackTimeout)
						sim.verifyRead(sim.liveHosts()[0], nil)
						inject(sim, n, at)
						for _, addr := range sim.liveHosts() {
							sim.verifyRead(addr, nil)
						}
						sim.run(2 * clock.Second)
						sim.awaitConvergence(2 * recoveryTimeout)
					}
					sim.c.Check(sim.violations, qt.HasLen, 0, qt.Commentf("host %d", at))
				}
			})
		}
	}
}

// powerOffAll powers off hosts 1 to n at the same moment, except the host at address
// except, and then runs the simulation for 500 ms.
func (sim *simulation) powerOffAll(n int, except string) {
	for i := 1; i <= n; i++ {
		if hostAddress(i) != except && sim.hosts[hostAddress(i)] != nil {
			sim.powerOff(hostAddress(i))
		}
	}
	sim.run(500)
}

// powerOnAll starts those of hosts 1 to n that are off, except the host at address
// except.
func (sim *simulation) powerOnAll(n int, except string) {
	for i := 1; i <= n; i++ {
		if h := sim.hosts[hostAddress(i)]; h != nil && hostAddress(i) != except && !h.alive {
			sim.powerOn(hostAddress(i))
		}
	}
}

// TestReplyToEarlierRunAcknowledgesNothing restarts a host while the leader still has a
// publication of its earlier run to commit. The reply must not acknowledge another one.
func TestReplyToEarlierRunAcknowledgesNothing(t *testing.T) {
	sim := newSimulation(t, 9, 3)
	sim.run(2500)
	leader := sim.leader()
	others := slices.DeleteFunc(sim.liveHosts(), func(addr string) bool { return addr == leader })
	restarted := others[0]
	sim.isolate(others[1], true)
	sim.publish(restarted, 2, nil)
	sim.run(3)
	sim.powerOff(restarted)
	sim.powerOn(restarted)
	sim.publish(restarted, 3, nil)
	sim.run(200)
	sim.isolate(others[1], false)
	sim.run(2 * clock.Second)
	sim.verifyRead(leader, nil)
	sim.run(clock.Second)
	sim.c.Check(sim.violations, qt.HasLen, 0)
}

// TestSuccessiveDiskLossesLoseNoVersion erases the disk of one host after another,
// each as soon as the previous one has had its recovery time.
func TestSuccessiveDiskLossesLoseNoVersion(t *testing.T) {
	for _, n := range []int{3, 4} {
		sim := newSimulation(t, uint64(n), n)
		sim.run(2500)
		for v := uint64(1); v <= 12; v++ {
			sim.publishWithRetry(v, ackTimeout)
			addr := hostAddress(1 + int(v)%n)
			sim.wipe(addr)
			sim.run(400)
			sim.powerOn(addr)
			sim.run(recoveryTimeout)
		}
		sim.awaitConvergence(recoveryTimeout)
		sim.c.Check(sim.violations, qt.HasLen, 0)
	}
}

// TestReplacementOfHostsLosesNoVersion replaces hosts for good, one after another, by
// hosts at new addresses that must not create the log. A planned replacement joins
// before the old host is powered off, an unplanned one after it.
func TestReplacementOfHostsLosesNoVersion(t *testing.T) {
	for _, planned := range []bool{false, true} {
		for _, n := range []int{3, 4} {
			sim := newSimulation(t, uint64(n), n)
			sim.run(2500)
			for v := uint64(1); v <= 8; v++ {
				sim.publishWithRetry(v, ackTimeout)
				old, replacement := hostAddress(int(v)), hostAddress(n+int(v))
				if planned {
					sim.add(replacement, false)
					sim.run(recoveryTimeout)
				}
				sim.powerOff(old)
				delete(sim.hosts, old)
				sim.seeds = sim.liveHosts()[:min(3, len(sim.liveHosts()))]
				if !planned {
					sim.run(1000)
					sim.add(replacement, false)
				}
				sim.run(recoveryTimeout + 3*clock.Second)
			}
			sim.publishWithRetry(20, ackTimeout)
			sim.awaitConvergence(recoveryTimeout)
			sim.c.Check(sim.violations, qt.HasLen, 0, qt.Commentf("planned %t, %d hosts", planned, n))
			voters := len(sim.hosts[sim.liveHosts()[0]].core.Node().Conf().Voters)
			sim.c.Check(voters <= n+1, qt.IsTrue, qt.Commentf("%d voters for %d hosts", voters, n))
		}
	}
}

// TestRapidVersionsConvergeOnHighest publishes versions in quick succession at
// random hosts while messages are lost. Reads at any host must return the highest
// acknowledged version.
func TestRapidVersionsConvergeOnHighest(t *testing.T) {
	for seed := range uint64(5) {
		sim := newSimulation(t, seed, 4)
		sim.run(2500)
		sim.lossRate = 0.05
		for v := uint64(1); v <= 200; v++ {
			sim.publish(hostAddress(1+sim.rand.IntN(4)), v, nil)
			sim.run(clock.Millis(sim.rand.IntN(60)))
			if v%10 == 0 {
				sim.verifyRead(hostAddress(1+sim.rand.IntN(4)), nil)
			}
		}
		sim.run(2 * clock.Second)
		sim.lossRate = 0
		sim.awaitConvergence(recoveryTimeout)
		sim.c.Check(sim.acked > 150, qt.IsTrue, qt.Commentf("%d acknowledged", sim.acked))
		sim.c.Check(sim.violations, qt.HasLen, 0)
	}
}

// TestAcknowledgedDrainSurvivesLossOfHost powers off the host that acknowledged the
// drain of a server right after the acknowledgement. All other hosts must know of
// the drain 1.5 s later.
func TestAcknowledgedDrainSurvivesLossOfHost(t *testing.T) {
	acknowledged := 0
	defer func() { qt.Check(t, acknowledged > 60, qt.IsTrue, qt.Commentf("%d acknowledged", acknowledged)) }()
	for _, n := range []int{3, 4, 8} {
		for at := 1; at <= 5*n; at++ {
			sim, at := newSimulation(t, uint64(at), n), 1+at%n
			sim.run(2500)
			sim.announce(hostAddress(at), announcement("s-1", 1, fleet.Ready), nil)
			sim.run(1000)
			acked := false
			sim.lossRate = 0.4
			sim.announce(hostAddress(at), announcement("s-1", 2, fleet.Draining), func(r core.Answer) { acked = r.Code == core.Done })
			for range 1000 {
				if sim.run(1); acked {
					break
				}
			}
			sim.powerOff(hostAddress(at))
			sim.lossRate = 0
			if !acked {
				// A server that gets no acknowledgement retries at another host.
				continue
			}
			acknowledged++
			sim.run(1500)
			for _, addr := range sim.liveHosts() {
				s := sim.hosts[addr].core.Fleet().Find("s-1")
				sim.c.Check(s != nil && s.State == fleet.Draining, qt.IsTrue, qt.Commentf("%s of %d hosts does not know of the drain that host %d acknowledged", addr, n, at))
			}
		}
	}
}

// TestAnnouncementWithoutQuorumIsUnavailable isolates a host, which must then
// acknowledge neither a new server nor the drain of one.
func TestAnnouncementWithoutQuorumIsUnavailable(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.run(2500)
	sim.isolate(hostAddress(2), true)
	sim.run(1000)
	var codes []core.Code
	collect := func(r core.Answer) { codes = append(codes, r.Code) }
	sim.announce(hostAddress(2), announcement("s-1", 1, fleet.Draining), collect)
	sim.announce(hostAddress(2), announcement("s-2", 1, fleet.Ready), collect)
	sim.run(1000)
	sim.c.Check(codes, qt.DeepEquals, []core.Code{core.Unavailable, core.Unavailable})
}

func (sim *simulation) announce(addr string, r fleet.Record, done func(core.Answer)) {
	if done == nil {
		done = func(core.Answer) {}
	}
	sim.call(addr, func(h *host, id core.CallID) { h.core.Announce(sim.now, id, r) }, done)
}

// TestStaleHostDoesNotLoseVersions isolates one host while versions are published,
// then erases the disk of another host, powers off the rest, and reconnects the
// stale host. The two hosts must not answer reads from the stale log.
func TestStaleHostDoesNotLoseVersions(t *testing.T) {
	for _, n := range []int{3, 4} {
		for stale := 1; stale <= n; stale++ {
			sim := newSimulation(t, uint64(stale), n)
			sim.run(2500)
			sim.publishWithRetry(1, ackTimeout)
			sim.isolate(hostAddress(stale), true)
			sim.run(1500)
			others := slices.DeleteFunc(sim.liveHosts(), func(addr string) bool { return addr == hostAddress(stale) })
			for v := uint64(2); v <= 6; v++ {
				sim.publish(others[int(v)%len(others)], v, nil)
				sim.run(300)
			}
			for _, addr := range others[1:] {
				sim.powerOff(addr)
			}
			sim.wipe(others[0])
			sim.run(300)
			sim.powerOn(others[0])
			sim.isolate(hostAddress(stale), false)
			for range 6 {
				sim.run(500)
				sim.verifyRead(hostAddress(stale), nil)
				sim.verifyRead(others[0], nil)
			}
			for _, addr := range others[1:] {
				sim.powerOn(addr)
			}
			sim.run(1000)
			sim.awaitConvergence(2 * recoveryTimeout)
			sim.c.Check(sim.violations, qt.HasLen, 0, qt.Commentf("%d hosts, host %d stale", n, stale))
		}
	}
}
