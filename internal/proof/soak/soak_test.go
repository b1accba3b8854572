package soak_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// SOAK_FIRST and SOAK_SEEDS set the first seed and the number of seeds, and
// SOAK_SECONDS how long faults are injected. By default, as in CI, one seed runs
// besides regressionSeeds.
const (
	defaultSeeds   = 1
	defaultSeconds = 8
	// recoveryTimeout is how long the platform allows for recovery after the last
	// fault.
	recoveryTimeout = 12 * time.Second
	// startTimeout is how long a test waits for control hosts that have just started.
	startTimeout = time.Minute
	// longFlowRequests is the mean number of requests on a long-lived flow.
	longFlowRequests = 20
	// minAnsweredShare is the least share of requests that must be answered after
	// recovery.
	minAnsweredShare = 0.9
)

// regressionSeeds maps each seed that has failed to the cause of its failure.
var regressionSeeds = map[uint64]string{
	103: "a relay crashed: ticks of the event loop ran concurrently with its packet handler",
	136: "as seed 103; and flows of a server that had left were reset before the server got its late acknowledgement",
	541: "SIGHUP ended a process that had just started",
}

// envInt returns the integer in an environment variable, or fallback if it holds
// none.
func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

func TestSoak(t *testing.T) {
	bin := build(t, "-race")
	first, seconds := uint64(envInt("SOAK_FIRST", 1)), envInt("SOAK_SECONDS", defaultSeconds)
	seeds := map[uint64]string{}
	for seed, cause := range regressionSeeds {
		seeds[seed] = cause
	}
	for i := range uint64(envInt("SOAK_SEEDS", defaultSeeds)) {
		seeds[first+i] = "new"
	}
	for seed, cause := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			soak(t, seed, time.Duration(seconds)*time.Second, bin, cause)
		})
	}
}

// soak runs one seed: it injects faults for the given duration while clients send
// requests, an operator publishes versions and servers are replaced.
func soak(t *testing.T, seed uint64, duration time.Duration, bin, cause string) {
	env := newTestEnv(t, seed, bin, modeOf(seed))
	_, regression := regressionSeeds[seed]
	env.announcesBorn = !regression
	env.runInBackground(env.probeRelays)
	for i := range 6 {
		service := "x"
		if i%3 == 2 {
			service = "y"
		}
		env.addServer(fmt.Sprintf("i-%x%x", seed, i+1), service, fmt.Sprintf("%s:%d", env.ip(serverGroup, i), 9000), 0)
	}
	env.publishFirst()
	env.await("all relays ready", func() bool { return len(env.readyRelays()) == relayCount })
	for i := range 12 {
		env.runInBackground(func() { env.runClient(env.clients[i%len(env.clients)], i%3 != 0) })
	}
	env.runInBackground(env.publishAndRead)
	env.runInBackground(env.replaceServers)
	env.startLoads(seed)
	if !regression {
		env.startRebirths(seed)
	}
	env.injectFaults(duration)
	close(env.calm)
	env.rebirthTasks.Wait()
	env.verifyRecovery()
	env.mu.Lock()
	defer env.mu.Unlock()
	for id, n := range env.extraRuns {
		env.violations = append(env.violations, fmt.Sprintf("request %d was executed %d times too often", id, n))
	}
	if n := env.unansweredHeld.Load(); n > 0 {
		env.violations = append(env.violations, fmt.Sprintf("%d requests got no answer within %v on flows that their servers held open", n, requestTimeout))
	}
	t.Logf("seed %d (%s): %d requests answered, %d failed, of these %d on flows that stayed open; version %d",
		seed, cause, env.answered.Load(), env.failed.Load(), env.unansweredHeld.Load(), env.acked)
	t.Logf("%s: %s; longest stall of the machine %v", env.mode, env.load.String(), time.Duration(env.longestStall.Load()))
	t.Log(env.rebirths.String())
	if len(env.violations) > 0 {
		t.Errorf("logs in %s:\n%s", env.keepLogs(fmt.Sprintf("soak-%d-", seed)), strings.Join(env.violations, "\n"))
	}
}

// keepLogs copies the logs to a new folder, whose path it returns.
func (env *testEnv) keepLogs(prefix string) string {
	logDir, err := os.MkdirTemp("", prefix)
	env.c.Check(err, qt.IsNil)
	env.c.Check(os.CopyFS(logDir, os.DirFS(env.folder)), qt.IsNil)
	return logDir
}

