package ctrl_test

import (
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/timers"
	"monsooncleat.example/monsooncleat/internal/bundle/chain"
	"monsooncleat.example/monsooncleat/internal/bundle/sign"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/bundle/state"
	"monsooncleat.example/monsooncleat/internal/ctrl/core"
	"monsooncleat.example/monsooncleat/internal/ctrl/msgs"
	"monsooncleat.example/monsooncleat/internal/wire/codec"
)

const (
	tickSpan   = 50 * clock.Millis(1)
	snapshotAt = 40
)

// fakeDisk keeps what was synced. It outlives its host.
type fakeDisk struct {
	id     string
	stored raft.Stored
}

func (d *fakeDisk) save(out *core.Out) (index, term uint64) {
	if out.State != nil {
		d.stored.State = *out.State
	}
	if out.Install != nil {
		d.stored.Snapshot, d.stored.Entries = *out.Install, nil
		index, term = out.Install.Index, out.Install.Term
	}
	for _, e := range out.Entries {
		at := e.Index - d.stored.Snapshot.Index - 1
		d.stored.Entries = append(d.stored.Entries[:at:at], e)
		index, term = e.Index, e.Term
	}
	if out.Snapshot != nil {
		d.stored.Snapshot, d.stored.Entries = *out.Snapshot, slices.Clone(out.After)
	}
	return index, term
}

type host struct {
	name   string
	disk   *fakeDisk
	core   *core.Core
	alive  bool
	frozen bool
	inbox  []func()
	life   int
}

// world joins control hosts, operators and the holders of two data centres.
type world struct {
	now     clock.Millis
	rand    *rand.Rand
	queue   timers.Queue[func()]
	hosts   map[string]*host
	members []core.Member
	keys    sign.Ring
	private ed25519.PrivateKey
	cut     map[[2]string]bool
	lost    float64
	doubled float64
	timing  raft.Timing
	tokens  map[core.Token]func(*msgs.CommandReply)
	token   core.Token
	faults  []string
	disks   int
	bytes   int
	// leaders maps a term to the host that led it, winners a version to its
	// approved digest, and committed an index to the term of its entry.
	leaders map[uint64]string
	winners map[spec.Version]spec.Digest
	holders map[string]*chain.Holder
	// approvedAt is when the latest approval was answered.
	approvedAt clock.Millis
	highest    map[string]uint64
}

func newWorld(seed uint64, n int) *world {
	key := sha256.Sum256([]byte("test operator"))
	w := &world{
		now: 1, rand: rand.New(rand.NewPCG(seed, 5)), hosts: map[string]*host{}, cut: map[[2]string]bool{},
		timing: raft.DefaultTiming, tokens: map[core.Token]func(*msgs.CommandReply){}, private: ed25519.NewKeyFromSeed(key[:]),
		leaders: map[uint64]string{}, winners: map[spec.Version]spec.Digest{}, holders: map[string]*chain.Holder{}, highest: map[string]uint64{},
	}
	public, _ := w.private.Public().(ed25519.PublicKey)
	w.keys = sign.Ring{"matti": public, "sanna": public}
	for i := range n {
		name := fmt.Sprintf("c%d", i+1)
		w.members = append(w.members, core.Member{Name: name, Address: name, Initial: true})
	}
	for i := range n {
		w.hosts[w.members[i].Name] = &host{name: w.members[i].Name}
		w.newDisk(w.members[i].Name)
		w.start(w.members[i].Name)
	}
	for _, centre := range []string{"oulu1", "tunis1"} {
		w.holders[centre] = chain.New(centre, w.keys)
		w.queue.Add(0, func() { w.poll(centre) })
	}
	return w
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%d ms: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) newDisk(name string) {
	w.disks++
	w.hosts[name].disk = &fakeDisk{id: fmt.Sprintf("d%d", w.disks)}
}

// start starts a host with what its disk holds.
func (w *world) start(name string) {
	h := w.hosts[name]
	h.life++
	h.alive, h.frozen, h.inbox = true, false, nil
	opts := core.Options{
		Name: name, Disk: h.disk.id, Members: w.members, Keys: w.keys, Timing: w.timing, SnapshotEvery: snapshotAt,
	}
	stored := h.disk.stored
	stored.Entries = slices.Clone(stored.Entries)
	c, err := core.New(opts, stored, w.now, w.rand)
	if err != nil {
		w.fault("%s does not start: %v", name, err)
		return
	}
	h.core = c
	w.tick(h, h.life)
}

func (w *world) tick(h *host, life int) {
	if !h.alive || h.life != life {
		return
	}
	w.queue.Add(w.now+tickSpan, func() { w.tick(h, life) })
	if !h.frozen {
		w.step(h, func() { h.core.Tick(w.now) })
	}
}

func (w *world) step(h *host, event func()) {
	switch {
	case !h.alive:
	case h.frozen:
		h.inbox = append(h.inbox, event)
	default:
		event()
		w.perform(h)
		w.check(h)
	}
}

