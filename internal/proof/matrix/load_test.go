package matrix_test

import (
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/entry/core"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// newDeploymentCluster returns a cluster with 8 entry hosts, as the deployment
// has, and the given counts of servers for the stream service and the request
// service. The deployment has 14 servers per service.
func newDeploymentCluster(seed uint64, streamServers, requestServers, slots int) *cluster {
	return newClusterOf(seed, 8, streamServers, requestServers, slots)
}

// newClusterOf returns a cluster like newDeploymentCluster with a number of entry hosts.
func newClusterOf(seed uint64, hosts, streamServers, requestServers, slots int) *cluster {
	cl := newCluster(seed, core.Mechanisms{})
	cl.control.rollOut(1, bundleText(1))
	for i := range hosts {
		cl.startHost(i, hosts)
	}
	for i := range streamServers {
		cl.startServer(i, "punnitus", slots)
	}
	for i := range requestServers {
		cl.startServer(50+i, "tickets", slots)
	}
	cl.run(20 * clock.Second)
	return cl
}

// openIdleFlows opens n idle flows at random times in span, and runs the cluster until
// a second after it.
func (cl *cluster) openIdleFlows(n int, span clock.Millis) {
	for range n {
		cl.queue.Add(cl.now+clock.Millis(cl.rand.Int64N(int64(span))), func() {
			f := cl.clients.openFlow(streamVIP)
			f.idle = true
		})
	}
	cl.run(span + clock.Second)
}

// TestFlowImbalanceStaysWithinTarget measures how evenly flows are spread over
// servers, also after one joins or drains.
func TestFlowImbalanceStaysWithinTarget(t *testing.T) {
	c := qt.New(t)
	// A tenth of 70% of the connections of 14 servers with 2,000 each.
	const flows = 1960
	cl := newDeploymentCluster(1, 14, 1, 16)
	cl.openIdleFlows(flows, 10*clock.Second)
	steady := cl.imbalance()
	t.Logf("measure: imbalance of %d flows on 14 servers: %.3f, target 1.10", flows, steady)
	c.Check(steady <= 1.10, qt.IsTrue)

	cl.startServer(14, "punnitus", 16)
	cl.run(5 * clock.Second)
	afterJoin := cl.imbalance()
	t.Logf("measure: imbalance 5 s after a server joined: %.3f, target 1.25", afterJoin)
	c.Check(afterJoin <= 1.25, qt.IsTrue)

	cl.servers["s3"].drain()
	cl.run(5 * clock.Second)
	afterDrain := cl.imbalance()
	t.Logf("measure: imbalance 5 s after a server began to drain: %.3f, target 1.25", afterDrain)
	c.Check(afterDrain <= 1.25, qt.IsTrue)

	openedBefore := cl.servers["s15"].flowsOpened
	cl.openIdleFlows(300, 5*clock.Second)
	share := float64(cl.servers["s15"].flowsOpened-openedBefore) / 300
	t.Logf("measure: share of new flows on the server just started: %.3f, an equal share is 0.071", share)
	c.Check(share <= 2*1.0/14, qt.IsTrue)
	c.Check(cl.violations, qt.HasLen, 0)
}

// TestFewFlowsOfAServerAreSpreadEvenly guards against hosts that all round their bounds for the
// same servers up.
func TestFewFlowsOfAServerAreSpreadEvenly(t *testing.T) {
	for seed := range uint64(12) {
		cl := newClusterOf(seed, 9, 7, 7, 16)
		cl.clients.lastPort = uint16(1000 * seed)
		cl.openIdleFlows(200, 5*clock.Second)
		imbalance := cl.imbalance()
		t.Logf("measure: seed %d: imbalance of 200 flows on 9 hosts and 7 servers: %.3f, target 1.10; %d replicated", seed, imbalance, cl.replicated())
		qt.Check(t, imbalance <= 1.10, qt.IsTrue)
	}
}

// replicated counts the replicas that hosts hold of the flows of others.
func (cl *cluster) replicated() int {
	n := 0
	for _, h := range cl.hosts {
		n += h.core.Flows()
	}
	return n - len(cl.clients.allFlows)
}

// TestOverloadTenfold checks that goodput stays at 90% of the capacity at least, and
// that refusals come within 1.1 s, when clients send ten times the capacity.
func TestOverloadTenfold(t *testing.T) {
	c := qt.New(t)
	const servers, slots, span = 14, 2, 20 * clock.Second
	cl := newDeploymentCluster(2, 1, servers, slots)
	for _, s := range cl.servers {
		s.serviceTime = 50
	}
	capacity := servers * slots * 1000 / 50
	began := cl.now
	servedBefore := cl.requestsServed()
	cl.startLoad(0, 10*capacity, span)
	cl.run(span)
	goodput := float64(cl.requestsServed()-servedBefore) / float64(cl.now-began) * 1000
	t.Logf("measure: capacity %d requests/s, demand tenfold: goodput %.0f requests/s (%.1f%%), target 90%%; refusals %d, at most %d in flight on a server with %d slots",
		capacity, goodput, 100*goodput/float64(capacity), cl.clients.refusals, cl.maxInFlight(), slots)
	c.Check(goodput >= 0.9*float64(capacity), qt.IsTrue)
	c.Check(cl.clients.slowestRefusal <= clock.Second+100, qt.IsTrue, qt.Commentf("slowest refusal took %d ms", cl.clients.slowestRefusal))
	c.Check(cl.violations, qt.HasLen, 0)
}

// requestsServed counts the requests that servers have completed.
func (cl *cluster) requestsServed() int {
	n := 0
	for _, s := range cl.servers {
		n += s.served
	}
	return n
}

// maxInFlight returns the highest count of requests in flight on any server so
// far.
func (cl *cluster) maxInFlight() int {
	n := 0
	for _, s := range cl.servers {
		n = max(n, s.maxInFlight)
	}
	return n
}

// TestAllAnsweredAt70PercentLoad sends requests at 70% of the servers' capacity. All
// must be answered, and none may reach a server without a free slot.
func TestAllAnsweredAt70PercentLoad(t *testing.T) {
	c := qt.New(t)
	const servers, slots, span = 14, 2, 20 * clock.Second
	cl := newDeploymentCluster(3, 1, servers, slots)
	for _, s := range cl.servers {
		s.serviceTime = 50
	}
	cl.run(5 * clock.Second)
	capacity := servers * slots * 1000 / 50
	cl.startLoad(0, capacity*7/10, span)
	cl.run(span + 10*clock.Second)
	n := len(cl.clients.requests)
	t.Logf("measure: %d requests at 70%% of %d slots: %d answered, %d refusals (%.2f%%), %d slot overruns",
		n, servers*slots, cl.clients.answered, cl.clients.refusals, 100*float64(cl.clients.refusals)/float64(n), cl.clients.slotOverruns)
	c.Check(cl.clients.answered, qt.Equals, n)
	c.Check(cl.clients.slotOverruns, qt.Equals, 0)
	c.Check(cl.violations, qt.HasLen, 0)
}

// TestRequestsOfOneHomeUseAllSlots sends only requests that have the same home, at
// twice the capacity of the servers. At least nine tenths of all slots must be in use,
// and no request may reach a server without a free slot.
func TestRequestsOfOneHomeUseAllSlots(t *testing.T) {
	c := qt.New(t)
	const servers, slots = 14, 2
	cl := newDeploymentCluster(4, 1, servers, slots)
	for _, s := range cl.servers {
		s.serviceTime = 100
	}
	cl.clients.onlyHome = "e3"
	cl.startLoad(0, 2*servers*slots*10, 10*clock.Second)
	cl.run(10 * clock.Second)
	inFlight := 0
	for _, s := range cl.servers {
		inFlight += s.inFlight
	}
	t.Logf("measure: %d of %d slots in use when one host is the home of all requests", inFlight, servers*slots)
	c.Check(inFlight >= servers*slots*9/10, qt.IsTrue)
	c.Check(cl.clients.slotOverruns, qt.Equals, 0)
}

// TestSilentFlowsAreReset checks that both ends of a flow are reset within 80 s
// after the packets of one side stop arriving, and that other flows stay open.
func TestSilentFlowsAreReset(t *testing.T) {
	for _, side := range []string{"client", "server"} {
		t.Run(side, func(t *testing.T) {
			c := qt.New(t)
			cl := newReadyCluster(5, 4, 3, 16, core.Mechanisms{})
			for range 20 {
				f := cl.clients.openFlow(streamVIP)
				f.mayBreak = true
			}
			cl.run(2 * clock.Second)
			silentAt := cl.now
			for _, f := range cl.clients.allFlows {
				f.silentSide = side
			}
			liveFlow := cl.clients.openFlow(streamVIP)
			for cl.now-silentAt < 3*clock.Minute && cl.clients.countNotReset(cl.clients.allFlows[:20]) > 0 {
				cl.run(clock.Second)
			}
			t.Logf("measure: flows with a silent %s were reset at both ends after %d ms, target 80000 ms", side, cl.now-silentAt)
			c.Check(cl.clients.countNotReset(cl.clients.allFlows[:20]), qt.Equals, 0)
			c.Check(cl.now-silentAt <= 80*clock.Second, qt.IsTrue)
			c.Check(liveFlow.broken, qt.IsFalse)
		})
	}
}

// TestShortStallOfServerBreaksNoFlow guards against the reset of flows whose server stalls
// or is cut off for less than a minute, because their clients retransmit at a constant
// interval and so soon reach the limit of retransmissions. Flows of a server that stays
// silent must be reset within 80 s all the same.
func TestShortStallOfServerBreaksNoFlow(t *testing.T) {
	for _, test := range []struct {
		stall clock.Millis
		want  int
	}{{2 * clock.Second, 0}, {9 * clock.Second, 0}, {12 * clock.Second, 0}, {55 * clock.Second, 0}, {75 * clock.Second, 20}} {
		t.Run(fmt.Sprint(test.stall), func(t *testing.T) {
			c := qt.New(t)
			cl := newReadyCluster(5, 4, 3, 16, core.Mechanisms{})
			for range 20 {
				f := cl.clients.openFlow(streamVIP)
				f.constantInterval, f.mayBreak = true, true
			}
			cl.run(2 * clock.Second)
			for _, f := range cl.clients.allFlows {
				f.silentSide = "server"
			}
			cl.run(test.stall)
			for _, f := range cl.clients.allFlows {
				f.silentSide = ""
			}
			cl.run(5 * clock.Second)
			c.Check(len(cl.clients.allFlows)-cl.clients.countNotReset(cl.clients.allFlows), qt.Equals, test.want)
		})
	}
}

// TestSegmentsReachServerOfTheirFlow sends single segments: a retransmitted SYN, a
// reset, a SYN that reuses the address pair, and a segment of an unknown flow.
func TestSegmentsReachServerOfTheirFlow(t *testing.T) {
	c := qt.New(t)
	cl := newReadyCluster(6, 4, 3, 16, core.Mechanisms{})
	f := cl.clients.openFlow(streamVIP)
	f.idle = true
	cl.run(clock.Second)
	firstServer := f.server
	send := func(seg inner.Segment) {
		cl.clients.sendViaFabric(inner.BuildTCP(f.src, f.dst, seg))
		cl.run(200)
	}

	send(inner.Segment{Flags: inner.SYN, Seq: f.isn})
	c.Check(f.server, qt.Equals, firstServer, qt.Commentf("a retransmitted SYN must reach the server of its flow"))

	send(inner.Segment{Flags: inner.RST, Seq: f.seq + 1})
	c.Check(len(firstServer.flows), qt.Equals, 0, qt.Commentf("a reset must reach the server"))

	f.open, f.broken = false, false
	f.isn += 77
	send(inner.Segment{Flags: inner.SYN, Seq: f.isn})
	c.Check(f.open, qt.IsTrue, qt.Commentf("a SYN with another sequence number on the same addresses must open a new flow"))

	src := netip.AddrPortFrom(clientIP, 999)
	seg := inner.Segment{Flags: inner.ACK, Seq: 5, Ack: 9, Payload: []byte("unknown flow")}
	cl.clients.sendViaFabric(inner.BuildTCP(src, streamVIP, seg))
	cl.run(clock.Second)
	c.Check(cl.unknownSegments(), qt.Equals, 1, qt.Commentf("a segment of an unknown flow must reach a server, so that it can be reset"))
}

// unknownSegments counts the segments of unknown flows that reached servers.
func (cl *cluster) unknownSegments() int {
	n := 0
	for _, s := range cl.servers {
		n += s.unknownSegments
	}
	return n
}
