package dirsim_test

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/core"
)

var (
	exploreDepth   = flag.Int("explore.depth", 2, "length of the histories that are explored exhaustively")
	exploreSeeds   = flag.Int("explore.seeds", 40, "number of random histories per number of hosts")
	exploreLength  = flag.Int("explore.length", 9, "length of random histories")
	exploreLog     = flag.Bool("explore.log", false, "print the log lines of the hosts, with -explore.history")
	exploreHistory = flag.String("explore.history", "", "play only this history, as a failure printed it")
)

// history is a sequence of steps on a number of hosts. It is written as, for
// example, "4/1/7 add+ retire:leader wipe:follower+": hosts, losses that they must bear
// at once, and seed, then the steps, a plus sign for a long pause after one. The seed is
// followed by the time of a sync, as in 4/1/7/40ms, if the disks are slow.
type history struct {
	hosts, losses int
	seed          uint64
	syncTime      clock.Millis
	steps         []step
}

// groups are the numbers of hosts that are explored, with the losses that they must
// bear at once.
var groups = []history{{hosts: 3, losses: 1}, {hosts: 4, losses: 1}, {hosts: 5, losses: 1}, {hosts: 5, losses: 2}}

// step is an action, on a host that is selected by role, and the pause after it.
type step struct {
	action string
	role   string
	long   bool
}

func (s step) String() string {
	out := s.action
	if s.role != "" {
		out += ":" + s.role
	}
	if s.long {
		out += "+"
	}
	return out
}

func (h history) String() string {
	out := fmt.Sprintf("%d/%d/%d", h.hosts, h.losses, h.seed)
	if h.syncTime > 0 {
		out += fmt.Sprintf("/%dms", h.syncTime)
	}
	for _, s := range h.steps {
		out += " " + s.String()
	}
	return out
}

func parseHistory(c *qt.C, text string) history {
	var h history
	fields := strings.Fields(text)
	numbers, err := fmt.Sscanf(fields[0], "%d/%d/%d/%dms", &h.hosts, &h.losses, &h.seed, &h.syncTime)
	c.Assert(numbers >= 3, qt.IsTrue, qt.Commentf("%v", err))
	for _, f := range fields[1:] {
		var s step
		f, s.long = strings.CutSuffix(f, "+")
		s.action, s.role, _ = strings.Cut(f, ":")
		h.steps = append(h.steps, s)
	}
	return h
}

// witnessSteps returns what else may happen to hosts and to the entry hosts that are
// witnesses: their restart, alone and with all hosts, with a disk lost or without, and a cut
// into halves that the entry hosts reach both.
func witnessSteps() []step {
	var out []step
	for _, long := range []bool{false, true} {
		for _, action := range []string{"restartWitnesses", "darkAll", "split"} {
			out = append(out, step{action, "", long})
		}
		for _, role := range []string{"leader", "follower"} {
			out = append(out, step{"darkWipe", role, long})
		}
	}
	return out
}

// allSteps returns each action on each role, with a short and a long pause.
func allSteps() []step {
	var out []step
	for _, long := range []bool{false, true} {
		for _, action := range []string{"publish", "add", "powerAll"} {
			out = append(out, step{action, "", long})
		}
		for _, action := range []string{"retire", "kill", "lose", "wipe", "wipeAll", "ackWipeAll", "power", "freeze", "cut"} {
			for _, role := range []string{"leader", "follower"} {
				out = append(out, step{action, role, long})
			}
		}
	}
	return out
}

const (
	shortPause = 150
	// longPause is the time after which a host that came back or was added no
	// longer counts as lost.
	longPause = recoveryTimeout
	// ackWait is how long a disk loss waits for the acknowledgement that it follows.
	ackWait = 400
	// faultTime is how long a freeze or a partition lasts.
	faultTime = 2500
	// recoverTimeout is the platform's limit for the recovery after the last fault.
	recoverTimeout = 12_000
	// slowRate is the part of the messages that are slow during the steps and short
	// pauses of histories with an odd seed.
	slowRate = 0.02
	// maxAdded bounds the number of hosts that a history adds.
	maxAdded = 3
)

