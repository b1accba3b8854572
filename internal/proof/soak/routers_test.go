package soak_test

import (
	"net"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// routerProbeInterval is the time between two probes of a relay.
	routerProbeInterval = 100 * time.Millisecond
	// maxMisses is the number of probes without an answer, in a row, after which a relay
	// gets no packets until it answers again.
	maxMisses = 2
	// rotationTimeout is how long the platform's routers, which probe twice per second, send
	// packets to a relay that has exited.
	rotationTimeout = time.Second
)

// probeRelays probes the readiness of all relays, each in a task of its own: one that is
// paused delays no news of the others.
func (env *testEnv) probeRelays() {
	for i := range relayCount {
		env.runInBackground(func() { env.probeRelay(env.ip(relayGroup, i)) })
	}
}

// probeRelay probes a relay, and takes it into the rotation and out of it.
func (env *testEnv) probeRelay(ip string) {
	for misses := maxMisses; env.sleep(routerProbeInterval); {
		misses++
		if code, _ := callHTTP(http.MethodGet, "http://"+ip+":8101/readiness", nil); code == http.StatusOK {
			misses = 0
		}
		env.setReady(ip, misses < maxMisses)
	}
}

func (env *testEnv) setReady(ip string, ready bool) {
	env.readyMu.Lock()
	changed := env.ready[ip] != ready
	env.ready[ip] = ready
	env.readyMu.Unlock()
	if changed {
		env.noteEvent("relays in rotation: %v", env.readyRelays())
	}
}

// readyRelays returns the addresses of the relays in rotation, in order.
func (env *testEnv) readyRelays() []string {
	env.readyMu.Lock()
	defer env.readyMu.Unlock()
	var ready []string
	for i := range relayCount {
		if ip := env.ip(relayGroup, i); env.ready[ip] {
			ready = append(ready, ip)
		}
	}
	return ready
}

// sendToRelay sends a packet to one of the relays in rotation, chosen by a hash of its flow,
// as the platform's routers do. It returns the address of the relay, or "" if there is none.
func (env *testEnv) sendToRelay(c *client, pkt *packet) string {
	ready := env.readyRelays()
	if len(ready) == 0 {
		return ""
	}
	n := uint32(pkt.sport)*2654435761 + uint32(pkt.src[3])
	relay := ready[n%uint32(len(ready))]
	c.sendTo(relay, pkt)
	return relay
}

// sendTo sends a packet to a relay.
func (c *client) sendTo(relay string, pkt *packet) {
	to := &net.UDPAddr{IP: net.ParseIP(relay), Port: c.env.dataPort}
	_, _ = c.conn.WriteToUDP(pkt.encode(), to)
}

// TestPausedRelaysKeepNoDeadOneInRotation guards against requests that the test's own routers
// lose, because they send them to a relay that has exited for as long as others are paused.
func TestPausedRelaysKeepNoDeadOneInRotation(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(t, 17, build(t), plain)
	env.runInBackground(env.probeRelays)
	env.publishFirst()
	env.await("all relays ready", func() bool { return len(env.readyRelays()) == relayCount })
	paused, dead, pausedLater := env.procs[controlCount], env.procs[controlCount+1], env.procs[controlCount+2]
	paused.signal(syscall.SIGSTOP)
	dead.terminate(syscall.SIGKILL)
	exitedAt := time.Now()
	// A probe of a paused relay takes a second. The pauses overlap, so that at any time one is
	// under way.
	time.Sleep(rotationTimeout * 7 / 10)
	pausedLater.signal(syscall.SIGSTOP)
	time.Sleep(time.Until(exitedAt.Add(rotationTimeout)))
	c.Check(slices.Contains(env.readyRelays(), dead.ip), qt.IsFalse)
	c.Check(env.violations, qt.HasLen, 0)
}
