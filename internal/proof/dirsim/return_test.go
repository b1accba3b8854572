package dirsim_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// whileReturning cuts a control host off from all others for 6 s, and then from the third one only if linkStaysCut is set. It runs each 1.2 s before, meanwhile and afterwards, and check each millisecond in which the host is in contact with a quorum after that.
func whileReturning(t *testing.T, seed uint64, linkStaysCut bool, prepare, each, check func(sim *simulation)) {
	sim := newSimulation(t, seed, 3)
	sim.publishWithRetry(1, ackTimeout)
	sim.awaitConvergence(recoveryTimeout)
	prepare(sim)
	run := func(span clock.Millis, checks bool) {
		for from := sim.now; sim.now-from < span; {
			if sim.now%announceInterval == 0 {
				each(sim)
			}
			sim.run(1)
			if checks && sim.hosts[hostAddress(1)].core.Current() {
				check(sim)
			}
		}
	}
	run(7000, false)
	sim.isolate(hostAddress(1), true)
	run(6000, false)
	sim.isolate(hostAddress(1), false)
	if linkStaysCut {
		sim.partition([]string{hostAddress(1)}, []string{hostAddress(3)}, true)
	}
	run(5000, true)
}

// TestHostThatReturnsEndsNoOwnerOfAnAddress guards against a running server that counts as ended or contested because the announcements of another one at its address arrive first.
func TestHostThatReturnsEndsNoOwnerOfAnAddress(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprint("linkStaysCut=", cut), func(t *testing.T) {
			for seed := range uint64(10) {
				wrong := 0
				announce := func(sim *simulation) {
					owner, rival := serverAt(1, sim.now), serverAt(1, sim.now)
					owner.Started, rival.ID, rival.Started = 5, "other", 6
					sim.announce(hostAddress(3), owner, nil)
					sim.announce(hostAddress(2), rival, nil)
				}
				whileReturning(t, seed, cut, func(sim *simulation) {
					owner := serverAt(1, 1)
					owner.Started = 5
					sim.announce(hostAddress(3), owner, nil)
					sim.run(1000)
				}, announce, func(sim *simulation) {
					if !usable(sim, 2, "s-1") {
						t.Fatal("the owner is not used on another host")
					}
					if !usable(sim, 1, "s-1") {
						wrong++
					}
				})
				qt.Check(t, wrong, qt.Equals, 0, qt.Commentf("seed %d: for %d ms", seed, wrong))
			}
		})
	}
}

func usable(sim *simulation, host int, id string) bool {
	s := sim.hosts[hostAddress(host)].core.Fleet().Find(id)
	return s != nil && s.Usable()
}

// TestHostThatReturnsListsAllEntryHosts guards against slots that are given to several entry hosts.
func TestHostThatReturnsListsAllEntryHosts(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprint("linkStaysCut=", cut), func(t *testing.T) {
			for seed := range uint64(10) {
				wrong := 0
				var entryHosts []*entryHost
				whileReturning(t, seed, cut, func(sim *simulation) {
					for i := range 9 {
						entryHosts = append(entryHosts, sim.addEntryHost(fmt.Sprint("e", i)))
						entryHosts[i].poller.SetSharing(true)
					}
				}, func(*simulation) {}, func(*simulation) {
					if slices.ContainsFunc(entryHosts, func(e *entryHost) bool { return e.listed < len(entryHosts) }) {
						wrong++
					}
				})
				qt.Check(t, wrong, qt.Equals, 0, qt.Commentf("seed %d: for %d ms", seed, wrong))
			}
		})
	}
}