// explorer plays one history.
type explorer struct {
	*simulation
	steps []step
	// calmSince is when the last fault ended, disksLost the number of disks lost
	// since the hosts were last calm for longPause.
	calmSince int64
	disksLost int
	// spare is set while a host that was added may replace one.
	spare bool
	// slow is set if some messages are slow.
	slow bool
	// withoutOrders leaves evacuations out, and begin leaves witnesses out if told so. Their
	// messages would change the random delays of histories that were found without them.
	withoutOrders bool
	added         int
	version       uint64
}

// calm reports whether all hosts have been undisturbed for longPause. Then nothing
// counts as lost.
func (e *explorer) calm() bool { return int64(e.now)-e.calmSince >= int64(longPause) }

// apply performs a step. It returns false if the step is impossible or would lose
// more than the hosts must bear: maxLosses disks until the others have been undisturbed
// for the recovery time. Losses of power, freezes and partitions may overlap.
func (e *explorer) apply(s step) bool {
	if e.calm() {
		e.disksLost = 0
	}
	target := e.target(s.role)
	if s.role != "" && target == "" {
		return false
	}
	if e.slow {
		e.slowRate = slowRate
	}
	defer func() { e.slowRate = 0 }()
	switch s.action {
	case "publish":
		e.version++
		e.publish(e.liveHosts()[0], e.version, nil)
		if !e.withoutOrders {
			e.evacuate(e.liveHosts()[0], !e.order.start, nil)
		}
	case "add":
		if e.added == maxAdded || e.spare {
			return false
		}
		e.spare = true
		e.addHost()
	case "retire", "kill":
		// The replacement must have had its recovery time.
		if !e.spare || !e.calm() {
			return false
		}
		e.spare = false
		if s.action == "retire" {
			e.stop(target)
		} else {
			e.powerOff(target)
		}
		e.forget(target)
	case "lose":
		if e.disksLost == e.maxLosses || e.added == maxAdded {
			return false
		}
		e.disksLost++
		e.powerOff(target)
		e.forget(target)
		e.run(300)
		e.addHost()
	case "wipe":
		if e.disksLost == e.maxLosses {
			return false
		}
		e.disksLost++
		e.wipe(target)
		e.run(300)
		e.powerOn(target)
	case "wipeAll", "ackWipeAll":
		if e.disksLost > 0 {
			return false
		}
		if s.action == "ackWipeAll" {
			e.publishUntilAcked(target)
		}
		e.wipeAll(target)
	case "restartWitnesses":
		e.restartWitnesses(300)
	case "darkAll":
		e.restartWitnesses(300)
		e.powerAll(nil)
	case "darkWipe":
		if e.disksLost > 0 {
			return false
		}
		e.restartWitnesses(300)
		e.wipeAll(target)
	case "split":
		hosts := e.liveHosts()
		left, right := hosts[:len(hosts)/2], hosts[len(hosts)/2:]
		e.partition(left, right, true)
		e.run(faultTime)
		e.partition(left, right, false)
	case "power":
		e.powerOff(target)
		e.run(300)
		e.powerOn(target)
	case "powerAll":
		e.powerAll(nil)
	case "freeze":
		e.freeze(target)
		e.run(faultTime)
		e.unfreeze(target)
	case "pause":
	case "cut":
		e.isolate(target, true)
		e.run(faultTime)
		e.isolate(target, false)
	default:
		panic("unknown action " + s.action)
	}
	if !slices.Contains([]string{"publish", "retire", "kill", "pause"}, s.action) {
		e.calmSince = int64(e.now)
	}
	e.run(shortPause)
	e.slowRate = 0
	if s.long {
		e.run(longPause)
	}
	for _, addr := range e.liveHosts() {
		e.verifyRead(addr, nil)
		if !e.withoutOrders {
			e.verifyOrder(addr)
		}
	}
	e.checkLogs()
	return true
}

