// Package poll decides which control host an entry host polls for changes, and
// which parts of the replies it accepts. It is designed for hundreds of entry hosts on
// few control hosts: each polls one of them, the primary, spread evenly, and asks few
// others while the primary is unhealthy.
//
// The package does no I/O.
package poll

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

const (
	// Interval is the minimum time between two requests to the primary.
	Interval = 300 * clock.Millis(1)
	// allLoadsRate bounds the loads of all data centres that are requested, in bytes a
	// second. Those of other data centres matter only when the own one is full, so
	// where they take many bytes they are requested less often than with each poll.
	allLoadsRate = 4000
	// primaryTimeout is the time without a reply from the primary after which other
	// control hosts are probed too. It covers two poll intervals and a slow host.
	primaryTimeout = 700 * clock.Millis(1)
	// connTimeout is how long a reply is awaited before the connection counts as
	// dead.
	connTimeout = 1500 * clock.Millis(1)
	// probeInterval is the time between two rounds of probes of other control hosts,
	// and probesPerRound their number in one. A few rounds reach all control hosts
	// within isolationTimeout.
	probeInterval  = 250 * clock.Millis(1)
	probesPerRound = 2
	// startInterval is the time between two probes while the entry host has no routing
	// table, each of the next control host. After quickProbes of them, which cover the
	// time by which the hosts of a system differ in their start, it doubles with each
	// further one up to maxStartInterval.
	startInterval    = 60 * clock.Millis(1)
	maxStartInterval = 240 * clock.Millis(1)
	quickProbes      = 16
	// moveInterval is the mean time between two attempts to return to the preferred
	// control host.
	moveInterval = clock.Second
	// quorumReplyTTL is how long a reply from a control host in contact with a
	// quorum counts as recent, and how long the news are up to date.
	quorumReplyTTL = 1500 * clock.Millis(1)
	// isolationTimeout is the time without a reply from a control host in contact
	// with a quorum after which the entry host counts as isolated. Silent ignores
	// replies older than this.
	isolationTimeout = 2 * clock.Second
	// maxReports is the number of reported loads that are kept until a reply tells
	// which of them its totals include.
	maxReports = 8
	// maxAdvertised bounds the control hosts that are known from adverts only.
	maxAdvertised = 16
)

// Options are the settings of a Poller.
type Options struct {
	// Name is the name of the entry host, and Centre its data centre.
	Name   string
	Centre string
	// Seeds are the addresses of some control hosts.
	Seeds []string
	// Adverts is the address where the entry host receives adverts of control hosts, or
	// "".
	Adverts string
	// AwaitQuorum refuses a first routing table without a quorum until the entry host
	// is isolated.
	AwaitQuorum bool
	// Instance is a random number that identifies the run of the process, or 0 if the
	// host takes no grants.
	Instance uint64
}

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
	// Loads are the loads of all other hosts on the servers of LoadCentres, or of all
	// data centres if that is nil. They are set only by a reply from the primary.
	Loads       choose.Loads
	LoadCentres []string
	// Evacuations are the states of evacuated data centres, newer than those held
	// before. They hold if EvacuationsVersion is not 0.
	Evacuations        []msgs.Evacuation
	EvacuationsVersion uint64
	// Sharing are the hashes of the entry hosts of the data centre that take new flows,
	// or nil if they have not changed. An empty list is not nil.
	Sharing []uint64
	// SharingElsewhere maps each other data centre to such a list, while a data centre is
	// evacuated. It comes with Sharing.
	SharingElsewhere map[string][]uint64
	// Grants are the requests that may be opened on cold servers, and GrantedAt when the
	// request that they answer was sent. They are set only by a reply from the primary.
	Grants    []msgs.Grant
	GrantedAt clock.Millis
	// Next reports that a request for the rest is due.
	Next bool
}

// controlHost is what is known of one control host.
type controlHost struct {
	// runID and position identify the latest change received from the host.
	runID, position uint64
	// part is the part of the server list to ask for next.
	part msgs.Part
	// waitingSince is when the first request after the latest reply or reconnect was
	// sent, or 0 if there was none.
	waitingSince clock.Millis
	// askedAt is the time of the latest request.
	askedAt clock.Millis
	// polledAt is the time of the latest full request.
	polledAt clock.Millis
	// fullPending is set if a full request, one without Brief, was sent after the
	// latest reply or reconnect.
	fullPending bool
	// repliedAt is the time of the latest reply, and current the value of
	// FetchReply.Current in it.
	repliedAt clock.Millis
	current   bool
	// version is the version of the host's routing table, or 0.
	version uint64
	// silent are the servers that the host reported as silent, and silentVersion the
	// number of that report.
	silent        map[string]bool
	silentVersion uint64
}

