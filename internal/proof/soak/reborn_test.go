package soak_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxClockStep is the largest step of a server's clock.
	maxClockStep = 5 * time.Second
	// maxRestartGap is the longest time between the end and the start of a server.
	maxRestartGap = 4 * time.Second
	// maxCallDelay is the longest delay of a call of a server that has ended.
	maxCallDelay = 4 * time.Second
	// maxMisdirected is the number of packets of a flow that may reach other servers in a
	// row.
	maxMisdirected = 2
)

// rebirthCounts count the faults of servers that restart under their ID, for the summary of
// a run.
type rebirthCounts struct {
	atOnce, afterGap, besidePause, besideDrop, earlierClock, earlierReuse atomic.Int64
	lateHeartbeats, lateRemovals, unacknowledgedRemovals                  atomic.Int64
	otherUnderID, otherAtAddress, misdirected                             atomic.Int64
	latestTokenClients                                                    atomic.Int64
	slowAlone, slowBeside, slowStarts, lateAnswers, acknowledged          atomic.Int64
}

// String returns the counts in one line.
func (n *rebirthCounts) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "restarts under an ID: %d at once, %d after a gap, %d beside a pause, %d beside a proxy that drops", n.atOnce.Load(), n.afterGap.Load(), n.besidePause.Load(), n.besideDrop.Load())
	fmt.Fprintf(&out, "; earlier starts: %d under an ID, %d at a reused address", n.earlierClock.Load(), n.earlierReuse.Load())
	fmt.Fprintf(&out, "; %d late heartbeats, %d late removals, %d removals without an acknowledgement", n.lateHeartbeats.Load(), n.lateRemovals.Load(), n.unacknowledgedRemovals.Load())
	fmt.Fprintf(&out, "; records of another writer: %d under an ID, %d at an address", n.otherUnderID.Load(), n.otherAtAddress.Load())
	fmt.Fprintf(&out, "; %d clients with the token of any packet; %d packets at other servers", n.latestTokenClients.Load(), n.misdirected.Load())
	fmt.Fprintf(&out, "; slow servers: %d alone, %d beside another fault, %d new ones, %d late answers, %d repeats acknowledged meanwhile", n.slowAlone.Load(), n.slowBeside.Load(), n.slowStarts.Load(), n.lateAnswers.Load(), n.acknowledged.Load())
	return out.String()
}

// senderOf names the sender of a reset.
func senderOf(pkt *packet) string {
	if pkt.sum == serverSum {
		return "server"
	}
	return "relay"
}

// recordMisdirected notes that a packet reached a server that doesn't hold its flow.
func (env *testEnv) recordMisdirected(pkt *packet) {
	if pkt.flags&flagSyn != 0 {
		return
	}
	env.rebirths.misdirected.Add(1)
	env.mu.Lock()
	defer env.mu.Unlock()
	env.misdirected[pkt.key()]++
}

// recordArrival notes that a packet reached the server that holds its flow.
func (env *testEnv) recordArrival(pkt *packet) {
	env.mu.Lock()
	defer env.mu.Unlock()
	delete(env.misdirected, pkt.key())
}

// verifyDirected checks a flow that got no answer: its packets must not have gone to other
// servers while its own holds it open.
func (env *testEnv) verifyDirected(f *flow) {
	s := env.serverOf(f)
	env.mu.Lock()
	n := env.misdirected[f.key()]
	env.mu.Unlock()
	if s != nil && !s.isLeaving() && n > maxMisdirected {
		env.recordViolation("%d packets of flow %s went to other servers although server %s holds it open", n, f.key(), s.id)
	}
}

// claim returns a server on which no other fault or replacement acts, until release is
// called, or nil.
func (env *testEnv) claim(r *rand.Rand) *server {
	env.mu.Lock()
	defer env.mu.Unlock()
	free := slices.Sorted(maps.Keys(env.servers))
	free = slices.DeleteFunc(free, func(id string) bool { return env.servers[id].claimed })
	if len(free) == 0 {
		return nil
	}
	s := env.servers[free[r.IntN(len(free))]]
	s.claimed = true
	return s
}

func (env *testEnv) release(s *server) {
	env.mu.Lock()
	defer env.mu.Unlock()
	s.claimed = false
}

// bornAfter returns the start that a server announces that takes the address of another.
// It is earlier in half of the cases.
func (env *testEnv) bornAfter(old *server) int64 {
	if !env.announcesBorn {
		return 0
	}
	if env.randN(2) == 0 {
		return time.Now().UnixMilli()
	}
	env.rebirths.earlierReuse.Add(1)
	return old.born - 1 - int64(env.randN(int(maxClockStep.Milliseconds())))
}

