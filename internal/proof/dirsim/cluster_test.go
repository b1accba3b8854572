package dirsim_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/timers"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/dir/core"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

const (
	// heartbeatInterval and electionTimeout are those of the daemon, in
	// milliseconds.
	heartbeatInterval = 150
	electionTimeout   = 600
	// syncDelay is how long a write to a disk takes, in milliseconds.
	syncDelay = 2
	// silentAfter, forgetAfter and reuseAfter are the delays of fleet.Options, in
	// milliseconds.
	silentAfter = 3600
	forgetAfter = 90_000
	reuseAfter  = 2000
	// evictAfter is the option of core.Options.
	evictAfter = 2000
	// maxDelay is the longest delay of a message. A host may lose its disk and be a
	// member again meanwhile.
	maxDelay = 1500
	// resignTimeout is how long a host that stops waits for its resignation.
	resignTimeout = 1200
)

// disk holds the data that a host has synced.
type disk struct {
	identity string
	state    raft.HardState
	snapshot raft.Snapshot
	entries  []raft.Entry
	servers  []byte
}

// save stores the output of a step. It returns the index and the term of the last
// entry stored or of the snapshot installed, or zeros if the output has neither.
func (d *disk) save(out *core.Output) {
	if out.State != nil {
		d.state = *out.State
	}
	if out.Install != nil {
		d.snapshot, d.entries = *out.Install, nil
	}
	for _, e := range out.Entries {
		d.entries = append(d.entries[:e.Index-d.snapshot.Index-1], e)
	}
	if out.Snapshot != nil {
		d.snapshot, d.entries = *out.Snapshot, slices.Clone(out.Retained)
	}
}

// host is a control host.
type host struct {
	address string
	core    *core.Core
	disk    *disk
	alive   bool
	frozen  bool
	// diskFull is set while the host's writes never end.
	diskFull bool
	// deferred holds the events that arrived while the host was frozen.
	deferred []func()
	// incarnation counts starts and losses of power. Ticks and disk writes of an
	// earlier incarnation are dropped.
	incarnation int
	// bootstrap permits a seed to create the log.
	bootstrap bool
	// syncedAt is when the last write to the disk ends. Writes end in order.
	syncedAt clock.Millis
	// slow holds what waits for a disk on which each sync takes simulation.syncTime.
	slow slowDisk
}

// simulation runs control hosts on one clock, makes calls to them and records each
// violated invariant.
type simulation struct {
	c      *qt.C
	now    clock.Millis
	events timers.Queue[func()]
	rand   *rand.Rand
	hosts  map[string]*host
	seeds  []string
	// maxLosses is the option of core.Options.
	maxLosses int
	// cutLinks holds the directed links, as sender and receiver, that drop all
	// messages.
	cutLinks map[[2]string]bool
	// silentConns holds the directed links, as sender and receiver, whose connections
	// drop all messages until the sender dials again.
	silentConns map[[2]string]bool
	// lossRate is the part of all messages that is lost.
	lossRate float64
	// slowRate is the part of all messages that take up to maxDelay.
	slowRate  float64
	bytesSent int
	// witnesses are the entry hosts that can be witnesses of the log, by address.
	witnesses   map[string]*witnessHost
	witnessRand *rand.Rand
	// syncTime, unless it is 0, is how long each sync of a disk takes, one after another.
	syncTime clock.Millis
	// logf, unless it is nil, gets the log lines of all hosts.
	logf func(format string, args ...any)

	lastCallID core.CallID
	answers    map[core.CallID]func(core.Answer)
	// acked is the highest version that a host has acknowledged.
	acked      uint64
	violations []string
	// lastRunID is the run ID of the latest start of any host.
	lastRunID uint64

	// fetches holds the entry host of each fetch, by its reply handle less 1.
	fetches []*entryHost
	order   order

	// leaders holds the leader of each term, votes the candidate that got the vote
	// of a host, by its address, in a term, and committed the term of each committed
	// entry.
	leaders   map[uint64]raft.ID
	votes     map[vote]raft.ID
	committed map[uint64]uint64
}

