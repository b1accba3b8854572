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

// slowDisk holds what waits for a slow disk, in the order of the steps, as the goroutines of
// the daemon do: one writes the log, another one the lists.
type slowDisk struct {
	log                    []core.Output
	lists                  core.Lists
	writesLog, writesLists bool
}

// The number of syncs that package disk needs.
const (
	syncsOfBatch    = 1
	syncsOfSnapshot = 5
	syncsOfList     = 2
)

// writeSlowly queues the output of a step for a slow disk.
func (sim *simulation) writeSlowly(h *host, out *core.Output) {
	if out.NeedsSync() {
		if n := len(h.slow.log); n == 0 || !h.slow.log[n-1].Merge(out) {
			h.slow.log = append(h.slow.log, *out)
		}
	}
	h.slow.lists.Merge(&out.Lists)
	sim.writeNext(h)
}

// writeNext starts the next writes of a host with a slow disk.
func (sim *simulation) writeNext(h *host) {
	d := &h.slow
	if !d.writesLog && len(d.log) > 0 {
		out := d.log[0]
		d.log, d.writesLog = d.log[1:], true
		sim.afterSyncs(h, syncsOfLog(&out), func() {
			d.writesLog = false
			sim.finishLog(h, &out)
		})
	}
	if !d.writesLists && !d.lists.Empty() {
		lists := d.lists
		d.lists, d.writesLists = core.Lists{}, true
		sim.afterSyncs(h, syncsOfLists(&lists), func() {
			d.writesLists = false
			sim.finishLists(h, &lists)
		})
	}
}

// afterSyncs calls done after a number of syncs, unless the host loses power before, and then
// starts the next writes.
func (sim *simulation) afterSyncs(h *host, syncs int, done func()) {
	incarnation := h.incarnation
	sim.events.Add(sim.now+max(clock.Millis(syncs)*sim.syncTime, 1), func() {
		if h.incarnation == incarnation && h.alive {
			done()
			sim.writeNext(h)
		}
	})
}

func syncsOfLog(out *core.Output) int {
	syncs := 0
	if out.Install != nil {
		syncs += syncsOfSnapshot
	}
	if out.State != nil || len(out.Entries) > 0 {
		syncs += syncsOfBatch
	}
	if out.Snapshot != nil {
		syncs += syncsOfSnapshot
	}
	return syncs
}

func syncsOfLists(lists *core.Lists) int {
	syncs := 0
	if lists.Servers != nil {
		syncs += syncsOfList
	}
	if lists.EntryHosts != nil {
		syncs += syncsOfList
	}
	return syncs
}

// TestSlowDisksLeaveALeader guards against control hosts on slow disks that are without a
// leader because the writes of the log queue up, each with a sync of its own and behind the
// server list.
func TestSlowDisksLeaveALeader(t *testing.T) {
	for _, syncTime := range []clock.Millis{50, 100, 150, 200, 250, 300} {
		t.Run(fmt.Sprintf("%dms", syncTime), func(t *testing.T) {
			for seed := range uint64(4) {
				sim := newSimulation(t, seed, 3)
				sim.run(2500)
				sim.syncTime = syncTime
				load := sim.publishAndDrain()
				t.Logf("seed %d: %+v", seed, load)
				qt.Check(t, load.longestGap <= recoverTimeout, qt.IsTrue, qt.Commentf("no publication was acknowledged for %d ms", load.longestGap))
				sim.publishWithRetry(1000, ackTimeout)
				sim.awaitConvergence(recoverTimeout)
				qt.Check(t, sim.violations, qt.HasLen, 0)
			}
		})
	}
}

// TestSlowDisksElectALeader guards against hosts that never elect a leader because each becomes a
// candidate while the others store their votes. All start at once, without a log or with one, or
// all but the leader, which is lost, go on.
func TestSlowDisksElectALeader(t *testing.T) {
	for _, syncTime := range []clock.Millis{150, 300, 450, 600, 750, 900} {
		for _, start := range []string{"founders", "restarted", "leader lost"} {
			t.Run(fmt.Sprintf("%dms,%s", syncTime, start), func(t *testing.T) {
				for seed := range uint64(8) {
					sim := newSimulation(t, seed, 3)
					if start != "founders" {
						sim.run(2500)
					}
					sim.syncTime = syncTime
					switch start {
					case "restarted":
						for _, addr := range sim.liveHosts() {
							sim.powerOff(addr)
							sim.powerOn(addr)
						}
					case "leader lost":
						sim.powerOff(sim.leader())
					}
					t.Logf("seed %d: acknowledged after %d ms", seed, sim.publishWithRetry(1, recoverTimeout))
					qt.Check(t, sim.violations, qt.HasLen, 0)
				}
			})
		}
	}
}

