package soak_test

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// playServer is the ID of the server in a play.
	playServer = "i-91"
	// playTime is how long a flow is watched after a claim about its server.
	playTime = 4 * time.Second
	// idleTime is how long a flow has no packets after a claim.
	idleTime = 3 * time.Second
)

// play is a deployment with one server of service x, which clients reach through any relay.
type play struct {
	*testEnv
	server *server
	// slow is set if the server is slow while its flows are watched.
	slow bool
}

// runPlays runs a test with a server that answers at once, and with a slow one, whose rare
// heartbeats let a claim stand for longer.
func runPlays(t *testing.T, name string, seed uint64, bin string, quickMode mode, test func(*play)) {
	run := func(name string, mode mode, slow bool) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPlay(t, seed, bin, mode)
			p.slow = slow
			test(p)
		})
	}
	run(name, quickMode, false)
	run(name+", slow server", rareHeartbeats, true)
}

// newPlay starts a deployment and a server that started two seconds ago, by its clock.
func newPlay(t *testing.T, seed uint64, bin string, mode mode) *play {
	env := newTestEnv(t, seed, bin, mode)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("logs in %s", env.keepLogs("play-"))
		}
	})
	env.announcesBorn = true
	env.runInBackground(env.probeRelays)
	p := &play{testEnv: env}
	p.server = env.addIncarnation(playServer, "x", p.address(0), 0, now()-2000)
	env.publishFirst()
	env.await("all relays ready", func() bool { return len(env.readyRelays()) == relayCount })
	for i := range relayCount {
		p.openFlow(0, i)
	}
	return p
}

// address returns the address of a server.
func (p *play) address(i int) string { return fmt.Sprintf("%s:%d", p.ip(serverGroup, i), 9000) }

// openFlow opens a flow of a client through a relay and sends a request on it.
func (p *play) openFlow(client, relay int) *flow {
	p.c.Helper()
	var f *flow
	for end := time.Now().Add(recoveryTimeout); f == nil && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		f = p.clients[client].openThrough(p.ip(relayGroup, relay), portX)
	}
	p.c.Assert(f, qt.IsNotNil, qt.Commentf("no flow opens through relay %d", relay))
	p.c.Assert(f.request(p.nextID.Add(1)), qt.Equals, answered)
	return f
}

// openFlows opens the flows to be watched: two, or those of two clients through each relay
// if the server is slow.
func (p *play) openFlows() (flows []*flow) {
	p.c.Helper()
	if !p.slow {
		return []*flow{p.openFlow(0, 0), p.openFlow(0, 1)}
	}
	for i := range 2 * relayCount {
		flows = append(flows, p.openFlow(i%2, i/2))
	}
	return flows
}

