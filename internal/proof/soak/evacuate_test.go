package soak_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// repeatWindow is how long an order may be repeated. It is the setting ack_ms.
	repeatWindow = 2 * time.Second
	// orderGrace is the time for packets that a relay has decided on before it learned of
	// an order, also if it is paused then.
	orderGrace = 2 * time.Second
	// lateCall is how long after its start a call that got no answer may still be handled,
	// by a control host that is paused.
	lateCall = 5 * time.Second
	// warmup and warmupRate are the time for which servers of service y are cold, and the
	// requests per second that they bear then.
	warmup     = 2 * time.Second
	warmupRate = 4
	// maxColdOpenings is the number of flows that all relays together may open on a cold
	// server in a second.
	maxColdOpenings = warmupRate*3/2 + 5
)

// zoneOf returns the data centre of host i of a role.
func zoneOf(i int) string { return []string{"a", "b"}[i%2] }

// zoneState is what the operator knows of a data centre. It is guarded by testEnv.mu.
type zoneState struct {
	// changes counts the changes of pending and active.
	changes int
	// pending is true while an order is not acknowledged, active is the last order
	// acknowledged.
	pending, active bool
	// startedAt is when the last start was acknowledged, endedAt when the first call after
	// it to end the evacuation was made, or zero before that.
	startedAt, endedAt time.Time
	// lostStartAt is when a call to start the evacuation last got no answer. A host that
	// was paused may obey it later: a start that is obeyed once too often is allowed.
	lostStartAt time.Time
	// done is set once the operator has ended the evacuation for good.
	done bool
}

// publication is the time at which a version was first published, or first seen on a relay.
type publication struct {
	version uint64
	at      time.Time
}

// relayState is what is known of the running process of a relay. It is guarded by
// testEnv.mu.
type relayState struct {
	starts   int
	versions []publication
}

// forgetContact notes that a relay starts anew.
func (env *testEnv) forgetContact(ip string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if r := env.relays[ip]; r != nil {
		*r = relayState{starts: r.starts + 1}
	}
}

// watchVersions records which versions of the configuration a relay has. They show which
// orders it must know: the log holds both, and one reply carries both.
func (env *testEnv) watchVersions(ip string) {
	for env.sleep(100 * time.Millisecond) {
		env.mu.Lock()
		starts := env.relays[ip].starts
		env.mu.Unlock()
		code, b := callHTTP(http.MethodGet, "http://"+ip+":9464/debug/vars", nil)
		var got struct{ ConfigVersion uint64 }
		if code != http.StatusOK || json.Unmarshal(b, &got) != nil {
			continue
		}
		env.mu.Lock()
		r := env.relays[ip]
		if r.starts == starts && (len(r.versions) == 0 || r.versions[len(r.versions)-1].version < got.ConfigVersion) {
			r.versions = append(r.versions, publication{got.ConfigVersion, time.Now()})
		}
		env.mu.Unlock()
	}
}

// knowsSince returns when a relay was first seen with a version that was published after
// a time, or false. It requires env.mu to be held.
func (env *testEnv) knowsSince(relay string, after time.Time) (time.Time, bool) {
	i := slices.IndexFunc(env.published, func(p publication) bool { return p.at.After(after) })
	r := env.relays[relay]
	if i < 0 || r == nil {
		return time.Time{}, false
	}
	j := slices.IndexFunc(r.versions, func(p publication) bool { return p.version >= env.published[i].version })
	if j < 0 {
		return time.Time{}, false
	}
	return r.versions[j].at, true
}

// verifyEvacuated checks that a server which accepts a flow from a relay is in no
// evacuated data centre that the relay knows of.
func (env *testEnv) verifyEvacuated(s *server, relay string) {
	env.mu.Lock()
	z := env.zones[s.zone]
	known, ok := env.knowsSince(relay, z.startedAt)
	evacuated := ok && !z.startedAt.IsZero() && z.endedAt.IsZero()
	took := time.Since(z.startedAt)
	env.mu.Unlock()
	if evacuated && time.Since(known) > orderGrace {
		env.recordViolation("server %s accepted a flow of relay %s %v after the evacuation of data centre %s was acknowledged", s.id, relay, took, s.zone)
	}
}

// verifyCold checks that a cold server does not accept too many flows in a second. After
// an evacuation, only relays that knew of it are held to that: one that was without
// contact from before its start until after its end takes the servers to be warm.
func (env *testEnv) verifyCold(s *server, relay string) {
	if s.service != "y" {
		return
	}
	env.mu.Lock()
	z := env.zones[s.zone]
	_, knew := env.knowsSince(relay, z.startedAt)
	cold := time.Now().Before(s.warmAt) || knew && time.Since(z.endedAt) < warmup
	env.mu.Unlock()
	if !cold {
		return
	}
	env.load.coldOpenings.Add(1)
	s.coldOpenings = append(slices.DeleteFunc(s.coldOpenings, func(at time.Time) bool { return time.Since(at) >= time.Second }), time.Now())
	if n := len(s.coldOpenings); n > maxColdOpenings {
		env.recordViolation("cold server %s accepted %d flows within a second, want at most %d", s.id, n, maxColdOpenings)
	}
}

// callOrder repeats an order until a control host acknowledges it.
func (env *testEnv) callOrder(zone string, start bool) bool {
	method := http.MethodDelete
	if start {
		method = http.MethodPost
	}
	for i := env.randN(controlCount); ; i++ {
		calledAt := time.Now()
		code, _ := callHTTP(method, fmt.Sprintf("http://%s:8100/evacuations/%s", env.ip(controlGroup, i%controlCount), zone), nil)
		switch {
		case code/100 == 2:
			return true
		case code/100 == 4:
			env.recordViolation("%s of the evacuation of data centre %s was refused with status %d", method, zone, code)
		case code == 0 && start:
			env.mu.Lock()
			env.zones[zone].lostStartAt = calledAt
			env.mu.Unlock()
		}
		if !env.sleep(50 * time.Millisecond) {
			return false
		}
	}
}

