package direct_test

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

// heartbeat and election are the pace of the log in the daemon.
const (
	heartbeat = 150
	election  = 600
	syncTime  = 2
)

// disk keeps what was synced.
type disk struct {
	identity string
	state    raft.HardState
	snapshot raft.Snapshot
	entries  []raft.Entry
	servers  []byte
}

func (d *disk) save(out *core.Out) (index, term uint64) {
	if out.State != nil {
		d.state = *out.State
	}
	if out.Install != nil {
		d.snapshot, d.entries = *out.Install, nil
		index, term = out.Install.Index, out.Install.Term
	}
	for _, e := range out.Entries {
		d.entries = append(d.entries[:e.Index-d.snapshot.Index-1], e)
		index, term = e.Index, e.Term
	}
	if out.Snapshot != nil {
		d.snapshot, d.entries = *out.Snapshot, slices.Clone(out.After)
	}
	if out.Servers != nil {
		d.servers = out.Servers
	}
	return index, term
}

type host struct {
	address string
	core    *core.Core
	disk    *disk
	alive   bool
	frozen  bool
	inbox   []func()
	life    int
	found   bool
	// syncedAt is when the disk has done what it was given, which it does in order.
	syncedAt clock.Millis
}

// world is a set of control hosts, the calls made to them and what was promised.
type world struct {
	c     *qt.C
	now   clock.Millis
	queue timers.Queue[func()]
	rand  *rand.Rand
	hosts map[string]*host
	seeds []string
	cut   map[[2]string]bool
	lost  float64
	bytes int

	ticket  core.Ticket
	answers map[core.Ticket]func(core.Answer)
	// acked is the highest version acknowledged.
	acked  uint64
	faults []string
	run64  uint64
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i) }

// newWorld starts n hosts, the first three of which are seeds.
func newWorld(t *testing.T, seed uint64, n int) *world {
	w := &world{
		c: qt.New(t), now: 1, rand: rand.New(rand.NewPCG(seed, 1)), hosts: map[string]*host{},
		cut: map[[2]string]bool{}, answers: map[core.Ticket]func(core.Answer){},
	}
	for i := 1; i <= min(n, 3); i++ {
		w.seeds = append(w.seeds, address(i))
	}
	for i := 1; i <= n; i++ {
		w.add(address(i), true)
	}
	return w
}

// add starts a host with an empty disk.
func (w *world) add(a string, found bool) {
	h := &host{address: a, disk: &disk{}, found: found}
	w.hosts[a] = h
	w.start(h)
}

func (w *world) start(h *host) {
	founder := h.found && slices.Contains(w.seeds, h.address)
	if h.disk.identity == "" {
		h.disk.identity = fmt.Sprintf("%016x", w.rand.Uint64())
		if founder {
			h.disk.identity = "founder"
		}
	}
	w.run64++
	o := core.Options{
		ID: raft.ID(h.address + "/" + h.disk.identity), Seeds: w.seeds, Run: w.run64,
		Timing: raft.Timing{Heartbeat: heartbeat, Election: election},
		Fleet:  fleet.Options{SilentAfter: 3600, ForgetAfter: 90_000, ReuseAfter: 2000},
	}
	if founder {
		for _, s := range w.seeds {
			o.Founders = append(o.Founders, raft.ID(s+"/founder"))
		}
	}
	h.life++
	h.alive, h.frozen, h.inbox = true, false, nil
	stored := raft.Stored{State: h.disk.state, Snapshot: h.disk.snapshot, Entries: slices.Clone(h.disk.entries)}
	h.core = core.New(o, stored, w.now, rand.New(rand.NewPCG(w.rand.Uint64(), 2)))
	if h.disk.servers != nil {
		w.c.Assert(h.core.Recall(w.now, h.disk.servers), qt.IsNil)
	}
	w.perform(h)
	w.tick(h, h.life)
}

func (w *world) tick(h *host, life int) {
	if h.life != life {
		return
	}
	w.step(h, func() { h.core.Tick(w.now) })
	w.queue.Add(w.now+50, func() { w.tick(h, life) })
}

func (w *world) step(h *host, event func()) {
	switch {
	case !h.alive:
	case h.frozen:
		h.inbox = append(h.inbox, event)
	default:
		event()
		w.perform(h)
	}
}

func (w *world) perform(h *host) {
	out := h.core.Take()
	for _, s := range out.Prompt {
		w.carry(h.address, s)
	}
	for _, a := range out.Answers {
		if f := w.answers[a.Ticket]; f != nil {
			delete(w.answers, a.Ticket)
			f(a)
		}
	}
	if !out.Stores() {
		return
	}
	life := h.life
	h.syncedAt = max(w.now+syncTime, h.syncedAt+1)
	w.queue.Add(h.syncedAt, func() {
		if h.life != life || !h.alive {
			return
		}
		index, term := h.disk.save(&out)
		for _, s := range out.Sends {
			w.carry(h.address, s)
		}
		if index > 0 {
			w.step(h, func() { h.core.Persisted(w.now, index, term) })
		}
	})
}

