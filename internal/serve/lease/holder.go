package lease

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

const (
	// idleTimeout is how long a service without requests keeps its need for
	// slots.
	idleTimeout = 2 * clock.Second
	// rateInterval is the interval over which arrivals are counted.
	rateInterval = 500 * clock.Millis(1)
	// holdTimeWeight is the weight of one request in the moving average of the
	// time that a slot is held.
	holdTimeWeight = 0.05
	// shedBackoff is how long a server is avoided for each consecutive request
	// that it shed, up to maxBackoff.
	shedBackoff = 100 * clock.Millis(1)
	// timeoutBackoff is how long a server is avoided after timeoutLimit
	// consecutive requests without an answer.
	timeoutBackoff = clock.Second
	timeoutLimit   = 3
	// baseSharePercent is the percentage of all slots that active hosts lease
	// even without need. The rest stays with the keepers for hosts that join or
	// get more load.
	baseSharePercent = 70
	maxBackoff       = 2 * clock.Second
)

// Result is the result of one attempt at a server.
type Result uint8

// Results of an attempt.
const (
	// Answered means that the server sent an answer.
	Answered Result = iota
	// Shed means that the server refused the request.
	Shed
	// TimedOut means that no answer came before the timeout.
	TimedOut
)

// heldServer is a server with this host's lease on it.
type heldServer struct {
	name    string
	weight  uint32
	slots   int
	granted int
	used    int
	expires clock.Millis
	// free is the number of ungranted slots that the keeper last reported.
	free       int
	avoidUntil clock.Millis
	// sheds and timeouts count consecutive failures.
	sheds    int
	timeouts int
	// removed is set when the server has left the pool with requests in flight.
	removed bool
}

// available returns the leased slots that are not in use.
func (s *heldServer) available(now clock.Millis) int {
	if s.removed || now >= s.expires {
		return 0
	}
	return max(0, s.granted-s.used)
}

// held returns the leased slots, in use or not.
func (s *heldServer) held(now clock.Millis) int {
	if now >= s.expires {
		return 0
	}
	return s.granted
}

// surplusByServer returns how many slots to give up on each server, surplus in total
// if as many are unused. It takes them from the servers with the most leased slots, so
// that the rest stays spread over the servers.
func surplusByServer(now clock.Millis, servers []*heldServer, surplus int) []int {
	returns := make([]int, len(servers))
	above := func(level int) (sum int) {
		for _, s := range servers {
			sum += max(0, s.held(now)-max(level, s.used))
		}
		return sum
	}
	highest := 0
	for _, s := range servers {
		highest = max(highest, s.held(now))
	}
	// No server keeps more unused slots than level, except for the rest of the surplus.
	level := sort.Search(highest, func(l int) bool { return above(l) <= surplus })
	rest := surplus - above(level)
	for i, s := range servers {
		returns[i] = max(0, s.held(now)-max(level, s.used))
		if rest > 0 && level > s.used && s.held(now) >= level && level > 0 {
			returns[i]++
			rest--
		}
	}
	return returns
}

// pool holds the servers and the load of one service.
type pool struct {
	servers map[string]*heldServer
	// sorted holds the servers in the order of their names.
	sorted []*heldServer
	queued int
	// arrivals counts the requests since countedFrom.
	arrivals    int
	countedFrom clock.Millis
	lastArrival clock.Millis
	// rate is the mean number of arrivals per millisecond, and holdTime the
	// mean time in milliseconds that a request holds a slot.
	rate     float64
	holdTime float64
}

func (p *pool) used() int {
	sum := 0
	for _, s := range p.servers {
		sum += s.used
	}
	return sum
}

// leased returns the slots of all unexpired leases, in use or not.
func (p *pool) leased(now clock.Millis) int {
	sum := 0
	for _, s := range p.servers {
		if !s.removed && now < s.expires {
			sum += s.granted
		}
	}
	return sum
}

