package matrix_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/entry/core"
)

// bundleText returns a bundle with a request service and a stream service.
func bundleText(version spec.Version) string {
	return fmt.Sprintf(`version = %d

[[dataCentre]]
name = "oulu1"

[[service]]
name = "tickets"
kind = "request"
protocol = "udp"
addresses = ["198.51.100.10:7000"]

[[service]]
name = "punnitus"
kind = "stream"
protocol = "tcp"
addresses = ["198.51.100.20:7001"]
`, version)
}

// newReadyCluster returns a cluster of entry hosts and servers after a warm-up of
// 6 s.
func newReadyCluster(seed uint64, hosts, serversPerService, slots int, disabled core.Mechanisms) *cluster {
	cl := newCluster(seed, disabled)
	cl.slowLinks = true
	cl.control.rollOut(1, bundleText(1))
	for i := range hosts {
		cl.startHost(i, hosts)
	}
	for i := range serversPerService {
		cl.startServer(2*i, "tickets", slots)
		cl.startServer(2*i+1, "punnitus", slots)
	}
	cl.run(6 * clock.Second)
	return cl
}

// startLoad schedules the opening of flows within a second, and requests at a
// rate for span.
func (cl *cluster) startLoad(flows int, requestsPerSecond int, span clock.Millis) {
	for range flows {
		at := cl.now + clock.Millis(cl.rand.Int64N(int64(clock.Second)))
		cl.queue.Add(at, func() { cl.clients.openFlow(streamVIP) })
	}
	n := int(span) * requestsPerSecond / 1000
	for range n {
		at := cl.now + clock.Millis(cl.rand.Int64N(int64(span)))
		idempotent := cl.rand.IntN(2) == 0
		cl.queue.Add(at, func() { cl.clients.sendRequest(idempotent, 8) })
	}
}

// TestRollingRestartUnderServerChange restarts all hosts in turn while servers join
// and drain and a bundle is rolled out.
func TestRollingRestartUnderServerChange(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			const hosts = 4
			cl := newReadyCluster(seed, hosts, 3, 16, core.Mechanisms{})
			cl.fabricDuplicateRate, cl.fabricLossRate = 0.01, 0.01
			cl.startLoad(300, 200, 30*clock.Second)
			cl.run(2 * clock.Second)
			cl.servers["s1"].drain()
			cl.servers["s2"].drain()
			cl.startServer(6, "tickets", 16)
			cl.startServer(7, "punnitus", 16)
			cl.run(clock.Millis(cl.rand.IntN(1000)))
			cl.control.rollOut(2, bundleText(2))
			for i := range hosts {
				name := fmt.Sprintf("e%d", i+1)
				cl.leave(name)
				for cl.hosts[name].alive {
					cl.run(100)
				}
				cl.run(clock.Millis(cl.rand.IntN(300)))
				cl.startHost(i, hosts)
				cl.run(500 + clock.Millis(cl.rand.IntN(1000)))
			}
			cl.clients.runAndVerify(30 * clock.Second)
			c.Check(cl.violations, qt.HasLen, 0)
			c.Check(cl.clients.unknownOutcomes, qt.Equals, 0)
			t.Logf("%d answered, %d refusals, %d unknown", cl.clients.answered, cl.clients.refusals, cl.clients.unknownOutcomes)
		})
	}
}

// TestRestartWithIncompleteServerListKeepsFlows restarts hosts in turn. With 14 to
// 15 servers, a restarted host is likely to get announcements of some servers
// before it has the server list of the other hosts.
func TestRestartWithIncompleteServerListKeepsFlows(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			const hosts = 9
			cl := newReadyCluster(seed, hosts, 7, 16, core.Mechanisms{})
			cl.startLoad(200, 20, 40*clock.Second)
			cl.run(2 * clock.Second)
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
			c.Check(cl.violations, qt.HasLen, 0)
			c.Check(cl.clients.unknownOutcomes, qt.Equals, 0)
		})
	}
}