// powerAll takes the power from all hosts at the same moment, and the disks from those
// in wiped.
func (e *explorer) powerAll(wiped []string) {
	hosts := e.liveHosts()
	for _, addr := range hosts {
		e.powerOff(addr)
		if slices.Contains(wiped, addr) {
			e.wipe(addr)
		}
	}
	e.run(300)
	for _, addr := range hosts {
		e.powerOn(addr)
	}
}

// wipeAll erases as many disks as the hosts must bear, that of target first, while all
// hosts lose power.
func (e *explorer) wipeAll(target string) {
	hosts := e.liveHosts()
	first := slices.Index(hosts, target)
	var wiped []string
	for i := range min(e.maxLosses, len(hosts)) {
		wiped = append(wiped, hosts[(first+i)%len(hosts)])
	}
	e.disksLost = e.maxLosses
	e.powerAll(wiped)
}

// publishUntilAcked publishes a version at addr and returns as soon as it is
// acknowledged, or after ackWait.
func (e *explorer) publishUntilAcked(addr string) {
	acked := false
	e.version++
	e.publish(addr, e.version, func(core.Answer) { acked = true })
	for end := e.now + ackWait; !acked && e.now < end; {
		e.run(1)
	}
}

// target returns the host that a role selects: the leader, or the follower that
// comes next after it. It returns "" if there is no leader.
func (e *explorer) target(role string) string {
	leader, live := e.leader(), e.liveHosts()
	if role == "" || leader == "" {
		return ""
	}
	if role == "leader" {
		return leader
	}
	return live[(slices.Index(live, leader)+1)%len(live)]
}

func (e *explorer) addHost() {
	e.added++
	addr := fmt.Sprintf("10.0.0.%d:7000", 10+e.added)
	e.seeds = e.liveHosts()[:min(3, len(e.liveHosts()))]
	e.add(addr, false)
}

func (e *explorer) forget(addr string) {
	delete(e.hosts, addr)
	e.seeds = e.liveHosts()[:min(3, len(e.liveHosts()))]
}

// begin starts the hosts and their entry hosts and publishes a first version.
func begin(t *testing.T, h history) *explorer {
	e := beginWithoutWitnesses(t, h)
	e.addWitnesses()
	e.start()
	return e
}

func beginWithoutWitnesses(t *testing.T, h history) *explorer {
	e := &explorer{steps: h.steps, simulation: newSimulationWithLosses(t, h.seed, h.hosts, h.losses), slow: h.seed%2 == 1}
	e.syncTime = h.syncTime
	return e
}

func (e *explorer) start() {
	e.run(2500)
	e.version++
	e.publishWithRetry(e.version, ackTimeout)
	e.run(longPause)
}

// finish checks that the hosts recover and accept and return another version.
func (e *explorer) finish() {
	e.awaitConvergence(recoverTimeout)
	e.version++
	e.publishWithRetry(e.version, ackTimeout)
	for _, addr := range e.liveHosts() {
		e.verifyRead(addr, nil)
	}
	if !e.withoutOrders {
		e.evacuateWithRetry(true, ackTimeout)
		for _, addr := range e.liveHosts() {
			e.verifyOrder(addr)
		}
	}
	e.run(1500)
	e.checkLogs()
}

// applyAll performs the steps of the history until one is not possible, and reports
// whether all were.
func (e *explorer) applyAll() bool {
	for _, s := range e.steps {
		if !e.apply(s) {
			return false
		}
	}
	return true
}

// play plays a history. It returns false if a step was not possible. Unless finish
// is false, the hosts must then recover.
func play(t *testing.T, h history, finish bool) (*explorer, bool) {
	e := begin(t, h)
	if !e.applyAll() {
		return e, false
	}
	if finish {
		e.finish()
	}
	return e, true
}