// perform syncs what a step stored after a short time, and only then sends.
func (w *world) perform(h *host) {
	out := h.core.Take()
	if out.Empty() {
		return
	}
	life := h.life
	w.queue.Add(w.now+1, func() {
		if h.life != life || !h.alive {
			return
		}
		index, term := h.disk.save(&out)
		for _, s := range out.Sends {
			w.carry(h.name, s.Address, s.Body)
		}
		for _, r := range out.Replies {
			w.reply(r)
		}
		if index > 0 {
			w.step(h, func() { h.core.Persisted(w.now, index, term) })
		}
	})
}

func (w *world) carry(from, to string, body []byte) {
	w.bytes += len(body)
	n := 1
	if w.rand.Float64() < w.doubled {
		n++
	}
	for range n {
		if w.cut[[2]string{from, to}] || w.rand.Float64() < w.lost {
			continue
		}
		w.queue.Add(w.now+1+clock.Millis(w.rand.IntN(3)), func() {
			// A host that was removed for good receives nothing.
			if h := w.hosts[to]; h != nil {
				w.step(h, func() { h.core.Message(w.now, 0, body) })
			}
		})
	}
}

func (w *world) reply(r core.Reply) {
	f := w.tokens[r.To]
	delete(w.tokens, r.To)
	if f == nil || codec.KindOf(r.Body) != codec.CommandReply {
		return
	}
	m, err := codec.Decode[msgs.CommandReply](r.Body)
	if err == nil {
		f(m)
	}
}

func (w *world) run(span clock.Millis) {
	end := w.now + span
	for w.now < end {
		if event, ok := w.queue.Due(w.now); ok {
			event()
			continue
		}
		w.now++
	}
}

// check looks for two leaders of a term and for approvals that disagree.
func (w *world) check(h *host) {
	n := h.core.Node()
	if n.Role() == raft.Leader {
		if other := w.leaders[n.Term()]; other != "" && other != string(n.ID()) {
			w.fault("%s and %s lead term %d", other, n.ID(), n.Term())
		}
		w.leaders[n.Term()] = string(n.ID())
	}
	for v, digest := range w.winners {
		if a := h.core.Machine().Approved(v); a != nil && a.Digest != digest {
			w.fault("version %d is approved with two digests", v)
		}
	}
}

func (w *world) leader() *host {
	for _, name := range slices.Sorted(maps.Keys(w.hosts)) {
		if h := w.hosts[name]; h.alive && !h.frozen && h.core.Node().Leads(w.now) {
			return h
		}
	}
	return nil
}

func (w *world) isolate(name string, both bool) {
	for other := range w.hosts {
		w.cut[[2]string{name, other}] = true
		if both {
			w.cut[[2]string{other, name}] = true
		}
	}
	w.cut[[2]string{"operator", name}] = both
}

func (w *world) heal() { clear(w.cut) }

func (w *world) thaw(name string) {
	h := w.hosts[name]
	h.frozen = false
	inbox := h.inbox
	h.inbox = nil
	for _, event := range inbox {
		w.step(h, event)
	}
}

// bundle returns the text of a version; salt makes texts of one version differ.
func bundle(version spec.Version, salt int) string {
	return fmt.Sprintf(`version = %d
[roll]
stages = [["oulu1"], ["tunis1"]]
maxWait = "1s"
[[dataCentre]]
name = "oulu1"
[[dataCentre]]
name = "tunis1"
[[service]]
name = "punnitus"
kind = "stream"
protocol = "tcp"
addresses = ["198.51.100.20:7001"]
idle = "%dm"
`, version, salt)
}

func (w *world) command(operator string, kind state.Kind, version spec.Version, text string) *state.Command {
	w.token++
	cmd := &state.Command{
		ID: fmt.Sprintf("%s-%s-%d-%d", operator, kind, version, w.token), Kind: kind, Operator: operator,
		Version: version, Digest: spec.DigestOf(text),
	}
	if kind == state.Publish {
		cmd.Text = text
	}
	cmd.Signature = ed25519.Sign(w.private, cmd.SignedBytes())
	return cmd
}

const resendSpan = 700 * clock.Millis(1)

// perform sends a command until it gets a final answer, which it hands to done.
func (w *world) send(cmd *state.Command, done func(state.Result)) {
	finished := false
	var try func(name string)
	accept := func(m *msgs.CommandReply) {
		switch {
		case finished:
		case m.Result.Code == state.Unavailable && w.hosts[m.Leader] != nil:
			try(m.Leader)
		case m.Result.Code != state.Unavailable:
			finished = true
			done(m.Result)
		}
	}
	try = func(name string) {
		if h := w.hosts[name]; !w.cut[[2]string{"operator", name}] && w.rand.Float64() >= w.lost {
			w.token++
			token := w.token
			w.tokens[token] = accept
			body := codec.Encode(codec.Command, cmd)
			w.step(h, func() { h.core.Message(w.now, token, body) })
		}
	}
	var again func()
	again = func() {
		if !finished {
			names := slices.Sorted(maps.Keys(w.hosts))
			try(names[w.rand.IntN(len(names))])
			w.queue.Add(w.now+resendSpan, again)
		}
	}
	again()
}