// Poller schedules the requests of one entry host and evaluates the replies. It
// is not safe for concurrent use.
type Poller struct {
	options Options
	started clock.Millis
	// learned are the control hosts in the latest reply that listed any, centres their
	// data centres, and hostsVersion the number of that list.
	learned      []string
	centres      map[string]string
	hostsVersion uint64
	// evacuationsVersion is the version of the accepted evacuations, or 0.
	evacuationsVersion uint64
	hosts              map[string]*controlHost
	primary            string
	lastRequestID      uint64
	// pending holds the addresses of unanswered requests by request ID.
	pending map[uint64]string
	// advertised are control hosts that are known from adverts only, and wanted is the
	// one to probe next, or "".
	advertised []string
	wanted     string
	// reports holds the latest loads that were reported, by request ID.
	reports map[uint64]choose.Loads
	// sentAt holds when the latest full requests were sent, by request ID.
	sentAt         map[uint64]clock.Millis
	nextPollAt     clock.Millis
	nextProbeAt    clock.Millis
	nextMoveAt     clock.Millis
	nextAllLoadsAt clock.Millis
	// allLoadsInterval is the time between two requests for the loads of all data
	// centres.
	allLoadsInterval clock.Millis
	// probed counts the requests to other hosts than the primary. It selects the next
	// one.
	probed int
	// primaryRepliedAt and quorumRepliedAt are the times of the latest replies from
	// the primary and from a control host in contact with a quorum.
	primaryRepliedAt clock.Millis
	quorumRepliedAt  clock.Millis
	// confirmedAt is when the latest request was sent whose reply from such a control host
	// completed its news, or 0.
	confirmedAt clock.Millis
	sharing     sharing
	// witness is the ID of the entry host as a witness of the log, or "".
	witness raft.ID
}

// New returns a Poller.
func New(options Options, now clock.Millis) *Poller {
	options.Seeds = slices.Clone(options.Seeds)
	return &Poller{
		options: options, started: now, centres: map[string]string{},
		hosts: map[string]*controlHost{}, pending: map[uint64]string{}, reports: map[uint64]choose.Loads{}, sentAt: map[uint64]clock.Millis{},
	}
}

// SetSeeds replaces the control host addresses from the settings.
func (p *Poller) SetSeeds(seeds []string) { p.options.Seeds = slices.Clone(seeds) }

// RefetchAll makes the next requests ask again for all servers, the evacuations and the
// list of entry hosts, after the caller lost accepted changes. Replies to earlier requests
// are ignored, as they continue what was lost.
func (p *Poller) RefetchAll() {
	p.evacuationsVersion, p.confirmedAt = 0, 0
	for _, h := range p.hosts {
		h.runID, h.position, h.part = 0, 0, msgs.AllParts
		h.waitingSince, h.fullPending = 0, false
	}
	clear(p.pending)
	p.sharing.version = 0
}

// SetWitness sets the ID of the entry host as a witness of the log, or "" while it can't be
// one.
func (p *Poller) SetWitness(id raft.ID) { p.witness = id }

// Primary returns the address of the control host that is polled at each
// interval, or "".
func (p *Poller) Primary() string { return p.primary }

// ConfirmedAt returns the latest time of which all news of a control host in contact with a
// quorum are known, or 0. What is not among them did not exist then.
func (p *Poller) ConfirmedAt() clock.Millis { return p.confirmedAt }

// HasQuorum reports whether ConfirmedAt is recent.
func (p *Poller) HasQuorum(now clock.Millis) bool {
	return p.confirmedAt > 0 && now-p.confirmedAt < quorumReplyTTL
}

// quorumReplied reports whether a control host in contact with a quorum replied recently.
func (p *Poller) quorumReplied(now clock.Millis) bool {
	return p.quorumRepliedAt > 0 && now-p.quorumRepliedAt < quorumReplyTTL
}

// Isolated reports whether no control host in contact with a quorum has replied
// for isolationTimeout. Then Silent uses the replies of other control hosts too.
func (p *Poller) Isolated(now clock.Millis) bool {
	return now-max(p.quorumRepliedAt, p.started) > isolationTimeout
}

// HandleAdvert records that a control host is up. An entry host without a healthy
// primary probes it at the next Tick.
func (p *Poller) HandleAdvert(now clock.Millis, address string) {
	if !p.primaryUnhealthy(now) || address == p.primary {
		return
	}
	if h := p.hosts[address]; h != nil && now-h.askedAt < startInterval/2 {
		return
	}
	p.wanted = address
	if !slices.Contains(p.addresses(), address) && len(p.advertised) < maxAdvertised {
		p.advertised = append(p.advertised, address)
	}
}