// runInBackground runs a task in a goroutine that close waits for.
func (env *testEnv) runInBackground(task func()) { env.tasks.Go(task) }

// sleep reports false, and returns early, if the environment is closed.
func (env *testEnv) sleep(duration time.Duration) bool {
	select {
	case <-env.stop:
		return false
	case <-time.After(duration):
		return true
	}
}

// await waits for a condition and records a violation if it does not hold within
// recoveryTimeout.
func (env *testEnv) await(name string, condition func() bool) {
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	env.recordViolation("not reached within %v: %s", recoveryTimeout, name)
}

// addServer starts a stand-in that serves packets and announces itself.
// For the time of warmup, it announces that it is cold.
func (env *testEnv) addServer(id, service, address string, warmup time.Duration) *server {
	born := int64(0)
	if env.announcesBorn {
		born = time.Now().UnixMilli()
	}
	return env.addIncarnation(id, service, address, warmup, born)
}

// addIncarnation starts a stand-in as addServer does, with the time of its start.
func (env *testEnv) addIncarnation(id, service, address string, warmup time.Duration, born int64) *server {
	addr, err := net.ResolveUDPAddr("udp4", address)
	env.c.Assert(err, qt.IsNil)
	conn, err := bindAgain(addr)
	env.c.Assert(err, qt.IsNil)
	n, err := strconv.ParseUint(strings.TrimPrefix(id, "i-"), 16, 64)
	env.c.Assert(err, qt.IsNil)
	s := &server{
		env: env, id: id, number: n, service: service, address: address, born: born, conn: conn, flows: map[string]uint32{},
		zone: zoneOf(int(addr.IP.To4()[3]) / 4), warmAt: time.Now().Add(warmup), uploads: map[string]uint32{}, dueAt: map[string]time.Time{},
	}
	env.mu.Lock()
	env.servers[id] = s
	env.mu.Unlock()
	go s.serve()
	env.runInBackground(func() { env.announce(s) })
	return s
}

// announce sends the heartbeats of a server until the server is closed.
func (env *testEnv) announce(s *server) {
	for {
		s.mu.Lock()
		closed, muted := s.closed, s.muted
		s.mu.Unlock()
		if closed {
			return
		}
		if !muted {
			env.callControl(http.MethodPut, "/instances/"+s.id, s.announcement(), controlCount)
		}
		if !env.sleep(env.mode.heartbeat()) {
			return
		}
	}
}

// announcement returns the body of the next announcement.
func (s *server) announcement() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	body := map[string]any{
		"service": s.service, "addr": s.address, "zone": s.zone, "version": "v1", "capacity": 2, "state": state,
		"warmup_left_ms": max(time.Until(s.warmAt).Milliseconds(), 0), "seq": s.seq,
	}
	if s.born > 0 {
		body["born"] = s.born
	}
	return body
}

// replaceServers drains and removes one server after another. A new server of the
// other service then takes its address.
func (env *testEnv) replaceServers() {
	for n := uint64(16); env.sleep(2500 * time.Millisecond); n++ {
		env.mu.Lock()
		var old *server
		count := map[string]int{}
		for _, s := range env.servers {
			count[s.service]++
		}
		for _, s := range env.servers {
			if count[s.service] > 2 && !s.claimed && (old == nil || s.id < old.id) {
				old = s
			}
		}
		if old != nil {
			old.claimed = true
		}
		env.mu.Unlock()
		if old == nil {
			continue
		}
		old.mu.Lock()
		old.draining = true
		old.mu.Unlock()
		if !env.callControl(http.MethodPut, "/instances/"+old.id, old.announcement(), 60) {
			env.release(old)
			continue
		}
		old.mu.Lock()
		old.drainAckedAt = time.Now()
		old.mu.Unlock()
		if !env.sleep(drainGrace + time.Duration(1+env.randN(2))*time.Second) {
			return
		}
		old.mu.Lock()
		old.leavingSince = time.Now()
		old.mu.Unlock()
		env.callControl(http.MethodDelete, "/instances/"+old.id, nil, 60)
		old.mu.Lock()
		old.closed = true
		old.mu.Unlock()
		_ = old.conn.Close()
		env.mu.Lock()
		delete(env.servers, old.id)
		env.mu.Unlock()
		if !env.sleep(addrReuseDelay + 100*time.Millisecond) {
			return
		}
		other := map[string]string{"x": "y", "y": "x"}[old.service]
		next := env.addIncarnation(fmt.Sprintf("i-%x", 0xa000+n), other, old.address, warmup, env.bornAfter(old))
		if env.announcesBorn && env.randN(2) == 0 {
			env.rebirths.slowStarts.Add(1)
			next.slowDown(warmup)
		}
	}
}