// order starts or ends an evacuation, and returns once that is acknowledged.
func (env *testEnv) order(zone string, start bool) {
	z := env.zones[zone]
	env.mu.Lock()
	z.changes++
	z.pending = true
	if !start && z.active {
		z.endedAt = time.Now()
	}
	env.mu.Unlock()
	if !env.callOrder(zone, start) {
		return
	}
	env.load.orders.Add(1)
	env.mu.Lock()
	defer env.mu.Unlock()
	z.changes++
	z.pending, z.active = false, start
	if start {
		z.startedAt, z.endedAt = time.Now(), time.Time{}
	}
}

// operate starts and ends the evacuation of a data centre again and again, and ends it
// for good when the faults end. Half of the orders are repeated after their
// acknowledgement. A seed determines the schedule.
func (env *testEnv) operate(zone string, long bool, r *rand.Rand) {
	hold, rest := 200, 500
	if long {
		hold, rest = 5500, 300
	}
	wait := func(ms int) bool {
		select {
		case <-env.calm:
			return false
		case <-time.After(time.Duration(ms+r.IntN(1000)) * time.Millisecond):
			return true
		}
	}
	for start := true; wait(rest); start = !start {
		env.order(zone, start)
		if r.IntN(2) == 0 && env.callOrder(zone, start) {
			env.load.repeats.Add(1)
		}
		if start && !wait(hold) {
			break
		}
	}
	env.order(zone, false)
	env.mu.Lock()
	env.zones[zone].done = true
	env.mu.Unlock()
}

// verifyEvacuations reads the evacuations at a control host. Orders that were
// acknowledged before must be in force.
func (env *testEnv) verifyEvacuations(host int) bool {
	before := env.snapshotZones()
	code, b := callHTTP(http.MethodGet, fmt.Sprintf("http://%s:9464/evacuations", env.ip(controlGroup, host)), nil)
	if code != http.StatusOK {
		return false
	}
	var got []struct {
		Centre    string
		Evacuated bool
	}
	if err := json.Unmarshal(b, &got); err != nil {
		env.recordViolation("cannot decode the evacuations of control host %d: %v", host, err)
		return false
	}
	after := env.snapshotZones()
	for name, z := range before {
		read := false
		for _, e := range got {
			read = read || e.Centre == name && e.Evacuated
		}
		tolerated := read && time.Since(z.lostStartAt) < lateCall
		if !z.pending && z.changes == after[name].changes && read != z.active && !tolerated {
			env.recordViolation("read at control host %d returned evacuated=%v for data centre %s, want %v, which was acknowledged", host, read, name, z.active)
		}
	}
	return true
}

func (env *testEnv) snapshotZones() map[string]zoneState {
	env.mu.Lock()
	defer env.mu.Unlock()
	out := map[string]zoneState{}
	for name, z := range env.zones {
		out[name] = *z
	}
	return out
}

// verifyOrdersAfterFaults checks that the last orders are acknowledged and read back, that
// each control host acknowledges a repeat of them, and refuses one for an unknown data
// centre.
func (env *testEnv) verifyOrdersAfterFaults() {
	env.await("the last orders are acknowledged", func() bool {
		zones := env.snapshotZones()
		return zones["a"].done && zones["b"].done
	})
	for i := range controlCount {
		env.await(fmt.Sprintf("evacuations read at control host %d", i), func() bool { return env.verifyEvacuations(i) })
		for zone, want := range map[string]int{"a": http.StatusOK, "b": http.StatusOK, "c": http.StatusNotFound} {
			env.await(fmt.Sprintf("control host %d answers a repeat for data centre %s with status %d", i, zone, want), func() bool {
				code, _ := callHTTP(http.MethodDelete, fmt.Sprintf("http://%s:8100/evacuations/%s", env.ip(controlGroup, i), zone), nil)
				return code == want
			})
		}
	}
}

// startLoads starts the operators and the loads of the mode.
func (env *testEnv) startLoads(seed uint64) {
	env.runInBackground(env.measureStalls)
	for i := range relayCount {
		env.runInBackground(func() { env.watchVersions(env.ip(relayGroup, i)) })
	}
	for i := range 2 {
		r := rand.New(rand.NewPCG(seed, uint64(6+i)))
		env.runInBackground(func() { env.operate(zoneOf(int(seed/4)+i), i == 0, r) })
	}
	switch env.mode {
	case narrowLinks:
		for i := range 2 * len(env.clients) {
			env.runInBackground(func() { env.runUploads(env.clients[i%len(env.clients)]) })
		}
	case overloaded:
		env.runInBackground(func() {
			if env.sleep(2 * time.Second) {
				env.burst()
			}
		})
	case plain:
	}
}

// String returns the counts in one line.
func (l *loadCounts) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%d orders and %d repeats acknowledged, %d flows opened on cold servers", l.orders.Load(), l.repeats.Load(), l.coldOpenings.Load())
	fmt.Fprintf(&out, "; %d uploads ended, %d not, %d refused, %d packets received", l.uploads.Load(), l.uploadsFailed.Load(), l.uploadsRefused.Load(), l.uploadPackets.Load())
	fmt.Fprintf(&out, "; of the bursts %d answered, %d refused, %d rejected, %d without an answer", l.burstAnswered.Load(), l.burstRefused.Load(), l.burstRejected.Load(), l.burstLost.Load())
	return out.String()
}