// roll publishes, approves and rolls a version, and notes what was approved.
func (w *world) roll(operator string, version spec.Version, salt int, done func(won bool)) {
	text := bundle(version, salt)
	w.send(w.command(operator, state.Publish, version, text), func(state.Result) {
		w.send(w.command(operator, state.Approve, version, text), func(r state.Result) {
			if r.Code != state.Done {
				done(false)
				return
			}
			w.approved(version, spec.DigestOf(text))
			w.send(w.command(operator, state.Roll, version, text), func(state.Result) { done(true) })
		})
	})
}

func (w *world) approved(version spec.Version, digest spec.Digest) {
	if won, ok := w.winners[version]; ok && won != digest {
		w.fault("two approvals of version %d won", version)
	}
	w.winners[version] = digest
	w.approvedAt = w.now
}

// poll lets the holder of a data centre ask a random control host.
func (w *world) poll(centre string) {
	w.queue.Add(w.now+500, func() { w.poll(centre) })
	names := slices.Sorted(maps.Keys(w.hosts))
	name := names[w.rand.IntN(len(names))]
	h := w.hosts[name]
	if !h.alive || h.frozen || w.cut[[2]string{centre, name}] {
		return
	}
	holder := w.holders[centre]
	var inForce spec.Version
	if b := holder.Bundle(); b != nil {
		inForce = b.Version()
	}
	m := msgs.Poll{Position: holder.Position(), Report: msgs.Report{Centre: centre, InForce: inForce, Hosts: 8, Healthy: true}}
	w.step(h, func() { h.core.Message(w.now, 0, codec.Encode(codec.Poll, m)) })
	if !h.core.Node().Current(w.now) {
		return
	}
	if u := chain.MakeUpdate(holder.Position(), h.core.Machine().Releases(centre), h.core.Machine()); u != nil {
		if err := holder.Accept(u); err != nil {
			w.fault("%s refuses an update of %s: %v", centre, name, err)
		}
	}
	w.noBack(centre)
}

// noBack checks that the release in force is never replaced by an older one.
func (w *world) noBack(centre string) {
	p := w.holders[centre].Position()
	if p.Seq < w.highest[centre] {
		w.fault("%s went back from release %d to %d", centre, w.highest[centre], p.Seq)
	}
	w.highest[centre] = p.Seq
}

// settle heals everything and checks that nothing approved was lost and that
// all agree.
func (w *world) settle() {
	w.heal()
	w.lost, w.doubled = 0, 0
	for _, name := range slices.Sorted(maps.Keys(w.hosts)) {
		h := w.hosts[name]
		if h.frozen {
			w.thaw(name)
		}
		if !h.alive {
			w.start(name)
		}
	}
	w.run(20 * clock.Second)
	l := w.leader()
	if l == nil {
		w.fault("nobody leads at the end")
		return
	}
	var newest spec.Version
	for v := range w.winners {
		newest = max(newest, v)
	}
	for v, digest := range w.winners {
		a := l.core.Machine().Approved(v)
		if a == nil && v+60 > newest || a != nil && a.Digest != digest {
			w.fault("approved version %d is lost", v)
		}
	}
	if got := l.core.Machine().Highest(); got < newest {
		w.fault("the highest version is %d, and %d was approved", got, newest)
	}
	for name, h := range w.hosts {
		if h.core.Node().Commit() != l.core.Node().Commit() {
			w.fault("%s committed %d, the leader %d", name, h.core.Node().Commit(), l.core.Node().Commit())
		}
		if !slices.Contains(l.core.Node().Conf().Voters, h.core.Node().ID()) {
			w.fault("%s has no vote at the end", name)
		}
	}
}

// join starts a further host and asks for its membership.
func (w *world) join(name string) {
	w.members = append(w.members, core.Member{Name: name, Address: name})
	for _, h := range w.hosts {
		// The hosts' settings name the new one before it is added.
		h.alive = false
	}
	for _, other := range slices.Sorted(maps.Keys(w.hosts)) {
		w.start(other)
	}
	w.run(4 * clock.Second)
	w.hosts[name] = &host{name: name}
	w.newDisk(name)
	w.start(name)
	w.change(name, false)
}

// change sends an operator's membership change until the log has taken it.
func (w *world) change(name string, remove bool) {
	m := msgs.MemberChange{ID: fmt.Sprintf("member-%s-%t", name, remove), Operator: "matti", Name: name, Remove: remove}
	m.Signature = ed25519.Sign(w.private, m.SignedBytes())
	done := false
	for end := w.now + 20*clock.Second; !done && w.now < end; w.run(500) {
		if l := w.leader(); l != nil {
			w.token++
			w.tokens[w.token] = func(r *msgs.CommandReply) { done = r.Result.Code == state.Done }
			token := w.token
			w.step(l, func() { l.core.Message(w.now, token, codec.Encode(codec.Member, m)) })
		}
	}
	if !done {
		w.fault("membership change of %s was not taken", name)
	}
}