// publish publishes a version of the configuration and records it once it is
// acknowledged.
func (env *testEnv) publish(version uint64) bool {
	config := map[string]any{
		"version":  version,
		"services": []map[string]any{{"name": "x"}, {"name": "y", "warmup_s": warmup.Seconds(), "warmup_per_s": warmupRate}},
		"limits":   map[string]any{"idle_timeout_ms": 15000},
		"routes": []map[string]any{
			{"name": "rx", "host": "198.18.0.1", "path_prefix": "/443/", "route_kind": "idempotent", "timeout_ms": 3000, "service": "x"},
			{"name": "ry", "host": "198.18.0.1", "path_prefix": "/80/", "route_kind": "non_idempotent", "timeout_ms": 3000 + version, "latency_goal_ms": env.mode.latencyGoal(), "service": "y"},
			{"name": "rz", "host": "198.18.0.1", "path_prefix": "/8080/", "route_kind": "idempotent", "timeout_ms": 6000, "service": "x"},
		},
	}
	env.mu.Lock()
	env.published = append(env.published, publication{version, time.Now()})
	env.mu.Unlock()
	if !env.callControl(http.MethodPut, "/config", config, 100) {
		return false
	}
	env.mu.Lock()
	env.acked = max(env.acked, version)
	env.mu.Unlock()
	return true
}

// publishFirst publishes a first version until a control host acknowledges it, as an operator does,
// so that a test begins with a group that has started: on a slow disk, the control hosts don't
// listen yet, and all attempts of a publication may be refused within 5 s.
func (env *testEnv) publishFirst() {
	acknowledged := false
	for end := time.Now().Add(startTimeout); !acknowledged && time.Now().Before(end); {
		acknowledged = env.publish(1)
	}
	env.c.Assert(acknowledged, qt.IsTrue, qt.Commentf("no control host acknowledged a first version within %v", startTimeout))
}

// publishAndRead publishes new versions of the configuration and reads each back at
// a random control host.
func (env *testEnv) publishAndRead() {
	for version := uint64(2); env.sleep(300 * time.Millisecond); version += 1 + uint64(env.randN(3)) {
		env.publish(version)
		env.verifyRead(env.randN(controlCount))
		env.verifyEvacuations(env.randN(controlCount))
	}
}

// verifyRead reads the version at a control host. It must not be older than the
// highest one acknowledged before the read.
func (env *testEnv) verifyRead(host int) (uint64, bool) {
	env.mu.Lock()
	acked := env.acked
	env.mu.Unlock()
	code, b := callHTTP(http.MethodGet, fmt.Sprintf("http://%s:8100/config", env.ip(controlGroup, host)), nil)
	if code != http.StatusOK {
		return 0, false
	}
	var got struct{ Version uint64 }
	if err := json.Unmarshal(b, &got); err != nil || got.Version < acked {
		env.recordViolation("read at control host %d returned version %d, want at least %d, which was acknowledged: %v", host, got.Version, acked, err)
	}
	return got.Version, true
}

// runClient sends requests on long-lived flows, or each on a flow of its own. A
// request is never retried on another flow, so none may be executed twice.
func (env *testEnv) runClient(c *client, longLived bool) {
	var f *flow
	for env.sleep(80 * time.Millisecond) {
		if f == nil {
			dstPort := uint16(portX)
			if !longLived {
				dstPort = portY
			}
			if f = c.open(dstPort); f == nil {
				env.failed.Add(1)
				continue
			}
		}
		switch f.request(env.nextID.Add(1)) {
		case answered:
			env.answered.Add(1)
			// Long-lived flows also end at random, so that new ones are opened.
			if longLived && env.randN(longFlowRequests) > 0 {
				continue
			}
			f.finish()
		case wasReset:
			env.failed.Add(1)
			env.verifyReset(f)
			f.close()
		case rejected:
			env.failed.Add(1)
			f.finish()
		case timedOut:
			env.failed.Add(1)
			if s := env.serverOf(f); s != nil && !s.isLeaving() {
				env.unansweredHeld.Add(1)
				env.noteEvent("no answer on flow %s, held by server %s (latest fault there: %s): %s", f.key(), s.id, env.latestFaultOf(s.id), strings.Join(f.copies, ", "))
			}
			env.verifyDirected(f)
			f.close()
		}
		f = nil
	}
}