// loadResult counts the calls that control hosts acknowledged under load. longestGap is the
// longest time in which they acknowledged no publication.
type loadResult struct {
	published, announced int
	longestGap           clock.Millis
}

// publishAndDrain publishes a version each 300 ms and announces a server each 100 ms, of which
// one in five drains, for 30 s. After 5 s, the leader restarts.
func (sim *simulation) publishAndDrain() (load loadResult) {
	ackedAt := sim.now
	for i := range 300 {
		at := hostAddress(1 + i%3)
		if i%3 == 0 {
			sim.publish(at, uint64(2+i), func(a core.Answer) {
				if a.Code == core.Done {
					load.published++
					ackedAt = sim.now
				}
			})
		}
		r := serverAt(i%200, sim.now)
		if i%5 == 0 {
			r.State = fleet.Draining
		}
		sim.announce(at, r, func(a core.Answer) {
			if a.Code == core.Done {
				load.announced++
			}
		})
		if i == 50 {
			sim.restartLeader()
		}
		for range 10 {
			sim.run(10)
			load.longestGap = max(load.longestGap, sim.now-ackedAt)
		}
	}
	return load
}

// TestExploreRandomHistoriesOnSlowDisks plays random histories while each sync takes 40 ms, so
// that most steps are merged before they are written.
func TestExploreRandomHistoriesOnSlowDisks(t *testing.T) {
	const syncTime = 40
	for _, group := range groups {
		t.Run(fmt.Sprintf("%dHosts%dLosses", group.hosts, group.losses), func(t *testing.T) {
			x := &exploration{seen: map[uint64]bool{}}
			x.forEach(*exploreSeeds, func(seed int) {
				x.playRandom(t, history{hosts: group.hosts, losses: group.losses, seed: uint64(seed), syncTime: syncTime}, allSteps())
			})
			t.Logf("%d random histories of %d steps, %d failed", x.played, *exploreLength, len(x.failed))
			x.report(t)
		})
	}
}

// TestRepeatedDrainIsAcknowledgedOnSlowDisks guards against a drain that is never acknowledged
// because each of its repetitions waits for another write of the server list.
func TestRepeatedDrainIsAcknowledgedOnSlowDisks(t *testing.T) {
	for _, syncTime := range []clock.Millis{100, 250, 500, 750, 1000} {
		t.Run(fmt.Sprintf("%dms", syncTime), func(t *testing.T) {
			for seed := range uint64(8) {
				sim := newSimulation(t, seed, 3)
				sim.run(2500)
				sim.announce(hostAddress(1), serverAt(0, sim.now), nil)
				sim.run(2500)
				sim.syncTime = syncTime
				r := serverAt(0, sim.now)
				r.State = fleet.Draining
				start, acknowledged := sim.now, false
				for i := 0; !acknowledged && sim.now-start < ackTimeout; i++ {
					// A server repeats its announcement to the next host after a second.
					sim.announce(hostAddress(1+(i+int(seed))%3), r, func(a core.Answer) { acknowledged = acknowledged || a.Code == core.Done })
					for waited := 0; !acknowledged && waited < 1000; waited += 10 {
						sim.run(10)
					}
					r.Seq++
				}
				t.Logf("seed %d: %v after %d ms", seed, acknowledged, sim.now-start)
				qt.Check(t, acknowledged, qt.IsTrue)
			}
		})
	}
}

// TestStalledDiskHoldsUpNoOthers guards against a host whose disk stands still, and which keeps
// the lease of a leader alive that can't commit anything with it. Four voters have lost another
// one, so that the two others need the witnesses.
func TestStalledDiskHoldsUpNoOthers(t *testing.T) {
	for _, stalled := range []string{"leader", "follower"} {
		for _, oneLost := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s,oneLost=%v", stalled, oneLost), func(t *testing.T) {
				for seed := range uint64(8) {
					sim := newRemoval(t, seed)
					leader := sim.leader()
					followers := slices.DeleteFunc(sim.liveHosts(), func(addr string) bool { return addr == leader })
					if oneLost {
						sim.powerOff(followers[0])
					}
					if stalled == "leader" {
						sim.hosts[leader].diskFull = true
					} else {
						sim.hosts[followers[1]].diskFull = true
					}
					took := sim.publishWithRetry(3, recoverTimeout)
					t.Logf("seed %d: %d ms", seed, took)
					sim.publishWithRetry(4, ackTimeout)
					qt.Check(t, sim.violations, qt.HasLen, 0)
				}
			})
		}
	}
}
