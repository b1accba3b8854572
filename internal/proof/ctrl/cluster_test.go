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
	tickInterval = 50 * clock.Millis(1)
	// snapshotEvery is the count of log entries after which a host takes a
	// snapshot.
	snapshotEvery = 40
)

// fakeDisk holds the synced state of a host and outlives the host.
type fakeDisk struct {
	id     string
	stored raft.Stored
}

// save stores out. It returns the index and the term of the last entry stored or of the
// snapshot installed, or zeros if out has neither.
func (d *fakeDisk) save(out *core.Output) {
	if out.State != nil {
		d.stored.State = *out.State
	}
	if out.Install != nil {
		d.stored.Snapshot, d.stored.Entries = *out.Install, nil
	}
	for _, e := range out.Entries {
		pos := e.Index - d.stored.Snapshot.Index - 1
		d.stored.Entries = append(d.stored.Entries[:pos:pos], e)
	}
	if out.Snapshot != nil {
		d.stored.Snapshot, d.stored.Entries = *out.Snapshot, slices.Clone(out.Retained)
	}
}

// host is one control host.
type host struct {
	name   string
	disk   *fakeDisk
	core   *core.Core
	alive  bool
	frozen bool
	// deferred holds the events that arrived while the host was frozen.
	deferred []func()
	// incarnation counts the starts of the host, so that events of an earlier one
	// can be dropped.
	incarnation int
}

// cluster simulates control hosts, operators and the bundle replicas of two data
// centres. All events run in one goroutine on a simulated clock.
type cluster struct {
	now        clock.Millis
	rand       *rand.Rand
	queue      timers.Queue[func()]
	hosts      map[string]*host
	members    []core.ControlHost
	keys       sign.Keyring
	privateKey ed25519.PrivateKey
	// cutLinks holds the directions, as sender and receiver, that are cut.
	cutLinks      map[[2]string]bool
	lossRate      float64
	duplicateRate float64
	timing        raft.Timing
	// replyHandlers holds the handler of each command still without a reply.
	replyHandlers map[core.ReplyHandle]func(*msgs.CommandReply)
	// lastID is the last reply handle or command number used.
	lastID core.ReplyHandle
	// violations lists the invariants that did not hold.
	violations []string
	diskCount  int
	bytesSent  int
	// leaders maps a term to the raft ID of its leader.
	leaders map[uint64]string
	// approvedDigests maps a version to its approved digest.
	approvedDigests map[spec.Version]spec.Digest
	// replicas maps a data centre to its bundle replica.
	replicas map[string]*chain.Replica
	// approvedAt is when the latest approval was acknowledged.
	approvedAt clock.Millis
	// highestSeq maps a data centre to the highest release that was in force.
	highestSeq map[string]uint64
}

// newCluster starts n control hosts and a bundle replica in each of two data centres.
func newCluster(seed uint64, n int) *cluster {
	key := sha256.Sum256([]byte("test operator"))
	cl := &cluster{
		now: 1, rand: rand.New(rand.NewPCG(seed, 5)), hosts: map[string]*host{}, cutLinks: map[[2]string]bool{},
		timing: raft.DefaultTiming, replyHandlers: map[core.ReplyHandle]func(*msgs.CommandReply){}, privateKey: ed25519.NewKeyFromSeed(key[:]),
		leaders: map[uint64]string{}, approvedDigests: map[spec.Version]spec.Digest{}, replicas: map[string]*chain.Replica{}, highestSeq: map[string]uint64{},
	}
	public, _ := cl.privateKey.Public().(ed25519.PublicKey)
	cl.keys = sign.Keyring{"matti": public, "sanna": public}
	for i := range n {
		name := fmt.Sprintf("c%d", i+1)
		cl.members = append(cl.members, core.ControlHost{Name: name, Address: name, Initial: true})
	}
	for i := range n {
		cl.hosts[cl.members[i].Name] = &host{name: cl.members[i].Name}
		cl.newDisk(cl.members[i].Name)
		cl.startHost(cl.members[i].Name)
	}
	for _, dataCentre := range []string{"oulu1", "tunis1"} {
		cl.replicas[dataCentre] = chain.New(dataCentre, cl.keys)
		cl.queue.Add(0, func() { cl.pollControl(dataCentre) })
	}
	return cl
}

// recordViolation records that an invariant does not hold.
func (cl *cluster) recordViolation(format string, args ...any) {
	cl.violations = append(cl.violations, fmt.Sprintf("%d ms: ", cl.now)+fmt.Sprintf(format, args...))
}

