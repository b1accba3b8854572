package lease

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

const (
	// idleSpan is how long a service without requests keeps its need.
	idleSpan = 2 * clock.Second
	// rateSpan is the span over which arrivals are counted, and holdWeight the
	// weight of one request in the mean time that a slot is held.
	rateSpan   = 500 * clock.Millis(1)
	holdWeight = 0.05
	// coolShed is how long a server that shed a request is avoided, times the
	// sheds in a row.
	coolShed = 100 * clock.Millis(1)
	// coolSilent is how long a server that left requests without an answer
	// is avoided, once it has done so silentLimit times in a row.
	coolSilent  = clock.Second
	silentLimit = 3
	// sharePart is the percentage of all slots that hosts keep without need.
	// The rest stays with the keepers for a host that comes or gets busy.
	sharePart = 70
	maxCool   = 2 * clock.Second
)

// Ending tells how a try at a server ended.
type Ending uint8

// Endings.
const (
	// Answered tries got an answer.
	Answered Ending = iota
	// Shed tries were refused by the server.
	Shed
	// Silent tries got no answer in time.
	Silent
)

type held struct {
	name    string
	weight  uint32
	slots   int
	granted int
	used    int
	expires clock.Millis
	free    int
	cool    clock.Millis
	sheds   int
	silent  int
	gone    bool
}

func (h *held) usable(now clock.Millis) int {
	if h.gone || now >= h.expires {
		return 0
	}
	return max(0, h.granted-h.used)
}

type pool struct {
	servers map[string]*held
	// list holds the servers by name.
	list   []*held
	queued int
	// arrived counts the requests since turnAt; rate is their mean number in a
	// millisecond, and hold the mean time that one holds a slot.
	arrived   int
	turnAt    clock.Millis
	arrivedAt clock.Millis
	rate      float64
	hold      float64
}

func (p *pool) used() int {
	sum := 0
	for _, h := range p.servers {
		sum += h.used
	}
	return sum
}

func (p *pool) have(now clock.Millis) int {
	sum := 0
	for _, h := range p.servers {
		if !h.gone && now < h.expires {
			sum += h.granted
		}
	}
	return sum
}

// Holder keeps this host's leases and chooses servers by them. It is not safe
// for concurrent use.
type Holder struct {
	self  string
	rand  *rand.Rand
	pools map[string]*pool
	byID  map[string]*held
	seq   uint64
	sent  map[string]sentAsk
	hosts int
}

type sentAsk struct {
	seq uint64
	at  clock.Millis
}

// NewHolder returns a Holder for the host called self. Boot is larger at each
// start of the host, so that keepers can tell old asks from new ones.
func NewHolder(self string, boot uint64, r *rand.Rand) *Holder {
	return &Holder{
		self: self, rand: r, seq: boot, pools: map[string]*pool{},
		byID: map[string]*held{}, sent: map[string]sentAsk{},
	}
}

// SetHosts tells how many hosts share the slots.
func (h *Holder) SetHosts(n int) { h.hosts = n }

// Backend is a server that new work may go to.
type Backend struct {
	Name   string
	Weight uint32
	Slots  int
}

// SetPool tells the servers of a service. A server that is not among them gets
// no new work; work under way there goes on.
func (h *Holder) SetPool(service string, backends []Backend) {
	p := h.pool(service)
	for _, s := range p.servers {
		s.gone = true
	}
	for _, b := range backends {
		s := p.servers[b.Name]
		if s == nil {
			s = &held{name: b.Name}
			p.servers[b.Name] = s
			h.byID[b.Name] = s
		}
		s.gone, s.weight, s.slots = false, b.Weight, b.Slots
	}
	maps.DeleteFunc(p.servers, func(name string, s *held) bool {
		if s.gone && s.used == 0 {
			delete(h.byID, name)
			return true
		}
		return false
	})
	p.list = p.list[:0]
	for _, name := range slices.Sorted(maps.Keys(p.servers)) {
		p.list = append(p.list, p.servers[name])
	}
}

func (h *Holder) pool(service string) *pool {
	p := h.pools[service]
	if p == nil {
		p = &pool{servers: map[string]*held{}}
		h.pools[service] = p
	}
	return p
}