// bindTimeout is how long the socket of an ended server may stay open: a process that is
// being started has a copy of it until it runs its own program.
const bindTimeout = time.Second

// bindAgain binds an address that a server had a moment ago.
func bindAgain(addr *net.UDPAddr) (conn *net.UDPConn, err error) {
	for end := time.Now().Add(bindTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if conn, err = net.ListenUDP("udp4", addr); err == nil {
			break
		}
	}
	return conn, err
}

// end stops a server at once, with its flows and counts.
func (env *testEnv) end(s *server) {
	s.crash()
	env.mu.Lock()
	defer env.mu.Unlock()
	delete(env.servers, s.id)
}

// restartServer ends a server and starts it after a gap under its ID and at its address, or
// returns nil if the run ends. A slow server stays slow.
func (env *testEnv) restartServer(s *server, gap time.Duration, born func() int64) *server {
	env.end(s)
	if gap > 0 && !env.sleepWhileFaulty(gap) {
		return nil
	}
	next := env.addIncarnation(s.id, s.service, s.address, 0, born())
	next.slowDown(s.slowTime())
	return next
}

func now() int64 { return time.Now().UnixMilli() }

// callOnce sends a request of a server to a random control host. The answer is lost.
func (env *testEnv) callOnce(method, id string, body any) {
	_, _ = callHTTP(method, fmt.Sprintf("http://%s:8100/instances/%s", env.ip(controlGroup, env.randN(controlCount)), id), body)
}

// startRebirths starts the faults of servers that restart under their ID, and lets some
// clients take the token of any packet. A seed determines the schedule.
func (env *testEnv) startRebirths(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 8))
	for i, c := range env.clients {
		if (seed+uint64(i))%2 == 0 {
			c.mu.Lock()
			c.latestTokens = map[uint16]uint32{}
			c.mu.Unlock()
			env.rebirths.latestTokenClients.Add(1)
		}
	}
	for i := range slowClients {
		env.runInBackground(func() { env.runClient(env.clients[i%len(env.clients)], true) })
	}
	env.rebirthTasks.Go(func() {
		others := []rebirth{
			{"restarted at once", env.restartAtOnce},
			{"restarted after a gap", env.restartAfterGap},
			{"restarted beside a pause", env.restartBesidePause},
			{"restarted beside a proxy that drops", env.restartBesideDrop},
			{"restarted with an earlier clock", env.restartWithEarlierClock},
			{"restarted before a late heartbeat", env.delayHeartbeat},
			{"restarted before a late removal", env.delayRemoval},
			{"announced by another writer under its ID", env.announceUnderID},
			{"announced by another writer at its address", env.announceAtAddress},
			{turnedSlow, env.turnSlow},
		}
		for {
			// The removal takes longer than the others, and has to end with them.
			faults := []rebirth{{"removed without an acknowledgement", env.removeUnacknowledged}}
			for _, i := range r.Perm(len(others)) {
				faults = append(faults, others[i])
			}
			for _, fault := range faults {
				select {
				case <-env.stop:
					return
				case <-env.calm:
					return
				case <-time.After(time.Duration(300+r.IntN(600)) * time.Millisecond):
				}
				if s := env.claim(r); s != nil {
					own := rand.New(rand.NewPCG(r.Uint64(), 9))
					if fault.name != turnedSlow && r.IntN(2) == 0 {
						env.rebirths.slowBeside.Add(1)
						s.slowDown(between(r, minSlowTime, maxSlowTime))
						fault.name += " while slow"
					}
					env.mu.Lock()
					env.latestFault[s.id] = time.Now().Format(timeOfDay) + fault.name
					env.mu.Unlock()
					env.rebirthTasks.Go(func() { fault.inject(s, own) })
				}
			}
		}
	})
}

// rebirth is a fault that acts on a server.
type rebirth struct {
	name   string
	inject func(*server, *rand.Rand)
}

// latestFaultOf tells which fault last acted on the server of an ID, and when it began.
func (env *testEnv) latestFaultOf(id string) string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.latestFault[id]
}

// sleepWhileFaulty is sleep, but returns early once no more faults are injected: none of the
// faults above lasts longer.
func (env *testEnv) sleepWhileFaulty(duration time.Duration) bool {
	select {
	case <-env.stop:
		return false
	case <-env.calm:
		return true
	case <-time.After(duration):
		return true
	}
}

// between returns a random duration from least to most.
func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

func (env *testEnv) restartAtOnce(s *server, _ *rand.Rand) {
	env.rebirths.atOnce.Add(1)
	env.restartServer(s, 0, now)
}

func (env *testEnv) restartAfterGap(s *server, r *rand.Rand) {
	env.rebirths.afterGap.Add(1)
	env.restartServer(s, between(r, 100*time.Millisecond, maxRestartGap), now)
}