// Holder holds the leases of this host and selects a server with a free leased
// slot for each request. It is not safe for concurrent use.
type Holder struct {
	self  string
	rand  *rand.Rand
	pools map[string]*pool
	// byName holds the servers of all pools.
	byName map[string]*heldServer
	seq    uint64
	// sent holds the latest unanswered lease request by keeper.
	sent  map[string]sentRequest
	hosts int
}

// sentRequest is the sequence number and the sending time of a lease request.
type sentRequest struct {
	seq uint64
	at  clock.Millis
}

// NewHolder returns a Holder for the host called self. InitialSeq is the number
// before the first sequence number. It must not be below any of an earlier run,
// because keepers ignore lease requests whose number does not increase.
func NewHolder(self string, initialSeq uint64, r *rand.Rand) *Holder {
	return &Holder{
		self: self, rand: r, seq: initialSeq, pools: map[string]*pool{},
		byName: map[string]*heldServer{}, sent: map[string]sentRequest{},
	}
}

// SetHosts sets the number of hosts that share the slots.
func (h *Holder) SetHosts(n int) { h.hosts = n }

// Backend is a server that may get new requests.
type Backend struct {
	Name   string
	Weight uint32
	Slots  int
}

// SetPool sets the servers of a service. A server that is no longer listed gets
// no new requests, but is kept until its requests in flight have ended.
func (h *Holder) SetPool(service string, backends []Backend) {
	p := h.pool(service)
	for _, s := range p.servers {
		s.removed = true
	}
	for _, b := range backends {
		s := p.servers[b.Name]
		if s == nil {
			s = &heldServer{name: b.Name}
			p.servers[b.Name] = s
			h.byName[b.Name] = s
		}
		s.removed, s.weight, s.slots = false, b.Weight, b.Slots
	}
	maps.DeleteFunc(p.servers, func(name string, s *heldServer) bool {
		if s.removed && s.used == 0 {
			delete(h.byName, name)
			return true
		}
		return false
	})
	p.sorted = p.sorted[:0]
	for _, name := range slices.Sorted(maps.Keys(p.servers)) {
		p.sorted = append(p.sorted, p.servers[name])
	}
}

func (h *Holder) pool(service string) *pool {
	p := h.pools[service]
	if p == nil {
		p = &pool{servers: map[string]*heldServer{}}
		h.pools[service] = p
	}
	return p
}