// Acquire takes a slot for a request to service, at a server other than those
// to avoid if there is one. It returns "" when no leased slot is free.
func (h *Holder) Acquire(now clock.Millis, service, avoid string) string {
	var best *held
	ties := 0
	for _, s := range h.pool(service).list {
		if s.usable(now) == 0 || s.cool > now || s.weight == 0 {
			continue
		}
		switch c := compare(s, best, avoid); {
		case c < 0:
			best, ties = s, 1
		case c == 0:
			ties++
			if h.rand.IntN(ties) == 0 {
				best = s
			}
		}
	}
	if best == nil {
		return ""
	}
	best.used++
	return best.name
}

// compare orders servers by preference: not the avoided one, then the lower
// work for its weight.
func compare(a, b *held, avoid string) int {
	if b == nil {
		return -1
	}
	if (a.name == avoid) != (b.name == avoid) {
		if b.name == avoid {
			return -1
		}
		return 1
	}
	return cmp.Compare(uint64(a.used)*uint64(b.weight), uint64(b.used)*uint64(a.weight))
}

// Release gives a slot back that was held for the given span.
func (h *Holder) Release(now clock.Millis, service, server string, span clock.Millis, ending Ending) {
	s := h.byID[server]
	if s == nil {
		return
	}
	if p := h.pool(service); ending == Answered {
		p.noteHold(span)
	}
	s.used = max(0, s.used-1)
	switch ending {
	case Answered:
		s.sheds, s.silent = 0, 0
	case Shed:
		s.sheds++
		s.silent = 0
		s.cool = now + min(maxCool, clock.Millis(s.sheds)*coolShed)
	case Silent:
		if s.silent++; s.silent >= silentLimit {
			s.cool = now + coolSilent
		}
	}
}

// SetQueued tells how many requests of a service wait for a slot.
func (h *Holder) SetQueued(service string, queued int) {
	p := h.pool(service)
	p.queued = queued
}

// Arrive counts a request to service, whether or not it will be served.
func (h *Holder) Arrive(now clock.Millis, service string) {
	p := h.pool(service)
	p.turn(now)
	p.arrived++
	p.arrivedAt = now
}

func (p *pool) noteHold(span clock.Millis) {
	if p.hold == 0 {
		p.hold = max(1, float64(span))
		return
	}
	p.hold += (float64(span) - p.hold) * holdWeight
}

func (p *pool) turn(now clock.Millis) {
	span := now - p.turnAt
	if span < rateSpan {
		return
	}
	rate := float64(p.arrived) / float64(span)
	if span < 2*rateSpan {
		rate = (rate + p.rate) / 2
	}
	p.rate, p.arrived, p.turnAt = rate, 0, now
}

// need returns the slots that the pool should have: the work that its arrivals
// bring, with room for their chance clusters, or none after a span without any.
func (p *pool) need(now clock.Millis) int {
	p.turn(now)
	work := p.used() + p.queued
	if work == 0 && now-p.arrivedAt > idleSpan {
		return 0
	}
	if p.hold == 0 {
		return work + 1
	}
	offered := p.rate * p.hold
	return int(math.Ceil(offered+math.Sqrt(offered))) + 1
}

// share returns the slots that the pool keeps beyond its need while nobody
// else needs them: an even part, so that the loss of a host does not leave the
// others short. A pool without work keeps none.
func (p *pool) share(need, hosts int) int {
	if need == 0 || hosts == 0 {
		return 0
	}
	sum := 0
	for _, s := range p.servers {
		if !s.gone {
			sum += s.slots
		}
	}
	return sum * sharePart / 100 / hosts
}

// Starved reports whether requests of a service wait for want of leases.
func (h *Holder) Starved(now clock.Millis, service string) bool {
	p := h.pool(service)
	return p.queued > 0 && p.have(now) < p.need(now)
}

// Slots returns the slots held for a service.
func (h *Holder) Slots(now clock.Millis, service string) int { return h.pool(service).have(now) }

// Turnover returns how many requests the slots held for a service are likely to
// finish within span.
func (h *Holder) Turnover(now clock.Millis, service string, span clock.Millis) int {
	p := h.pool(service)
	if p.hold == 0 {
		return p.have(now)
	}
	return int(float64(p.have(now)) * float64(span) / p.hold)
}

// Used returns the requests at work for a service.
func (h *Holder) Used(service string) int { return h.pool(service).used() }