type vote struct {
	address string
	term    uint64
}

func hostAddress(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i) }

// newSimulation starts n hosts that must bear one loss at once. The first three are
// seeds.
func newSimulation(t *testing.T, seed uint64, n int) *simulation {
	return newSimulationWithLosses(t, seed, n, 1)
}

// newSimulationWithLosses starts n hosts that must bear maxLosses losses at once.
func newSimulationWithLosses(t *testing.T, seed uint64, n, maxLosses int) *simulation {
	sim := &simulation{
		c: qt.New(t), now: 1, rand: rand.New(rand.NewPCG(seed, 1)), hosts: map[string]*host{}, maxLosses: maxLosses,
		cutLinks: map[[2]string]bool{}, silentConns: map[[2]string]bool{}, answers: map[core.CallID]func(core.Answer){},
		leaders: map[uint64]raft.ID{}, votes: map[vote]raft.ID{}, committed: map[uint64]uint64{},
		witnesses: map[string]*witnessHost{}, witnessRand: rand.New(rand.NewPCG(seed, 8)),
	}
	for i := 1; i <= min(n, 3); i++ {
		sim.seeds = append(sim.seeds, hostAddress(i))
	}
	for i := 1; i <= n; i++ {
		sim.add(hostAddress(i), true)
	}
	return sim
}

// add starts a host with an empty disk.
func (sim *simulation) add(addr string, bootstrap bool) {
	h := &host{address: addr, disk: &disk{}, bootstrap: bootstrap}
	sim.hosts[addr] = h
	sim.start(h)
}

func (sim *simulation) start(h *host) {
	founder := h.bootstrap && slices.Contains(sim.seeds, h.address)
	if h.disk.identity == "" {
		h.disk.identity = fmt.Sprintf("%016x", sim.rand.Uint64())
		if founder {
			// Founders have a fixed identity, so that each can derive the IDs of
			// the others.
			h.disk.identity = "founder"
		}
	}
	sim.lastRunID++
	options := core.Options{
		ID: raft.ID(h.address + "/" + h.disk.identity), Seeds: sim.seeds, RunID: sim.lastRunID,
		Timing:    raft.Timing{Heartbeat: heartbeatInterval, Election: electionTimeout},
		Fleet:     fleet.Options{SilentAfter: silentAfter, ForgetAfter: forgetAfter, ReuseAfter: reuseAfter},
		MaxLosses: sim.maxLosses, EvictAfter: evictAfter, Centres: centres, RepeatWindow: repeatWindow,
	}
	if founder {
		for _, s := range sim.seeds {
			options.Founders = append(options.Founders, raft.ID(s+"/founder"))
		}
	}
	h.incarnation++
	h.alive, h.frozen, h.deferred, h.slow = true, false, nil, slowDisk{}
	stored := raft.Stored{State: h.disk.state, Snapshot: h.disk.snapshot, Entries: slices.Clone(h.disk.entries)}
	h.core = core.New(options, stored, sim.now, rand.New(rand.NewPCG(sim.rand.Uint64(), 2)))
	if h.disk.servers != nil {
		sim.c.Assert(h.core.LoadServers(sim.now, h.disk.servers), qt.IsNil)
	}
	sim.handleOutput(h)
	sim.tick(h, h.incarnation)
}

// tick runs the timers of a host every 50 ms until its incarnation ends.
func (sim *simulation) tick(h *host, incarnation int) {
	if h.incarnation != incarnation {
		return
	}
	sim.dispatch(h, func() {
		h.core.Tick(sim.now)
		sim.checkLeader(h)
	})
	sim.events.Add(sim.now+50, func() { sim.tick(h, incarnation) })
}