// newDisk gives a host an empty disk with a new identity.
func (cl *cluster) newDisk(name string) {
	cl.diskCount++
	cl.hosts[name].disk = &fakeDisk{id: fmt.Sprintf("d%d", cl.diskCount)}
}

// startHost starts or restarts a host from its disk.
func (cl *cluster) startHost(name string) {
	h := cl.hosts[name]
	h.incarnation++
	h.alive, h.frozen, h.deferred = true, false, nil
	opts := core.Options{
		Name: name, Disk: h.disk.id, ControlHosts: cl.members, Keys: cl.keys, Timing: cl.timing, SnapshotEvery: snapshotEvery,
	}
	stored := h.disk.stored
	stored.Entries = slices.Clone(stored.Entries)
	c, err := core.New(opts, stored, cl.now, cl.rand)
	if err != nil {
		cl.recordViolation("%s failed to start: %v", name, err)
		return
	}
	h.core = c
	cl.tick(h, h.incarnation)
}

// tick runs the timers of h at each tickInterval until h stops or restarts.
func (cl *cluster) tick(h *host, incarnation int) {
	if !h.alive || h.incarnation != incarnation {
		return
	}
	cl.queue.Add(cl.now+tickInterval, func() { cl.tick(h, incarnation) })
	if !h.frozen {
		cl.dispatch(h, func() { h.core.Tick(cl.now) })
	}
}

// dispatch runs event on h, then applies its output and verifies the host. A
// stopped host drops the event, a frozen one defers it.
func (cl *cluster) dispatch(h *host, event func()) {
	switch {
	case !h.alive:
	case h.frozen:
		h.deferred = append(h.deferred, event)
	default:
		event()
		cl.persistThenSend(h)
		cl.verifyHost(h)
	}
}

// persistThenSend syncs the output of h to its disk after 1 ms and sends its
// messages only then.
func (cl *cluster) persistThenSend(h *host) {
	out := h.core.Take()
	if out.Empty() {
		return
	}
	incarnation := h.incarnation
	cl.queue.Add(cl.now+1, func() {
		if h.incarnation != incarnation || !h.alive {
			return
		}
		h.disk.save(&out)
		for _, s := range out.Sends {
			cl.sendMessage(h.name, s.Address, s.Body)
		}
		for _, r := range out.Replies {
			cl.deliverReply(r)
		}
		if synced := out.Synced(); !synced.Empty() {
			cl.dispatch(h, func() { h.core.Persisted(cl.now, synced) })
		}
	})
}

// sendMessage delivers body after 1 to 3 ms, unless it is lost, and may
// duplicate it.
func (cl *cluster) sendMessage(from, to string, body []byte) {
	cl.bytesSent += len(body)
	n := 1
	if cl.rand.Float64() < cl.duplicateRate {
		n++
	}
	for range n {
		if cl.cutLinks[[2]string{from, to}] || cl.rand.Float64() < cl.lossRate {
			continue
		}
		cl.queue.Add(cl.now+1+clock.Millis(cl.rand.IntN(3)), func() {
			// Hosts that left the cluster are no longer in the map.
			if h := cl.hosts[to]; h != nil {
				cl.dispatch(h, func() { h.core.HandleMessage(cl.now, 0, body) })
			}
		})
	}
}

// deliverReply hands the reply to a command to its handler.
func (cl *cluster) deliverReply(r core.Reply) {
	handler := cl.replyHandlers[r.To]
	delete(cl.replyHandlers, r.To)
	if handler == nil || codec.KindOf(r.Body) != codec.CommandReply {
		return
	}
	m, err := codec.Decode[msgs.CommandReply](r.Body)
	if err == nil {
		handler(m)
	}
}

// run advances the simulated clock by span and runs the events that become due.
func (cl *cluster) run(span clock.Millis) {
	end := cl.now + span
	for cl.now < end {
		if event, ok := cl.queue.PopDue(cl.now); ok {
			event()
			continue
		}
		cl.now++
	}
}

// verifyHost checks that no other host led the term of h, and that h has no
// approval that contradicts an acknowledged one.
func (cl *cluster) verifyHost(h *host) {
	n := h.core.Node()
	if n.Role() == raft.Leader {
		if other := cl.leaders[n.Term()]; other != "" && other != string(n.ID()) {
			cl.recordViolation("%s and %s lead term %d", other, n.ID(), n.Term())
		}
		cl.leaders[n.Term()] = string(n.ID())
	}
	for v, digest := range cl.approvedDigests {
		if a := h.core.Machine().Approved(v); a != nil && a.Digest != digest {
			cl.recordViolation("version %d has an approval with another digest than the acknowledged one", v)
		}
	}
}

