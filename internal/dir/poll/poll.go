// Package poll decides which control host an entry host polls for changes, and
// which parts of the replies it accepts. It polls one control host, the primary,
// and sends brief probes to the others only while the primary is unhealthy.
//
// The package does no I/O.
package poll

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

const (
	// Interval is the minimum time between two requests to the primary.
	Interval = 300 * clock.Millis(1)
	// primaryTimeout is the time without a reply from the primary after which the
	// other control hosts are probed too. It covers two poll intervals and a slow
	// host.
	primaryTimeout = 700 * clock.Millis(1)
	// connTimeout is how long a reply is awaited before the connection counts as
	// dead.
	connTimeout = 1500 * clock.Millis(1)
	// probeInterval is the time between two rounds of probes of the other control
	// hosts.
	probeInterval = 500 * clock.Millis(1)
	// startProbeInterval is the probe interval while the entry host has no routing
	// table.
	startProbeInterval = 60 * clock.Millis(1)
	// quorumReplyTTL is how long a reply from a control host in contact with a
	// quorum counts as recent.
	quorumReplyTTL = 1500 * clock.Millis(1)
	// isolationTimeout is the time without a reply from a control host in contact
	// with a quorum after which the entry host counts as isolated. Silent ignores
	// replies older than this.
	isolationTimeout = 2 * clock.Second
)

// Request is a request to the control host at an address.
type Request struct {
	Address string
	Fetch   msgs.Fetch
	// Reconnect reports that the present connection counts as dead, so that the
	// request needs a new one.
	Reconnect bool
}

// Accepted is what an entry host accepts of a reply.
type Accepted struct {
	Servers []msgs.ServerStatus
	// Delta leads to a newer routing table, or is nil.
	Delta *routes.Delta
	// Loads are set only by a reply from the primary.
	Loads choose.Loads
}

// controlHost is what is known of one control host.
type controlHost struct {
	// runID and position identify the latest change received from the host.
	runID, position uint64
	// waitingSince is when the first request after the latest reply or reconnect was
	// sent, or 0 if there was none.
	waitingSince clock.Millis
	// fullPending is set if a full request, one without Brief, was sent after the
	// latest reply or reconnect.
	fullPending bool
	// repliedAt is the time of the latest reply, and current the value of
	// FetchReply.Current in it.
	repliedAt clock.Millis
	current   bool
	// version is the version of the host's routing table, or 0.
	version uint64
	// silent are the servers that the host reported as silent.
	silent map[string]bool
}

// Poller schedules the requests of one entry host and evaluates the replies. It
// is not safe for concurrent use.
type Poller struct {
	name    string
	started clock.Millis
	// awaitQuorum refuses a first routing table without a quorum until the entry host
	// is isolated.
	awaitQuorum bool
	// seeds are the addresses from the settings, and learned those from the latest
	// reply that listed any.
	seeds         []string
	learned       []string
	hosts         map[string]*controlHost
	primary       string
	lastRequestID uint64
	// pending holds the addresses of unanswered requests by request ID.
	pending     map[uint64]string
	nextPollAt  clock.Millis
	nextProbeAt clock.Millis
	// primaryRepliedAt and quorumRepliedAt are the times of the latest replies from
	// the primary and from a control host in contact with a quorum.
	primaryRepliedAt clock.Millis
	quorumRepliedAt  clock.Millis
}

// New returns a Poller for the entry host called name. Seeds are the addresses of
// some control hosts. AwaitQuorum makes it wait for a quorum, up to isolationTimeout,
// before it accepts a first routing table.
func New(name string, seeds []string, now clock.Millis, awaitQuorum bool) *Poller {
	return &Poller{
		name: name, started: now, awaitQuorum: awaitQuorum, seeds: slices.Clone(seeds),
		hosts: map[string]*controlHost{}, pending: map[uint64]string{},
	}
}

// SetSeeds replaces the control host addresses from the settings.
func (p *Poller) SetSeeds(seeds []string) { p.seeds = slices.Clone(seeds) }

// RefetchAll makes the next requests ask for all servers again, after the caller
// lost accepted changes.
func (p *Poller) RefetchAll() {
	for _, h := range p.hosts {
		h.runID, h.position = 0, 0
	}
}

// Primary returns the address of the control host that is polled at each
// interval, or "".
func (p *Poller) Primary() string { return p.primary }

// HasQuorum reports whether a control host in contact with a quorum replied
// recently.
func (p *Poller) HasQuorum(now clock.Millis) bool {
	return p.quorumRepliedAt > 0 && now-p.quorumRepliedAt < quorumReplyTTL
}

// Isolated reports whether no control host in contact with a quorum has replied
// for isolationTimeout. Then Silent uses the replies of other control hosts too.
func (p *Poller) Isolated(now clock.Millis) bool {
	return now-max(p.quorumRepliedAt, p.started) > isolationTimeout
}