func (w *world) carry(from string, s core.Send) {
	w.bytes += len(s.Body)
	if w.cut[[2]string{from, s.Address}] || w.rand.Float64() < w.lost {
		return
	}
	w.queue.Add(w.now+1+clock.Millis(w.rand.IntN(2)), func() {
		h := w.hosts[s.Address]
		if h == nil {
			return
		}
		e, err := msgs.Decode(s.Body)
		w.c.Assert(err, qt.IsNil)
		w.step(h, func() { h.core.Message(w.now, 0, e) })
	})
}

// run plays a span of time.
func (w *world) run(span clock.Millis) {
	for end := w.now + span; w.now < end; {
		if event, ok := w.queue.Due(w.now); ok {
			event()
			continue
		}
		w.now++
	}
}

// power takes the power of a host away, and with it what was not synced.
func (w *world) power(a string) {
	h := w.hosts[a]
	h.alive = false
	h.life++
}

// wipe also takes the disk.
func (w *world) wipe(a string) {
	w.power(a)
	w.hosts[a].disk = &disk{}
	w.hosts[a].found = false
}

func (w *world) back(a string) { w.start(w.hosts[a]) }

func (w *world) freeze(a string) { w.hosts[a].frozen = true }

// thaw lets a frozen host take all that it missed at once.
func (w *world) thaw(a string) {
	h := w.hosts[a]
	h.frozen = false
	inbox := h.inbox
	h.inbox = nil
	for _, event := range inbox {
		w.step(h, event)
	}
}

// isolate cuts or joins a host and all others, both ways.
func (w *world) isolate(a string, cut bool) {
	for other := range w.hosts {
		w.cut[[2]string{a, other}], w.cut[[2]string{other, a}] = cut, cut
	}
}

// split cuts or joins two halves.
func (w *world) split(left, right []string, cut bool) {
	for _, a := range left {
		for _, b := range right {
			w.cut[[2]string{a, b}], w.cut[[2]string{b, a}] = cut, cut
		}
	}
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%d: %s", w.now, fmt.Sprintf(format, args...)))
}

func (w *world) call(a string, ask func(h *host, t core.Ticket), done func(core.Answer)) {
	w.ticket++
	w.answers[w.ticket] = done
	h, t := w.hosts[a], w.ticket
	w.step(h, func() { ask(h, t) })
}

// publish sends a version to one host.
func (w *world) publish(a string, version uint64, done func(core.Answer)) {
	p := &msgs.Publication{
		Table:  routes.Table{Version: version, Services: []string{"x"}},
		Source: []byte(fmt.Sprintf("version %d", version)),
	}
	w.call(a, func(h *host, t core.Ticket) { h.core.Publish(w.now, t, p) }, func(r core.Answer) {
		if r.Code == core.Done {
			w.acked = max(w.acked, version)
		}
		if done != nil {
			done(r)
		}
	})
}

// read reads at one host and checks that the answer is not older than what was
// acknowledged before the read.
func (w *world) read(a string, done func(core.Answer)) {
	wanted := w.acked
	w.call(a, func(h *host, t core.Ticket) { h.core.Read(w.now, t) }, func(r core.Answer) {
		var version uint64
		if r.Code == core.Done {
			_, _ = fmt.Sscanf(string(r.Data), "version %d", &version)
		}
		if r.Code == core.Done && version < wanted || r.Code == core.Missing && wanted > 0 {
			w.fault("%s answered version %d after %d was acknowledged", a, version, wanted)
		}
		if done != nil {
			done(r)
		}
	})
}

// publishAnywhere sends a version to live hosts in turn until one acknowledges
// it, as the operator does, and returns the time that it took.
func (w *world) publishAnywhere(version uint64, within clock.Millis) clock.Millis {
	start, done := w.now, false
	names := w.live()
	for i := 0; !done && w.now < start+within; i++ {
		w.publish(names[i%len(names)], version, func(r core.Answer) { done = done || r.Code == core.Done })
		for end := w.now + 1000; !done && w.now < end; {
			w.run(10)
		}
	}
	if !done {
		w.fault("version %d has no acknowledgement after %d ms", version, within)
	}
	return w.now - start
}

func (w *world) live() []string {
	var out []string
	for _, a := range slices.Sorted(maps.Keys(w.hosts)) {
		if w.hosts[a].alive && !w.hosts[a].frozen {
			out = append(out, a)
		}
	}
	return out
}

// settle waits until all hosts hold the newest version and vote.
func (w *world) settle(within clock.Millis) {
	start := w.now
	for ; w.now < start+within; w.run(50) {
		if w.whole() {
			return
		}
	}
	for _, a := range w.live() {
		h := w.hosts[a]
		w.fault("%s holds version %d of %d, current %t, voters %v", a, h.core.Version(), w.acked, h.core.Current(), h.core.Node().Conf().Voters)
	}
}

func (w *world) whole() bool {
	for _, a := range w.live() {
		h := w.hosts[a]
		if h.core.Version() < w.acked || !h.core.Current() || !slices.Contains(h.core.Node().Conf().Voters, h.core.Node().ID()) {
			return false
		}
	}
	return true
}

// server returns an announcement of a server.
func server(id string, seq uint64, state fleet.State) fleet.Record {
	return fleet.Record{
		ID: id, Number: 1, Seq: seq, Service: "x", Address: netip.MustParseAddrPort("10.1.0.1:80"),
		Centre: "a", Slots: 2, State: state,
	}
}