// verifyReset records a violation if a flow was reset although its server is running
// and holds it open. A server that has requested its removal stops even if the request
// is not acknowledged, so its flows may be reset from then on.
func (env *testEnv) verifyReset(f *flow) {
	if s := env.serverOf(f); s != nil && !s.isLeaving() {
		env.recordViolation("flow %s was reset although server %s holds it open (by a %s; latest fault there: %s)", f.key(), s.id, f.resetBy, env.latestFaultOf(s.id))
	}
}

// injectFaults starts a random fault every 200 to 900 ms, so that faults overlap.
func (env *testEnv) injectFaults(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		env.runInBackground(env.injectFault)
		time.Sleep(time.Duration(200+env.randN(700)) * time.Millisecond)
	}
}

// injectFault injects one random fault and ends it.
func (env *testEnv) injectFault() {
	p := env.procs[env.randN(len(env.procs))]
	proxy := env.proxies[env.randN(controlCount)]
	pause := time.Duration(100+env.randN(1200)) * time.Millisecond
	switch env.randN(9) {
	case 0:
		env.restart(p, syscall.SIGKILL, pause)
	case 1:
		env.restart(p, syscall.SIGTERM, pause)
	case 2:
		p.signal(syscall.SIGSTOP)
		env.sleep(pause)
		p.signal(syscall.SIGCONT)
	case 3:
		// A process can't handle a signal before its own code runs, so it must have
		// written to its log first.
		if info, err := p.log.Stat(); err == nil && info.Size() > p.logOffset.Load() {
			p.signal(syscall.SIGHUP)
		}
	case 4:
		proxy.reset()
	case 5:
		proxy.dropIn.Store(true)
		env.sleep(2 * pause)
		proxy.clearFaults()
	case 6:
		proxy.dropIn.Store(true)
		proxy.dropOut.Store(true)
		env.sleep(2 * pause)
		proxy.clearFaults()
		proxy.reset()
	case 7:
		proxy.delay.Store(int64(50 * time.Millisecond))
		env.sleep(pause)
		proxy.clearFaults()
	case 8:
		for _, p := range env.procs[:controlCount] {
			env.runInBackground(func() { env.restart(p, syscall.SIGKILL, pause/2) })
		}
	}
}

// restart terminates a process by a signal and starts it again, unless another
// fault has already terminated it.
func (env *testEnv) restart(p *process, s syscall.Signal, after time.Duration) {
	if p.stopRequested.Swap(true) {
		return
	}
	p.terminate(s)
	if env.sleep(after) {
		env.start(p)
	}
}

// verifyRecovery clears all faults of the proxies. All relays must then become ready,
// all control hosts must return the acknowledged version, and requests must be
// answered.
func (env *testEnv) verifyRecovery() {
	for _, p := range env.proxies {
		p.clearFaults()
	}
	env.await("all relays ready after the faults", func() bool { return len(env.readyRelays()) == relayCount })
	for i := range controlCount {
		env.await(fmt.Sprintf("read at control host %d succeeds", i), func() bool { _, ok := env.verifyRead(i); return ok })
	}
	env.verifyOrdersAfterFaults()
	// All servers are cold for the time of warmup after their data centre returned.
	time.Sleep(warmup + time.Second)
	uploads := env.load.uploads.Load()
	answers, failures := env.answered.Load(), env.failed.Load()
	time.Sleep(2 * time.Second)
	answers, failures = env.answered.Load()-answers, env.failed.Load()-failures
	if float64(answers) < minAnsweredShare*float64(answers+failures) || answers == 0 {
		env.recordViolation("only %d of %d requests were answered after the faults ended", answers, answers+failures)
	}
	if env.mode == narrowLinks && env.load.uploads.Load() == uploads {
		env.recordViolation("no upload ended after the faults")
	}
	if env.mode == overloaded {
		env.verifyOverload()
	}
}