// Tick returns the requests that are due.
func (p *Poller) Tick(now clock.Millis, version uint64, loads choose.Loads) []Request {
	var requests []Request
	if p.primary != "" && now >= p.nextPollAt && !p.awaitsFullReply(now, p.primary) {
		p.nextPollAt = now + Interval
		requests = append(requests, p.newRequest(now, p.primary, version, loads))
		p.hosts[p.primary].fullPending = true
	}
	healthy := p.primary != "" && !p.primaryUnhealthy(now)
	if healthy || now < p.nextProbeAt {
		return requests
	}
	p.nextProbeAt = now + probeInterval
	if version == 0 {
		p.nextProbeAt = now + startProbeInterval
	}
	for _, address := range p.addresses() {
		if address != p.primary {
			probe := p.newRequest(now, address, version, nil)
			probe.Fetch.Brief = true
			requests = append(requests, probe)
		}
	}
	return requests
}

// awaitsFullReply reports whether the reply to a full request may still arrive.
// Transferring a whole table over a slow link takes long, and another request
// would transfer it twice.
func (p *Poller) awaitsFullReply(now clock.Millis, address string) bool {
	h := p.hosts[address]
	return h != nil && h.fullPending && h.waitingSince > 0 && now-h.waitingSince < connTimeout
}

func (p *Poller) addresses() []string {
	out := slices.Clone(p.learned)
	for _, s := range p.seeds {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

func (p *Poller) newRequest(now clock.Millis, address string, version uint64, loads choose.Loads) Request {
	h := p.hosts[address]
	if h == nil {
		h = &controlHost{silent: map[string]bool{}}
		p.hosts[address] = h
	}
	reconnect := h.waitingSince > 0 && now-h.waitingSince >= connTimeout
	if reconnect {
		p.dropPending(address, p.lastRequestID)
	}
	if reconnect || h.waitingSince == 0 {
		h.waitingSince, h.fullPending = now, false
	}
	p.lastRequestID++
	p.pending[p.lastRequestID] = address
	return Request{address, msgs.Fetch{
		Name: p.name, RequestID: p.lastRequestID, RunID: h.runID, Since: h.position, Version: version, Loads: loads,
	}, reconnect}
}

// HandleReply handles a reply and returns what the entry host accepts of it.
// Version is the version of the entry host's routing table.
func (p *Poller) HandleReply(now clock.Millis, r *msgs.FetchReply, version uint64) Accepted {
	address, ok := p.pending[r.RequestID]
	if !ok {
		return Accepted{}
	}
	p.dropPending(address, r.RequestID)
	h := p.hosts[address]
	if h.runID != r.RunID {
		h.runID, h.position = r.RunID, 0
	}
	h.position = max(h.position, r.Position)
	h.waitingSince, h.fullPending, h.repliedAt, h.current, h.version = 0, false, now, r.Current, r.Version
	clear(h.silent)
	for _, id := range r.SilentServers {
		h.silent[id] = true
	}
	if len(r.ControlHosts) > 0 {
		p.learned = r.ControlHosts
	}
	if p.primary == "" || address != p.primary && p.primaryUnhealthy(now) && (r.Current || version == 0 && r.Version > p.hosts[p.primary].version) {
		// This was the reply to a probe. Poll the new primary at once for the rest.
		p.primary, p.nextPollAt = address, now
	}
	if address == p.primary {
		p.primaryRepliedAt = now
	}
	if r.Current {
		p.quorumRepliedAt = now
	}
	a := Accepted{Servers: r.Servers}
	// An entry host without a routing table takes the first one, which was in force
	// once, and a newer one as soon as a quorum has confirmed it.
	if r.Delta != nil && (r.Current || version == 0 && (!p.awaitQuorum || p.Isolated(now))) {
		a.Delta = r.Delta
	}
	if address == p.primary && r.Loads != nil {
		a.Loads = r.Loads
	}
	return a
}

// primaryUnhealthy reports whether the primary's reply is overdue, or the primary
// is out of contact with a quorum.
func (p *Poller) primaryUnhealthy(now clock.Millis) bool {
	return now-p.primaryRepliedAt >= primaryTimeout || !p.hosts[p.primary].current
}

// dropPending drops the requests to a control host up to lastID, which were
// answered or are given up.
func (p *Poller) dropPending(address string, lastID uint64) {
	for id, to := range p.pending {
		if to == address && id <= lastID {
			delete(p.pending, id)
		}
	}
}

// Silent reports whether a server no longer announces itself, according to the
// control hosts that replied recently. If one of them is in contact with a
// quorum, only such hosts count. Otherwise each sees only its own side of a
// partition, so the server is silent only if all report it as silent. Known is
// false if the replies are not sufficient to decide.
func (p *Poller) Silent(now clock.Millis, id string) (silent, known bool) {
	hasQuorum := p.HasQuorum(now)
	silent = true
	for _, h := range p.hosts {
		if h.repliedAt == 0 || now-h.repliedAt > isolationTimeout || hasQuorum && !h.current {
			continue
		}
		known = true
		silent = silent && h.silent[id]
	}
	return silent && known, known && (hasQuorum || p.Isolated(now))
}
