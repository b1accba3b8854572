package matrix_test

import (
	"flag"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/entry/core"
)

var (
	stallFirst = flag.Uint64("stall.first", 1, "first seed of TestRestartsOfStallingHosts")
	stallSeeds = flag.Uint64("stall.seeds", 1, "number of seeds of TestRestartsOfStallingHosts")
)

// longestStall is shorter than the time after which a host is declared dead. Several
// stalls in a row may be longer.
const longestStall = 700

// stallHosts freezes random hosts for short times, as a busy machine does, until end.
func (cl *cluster) stallHosts(end clock.Millis) {
	if cl.now >= end {
		return
	}
	names := cl.hostNames()
	name := names[cl.rand.IntN(len(names))]
	if h := cl.hosts[name]; h.alive && !h.frozen {
		cl.freeze(name)
		cl.queue.Add(cl.now+1+clock.Millis(cl.rand.Int64N(longestStall)), func() { cl.unfreeze(name) })
	}
	cl.queue.Add(cl.now+clock.Millis(cl.rand.IntN(100)), func() { cl.stallHosts(end) })
}

// restartStallingHosts restarts hosts in turn while all of them stall for short times.
func restartStallingHosts(t *testing.T, seed uint64) {
	const hosts = 9
	cl := newReadyCluster(seed, hosts, 7, 16, core.Mechanisms{})
	cl.startLoad(200, 20, 40*clock.Second)
	cl.run(2 * clock.Second)
	cl.stallHosts(cl.now + 40*clock.Second)
	cl.servers["s2"].drain()
	cl.startServer(15, "punnitus", 16)
	cl.run(clock.Second)
	for i := range hosts {
		name := fmt.Sprintf("e%d", i+1)
		cl.leave(name)
		for cl.hosts[name].alive {
			cl.run(100)
		}
		cl.startHost(i, hosts)
		cl.run(500)
	}
	cl.clients.runAndVerify(30 * clock.Second)
	qt.Check(t, cl.violations, qt.HasLen, 0)
}

// TestSuccessorForwardsNoFlowItNeverOwned guards against a flow that moves to the
// default server of another time: a new owner looks it up at the successor.
func TestSuccessorForwardsNoFlowItNeverOwned(t *testing.T) {
	for _, seed := range []uint64{0, 8, 29} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { restartStallingHosts(t, seed) })
	}
}

// TestOwnerThatStallsRunsNoRefusedRequest guards against a request that runs on an
// owner which the others took for dead, after its successor has refused it.
func TestOwnerThatStallsRunsNoRefusedRequest(t *testing.T) { restartStallingHosts(t, 27) }

// TestNewOwnerSendsNoRequestThatAnotherOwnerSent guards against a second run of a
// request that waited on a stalled host, so that it seems to be sent after the new owner
// took over.
func TestNewOwnerSendsNoRequestThatAnotherOwnerSent(t *testing.T) {
	for _, seed := range []uint64{1018, 1041, 1066} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { restartStallingHosts(t, seed) })
	}
}

// TestRestartsOfStallingHosts plays the seeds that the flags name.
func TestRestartsOfStallingHosts(t *testing.T) {
	for seed := *stallFirst; seed < *stallFirst+*stallSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			restartStallingHosts(t, seed)
		})
	}
}

// TestFrozenOwnerSendsNoFlowToAnotherServer guards against a host that was frozen for 8 s and then
// sends a packet of an open flow to a server without that flow.
func TestFrozenOwnerSendsNoFlowToAnotherServer(t *testing.T) {
	for seed := range uint64(20) {
		cl := newReadyCluster(1000+seed, 5, 3, 16, core.Mechanisms{})
		cl.fabricDuplicateRate = 0.01
		cl.startLoad(30, 30, 20*clock.Second)
		cl.freeze("e2")
		cl.run(8 * clock.Second)
		cl.unfreeze("e2")
		cl.clients.runAndVerify(25 * clock.Second)
		qt.Check(t, cl.violations, qt.HasLen, 0, qt.Commentf("seed %d", 1000+seed))
	}
}