// fingerprint identifies the state of the hosts without clocks and timers: roles,
// logs, memberships and what may still be lost.
func (e *explorer) fingerprint() uint64 {
	h := fnv.New64a()
	var maxTerm, maxLast uint64
	for _, addr := range e.liveHosts() {
		n := e.hosts[addr].core.Node()
		maxTerm, maxLast = max(maxTerm, n.Term()), max(maxLast, n.Last())
	}
	for _, addr := range e.liveHosts() {
		n := e.hosts[addr].core.Node()
		fmt.Fprint(h, addr, n.Role(), n.Leader(), maxTerm-n.Term(), maxLast-n.Last(), n.Last()-n.Commit(),
			n.Conf().Voters, n.Conf().Learners, e.acked-e.hosts[addr].core.Version(), ";")
	}
	fmt.Fprint(h, e.disksLost, e.spare, e.calm(), e.added)
	return h.Sum64()
}

// exploration is the result of playing many histories.
type exploration struct {
	mu       sync.Mutex
	seen     map[uint64]bool
	frontier []history
	played   int
	failed   []history
}

// forEach calls play for the numbers from 0 to n-1 on half of the cores.
func (x *exploration) forEach(n int, play func(i int)) {
	work := make(chan int)
	var workers sync.WaitGroup
	for range max(runtime.NumCPU()/2, 1) {
		workers.Go(func() {
			for i := range work {
				play(i)
			}
		})
	}
	for i := range n {
		work <- i
	}
	close(work)
	workers.Wait()
}

// playOne plays a history, and adds it to the frontier if it reaches a new state.
func (x *exploration) playOne(t *testing.T, h history) {
	e, possible := play(t, h, false)
	if !possible {
		return
	}
	state := e.fingerprint()
	x.mu.Lock()
	x.played++
	known := x.seen[state]
	x.seen[state] = true
	x.mu.Unlock()
	if !known {
		e.finish()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case len(e.violations) > 0:
		x.failed = append(x.failed, h)
	case !known:
		x.frontier = append(x.frontier, h)
	}
}

// shrink removes steps from a failing history while it still fails.
func shrink(t *testing.T, h history) history {
	for i := 0; i < len(h.steps); {
		shorter := h
		shorter.steps = slices.Delete(slices.Clone(h.steps), i, i+1)
		if e, possible := play(t, shorter, true); possible && len(e.violations) > 0 {
			h = shorter
			continue
		}
		i++
	}
	return h
}

func (x *exploration) report(t *testing.T) {
	for _, h := range x.failed[:min(len(x.failed), 3)] {
		short := shrink(t, h)
		e, _ := play(t, short, true)
		t.Errorf("play again with -explore.history %q (found as %q):\n%s", short, h, strings.Join(e.violations, "\n"))
	}
	if len(x.failed) > 0 {
		t.Errorf("%d of %d histories failed", len(x.failed), x.played)
	}
}

// TestExploreFaultOrders plays all orders of a few faults, replacements and
// publications, with evacuations beside these, up to a length, and random longer ones.
// After each, an acknowledged version and order must be read back, the logs must agree, and the hosts must elect a leader.
func TestExploreFaultOrders(t *testing.T) {
	if *exploreHistory != "" {
		e := begin(t, parseHistory(qt.New(t), *exploreHistory))
		if *exploreLog {
			e.logf = t.Logf
		}
		qt.Check(t, e.applyAll(), qt.IsTrue, qt.Commentf("a step of the history is not possible"))
		e.finish()
		qt.Check(t, e.violations, qt.HasLen, 0)
		return
	}
	for _, group := range groups {
		group.seed = 1
		x := &exploration{seen: map[uint64]bool{}, frontier: []history{group}}
		start := time.Now()
		for depth := 1; depth <= *exploreDepth; depth++ {
			var next []history
			for _, h := range x.frontier {
				for _, s := range allSteps() {
					next = append(next, history{h.hosts, h.losses, h.seed, 0, append(slices.Clone(h.steps), s)})
				}
			}
			x.frontier = nil
			x.forEach(len(next), func(i int) { x.playOne(t, next[i]) })
			t.Logf("%d hosts, %d losses, length %d: %d histories played, %d states, %d failed, %d s",
				group.hosts, group.losses, depth, x.played, len(x.seen), len(x.failed), int(time.Since(start).Seconds()))
		}
		x.report(t)
	}
}