// dispatch passes an event to a host. A host that is powered off drops it, and a
// frozen one defers it until unfreeze.
func (sim *simulation) dispatch(h *host, event func()) {
	switch {
	case !h.alive:
	case h.frozen:
		h.deferred = append(h.deferred, event)
	default:
		event()
		sim.handleOutput(h)
	}
}

// handleOutput sends the messages that need no sync, delivers all answers and
// schedules the write to the disk. The other messages are sent after that write.
func (sim *simulation) handleOutput(h *host) {
	out := h.core.Take()
	if sim.logf != nil {
		for _, l := range out.LogLines {
			sim.logf("%d %s: %s %v", sim.now, h.address, l.Text, l.Fields)
		}
	}
	for _, address := range out.Redials {
		delete(sim.silentConns, [2]string{h.address, address})
	}
	for _, s := range out.SendNow {
		sim.send(h.address, s)
	}
	sim.deliver(out.Answers)
	for _, r := range out.Replies {
		if r.To > 0 {
			sim.events.Add(sim.now+1, func() { sim.fetches[r.To-1].receive(r.Body) })
		}
	}
	if !out.NeedsSync() && out.Lists.Empty() {
		return
	}
	if sim.syncTime > 0 {
		sim.writeSlowly(h, &out)
		return
	}
	incarnation := h.incarnation
	h.syncedAt = max(sim.now+syncDelay, h.syncedAt+1)
	sim.events.Add(h.syncedAt, func() {
		if h.incarnation != incarnation || !h.alive || h.diskFull {
			return
		}
		sim.finishLog(h, &out)
		sim.finishLists(h, &out.Lists)
	})
}

// finishLog ends the write of a batch to the log, and sends what waits for it.
func (sim *simulation) finishLog(h *host, out *core.Output) {
	h.disk.save(out)
	for _, s := range out.SendAfterSync {
		sim.send(h.address, s)
	}
	for _, s := range out.DatagramsAfterSync {
		sim.sendToWitness(h.address, s)
	}
	if synced := out.Synced(); !synced.Empty() {
		sim.dispatch(h, func() { h.core.Persisted(sim.now, synced) })
	}
}

// finishLists ends the write of lists, and sends what waits for it.
func (sim *simulation) finishLists(h *host, lists *core.Lists) {
	if lists.Servers != nil {
		h.disk.servers = lists.Servers
	}
	for _, s := range lists.SendAfterSave {
		sim.send(h.address, s)
	}
	sim.deliver(lists.AnswersAfterSave)
}

// deliver passes the answers to the callers that wait for them.
func (sim *simulation) deliver(answers []core.Answer) {
	for _, answer := range answers {
		if done := sim.answers[answer.CallID]; done != nil {
			delete(sim.answers, answer.CallID)
			done(answer)
		}
	}
}

// send delivers a message after 1 or 2 ms or, if it is a slow one, after up to maxDelay,
// unless the link is cut or the message is lost.
func (sim *simulation) send(from string, s core.OutMessage) {
	sim.bytesSent += len(s.Body)
	link := [2]string{from, s.Address}
	if sim.cutLinks[link] || sim.silentConns[link] || sim.rand.Float64() < sim.lossRate {
		return
	}
	delay := 1 + clock.Millis(sim.rand.IntN(2))
	if sim.slowRate > 0 && sim.rand.Float64() < sim.slowRate {
		delay = clock.Millis(sim.rand.IntN(maxDelay))
	}
	sim.events.Add(sim.now+delay, func() {
		h := sim.hosts[s.Address]
		if h == nil {
			return
		}
		e, err := msgs.Decode(s.Body)
		sim.c.Assert(err, qt.IsNil)
		sim.checkVote(from, e.Raft)
		sim.dispatch(h, func() { h.core.HandleMessage(sim.now, 0, e) })
	})
}

// checkLeader records a violation if a term has two leaders.
func (sim *simulation) checkLeader(h *host) {
	n := h.core.Node()
	if n.Role() != raft.Leader || h.core.Failed() {
		return
	}
	if other, known := sim.leaders[n.Term()]; known && other != n.ID() {
		sim.recordViolation("term %d has the leaders %s and %s", n.Term(), other, n.ID())
	}
	sim.leaders[n.Term()] = n.ID()
}