// Acquire takes a slot for a request to service and returns the server. It
// picks the server called avoid only if no other has a free slot, and returns
// "" when no leased slot is free.
func (h *Holder) Acquire(now clock.Millis, service, avoid string) string {
	var best *heldServer
	ties := 0
	for _, s := range h.pool(service).sorted {
		if s.available(now) == 0 || s.avoidUntil > now || s.weight == 0 {
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

// compare orders servers by preference: first those not to avoid, then those
// with fewer slots in use relative to their weight.
func compare(a, b *heldServer, avoid string) int {
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

// Release returns a slot that was held for the given span. A shed, or at least
// timeoutLimit consecutive timeouts, makes Acquire avoid the server for a while.
func (h *Holder) Release(now clock.Millis, service, server string, span clock.Millis, result Result) {
	s := h.byName[server]
	if s == nil {
		return
	}
	if p := h.pool(service); result == Answered {
		p.recordHoldTime(span)
	}
	s.used = max(0, s.used-1)
	switch result {
	case Answered:
		s.sheds, s.timeouts = 0, 0
	case Shed:
		s.sheds++
		s.timeouts = 0
		s.avoidUntil = now + min(maxBackoff, clock.Millis(s.sheds)*shedBackoff)
	case TimedOut:
		if s.timeouts++; s.timeouts >= timeoutLimit {
			s.avoidUntil = now + timeoutBackoff
		}
	}
}

// SetQueued sets the number of requests of a service that wait for a slot.
func (h *Holder) SetQueued(service string, queued int) {
	p := h.pool(service)
	p.queued = queued
}

// Arrive counts a new request to service, even if it will be refused.
func (h *Holder) Arrive(now clock.Millis, service string) {
	p := h.pool(service)
	p.updateRate(now)
	p.arrivals++
	p.lastArrival = now
}

// recordHoldTime adds a sample to the moving average of the hold time.
func (p *pool) recordHoldTime(span clock.Millis) {
	if p.holdTime == 0 {
		p.holdTime = max(1, float64(span))
		return
	}
	p.holdTime += (float64(span) - p.holdTime) * holdTimeWeight
}

// updateRate computes the arrival rate at the end of each rateInterval. It
// averages with the previous rate unless that is out of date.
func (p *pool) updateRate(now clock.Millis) {
	span := now - p.countedFrom
	if span < rateInterval {
		return
	}
	rate := float64(p.arrivals) / float64(span)
	if span < 2*rateInterval {
		rate = (rate + p.rate) / 2
	}
	p.rate, p.arrivals, p.countedFrom = rate, 0, now
}

// need returns the slots that the service needs: its offered load, which is the
// arrival rate times the hold time, plus the square root of it for bursts, plus
// one. An idle service needs none. Until a hold time is known, the need is the
// number of pending requests plus one.
func (p *pool) need(now clock.Millis) int {
	p.updateRate(now)
	pending := p.used() + p.queued
	if pending == 0 && now-p.lastArrival > idleTimeout {
		return 0
	}
	if p.holdTime == 0 {
		return pending + 1
	}
	offered := p.rate * p.holdTime
	return int(math.Ceil(offered+math.Sqrt(offered))) + 1
}

// baseShare returns the slots that an active service leases even beyond its
// need, while no other host needs them. It is an equal part per host, so that
// the remaining hosts have spare slots when one fails. An idle service gets
// none.
func (p *pool) baseShare(need, hosts int) int {
	if need == 0 || hosts == 0 {
		return 0
	}
	sum := 0
	for _, s := range p.servers {
		if !s.removed {
			sum += s.slots
		}
	}
	return sum * baseSharePercent / 100 / hosts
}

// Starved reports whether requests of a service are queued because it has fewer
// leased slots than it needs.
func (h *Holder) Starved(now clock.Millis, service string) bool {
	p := h.pool(service)
	return p.queued > 0 && p.leased(now) < p.need(now)
}

// LeasedSlots returns the number of slots leased for a service.
func (h *Holder) LeasedSlots(now clock.Millis, service string) int {
	return h.pool(service).leased(now)
}

// Turnover estimates how many requests the leased slots of a service can finish
// within span.
func (h *Holder) Turnover(now clock.Millis, service string, span clock.Millis) int {
	p := h.pool(service)
	if p.holdTime == 0 {
		return p.leased(now)
	}
	return int(float64(p.leased(now)) * float64(span) / p.holdTime)
}

// Used returns the number of requests in flight for a service.
func (h *Holder) Used(service string) int { return h.pool(service).used() }

// LeaseRequests returns the lease requests to send, by the name of the keeper.
// KeeperOf returns the keeper of a server, or "" if it has none.
func (h *Holder) LeaseRequests(now clock.Millis, keeperOf func(server string) string) map[string]*Request {
	requests := map[string]*Request{}
	h.seq++
	for _, service := range slices.Sorted(maps.Keys(h.pools)) {
		h.addRequests(now, service, keeperOf, requests)
	}
	for keeper := range requests {
		h.sent[keeper] = sentRequest{h.seq, now}
	}
	return requests
}

// addRequests adds the servers of one service to requests: to renew their leases,
// give up surplus slots and ask for missing ones.
func (h *Holder) addRequests(now clock.Millis, service string, keeperOf func(string) string, requests map[string]*Request) {
	p := h.pools[service]
	need, have := p.need(now), p.leased(now)
	if need == 0 && have == 0 {
		return
	}
	target := max(need, p.baseShare(need, h.hosts))
	surplus := max(0, have-target)
	deficit := max(0, target-have)
	extra, reclaimServer := h.spread(p, deficit)
	if have >= need {
		reclaimServer = ""
	}
	servers := p.byGranted()
	returns := surplusByServer(now, servers, surplus)
	for i, s := range servers {
		keeper := keeperOf(s.name)
		if keeper == "" {
			continue
		}
		held, returned := s.held(now), returns[i]
		if held+s.used+extra[s.name] == 0 {
			continue
		}
		s.granted = min(s.granted, held-returned)
		server := RequestServer{Name: s.name, Held: held - returned, Used: s.used, Extra: extra[s.name], Reclaim: s.name == reclaimServer}
		appendServer(requests, h.self, keeper, h.seq, RequestService{Name: service, Need: need, Have: have}, server)
	}
}

// byGranted returns the servers in descending order of leased slots.
func (p *pool) byGranted() []*heldServer {
	out := slices.Collect(maps.Values(p.servers))
	slices.SortFunc(out, func(a, b *heldServer) int {
		return cmp.Or(cmp.Compare(b.granted, a.granted), cmp.Compare(a.name, b.name))
	})
	return out
}

// spread returns how many extra slots to request on each server: twice the
// deficit in total, distributed one slot at a time in round-robin order. Servers
// with free slots come first, and among equal ones those with the fewest slots
// leased to this host. ReclaimServer is the server whose keeper is asked to reclaim
// a slot from another holder if none is free.
func (h *Holder) spread(p *pool, deficit int) (extra map[string]int, reclaimServer string) {
	extra = map[string]int{}
	if deficit == 0 {
		return extra, ""
	}
	var usable []*heldServer
	for _, s := range p.byGranted() {
		if !s.removed && s.weight > 0 {
			usable = append(usable, s)
		}
	}
	h.rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	slices.SortStableFunc(usable, func(a, b *heldServer) int {
		return cmp.Or(cmp.Compare(min(b.free, 1), min(a.free, 1)), cmp.Compare(a.granted, b.granted))
	})
	for i := 0; i < 2*deficit && len(usable) > 0; i++ {
		reclaimServer = usable[i%len(usable)].name
		extra[reclaimServer]++
	}
	return extra, reclaimServer
}

// appendServer adds server to the lease request for its keeper. The servers of a
// service must be added one after another.
func appendServer(requests map[string]*Request, self, keeper string, seq uint64, svc RequestService, server RequestServer) {
	request := requests[keeper]
	if request == nil {
		request = &Request{From: self, Seq: seq}
		requests[keeper] = request
	}
	last := len(request.Services) - 1
	if last < 0 || request.Services[last].Name != svc.Name {
		request.Services = append(request.Services, svc)
		last++
	}
	request.Services[last].Servers = append(request.Services[last].Servers, server)
}

// OnGrant applies a keeper's answer to the latest lease request. It ignores
// answers to earlier requests, because the keeper has recomputed the leases
// since.
func (h *Holder) OnGrant(grant *Grant) {
	request, ok := h.sent[grant.From]
	if !ok || request.seq != grant.Seq {
		return
	}
	delete(h.sent, grant.From)
	for _, g := range grant.Servers {
		if s := h.byName[g.Name]; s != nil {
			s.granted, s.expires, s.free = g.Granted, request.at+Term, g.Free
		}
	}
}

// Lease is the lease on one server in a state dump.
type Lease struct {
	Server  string `json:"server"`
	Granted int    `json:"granted"`
	Used    int    `json:"used"`
}

// Leases returns the state of each server's lease, including expired and empty
// ones, sorted by server.
func (h *Holder) Leases() []Lease {
	var out []Lease
	for _, s := range h.byName {
		out = append(out, Lease{s.name, s.granted, s.used})
	}
	slices.SortFunc(out, func(a, b Lease) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// Reset drops all leases. It is for a host that the others have declared dead.
func (h *Holder) Reset() {
	for _, s := range h.byName {
		s.granted = 0
	}
}