// Tick returns the requests that are due.
func (p *Poller) Tick(now clock.Millis, version uint64, loads choose.Loads) []Request {
	var requests []Request
	if p.primary != "" && now >= p.nextPollAt && !p.awaitsFullReply(now, p.primary) {
		p.nextPollAt = now + Interval
		if version == 0 && !p.hosts[p.primary].current {
			p.nextPollAt = now + startInterval
		}
		requests = append(requests, p.fullRequest(now, p.primary, version, loads))
	}
	requests = p.appendWithdrawals(now, requests, version)
	switch unhealthy := p.primaryUnhealthy(now); {
	case unhealthy && p.wanted != "":
		requests = p.appendProbe(now, requests, p.wanted, version)
		p.wanted = ""
	case unhealthy && version == 0 && now >= p.nextProbeAt:
		p.nextProbeAt = now + p.searchInterval()
		requests = p.appendProbe(now, requests, p.nextOther(), version)
	case unhealthy && version > 0 && now >= p.nextProbeAt:
		p.nextProbeAt = now + p.jitter(probeInterval)
		for range probesPerRound {
			requests = p.appendProbe(now, requests, p.nextOther(), version)
		}
	case !unhealthy && now >= p.nextMoveAt:
		p.nextMoveAt = now + p.jitter(moveInterval)
		if preferred := p.preferred(); preferred != p.primary {
			requests = p.appendProbe(now, requests, preferred, version)
		}
	}
	return requests
}

// searchInterval returns the time until the next probe while the entry host has no
// routing table.
func (p *Poller) searchInterval() clock.Millis {
	interval := startInterval
	for n := p.probed; n > quickProbes && interval < maxStartInterval; n-- {
		interval *= 2
	}
	return p.jitter(interval)
}

// appendProbe adds a brief request to a control host, unless address is "".
func (p *Poller) appendProbe(now clock.Millis, requests []Request, address string, version uint64) []Request {
	if address == "" {
		return requests
	}
	probe := p.newRequest(now, address, version)
	probe.Fetch.Brief = true
	return append(requests, probe)
}

// awaitsFullReply reports whether the reply to a full request may still arrive.
// Transferring a whole table over a slow link takes long, and another request
// would transfer it twice.
func (p *Poller) awaitsFullReply(now clock.Millis, address string) bool {
	h := p.hosts[address]
	return h != nil && h.fullPending && h.waitingSince > 0 && now-h.waitingSince < connTimeout
}

// fullRequest returns a request for changes and loads.
func (p *Poller) fullRequest(now clock.Millis, address string, version uint64, loads choose.Loads) Request {
	r := p.newRequest(now, address, version)
	h := p.hosts[address]
	h.fullPending, h.polledAt = true, now
	r.Fetch.Loads, r.Fetch.Part = loads, h.part
	if h.position == 0 {
		r.Fetch.Adverts = p.options.Adverts
	}
	if h.position == 0 && version == 0 {
		r.Fetch.Part = msgs.LocalPart
	}
	if now >= p.nextAllLoadsAt {
		r.Fetch.AllLoads, p.nextAllLoadsAt = true, now+p.allLoadsInterval
	}
	p.noteSent(now, r.Fetch.RequestID)
	p.reports[r.Fetch.RequestID] = loads
	for id := range p.reports {
		if id+maxReports <= r.Fetch.RequestID {
			delete(p.reports, id)
		}
	}
	return r
}

func (p *Poller) newRequest(now clock.Millis, address string, version uint64) Request {
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
	h.askedAt = now
	p.lastRequestID++
	p.pending[p.lastRequestID] = address
	return Request{address, msgs.Fetch{
		Name: p.options.Name, RequestID: p.lastRequestID, RunID: h.runID, Since: h.position, Version: version,
		Form: msgs.BlockForm, Centre: p.options.Centre, SilentVersion: h.silentVersion, HostsVersion: p.hostsVersion,
		Sharing: p.sharing.ready, SharingVersion: p.sharing.version,
		EvacuationsVersion: p.evacuationsVersion, Instance: p.options.Instance,
		Witness: p.witness,
	}, reconnect}
}

// primaryUnhealthy reports whether there is no primary, its reply is overdue, or it is
// out of contact with a quorum.
func (p *Poller) primaryUnhealthy(now clock.Millis) bool {
	return p.primary == "" || now-p.primaryRepliedAt >= primaryTimeout || !p.hosts[p.primary].current
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

// jitter returns a time between 3/4 and 5/4 of span that differs between hosts and
// requests.
func (p *Poller) jitter(span clock.Millis) clock.Millis {
	draw := hash.Mix(hash.String(p.options.Name), p.lastRequestID)
	return span*3/4 + clock.Millis(draw%uint64(span/2+1))
}