// TestExploreRandomHistories plays long random histories.
func TestExploreRandomHistories(t *testing.T) {
	for _, group := range append(slices.Clone(groups), history{hosts: 8, losses: 2}) {
		t.Run(fmt.Sprintf("%dHosts%dLosses", group.hosts, group.losses), func(t *testing.T) {
			x := &exploration{seen: map[uint64]bool{}}
			x.forEach(*exploreSeeds, func(seed int) {
				x.playRandom(t, history{hosts: group.hosts, losses: group.losses, seed: uint64(seed)}, allSteps())
			})
			t.Logf("%d random histories of %d steps, %d failed", x.played, *exploreLength, len(x.failed))
			x.report(t)
		})
	}
}

// TestExploreRandomHistoriesOfWitnesses plays such histories with what happens to
// witnesses, and cuts into halves, among their steps.
func TestExploreRandomHistoriesOfWitnesses(t *testing.T) {
	for _, group := range groups {
		t.Run(fmt.Sprintf("%dHosts%dLosses", group.hosts, group.losses), func(t *testing.T) {
			x := &exploration{seen: map[uint64]bool{}}
			steps := append(allSteps(), slices.Repeat(witnessSteps(), 2)...)
			x.forEach(*exploreSeeds, func(seed int) {
				x.playRandom(t, history{hosts: group.hosts, losses: group.losses, seed: uint64(seed)}, steps)
			})
			t.Logf("%d random histories of %d steps, %d failed", x.played, *exploreLength, len(x.failed))
			x.report(t)
		})
	}
}

// playRandom draws steps and plays those that are possible, and a pause instead of the
// others.
func (x *exploration) playRandom(t *testing.T, h history, steps []step) {
	r := rand.New(rand.NewPCG(h.seed, 3))
	e := begin(t, h)
	for played := 0; played < *exploreLength; {
		s := steps[r.IntN(len(steps))]
		if e.apply(s) {
			played++
		} else {
			s = step{action: "pause"}
			e.apply(s)
		}
		h.steps = append(h.steps, s)
	}
	e.finish()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.played++
	if len(e.violations) > 0 {
		x.failed = append(x.failed, h)
	}
}

// checkHistory plays a history that the exploration has found before it had evacuations and
// witnesses.
func checkHistory(t *testing.T, text string) {
	checkPlay(t, beginWithoutWitnesses(t, parseHistory(qt.New(t), text)))
}

// checkPlay plays the history of an explorer without evacuations.
func checkPlay(t *testing.T, e *explorer) {
	e.withoutOrders = true
	e.start()
	qt.Check(t, e.applyAll(), qt.IsTrue)
	e.finish()
	qt.Check(t, e.violations, qt.HasLen, 0)
}

// TestLostDiskIsReportedUntilItsRemovalIsCommitted restarts all hosts while the removal
// of a lost disk is pending.
func TestLostDiskIsReportedUntilItsRemovalIsCommitted(t *testing.T) {
	checkHistory(t, "3/1/4505 lose:leader+ add+ kill:leader pause pause pause pause wipe:follower powerAll")
}

// TestFollowersKnowACommittedRemovalAtOnce loses a leader for good right after it has
// committed the removal of another voter.
func TestFollowersKnowACommittedRemovalAtOnce(t *testing.T) {
	checkHistory(t, "3/1/49 pause lose:follower+ pause pause freeze:follower pause add pause pause pause cut:follower+ retire:leader pause powerAll pause lose:leader+")
}

// TestRemovalThatNobodyKnowsLeavesAQuorum loses all power before the others learn that a
// voter was removed, and one more host with the leader that removed it.
func TestRemovalThatNobodyKnowsLeavesAQuorum(t *testing.T) {
	e := beginWithoutWitnesses(t, parseHistory(qt.New(t), "3/1/3601 pause lose:follower+ pause pause freeze:follower pause add pause pause pause cut:follower+ retire:leader pause powerAll pause lose:leader+"))
	e.addWitnesses()
	checkPlay(t, e)
}
