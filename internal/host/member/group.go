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

// Piggyback is the layer above, whose updates travel with the probes.
type Piggyback interface {
	// Fill returns the bytes to send with a probe, or with a whole sync.
	Fill(whole bool) []byte
	// Merge takes the bytes that came from a host.
	Merge(from string, load []byte)
}

// Send is a frame for the host at an address.
type Send struct {
	To   string
	Body []byte
}

type peer struct {
	info Info
	// changedAt is when the state was last learned.
	changedAt clock.Millis
	// probedAt and seq belong to the probe under way, if waiting.
	probedAt clock.Millis
	seq      uint64
	waiting  bool
	asked    bool
}

// relayed is a probe made for another host.
type relayed struct {
	origin string
	seq    uint64
	at     clock.Millis
}

// Group is one host's view of its data centre. It is not safe for concurrent
// use.
type Group struct {
	self   Info
	timing Timing
	rand   *rand.Rand
	load   Piggyback
	seeds  []string

	now     clock.Millis
	peers   map[string]*peer
	order   []string
	probeAt clock.Millis
	syncAt  clock.Millis
	seq     uint64
	relays  map[uint64]relayed
	rumors  rumor.Set[string, Info]
	joined  bool
	heardAt clock.Millis
	startAt clock.Millis
	// cutOffAt is when this host was last without a majority.
	cutOffAt clock.Millis
	// deposed is set when the group had declared this host dead.
	deposed bool
	version uint64
	out     []Send
}

// New returns the group of one host that knows only itself and the peer
// addresses of some seeds.
func New(self Info, seeds []string, timing Timing, load Piggyback, now clock.Millis, r *rand.Rand) *Group {
	self.State = Alive
	return &Group{
		self: self, timing: timing, rand: r, load: load, seeds: seeds, now: now, startAt: now,
		peers: map[string]*peer{}, relays: map[uint64]relayed{}, heardAt: now, version: 1,
	}
}

// Self returns what this host says about itself.
func (g *Group) Self() Info { return g.self }

// Version returns a number that changes with each change of the view.
func (g *Group) Version() uint64 { return g.version }

// Take returns the frames to send and forgets them.
func (g *Group) Take() []Send {
	out := g.out
	g.out = nil
	return out
}

// TakeDeposed reports once that the group had declared this host dead, so that
// others have taken over what it held.
func (g *Group) TakeDeposed() bool {
	was := g.deposed
	g.deposed = false
	return was
}

// Members returns all hosts known, this one included, sorted by name.
func (g *Group) Members() []Info {
	out := []Info{g.self}
	for _, p := range g.peers {
		out = append(out, p.info)
	}
	slices.SortFunc(out, func(a, b Info) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Find returns what is known of the host called name.
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

// Digest returns a hash of the hosts that serve, equal on hosts of equal view.
func (g *Group) Digest() uint64 {
	var sum uint64
	for _, m := range g.Members() {
		if m.Phase == Serving && m.State <= Suspect {
			sum = hash.Mix(sum, hash.Mix(hash.String(m.Name), m.Boot))
		}
	}
	return sum
}

// Fenced reports whether this host must not start work that may happen only
// once: it has heard no answer for a while, or sees less than a majority of
// the hosts that were here lately.
func (g *Group) Fenced(now clock.Millis) bool {
	alive, known, lowest := 1, 1, g.self.Name
	others := false
	for name, p := range g.peers {
		switch p.info.State {
		case Alive, Suspect:
			alive++
			known++
			others = true
			lowest = min(lowest, name)
		case Dead:
			if now-p.changedAt < g.timing.Remember {
				known++
				lowest = min(lowest, name)
			}
		}
	}
	if now-g.startAt < g.timing.Remember {
		known = max(known, len(g.seeds)+1)
	}
	if others && now-g.heardAt > g.timing.FenceAfter {
		return true
	}
	if 2*alive == known {
		p, ok := g.peers[lowest]
		return ok && p.info.State == Dead
	}
	return 2*alive < known
}

// Enter tells the others that this host is in another phase. They are told at
// once, because keys change their owners.
func (g *Group) Enter(p Phase) {
	if g.self.Phase != p {
		g.self.Phase = p
		g.announceSelf(g.self.State)
		g.tellAll()
	}
}

func (g *Group) tellAll() {
	for _, name := range slices.Sorted(maps.Keys(g.peers)) {
		if p := g.peers[name]; p.info.State <= Suspect {
			g.send(p.info.Peer, codec.Tell, g.self)
		}
	}
}

// Joined reports whether another host has answered a sync.
func (g *Group) Joined() bool { return g.joined }

// Depart tells the others that this host is gone.
func (g *Group) Depart() {
	g.announceSelf(Left)
	g.tellAll()
}

func (g *Group) announceSelf(s State) {
	g.self.State = s
	g.self.Incarnation++
	g.version++
	g.rumors.Put(g.self.Name, g.self)
}

// Rejoin makes this host a newcomer with a new boot number, after the others
// had declared it dead. What it believed of them meanwhile is forgotten.
func (g *Group) Rejoin(boot uint64) {
	g.peers = map[string]*peer{}
	g.order = nil
	g.rumors = rumor.Set[string, Info]{}
	g.joined, g.syncAt = false, g.now
	g.startAt, g.heardAt, g.cutOffAt = g.now, g.now, 0
	g.self.Boot, g.self.Phase = boot, Joining
	g.announceSelf(Alive)
}

func (g *Group) send(to string, kind codec.Kind, v any) {
	g.out = append(g.out, Send{to, codec.Encode(kind, v)})
}

func (g *Group) gossip() []Info {
	return g.rumors.Take(maxGossip, len(g.peers)+1)
}

// merge takes what another host says about the members. A host that counts as
// dead here is heard about itself alone: while it was cut off it may have taken
// others for dead.
func (g *Group) merge(from string, members []Info) {
	p := g.peers[from]
	dead := p != nil && p.info.State == Dead
	for i := range members {
		if !dead || members[i].Name == from || members[i].Name == g.self.Name {
			g.learn(&members[i])
		}
	}
}

func (g *Group) learn(m *Info) {
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
		g.order = append(g.order, m.Name)
	}
	if !known || p.info.State != m.State || p.info.Boot != m.Boot || p.info.Phase != m.Phase || p.info.Fabric != m.Fabric {
		p.changedAt = g.now
		g.version++
	}
	if m.State == Alive {
		p.waiting = false
	}
	p.info = *m
	g.rumors.Put(m.Name, *m)
}

// cutOffLately reports whether this host lost the majority a short time ago, so
// that the others may have taken over what it held. A host that never lost it
// just denies its death.
func (g *Group) cutOffLately() bool {
	return g.cutOffAt != 0 && g.now-g.cutOffAt < syncSpan
}

func (g *Group) noteCutOff() {
	if g.Fenced(g.now) {
		g.cutOffAt = g.now
	}
}

// refute answers what others say about this host itself.
func (g *Group) refute(m *Info) {
	if m.Incarnation < g.self.Incarnation || *m == g.self {
		return
	}
	if m.State == Dead && g.cutOffLately() {
		g.deposed = true
	}
	if m.Incarnation > g.self.Incarnation || m.State > g.self.State {
		g.self.Incarnation = m.Incarnation
		g.announceSelf(g.self.State)
	}
}

// mark changes the state of a peer by this host's own finding.
func (g *Group) mark(p *peer, s State) {
	info := p.info
	info.State = s
	g.learn(&info)
}