// watch sends requests on flows: on one at once and on the other after a pause, each through
// the next relay. To a slow server, two clients send through each relay, one after the other.
// All must be answered by the server, which holds the flows open.
func (p *play) watch(flows []*flow) {
	p.c.Helper()
	pause := idleTime
	if p.slow {
		p.server.slowDown(playTime)
		pause = retransmitDelay
	}
	began := time.Now()
	var wg sync.WaitGroup
	for i, f := range flows {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * pause)
			for n := 0; time.Since(began) < playTime; n++ {
				relay := n
				if p.slow {
					relay = i/2 + int(time.Since(began)/maxSlowAnswer)
				}
				f.relay = p.ip(relayGroup, relay%relayCount)
				got := f.request(p.nextID.Add(1))
				ok := p.c.Check(p.serverOf(f), qt.IsNotNil, qt.Commentf("no server holds flow %s", f.key()))
				if ok = p.c.Check(got, qt.Equals, answered, qt.Commentf("flow %s after %v: reset by %q", f.key(), time.Since(began), f.resetBy)) && ok; !ok {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	p.c.Check(p.violations, qt.HasLen, 0)
}

// restart restarts the server under its ID, with a start that is later than the one before
// by the time of a step.
func (p *play) restart(step time.Duration) {
	born := p.server.born + step.Milliseconds()
	p.server = p.restartServer(p.server, 0, func() int64 { return born })
}

// awaitStart waits until a relay opens flows on the present incarnation only: it takes two
// exchanges of announcements.
func (p *play) awaitStart() { time.Sleep(1500 * time.Millisecond) }

// signalControl sends a signal to control hosts.
func (p *play) signalControl(hosts []*process, s os.Signal) {
	for _, host := range hosts {
		host.signal(s)
	}
}

// TestRestartedServerKeepsItsNewFlows guards against a reset of a flow that was opened at the
// new incarnation before the relay knew of it.
func TestRestartedServerKeepsItsNewFlows(t *testing.T) {
	bin := build(t)
	t.Parallel()
	tests := []struct {
		name   string
		paused int
	}{{"calm", 0}, {"control hosts paused", controlCount}}
	for _, test := range tests {
		runPlays(t, test.name, 9, bin, plain, func(p *play) {
			hosts := p.procs[:test.paused]
			p.signalControl(hosts, syscall.SIGSTOP)
			p.restart(2 * time.Second)
			flows := p.openFlows()
			p.signalControl(hosts, syscall.SIGCONT)
			p.watch(flows)
		})
	}
}

// TestRelayStartedAfterItsServerKeepsItsFlows guards against flows without an answer on relays
// that don't know the incarnation under whose token they opened.
func TestRelayStartedAfterItsServerKeepsItsFlows(t *testing.T) {
	bin := build(t)
	t.Parallel()
	tests := []struct {
		name   string
		paused int
		step   time.Duration
	}{{"control hosts paused", controlCount, 2 * time.Second}, {"earlier clock", 0, -time.Second}}
	for _, test := range tests {
		runPlays(t, test.name, 14, bin, plain, func(p *play) {
			hosts := p.procs[:test.paused]
			p.signalControl(hosts, syscall.SIGSTOP)
			p.restart(test.step)
			flows := []*flow{p.openFlow(0, 0), p.openFlow(1, 0)}
			p.signalControl(hosts, syscall.SIGCONT)
			// A start that is earlier is believed after the delay.
			time.Sleep(addrReuseDelay)
			p.awaitStart()
			for _, relay := range p.procs[controlCount+1 : controlCount+relayCount] {
				p.testEnv.restart(relay, syscall.SIGKILL, 0)
			}
			p.await("the relays are ready again", func() bool { return len(p.readyRelays()) == relayCount })
			for i, f := range flows {
				f.relay = p.ip(relayGroup, i+1)
				p.c.Check(f.request(p.nextID.Add(1)), qt.Equals, answered, qt.Commentf("relay %d", i+1))
			}
			p.watch(flows)
		})
	}
}

// TestEarlierClockEndsNoSoundServer guards against a server that counts as ended because its
// clock is behind that of the server before: it takes no flows, and its flows are reset.
func TestEarlierClockEndsNoSoundServer(t *testing.T) {
	bin := build(t)
	t.Parallel()
	tests := []struct {
		name  string
		start func(p *play)
	}{
		{"restart under its ID", func(p *play) { p.restart(-time.Second) }},
		{"next server at its address", func(p *play) {
			p.c.Assert(p.callControl(http.MethodDelete, "/instances/"+playServer, nil, controlCount), qt.IsTrue)
			p.takeAddress()
		}},
		{"next server at the address of one that crashed", (*play).takeAddress},
	}
	for _, test := range tests {
		runPlays(t, test.name, 10, bin, plain, func(p *play) {
			test.start(p)
			p.awaitStart()
			p.watch(p.openFlows())
		})
	}
}

// takeAddress ends the server. The next one takes its address, with an earlier start.
func (p *play) takeAddress() {
	old := p.server
	p.end(old)
	time.Sleep(addrReuseDelay + 100*time.Millisecond)
	p.server = p.addIncarnation("i-92", "x", old.address, 0, old.born-1000)
}

// TestUnacknowledgedRemovalResetsNoFlow guards against a reset while a server that has
// requested its removal, and got no answer, serves on.
func TestUnacknowledgedRemovalResetsNoFlow(t *testing.T) {
	bin := build(t)
	t.Parallel()
	tests := []struct {
		name          string
		paused        int
		stillAnnounce bool
	}{
		{"answer lost", 0, false},
		{"answer lost but still announced", 0, true},
		{"no quorum", 2, false},
		{"no quorum but still announced", 2, true},
	}
	for _, test := range tests {
		runPlays(t, test.name, 11, bin, plain, func(p *play) {
			flows := p.openFlows()
			p.server.mu.Lock()
			p.server.draining, p.server.muted = true, !test.stillAnnounce
			p.server.mu.Unlock()
			p.c.Assert(p.callControl(http.MethodPut, "/instances/"+playServer, p.server.announcement(), controlCount), qt.IsTrue)
			hosts := p.procs[1 : 1+test.paused]
			p.signalControl(hosts, syscall.SIGSTOP)
			_, _ = callHTTP(http.MethodDelete, "http://"+p.ip(controlGroup, 0)+":8100/instances/"+playServer, nil)
			p.signalControl(hosts, syscall.SIGCONT)
			p.watch(flows)
		})
	}
}

// TestDelayedRemovalResetsNoFlow guards against a call of an incarnation that has ended and
// acts on the next one.
func TestDelayedRemovalResetsNoFlow(t *testing.T) {
	bin := build(t)
	t.Parallel()
	tests := []struct {
		name, method string
		mode         mode
	}{
		{"heartbeat", http.MethodPut, plain},
		{"removal", http.MethodDelete, plain},
		{"removal before lost heartbeats", http.MethodDelete, rareHeartbeats},
	}
	for _, test := range tests {
		runPlays(t, test.name, 12, bin, test.mode, func(p *play) {
			var body any
			if test.method == http.MethodPut {
				body = p.server.announcement()
			}
			p.restart(2 * time.Second)
			p.awaitStart()
			flows := p.openFlows()
			if test.mode == rareHeartbeats {
				p.loseHeartbeats()
			}
			p.callOnce(test.method, playServer, body)
			p.watch(flows)
		})
	}
}

// loseHeartbeats waits for a heartbeat of the server, and loses the next two.
func (p *play) loseHeartbeats() {
	s := p.server
	s.mu.Lock()
	seq := s.seq
	s.mu.Unlock()
	p.await("the server announces itself", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.muted = s.seq > seq
		return s.muted
	})
	time.AfterFunc(p.mode.heartbeat()*5/2, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.muted = false
	})
	// All control hosts have the heartbeat after two exchanges: it undoes a removal at one
	// that doesn't have it yet.
	time.Sleep(700 * time.Millisecond)
}

// TestAnotherWritersRecordResetsNoFlow guards against a reset, or packets sent elsewhere, on
// one heartbeat of another writer for a service that is configured.
func TestAnotherWritersRecordResetsNoFlow(t *testing.T) {
	bin := build(t)
	t.Parallel()
	tests := []struct {
		name, id, service string
		address           int
	}{
		{"under its ID", playServer, "x", 0},
		{"under its ID for the other service", playServer, "y", 0},
		{"under its ID with an unused address", playServer, "x", 9},
		{"under its ID with the address of another server", playServer, "x", 1},
		{"at its address", "i-93", "x", 0},
		{"at its address for the other service", "i-93", "y", 0},
	}
	for _, test := range tests {
		runPlays(t, test.name, 13, bin, plain, func(p *play) {
			p.addServer("i-94", "y", p.address(1), 0)
			flows := p.openFlows()
			body := foreignRecord(p.server, time.Second)
			body["service"], body["addr"] = test.service, p.address(test.address)
			p.callOnce(http.MethodPut, test.id, body)
			p.watch(flows)
		})
	}
}