// checkVote records a violation if a host, with or without its disk, has voted for
// two candidates in one term as a member that counts.
func (sim *simulation) checkVote(from string, m *raft.Message) {
	if m == nil || m.Kind != raft.KindVoteReply || !m.Granted {
		return
	}
	for _, h := range sim.hosts {
		if h.alive && h.core.Node().ID() == m.To && !slices.Contains(h.core.Node().Conf().Voters, m.From) {
			return
		}
	}
	key := vote{from, m.Term}
	if other, known := sim.votes[key]; known && other != m.To {
		sim.recordViolation("%s voted for %s and %s in term %d", from, other, m.To, m.Term)
	}
	sim.votes[key] = m.To
}

// checkLogs records a violation if two hosts have committed different entries.
func (sim *simulation) checkLogs() {
	for _, addr := range sim.liveHosts() {
		n := sim.hosts[addr].core.Node()
		for _, e := range n.Entries() {
			if e.Index > n.Commit() {
				break
			}
			if term, known := sim.committed[e.Index]; known && term != e.Term {
				sim.recordViolation("%s committed entry %d of term %d, another host of term %d", addr, e.Index, e.Term, term)
			}
			sim.committed[e.Index] = e.Term
		}
	}
}

// run advances the clock by span and runs the events that are due.
func (sim *simulation) run(span clock.Millis) {
	for end := sim.now + span; sim.now < end; {
		if event, ok := sim.events.PopDue(sim.now); ok {
			event()
			continue
		}
		sim.now++
	}
}

// powerOff stops a host without warning. Data that is not synced is lost.
func (sim *simulation) powerOff(addr string) {
	h := sim.hosts[addr]
	h.alive = false
	h.incarnation++
}

// stop stops a host as an operator does: it may give up its vote first.
func (sim *simulation) stop(addr string) {
	h := sim.hosts[addr]
	sim.dispatch(h, func() { h.core.Resign(sim.now) })
	for end := sim.now + resignTimeout; sim.now < end && !h.core.Resigned(); {
		sim.run(10)
	}
	sim.powerOff(addr)
}

// wipe powers a host off and erases its disk.
func (sim *simulation) wipe(addr string) {
	sim.powerOff(addr)
	sim.hosts[addr].disk = &disk{}
	sim.hosts[addr].bootstrap = false
}

func (sim *simulation) powerOn(addr string) { sim.start(sim.hosts[addr]) }

func (sim *simulation) freeze(addr string) { sim.hosts[addr].frozen = true }

// unfreeze resumes a frozen host, which handles all deferred events at once.
func (sim *simulation) unfreeze(addr string) {
	h := sim.hosts[addr]
	h.frozen = false
	deferred := h.deferred
	h.deferred = nil
	for _, event := range deferred {
		sim.dispatch(h, event)
	}
}

// isolate cuts or restores all links between a host and the others.
func (sim *simulation) isolate(addr string, cut bool) {
	for other := range sim.hosts {
		sim.cutLinks[[2]string{addr, other}], sim.cutLinks[[2]string{other, addr}] = cut, cut
	}
}

// partition cuts or restores all links between two groups of hosts.
func (sim *simulation) partition(left, right []string, cut bool) {
	for _, a := range left {
		for _, b := range right {
			sim.cutLinks[[2]string{a, b}], sim.cutLinks[[2]string{b, a}] = cut, cut
		}
	}
}

func (sim *simulation) recordViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%d: %s", sim.now, fmt.Sprintf(format, args...)))
}

// call makes a call to a host and passes its answer to done.
func (sim *simulation) call(addr string, request func(h *host, id core.CallID), done func(core.Answer)) {
	sim.lastCallID++
	sim.answers[sim.lastCallID] = done
	h, id := sim.hosts[addr], sim.lastCallID
	sim.dispatch(h, func() { request(h, id) })
}

