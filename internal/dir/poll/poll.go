// Package poll decides which control host an entry host asks for news, and what
// of the replies it believes. It does no I/O.
package poll

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

const (
	// Span is the time between two questions.
	Span = 300 * clock.Millis(1)
	// lateSpan is how long a reply may take before the others are asked too. It
	// covers two questions and a slow host.
	lateSpan = 700 * clock.Millis(1)
	// replySpan is how long a reply is awaited before the connection is taken to
	// be silent.
	replySpan = 1500 * clock.Millis(1)
	// wideSpan is the time between two questions to all control hosts.
	wideSpan = 500 * clock.Millis(1)
	// firstSpan is that time while the host has no routing table.
	firstSpan = 200 * clock.Millis(1)
	// settledSpan is how long the word of a control host in touch with a quorum
	// counts as recent.
	settledSpan = 1500 * clock.Millis(1)
	// isolatedSpan is how long no control host was in touch with a quorum before
	// the word of another one counts.
	isolatedSpan = 2 * clock.Second
)

// Ask is a question to the control host at an address.
type Ask struct {
	Address string
	Fetch   msgs.Fetch
	// Fresh asks for a new connection, because the present one is silent.
	Fresh bool
}

// Accepted is what an entry host takes from a reply.
type Accepted struct {
	News []msgs.News
	// Delta leads to a newer routing table, or is nil.
	Delta *routes.Delta
	Loads choose.Shares
}

type source struct {
	run, position uint64
	// askedAt is the time of the oldest question that has no reply yet, or 0.
	askedAt clock.Millis
	// full is set while a full question has no reply.
	full bool
	// repliedAt is the time of the latest reply, current whether the host was in
	// touch with a quorum then.
	repliedAt clock.Millis
	current   bool
	// silent are the servers that the host no longer hears.
	silent map[string]bool
}

// Poller decides for one entry host. It is not safe for concurrent use.
type Poller struct {
	name      string
	started   clock.Millis
	seeds     []string
	learned   []string
	sources   map[string]*source
	primary   string
	number    uint64
	asked     map[uint64]string
	nextAt    clock.Millis
	wideAt    clock.Millis
	repliedAt clock.Millis
	currentAt clock.Millis
}

// New returns a Poller for the host of a name that knows some control hosts.
func New(name string, seeds []string, now clock.Millis) *Poller {
	return &Poller{
		name: name, started: now, seeds: slices.Clone(seeds),
		sources: map[string]*source{}, asked: map[uint64]string{},
	}
}

// Reseed replaces the control hosts known from settings.
func (p *Poller) Reseed(seeds []string) { p.seeds = slices.Clone(seeds) }

// Restart asks all control hosts for everything again, because news were lost.
func (p *Poller) Restart() {
	for _, s := range p.sources {
		s.run, s.position = 0, 0
	}
}

// Primary returns the control host that is asked first.
func (p *Poller) Primary() string { return p.primary }

// Settled reports whether a control host in touch with a quorum replied lately.
func (p *Poller) Settled(now clock.Millis) bool {
	return p.currentAt > 0 && now-p.currentAt < settledSpan
}

// Isolated reports whether no control host in touch with a quorum has replied
// for long.
func (p *Poller) Isolated(now clock.Millis) bool {
	return now-max(p.currentAt, p.started) > isolatedSpan
}

// Tick returns the questions that are due.
func (p *Poller) Tick(now clock.Millis, version uint64, loads choose.Shares) []Ask {
	var asks []Ask
	if p.primary != "" && now >= p.nextAt && !p.waits(now, p.primary) {
		p.nextAt = now + Span
		asks = append(asks, p.ask(now, p.primary, version, loads))
		p.sources[p.primary].full = true
	}
	healthy := p.primary != "" && !p.primaryFails(now)
	if healthy || now < p.wideAt {
		return asks
	}
	p.wideAt = now + wideSpan
	if version == 0 {
		p.wideAt = now + firstSpan
	}
	for _, address := range p.addresses() {
		if address != p.primary {
			a := p.ask(now, address, version, nil)
			a.Fetch.Brief = true
			asks = append(asks, a)
		}
	}
	return asks
}

// waits reports whether the reply to a full question may still come. A whole
// table takes a while on the link of a small host, and asking again would only
// send it twice.
func (p *Poller) waits(now clock.Millis, address string) bool {
	s := p.sources[address]
	return s != nil && s.full && s.askedAt > 0 && now-s.askedAt < replySpan
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

func (p *Poller) ask(now clock.Millis, address string, version uint64, loads choose.Shares) Ask {
	s := p.sources[address]
	if s == nil {
		s = &source{silent: map[string]bool{}}
		p.sources[address] = s
	}
	fresh := s.askedAt > 0 && now-s.askedAt >= replySpan
	if fresh {
		p.forget(address, p.number)
	}
	if fresh || s.askedAt == 0 {
		s.askedAt, s.full = now, false
	}
	p.number++
	p.asked[p.number] = address
	return Ask{address, msgs.Fetch{
		Name: p.name, Number: p.number, Run: s.run, Since: s.position, Version: version, Loads: loads,
	}, fresh}
}

// Reply takes a reply and returns what counts of it. Version is the version of
// the routing table that the host has.
func (p *Poller) Reply(now clock.Millis, r *msgs.FetchReply, version uint64) Accepted {
	address, ok := p.asked[r.Number]
	if !ok {
		return Accepted{}
	}
	p.forget(address, r.Number)
	s := p.sources[address]
	if s.run != r.Run {
		s.run, s.position = r.Run, 0
	}
	s.position = max(s.position, r.Position)
	s.askedAt, s.full, s.repliedAt, s.current = 0, false, now, r.Current
	clear(s.silent)
	for _, id := range r.Silent {
		s.silent[id] = true
	}
	if len(r.Controls) > 0 {
		p.learned = r.Controls
	}
	if p.primary == "" || r.Current && address != p.primary && p.primaryFails(now) {
		// What a brief reply left out is asked for at once.
		p.primary, p.nextAt = address, now
	}
	if address == p.primary {
		p.repliedAt = now
	}
	if r.Current {
		p.currentAt = now
	}
	isolated := p.Isolated(now)
	a := Accepted{News: r.News}
	if r.Delta != nil && (r.Current || isolated && version == 0) {
		a.Delta = r.Delta
	}
	if address == p.primary && r.Loads != nil {
		a.Loads = r.Loads
	}
	return a
}

// primaryFails reports whether the first control host is late with its reply, or
// out of touch with a quorum.
func (p *Poller) primaryFails(now clock.Millis) bool {
	return now-p.repliedAt >= lateSpan || !p.sources[p.primary].current
}

// forget drops the questions to a control host up to a number: their replies came
// or are no longer awaited.
func (p *Poller) forget(address string, upTo uint64) {
	for number, to := range p.asked {
		if to == address && number <= upTo {
			delete(p.asked, number)
		}
	}
}

// Silent reports whether a server has ceased to announce itself, as far as the
// control hosts can tell. Without one in touch with a quorum, each hears only
// its own part of a partition, so a server counts as heard while any hears it.
// Known is false when no control host has replied lately.
func (p *Poller) Silent(now clock.Millis, id string) (silent, known bool) {
	settled := p.Settled(now)
	silent = true
	for _, s := range p.sources {
		if s.repliedAt == 0 || now-s.repliedAt > isolatedSpan || settled && !s.current {
			continue
		}
		known = true
		silent = silent && s.silent[id]
	}
	return silent && known, known && (settled || p.Isolated(now))
}