// leader returns the running host that leads with a lease, or nil.
func (cl *cluster) leader() *host {
	for _, name := range slices.Sorted(maps.Keys(cl.hosts)) {
		if h := cl.hosts[name]; h.alive && !h.frozen && h.core.Node().Leads(cl.now) {
			return h
		}
	}
	return nil
}

// isolate cuts the links from a host to the other hosts. With bothWays, it also
// cuts those to the host, from operators too.
func (cl *cluster) isolate(name string, bothWays bool) {
	for other := range cl.hosts {
		cl.cutLinks[[2]string{name, other}] = true
		if bothWays {
			cl.cutLinks[[2]string{other, name}] = true
		}
	}
	cl.cutLinks[[2]string{"operator", name}] = bothWays
}

// heal restores all cut links.
func (cl *cluster) heal() { clear(cl.cutLinks) }

// unfreeze resumes a frozen host and runs its deferred events.
func (cl *cluster) unfreeze(name string) {
	h := cl.hosts[name]
	h.frozen = false
	deferred := h.deferred
	h.deferred = nil
	for _, event := range deferred {
		cl.dispatch(h, event)
	}
}

// bundleText returns the text of a bundle. Different salts give different texts
// of one version.
func bundleText(version spec.Version, salt int) string {
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

// command returns a signed command with a new ID.
func (cl *cluster) command(operator string, kind state.Kind, version spec.Version, text string) *state.Command {
	cl.lastID++
	cmd := &state.Command{
		ID: fmt.Sprintf("%s-%s-%d-%d", operator, kind, version, cl.lastID), Kind: kind, Operator: operator,
		Version: version, Digest: spec.DigestOf(text),
	}
	if kind == state.Publish {
		cmd.Text = text
	}
	cmd.Signature = ed25519.Sign(cl.privateKey, cmd.SignedBytes())
	return cmd
}

const resendInterval = 700 * clock.Millis(1)

// submit resends a command to random hosts until it has a final result, which
// it passes to done. It follows the leader named in a reply.
func (cl *cluster) submit(cmd *state.Command, done func(state.Result)) {
	finished := false
	var sendTo func(name string)
	onReply := func(m *msgs.CommandReply) {
		switch {
		case finished:
		case m.Result.Code == state.Unavailable && cl.hosts[m.Leader] != nil:
			sendTo(m.Leader)
		case m.Result.Code != state.Unavailable:
			finished = true
			done(m.Result)
		}
	}
	sendTo = func(name string) {
		if h := cl.hosts[name]; !cl.cutLinks[[2]string{"operator", name}] && cl.rand.Float64() >= cl.lossRate {
			cl.lastID++
			handle := cl.lastID
			cl.replyHandlers[handle] = onReply
			body := codec.Encode(codec.Command, cmd)
			cl.dispatch(h, func() { h.core.HandleMessage(cl.now, handle, body) })
		}
	}
	var resend func()
	resend = func() {
		if !finished {
			names := slices.Sorted(maps.Keys(cl.hosts))
			sendTo(names[cl.rand.IntN(len(names))])
			cl.queue.Add(cl.now+resendInterval, resend)
		}
	}
	resend()
}

// rollOut publishes, approves and rolls out a version, and records the approval.
// It passes to done whether the approval succeeded.
func (cl *cluster) rollOut(operator string, version spec.Version, salt int, done func(approved bool)) {
	text := bundleText(version, salt)
	cl.submit(cl.command(operator, state.Publish, version, text), func(state.Result) {
		cl.submit(cl.command(operator, state.Approve, version, text), func(r state.Result) {
			if r.Code != state.Done {
				done(false)
				return
			}
			cl.recordApproval(version, spec.DigestOf(text))
			cl.submit(cl.command(operator, state.Roll, version, text), func(state.Result) { done(true) })
		})
	})
}

// recordApproval records an acknowledged approval. Each version may have one.
func (cl *cluster) recordApproval(version spec.Version, digest spec.Digest) {
	if approved, ok := cl.approvedDigests[version]; ok && approved != digest {
		cl.recordViolation("version %d was approved with two digests", version)
	}
	cl.approvedDigests[version] = digest
	cl.approvedAt = cl.now
}

// pollControl makes the replica of a data centre poll a random control host every
// 500 ms.
func (cl *cluster) pollControl(dataCentre string) {
	cl.queue.Add(cl.now+500, func() { cl.pollControl(dataCentre) })
	names := slices.Sorted(maps.Keys(cl.hosts))
	name := names[cl.rand.IntN(len(names))]
	h := cl.hosts[name]
	if !h.alive || h.frozen || cl.cutLinks[[2]string{dataCentre, name}] {
		return
	}
	replica := cl.replicas[dataCentre]
	var inForce spec.Version
	if b := replica.Bundle(); b != nil {
		inForce = b.Version()
	}
	m := msgs.Poll{Position: replica.Position(), Report: msgs.Report{Centre: dataCentre, InForce: inForce, Hosts: 8, Healthy: true}}
	cl.dispatch(h, func() { h.core.HandleMessage(cl.now, 0, codec.Encode(codec.Poll, m)) })
	if !h.core.Node().Current(cl.now) {
		return
	}
	if u := chain.MakeUpdate(replica.Position(), h.core.Machine().Releases(dataCentre), h.core.Machine()); u != nil {
		if err := replica.Accept(u); err != nil {
			cl.recordViolation("%s rejected an update from %s: %v", dataCentre, name, err)
		}
	}
	cl.verifySeq(dataCentre)
}

// verifySeq checks that an older release never replaces the one in force.
func (cl *cluster) verifySeq(dataCentre string) {
	p := cl.replicas[dataCentre].Position()
	if p.Seq < cl.highestSeq[dataCentre] {
		cl.recordViolation("%s went back from release %d to release %d", dataCentre, cl.highestSeq[dataCentre], p.Seq)
	}
	cl.highestSeq[dataCentre] = p.Seq
}

// healAndVerify ends all faults, restarts stopped hosts, and checks that approved
// versions are kept, and that all hosts vote and have the same commit index.
func (cl *cluster) healAndVerify() {
	cl.heal()
	cl.lossRate, cl.duplicateRate = 0, 0
	for _, name := range slices.Sorted(maps.Keys(cl.hosts)) {
		h := cl.hosts[name]
		if h.frozen {
			cl.unfreeze(name)
		}
		if !h.alive {
			cl.startHost(name)
		}
	}
	cl.run(20 * clock.Second)
	leader := cl.leader()
	if leader == nil {
		cl.recordViolation("no leader 20 s after all faults ended")
		return
	}
	var newest spec.Version
	for v := range cl.approvedDigests {
		newest = max(newest, v)
	}
	for v, digest := range cl.approvedDigests {
		// State machines are only sure to keep the 64 newest approved versions. The
		// check covers the newest 60.
		a := leader.core.Machine().Approved(v)
		if a == nil && v+60 > newest || a != nil && a.Digest != digest {
			cl.recordViolation("approved version %d was lost", v)
		}
	}
	if got := leader.core.Machine().Highest(); got < newest {
		cl.recordViolation("highest version is %d, but %d was approved", got, newest)
	}
	for name, h := range cl.hosts {
		if h.core.Node().Commit() != leader.core.Node().Commit() {
			cl.recordViolation("%s has commit index %d, the leader %d", name, h.core.Node().Commit(), leader.core.Node().Commit())
		}
		if !slices.Contains(leader.core.Node().Conf().Voters, h.core.Node().ID()) {
			cl.recordViolation("%s is not a voter 20 s after all faults ended", name)
		}
	}
}

// addHost restarts all hosts with the new one in their settings, starts it and
// adds it to the members.
func (cl *cluster) addHost(name string) {
	cl.members = append(cl.members, core.ControlHost{Name: name, Address: name})
	for _, h := range cl.hosts {
		h.alive = false
	}
	for _, other := range slices.Sorted(maps.Keys(cl.hosts)) {
		cl.startHost(other)
	}
	cl.run(4 * clock.Second)
	cl.hosts[name] = &host{name: name}
	cl.newDisk(name)
	cl.startHost(name)
	cl.changeMembership(name, false)
}

// changeMembership sends an operator's request to add or remove a host every
// 500 ms until it is done, for at most 20 s.
func (cl *cluster) changeMembership(name string, remove bool) {
	m := msgs.MemberChange{ID: fmt.Sprintf("member-%s-%t", name, remove), Operator: "matti", Name: name, Remove: remove}
	m.Signature = ed25519.Sign(cl.privateKey, m.SignedBytes())
	done := false
	for end := cl.now + 20*clock.Second; !done && cl.now < end; cl.run(500) {
		if leader := cl.leader(); leader != nil {
			cl.lastID++
			cl.replyHandlers[cl.lastID] = func(r *msgs.CommandReply) { done = r.Result.Code == state.Done }
			handle := cl.lastID
			cl.dispatch(leader, func() { leader.core.HandleMessage(cl.now, handle, codec.Encode(codec.MemberChange, m)) })
		}
	}
	if !done {
		cl.recordViolation("membership change of %s was not done within 20 s", name)
	}
}
