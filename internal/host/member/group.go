package member

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/host/rumor"
	"monsooncleat.example/monsooncleat/internal/wire/codec"
)

// Piggyback provides the data that is sent along with probes and syncs, and
// receives that of other hosts.
type Piggyback interface {
	// Fill returns the data for a probe, or for a Sync if whole is set.
	Fill(whole bool) []byte
	// Merge applies the data that was received from a host.
	Merge(from string, payload []byte)
}

// Frame is an outgoing frame with the address of its receiver.
type Frame struct {
	To   string
	Body []byte
}

// peer is another host with the state of its latest probe.
type peer struct {
	info Info
	// changedAt is when the state, phase, boot or fabric address last changed.
	changedAt clock.Millis
	// probedAt and seq are the sending time and the number of the latest probe.
	probedAt clock.Millis
	seq      uint64
	// awaitsAck is set while that probe has not been answered, and indirectSent
	// once other hosts were asked to probe as well.
	awaitsAck    bool
	indirectSent bool
}

// indirectProbe is a probe sent on behalf of another host, the origin, with the
// number of the origin's own probe.
type indirectProbe struct {
	origin string
	seq    uint64
	sentAt clock.Millis
}

// Group is one host's view of the membership. It is not safe for concurrent
// use.
type Group struct {
	self      Info
	timing    Timing
	rand      *rand.Rand
	piggyback Piggyback
	seeds     []string

	now   clock.Millis
	peers map[string]*peer
	// probeOrder holds the names of the peers. The first one is probed next.
	probeOrder  []string
	nextProbeAt clock.Millis
	nextSyncAt  clock.Millis
	seq         uint64
	// indirect holds the probes sent on behalf of other hosts, by number.
	indirect map[uint64]indirectProbe
	rumors   rumor.Set[string, Info]
	joined   bool
	// lastAckedSentAt is when the latest answered probe was sent.
	lastAckedSentAt clock.Millis
	startedAt       clock.Millis
	// fencedAt is the latest time at which this host was found fenced, or 0.
	fencedAt clock.Millis
	// deposed is set when the others declared this host dead and may have taken
	// over its keys.
	deposed bool
	version uint64
	out     []Frame
}

// New returns the Group of the host self. It finds the others through seeds,
// the peer addresses of some of them.
func New(self Info, seeds []string, timing Timing, piggyback Piggyback, now clock.Millis, r *rand.Rand) *Group {
	self.State = Alive
	return &Group{
		self: self, timing: timing, rand: r, piggyback: piggyback, seeds: seeds, now: now, startedAt: now,
		peers: map[string]*peer{}, indirect: map[uint64]indirectProbe{}, lastAckedSentAt: now, version: 1,
	}
}

// Self returns this host's own record.
func (g *Group) Self() Info { return g.self }

// Version returns a number that changes with each change of the membership.
func (g *Group) Version() uint64 { return g.version }

// Take returns the frames to send and clears the queue.
func (g *Group) Take() []Frame {
	out := g.out
	g.out = nil
	return out
}

// TakeDeposed reports whether the others declared this host dead since the last
// call, while it was cut off from them. They may have taken over its keys.
func (g *Group) TakeDeposed() bool {
	deposed := g.deposed
	g.deposed = false
	return deposed
}