// restartBesidePause restarts a server while a relay or a control host is paused.
func (env *testEnv) restartBesidePause(s *server, r *rand.Rand) {
	env.rebirths.besidePause.Add(1)
	p := env.procs[r.IntN(len(env.procs))]
	p.signal(syscall.SIGSTOP)
	env.restartServer(s, 0, now)
	env.sleepWhileFaulty(between(r, 100*time.Millisecond, 1300*time.Millisecond))
	p.signal(syscall.SIGCONT)
}

// restartBesideDrop restarts a server while a proxy drops what a control host sends, or gets
// as well.
func (env *testEnv) restartBesideDrop(s *server, r *rand.Rand) {
	env.rebirths.besideDrop.Add(1)
	proxy := env.proxies[r.IntN(len(env.proxies))]
	proxy.dropOut.Store(true)
	proxy.dropIn.Store(r.IntN(2) == 0)
	env.restartServer(s, 0, now)
	env.sleepWhileFaulty(between(r, 100*time.Millisecond, 2600*time.Millisecond))
	proxy.clearFaults()
	proxy.reset()
}

// restartWithEarlierClock restarts a server whose clock was set back meanwhile.
func (env *testEnv) restartWithEarlierClock(s *server, r *rand.Rand) {
	env.rebirths.earlierClock.Add(1)
	env.restartServer(s, 0, func() int64 { return s.born - between(r, time.Millisecond, maxClockStep).Milliseconds() })
}

// delayHeartbeat restarts a server, after which a heartbeat from before arrives.
func (env *testEnv) delayHeartbeat(s *server, r *rand.Rand) {
	late := s.announcement()
	env.restartServer(s, 0, now)
	if env.sleepWhileFaulty(between(r, 100*time.Millisecond, maxCallDelay)) {
		env.rebirths.lateHeartbeats.Add(1)
		env.callOnce(http.MethodPut, s.id, late)
	}
}

// delayRemoval restarts a server, after which the removal of the incarnation before arrives.
func (env *testEnv) delayRemoval(s *server, r *rand.Rand) {
	env.restartServer(s, 0, now)
	if env.sleepWhileFaulty(between(r, 100*time.Millisecond, maxCallDelay)) {
		env.rebirths.lateRemovals.Add(1)
		env.callOnce(http.MethodDelete, s.id, nil)
	}
}

// removeUnacknowledged drains a server, which gets no answer to its removal, keeps its flows
// for some seconds, ends and starts again. In half of the cases it goes on announcing itself.
func (env *testEnv) removeUnacknowledged(s *server, r *rand.Rand) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	if !env.callControl(http.MethodPut, "/instances/"+s.id, s.announcement(), 60) {
		env.release(s)
		return
	}
	s.mu.Lock()
	s.drainAckedAt = time.Now()
	s.mu.Unlock()
	if !env.sleepWhileFaulty(drainGrace) {
		return
	}
	env.rebirths.unacknowledgedRemovals.Add(1)
	s.mu.Lock()
	s.muted = r.IntN(2) == 0
	s.mu.Unlock()
	env.callOnce(http.MethodDelete, s.id, nil)
	if env.sleepWhileFaulty(between(r, time.Second, 3*time.Second)) {
		env.restartServer(s, 0, now)
	}
}

// foreignRecord returns the announcement of another writer: that of a server, with a later
// start.
func foreignRecord(s *server, later time.Duration) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{
		"service": s.service, "addr": s.address, "zone": s.zone, "version": "v1", "capacity": 2, "state": "ready",
		"warmup_left_ms": max(time.Until(s.warmAt).Milliseconds(), 0), "seq": 1, "born": max(s.born, now()) + later.Milliseconds(),
	}
}

// announceUnderID sends a heartbeat of another writer under the ID of a running server, with
// its address or one at which no server runs.
func (env *testEnv) announceUnderID(s *server, r *rand.Rand) {
	env.rebirths.otherUnderID.Add(1)
	body := foreignRecord(s, between(r, time.Millisecond, time.Second))
	if r.IntN(2) == 0 {
		body["addr"] = fmt.Sprintf("%s:%d", env.ip(serverGroup, 99), 9000)
	}
	env.callOnce(http.MethodPut, s.id, body)
	env.release(s)
}

// announceAtAddress sends a heartbeat of another writer with the address of a running server
// and an ID of its own, for either service.
func (env *testEnv) announceAtAddress(s *server, r *rand.Rand) {
	body := foreignRecord(s, between(r, time.Millisecond, time.Second))
	body["service"] = []string{"x", "y"}[r.IntN(2)]
	env.callOnce(http.MethodPut, fmt.Sprintf("i-%x", 0xf000+env.rebirths.otherAtAddress.Add(1)), body)
	env.release(s)
}