// Asks returns an ask for each keeper of the servers known. KeeperOf maps a
// server to the name of its keeper, or "".
func (h *Holder) Asks(now clock.Millis, keeperOf func(server string) string) map[string]*Ask {
	asks := map[string]*Ask{}
	h.seq++
	for _, service := range slices.Sorted(maps.Keys(h.pools)) {
		h.askFor(now, service, keeperOf, asks)
	}
	for keeper := range asks {
		h.sent[keeper] = sentAsk{h.seq, now}
	}
	return asks
}

func (h *Holder) askFor(now clock.Millis, service string, keeperOf func(string) string, asks map[string]*Ask) {
	p := h.pools[service]
	need, have := p.need(now), p.have(now)
	if need == 0 && have == 0 {
		return
	}
	wanted := max(need, p.share(need, h.hosts))
	surplus := max(0, have-wanted)
	deficit := max(0, wanted-have)
	wishes, press := h.wishes(p, deficit)
	if have >= need {
		press = ""
	}
	for _, s := range p.ordered() {
		keeper := keeperOf(s.name)
		if keeper == "" {
			continue
		}
		keep := s.granted
		if now >= s.expires {
			keep = 0
		}
		back := min(surplus, max(0, keep-s.used))
		surplus -= back
		if keep+s.used+wishes[s.name] == 0 {
			continue
		}
		s.granted = min(s.granted, keep-back)
		a := AskServer{Name: s.name, Held: keep - back, Used: s.used, More: wishes[s.name], Press: s.name == press}
		addTo(asks, h.self, keeper, h.seq, AskService{Name: service, Need: need, Have: have}, a)
	}
}

// ordered returns the servers with most leases first.
func (p *pool) ordered() []*held {
	out := slices.Collect(maps.Values(p.servers))
	slices.SortFunc(out, func(a, b *held) int {
		return cmp.Or(cmp.Compare(b.granted, a.granted), cmp.Compare(a.name, b.name))
	})
	return out
}

// wishes spreads a deficit over twice as many servers, those with free slots
// and few leases of this host first. It names one of them to press for.
func (h *Holder) wishes(p *pool, deficit int) (out map[string]int, press string) {
	out = map[string]int{}
	if deficit == 0 {
		return out, ""
	}
	var usable []*held
	for _, s := range p.ordered() {
		if !s.gone && s.weight > 0 {
			usable = append(usable, s)
		}
	}
	h.rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	slices.SortStableFunc(usable, func(a, b *held) int {
		return cmp.Or(cmp.Compare(min(b.free, 1), min(a.free, 1)), cmp.Compare(a.granted, b.granted))
	})
	for i := 0; i < 2*deficit && len(usable) > 0; i++ {
		press = usable[i%len(usable)].name
		out[press]++
	}
	return out, press
}

func addTo(asks map[string]*Ask, self, keeper string, seq uint64, svc AskService, a AskServer) {
	ask := asks[keeper]
	if ask == nil {
		ask = &Ask{From: self, Seq: seq}
		asks[keeper] = ask
	}
	last := len(ask.Services) - 1
	if last < 0 || ask.Services[last].Name != svc.Name {
		ask.Services = append(ask.Services, svc)
		last++
	}
	ask.Services[last].Servers = append(ask.Services[last].Servers, a)
}

// OnGrant takes the answer to the latest ask at a keeper. Answers to earlier
// asks are dropped, because the keeper has since counted anew.
func (h *Holder) OnGrant(grant *Grant) {
	ask, ok := h.sent[grant.From]
	if !ok || ask.seq != grant.Seq {
		return
	}
	delete(h.sent, grant.From)
	for _, g := range grant.Servers {
		if s := h.byID[g.Name]; s != nil {
			s.granted, s.expires, s.free = g.Granted, ask.at+Term, g.Free
		}
	}
}

// Lease is one lease for a state dump.
type Lease struct {
	Server  string `json:"server"`
	Granted int    `json:"granted"`
	Used    int    `json:"used"`
}

// Leases returns the leases held, sorted by server.
func (h *Holder) Leases() []Lease {
	var out []Lease
	for _, s := range h.byID {
		out = append(out, Lease{s.name, s.granted, s.used})
	}
	slices.SortFunc(out, func(a, b Lease) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// Reset forgets all leases after the host was away for longer than a term.
func (h *Holder) Reset() {
	for _, s := range h.byID {
		s.granted = 0
	}
}
