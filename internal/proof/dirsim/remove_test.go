package dirsim_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// contactTime is the platform's time after a fault in which the control hosts need not be
// stable.
const contactTime = 4 * clock.Second

// removal is a control host that is removed for good after its successor has had its
// recovery time, and one that is lost after a pause. Both are any of the four.
type removal struct {
	removed, lost int
	pause         clock.Millis
	// stops is set if the removed host is stopped, and not killed.
	stops bool
}

func (r removal) String() string {
	return fmt.Sprintf("%d removed, %d lost after %d ms, stops %t", r.removed, r.lost, r.pause, r.stops)
}

// removals returns a removal and a loss of each pair of four hosts, with each pause.
func removals(pauses ...clock.Millis) []removal {
	var out []removal
	for _, pause := range pauses {
		for removed := 1; removed <= 4; removed++ {
			for lost := 1; lost <= 4; lost++ {
				if lost != removed {
					out = append(out, removal{removed, lost, pause, false}, removal{removed, lost, pause, true})
				}
			}
		}
	}
	return out
}

// play removes the one host and powers off the other one.
func (r removal) play(sim *simulation) {
	if r.stops {
		h := sim.hosts[hostAddress(r.removed)]
		sim.dispatch(h, func() { h.core.Resign(sim.now) })
	} else {
		sim.removeForGood(r.removed)
	}
	sim.run(r.pause)
	sim.removeForGood(r.lost)
	if r.stops {
		sim.run(resignTimeout - min(r.pause, resignTimeout))
		sim.removeForGood(r.removed)
	}
}

// newRemoval starts three control hosts, their entry hosts and a fourth control host, which
// has had its recovery time.
func newRemoval(t *testing.T, seed uint64) *simulation {
	sim := newSimulation(t, seed, 3)
	sim.addWitnesses()
	sim.run(2500)
	sim.publishWithRetry(1, ackTimeout)
	sim.add(hostAddress(4), false)
	sim.run(recoveryTimeout)
	sim.publishWithRetry(2, ackTimeout)
	return sim
}

// checkServing checks that a version is acknowledged and read back.
func (sim *simulation) checkServing(version uint64, timeout clock.Millis) {
	sim.publishWithRetry(version, timeout)
	for _, addr := range sim.liveHosts() {
		sim.verifyRead(addr, nil)
	}
	sim.run(clock.Second)
}

// TestLossRightAfterARemovalLeavesAQuorum guards against a replaced host whose vote still
// counts when another host is lost: two of four voters are gone for good.
func TestLossRightAfterARemovalLeavesAQuorum(t *testing.T) {
	for seed := range uint64(4) {
		for i, r := range removals(0, 100, 250, 500, 750, 1000) {
			sim := newRemoval(t, 1000*seed+uint64(i))
			r.play(sim)
			sim.checkServing(3, contactTime+ackTimeout)
			sim.add(hostAddress(5), false)
			sim.awaitConvergence(2 * recoveryTimeout)
			sim.checkLogs()
			sim.c.Check(sim.violations, qt.HasLen, 0, qt.Commentf("seed %d: %v", seed, r))
		}
	}
}

// TestDiskLossRightAfterARemovalLeavesAQuorum guards against the same with a host that
// comes back without its disk, while all others lose power, some of them with the entry
// hosts, whose witnesses have then forgotten what they know.
func TestDiskLossRightAfterARemovalLeavesAQuorum(t *testing.T) {
	for _, entryHostsOff := range []bool{false, true} {
		for i, r := range removals(0, 500) {
			if r.stops {
				continue
			}
			sim := newRemoval(t, uint64(i))
			sim.removeForGood(r.removed)
			sim.run(r.pause)
			sim.powerOffAll(4, hostAddress(r.lost))
			sim.wipe(hostAddress(r.lost))
			if entryHostsOff {
				sim.restartWitnesses(700)
			}
			sim.run(500)
			sim.powerOnAll(4, "")
			sim.awaitConvergence(recoverTimeout)
			sim.checkServing(3, ackTimeout)
			sim.checkLogs()
			sim.c.Check(sim.violations, qt.HasLen, 0, qt.Commentf("%v, entry hosts off: %t", r, entryHostsOff))
		}
	}
}

// TestCutIntoHalvesHasNoDecision guards against halves of four voters that both go on, or
// of which one acknowledges what the other may lose, while the entry hosts reach both.
func TestCutIntoHalvesHasNoDecision(t *testing.T) {
	for seed := range uint64(30) {
		sim := newRemoval(t, seed)
		left, right := []string{hostAddress(1), hostAddress(2)}, []string{hostAddress(3), hostAddress(4)}
		sim.partition(left, right, true)
		sim.run(700)
		acked := sim.acked
		for i := range 20 {
			for _, addr := range sim.liveHosts() {
				sim.publish(addr, uint64(100+i), nil)
				sim.verifyRead(addr, nil)
			}
			sim.run(500)
		}
		sim.c.Check(sim.acked, qt.Equals, acked)
		sim.partition(left, right, false)
		sim.awaitConvergence(recoveryTimeout)
		sim.checkLogs()
		sim.c.Check(sim.violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
	}
}

// TestVersionOfHalfOutlivesTheWitnesses guards against half of the voters that go on
// without what the other half has decided with the witnesses, once these have ended and
// one disk of that half is lost. The host that still has it starts last.
func TestVersionOfHalfOutlivesTheWitnesses(t *testing.T) {
	for seed := range uint64(12) {
		sim := newRemoval(t, seed)
		away := []string{hostAddress(3), hostAddress(4)}
		here := []string{hostAddress(1), hostAddress(2)}
		for _, addr := range away {
			sim.isolate(addr, true)
			sim.cutFromWitnesses(addr, true)
		}
		sim.run(contactTime)
		for version := uint64(3); sim.acked < 3 && version < 50; version++ {
			sim.publish(here[version%2], version, nil)
			sim.run(200)
		}
		sim.c.Assert(sim.acked >= 3, qt.IsTrue)
		sim.powerOffAll(4, "")
		sim.wipe(here[seed%2])
		sim.restartWitnesses(300)
		for _, addr := range away {
			sim.isolate(addr, false)
			sim.cutFromWitnesses(addr, false)
			sim.powerOn(addr)
		}
		sim.run(500)
		sim.powerOn(here[seed%2])
		sim.run(1500)
		sim.powerOn(here[(seed+1)%2])
		sim.awaitConvergence(recoverTimeout)
		sim.checkServing(60, ackTimeout)
		sim.checkLogs()
		sim.c.Check(sim.violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
	}
}