// Members returns the records of all hosts, this one included, sorted by name.
func (g *Group) Members() []Info {
	out := []Info{g.self}
	for _, p := range g.peers {
		out = append(out, p.info)
	}
	slices.SortFunc(out, func(a, b Info) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Find returns the record of the host called name.
func (g *Group) Find(name string) (Info, bool) {
	if name == g.self.Name {
		return g.self, true
	}
	p, ok := g.peers[name]
	if !ok {
		return Info{}, false
	}
	return p.info, true
}

// Digest returns a hash of the serving hosts. It is equal on hosts whose view
// of them is equal.
func (g *Group) Digest() uint64 {
	var sum uint64
	for _, m := range g.Members() {
		if m.Phase == Serving && m.State <= Suspect {
			sum = hash.Mix(sum, hash.Mix(hash.String(m.Name), m.Boot))
		}
	}
	return sum
}

// Fenced reports whether this host must not start work that may run only once,
// because no probe of a live peer was answered for FenceAfter, or because it
// sees less than a majority. Hosts that died within Timing.DeadRetention count as
// members. Within DeadRetention after the start, the group counts as having at
// least as many members as there are seeds, plus this host. At exactly half of the
// members, the side with the lowest name among them is the majority.
func (g *Group) Fenced(now clock.Millis) bool {
	alive, members, lowest := 1, 1, g.self.Name
	hasLivePeer := false
	for name, p := range g.peers {
		switch p.info.State {
		case Alive, Suspect:
			alive++
			members++
			hasLivePeer = true
			lowest = min(lowest, name)
		case Dead:
			if now-p.changedAt < g.timing.DeadRetention {
				members++
				lowest = min(lowest, name)
			}
		}
	}
	if now-g.startedAt < g.timing.DeadRetention {
		members = max(members, len(g.seeds)+1)
	}
	if hasLivePeer && now-g.lastAckedSentAt > g.timing.FenceAfter {
		return true
	}
	if 2*alive == members {
		p, ok := g.peers[lowest]
		return ok && p.info.State == Dead
	}
	return 2*alive < members
}

// Enter changes the phase of this host. Besides gossiping the change, it sends it
// to all others at once, because the keys change owners.
func (g *Group) Enter(p Phase) {
	if g.self.Phase != p {
		g.self.Phase = p
		g.updateSelf(g.self.State)
		g.broadcastSelf()
	}
}

// broadcastSelf sends this host's record to all others that are not dead.
func (g *Group) broadcastSelf() {
	for _, name := range slices.Sorted(maps.Keys(g.peers)) {
		if p := g.peers[name]; p.info.State <= Suspect {
			g.send(p.info.Peer, codec.MemberInfo, g.self)
		}
	}
}

// Joined reports whether a sync with another host has taken place.
func (g *Group) Joined() bool { return g.joined }

// Depart marks this host as left and notifies all others at once.
func (g *Group) Depart() {
	g.updateSelf(Left)
	g.broadcastSelf()
}

// updateSelf sets this host's state at a new incarnation and queues it for
// gossip.
func (g *Group) updateSelf(s State) {
	g.self.State = s
	g.self.Incarnation++
	g.version++
	g.rumors.Put(g.self.Name, g.self)
}

// Rejoin makes this host join anew with a new boot number, after the others
// declared it dead. Its own view of them is dropped, because it may be stale.
func (g *Group) Rejoin(boot uint64) {
	g.peers = map[string]*peer{}
	g.probeOrder = nil
	g.rumors = rumor.Set[string, Info]{}
	g.joined, g.nextSyncAt = false, g.now
	g.startedAt, g.lastAckedSentAt, g.fencedAt = g.now, g.now, 0
	g.self.Boot, g.self.Phase = boot, Joining
	g.updateSelf(Alive)
}

func (g *Group) send(to string, kind codec.Kind, v any) {
	g.out = append(g.out, Frame{to, codec.Encode(kind, v)})
}

// gossip returns the records to send along with a message.
func (g *Group) gossip() []Info {
	return g.rumors.Take(maxUpdates, len(g.peers)+1)
}

// merge applies the records that another host sent. From a host that is dead in
// this view, it applies only those about that host and about this one: it may
// have been cut off and have declared the others dead.
func (g *Group) merge(from string, members []Info) {
	p := g.peers[from]
	dead := p != nil && p.info.State == Dead
	for i := range members {
		if !dead || members[i].Name == from || members[i].Name == g.self.Name {
			g.apply(&members[i])
		}
	}
}

// apply replaces a host's record if m overrides it, and queues m for gossip.
func (g *Group) apply(m *Info) {
	if m.Name == g.self.Name {
		g.refute(m)
		return
	}
	p, known := g.peers[m.Name]
	if known && !m.overrides(&p.info) {
		return
	}
	if !known {
		if m.State == Left {
			return
		}
		p = &peer{}
		g.peers[m.Name] = p
		g.probeOrder = append(g.probeOrder, m.Name)
	}
	if !known || p.info.State != m.State || p.info.Boot != m.Boot || p.info.Phase != m.Phase || p.info.Fabric != m.Fabric {
		p.changedAt = g.now
		g.version++
	}
	if m.State == Alive {
		p.awaitsAck = false
	}
	p.info = *m
	g.rumors.Put(m.Name, *m)
}

// deposedWindow is the time since this host was last fenced within which a report
// of its death makes it deposed.
const deposedWindow = syncInterval

// recentlyFenced reports whether this host was fenced within the last
// deposedWindow. Only a fenced host can have lost its keys to others; one that was
// not fenced only refutes its death.
func (g *Group) recentlyFenced() bool {
	return g.fencedAt != 0 && g.now-g.fencedAt < deposedWindow
}

func (g *Group) updateFencedAt() {
	if g.Fenced(g.now) {
		g.fencedAt = g.now
	}
}

// refute handles a record about this host itself. It replaces a wrong one by a
// record with a higher incarnation.
func (g *Group) refute(m *Info) {
	if m.Incarnation < g.self.Incarnation || *m == g.self {
		return
	}
	if m.State == Dead && g.recentlyFenced() {
		g.deposed = true
	}
	if m.Incarnation > g.self.Incarnation || m.State > g.self.State {
		g.self.Incarnation = m.Incarnation
		g.updateSelf(g.self.State)
	}
}

// setState changes the state of a peer that this host found suspect or dead.
func (g *Group) setState(p *peer, s State) {
	info := p.info
	info.State = s
	g.apply(&info)
}