// publish publishes a version at one host and records its acknowledgement.
func (sim *simulation) publish(addr string, version uint64, done func(core.Answer)) {
	p := &msgs.Publication{
		Table:  routes.Table{Version: version, Services: []string{"x"}},
		Source: []byte(fmt.Sprintf("version %d", version)),
	}
	sim.call(addr, func(h *host, id core.CallID) { h.core.Publish(sim.now, id, p) }, func(r core.Answer) {
		if r.Code == core.Done {
			sim.acked = max(sim.acked, version)
		}
		if done != nil {
			done(r)
		}
	})
}

// verifyRead reads the routing table at one host and checks that its version is not
// older than the highest one acknowledged before the read.
func (sim *simulation) verifyRead(addr string, done func(core.Answer)) {
	acked := sim.acked
	sim.call(addr, func(h *host, id core.CallID) { h.core.Read(sim.now, id) }, func(r core.Answer) {
		var version uint64
		if r.Code == core.Done {
			_, _ = fmt.Sscanf(string(r.Data), "version %d", &version)
		}
		if r.Code == core.Done && version < acked || r.Code == core.Missing && acked > 0 {
			sim.recordViolation("read at %s returned version %d, want at least %d, which was acknowledged", addr, version, acked)
		}
		if done != nil {
			done(r)
		}
	})
}

// publishWithRetry publishes a version at the live hosts in turn until one
// acknowledges it, as an operator does, and returns the time that this took. It
// records a violation if none does so within timeout.
func (sim *simulation) publishWithRetry(version uint64, timeout clock.Millis) clock.Millis {
	start, done := sim.now, false
	hosts := sim.liveHosts()
	for i := 0; !done && sim.now < start+timeout; i++ {
		sim.publish(hosts[i%len(hosts)], version, func(r core.Answer) { done = done || r.Code == core.Done })
		for end := sim.now + 1000; !done && sim.now < end; {
			sim.run(10)
		}
	}
	if !done {
		sim.recordViolation("version %d was not acknowledged within %d ms", version, timeout)
	}
	return sim.now - start
}

// liveHosts returns the sorted addresses of the hosts that are neither powered off
// nor frozen.
func (sim *simulation) liveHosts() []string {
	var out []string
	for _, addr := range slices.Sorted(maps.Keys(sim.hosts)) {
		if sim.hosts[addr].alive && !sim.hosts[addr].frozen {
			out = append(out, addr)
		}
	}
	return out
}

// awaitConvergence runs the simulation until it has converged. If it has not within
// the timeout, the state of each live host is recorded as a violation.
func (sim *simulation) awaitConvergence(timeout clock.Millis) {
	start := sim.now
	for ; sim.now < start+timeout; sim.run(50) {
		if sim.converged() {
			return
		}
	}
	for _, addr := range sim.liveHosts() {
		h := sim.hosts[addr]
		sim.recordViolation("%s did not converge: version %d, want %d; up to date %t; voters %v", addr, h.core.Version(), sim.acked, h.core.Current(), h.core.Node().Conf().Voters)
	}
}

// converged reports whether all live hosts hold the highest acknowledged version, are
// up to date and are voters.
func (sim *simulation) converged() bool {
	for _, addr := range sim.liveHosts() {
		h := sim.hosts[addr]
		if h.core.Version() < sim.acked || !h.core.Current() || !slices.Contains(h.core.Node().Conf().Voters, h.core.Node().ID()) {
			return false
		}
	}
	return true
}

// announcement returns an announcement of server id with the given sequence number
// and state. The other fields are fixed.
func announcement(id string, seq uint64, state fleet.State) fleet.Record {
	return fleet.Record{
		ID: id, Number: 1, Seq: seq, Service: "x", Address: netip.MustParseAddrPort("10.1.0.1:80"),
		Centre: "a", Slots: 2, State: state,
	}
}
