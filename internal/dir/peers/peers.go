// Package peers keeps, on a control host, which entry hosts take new flows. It is
// designed for overload that hundreds of entry hosts see at the same time: they split
// the slots of the servers among themselves, and all need the same list for that.
//
// Each control host lists the entry hosts that poll it and learns the lists of the other
// control hosts. An entry host that polls another control host than before is in the
// lists of both for a while, so that it is never missing from the union.
//
// The package does no I/O.
package peers

import (
	"maps"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
)

const (
	// maxAge is the time after which an entry host that no longer polls, or the list of
	// a control host that no longer answers, is dropped. An entry host whose control
	// host fails polls another one within 1.5 s, and the exchange takes 300 ms.
	maxAge = 2 * clock.Second
	// expireInterval is the time between two searches for what is too old.
	expireInterval = 100 * clock.Millis(1)
	// settleTime is how long no list is given out after a start or a stall. By then, the
	// entry hosts have polled again and the other control hosts have answered. Until
	// then, the lists would lack entry hosts that take flows.
	settleTime = 2 * clock.Second
	// maxHosts bounds the entry hosts that are listed.
	maxHosts = 4096
	// emptyVersion is the version of the lists of a control host without entry hosts.
	emptyVersion = 1
)

// entryHost is an entry host that polls this control host.
type entryHost struct {
	centre   string
	polledAt clock.Millis
}

// controlHost is the latest list of another control host.
type controlHost struct {
	answeredAt clock.Millis
	version    uint64
	byCentre   map[string][]uint64
}

// list is a sorted list of hashes of names, and a hash of it that is not 0.
type list struct {
	hosts   []uint64
	version uint64
}

// Peers holds the entry hosts that take new flows. It is not safe for concurrent use.
type Peers struct {
	settledAt    clock.Millis
	nextExpireAt clock.Millis
	// entryHosts are those that poll this control host, by the hash of the name.
	entryHosts   map[uint64]entryHost
	controlHosts map[string]*controlHost
	// own are the entryHosts by data centre, or nil if they have changed since, and
	// ownVersion a hash of them that is not 0.
	own        map[string][]uint64
	ownVersion uint64
	// all caches the lists of all control hosts together, by data centre.
	all map[string]list
}

// New returns empty lists, on a control host that starts now.
func New(now clock.Millis) *Peers {
	return &Peers{
		settledAt: now + settleTime, entryHosts: map[uint64]entryHost{}, controlHosts: map[string]*controlHost{}, all: map[string]list{},
	}
}

// Resume drops what is too old and gives out no lists for a while, after the process was
// suspended.
func (p *Peers) Resume(now clock.Millis) {
	p.nextExpireAt = now
	p.settledAt = now + settleTime
}

// Polled records a poll of an entry host, and whether the entry host takes new flows.
// Brief polls go to several control hosts. They can only end the listing.
func (p *Peers) Polled(now clock.Millis, name, centre string, brief, sharing bool) {
	p.expire(now)
	key := hash.String(name)
	known, listed := p.entryHosts[key]
	switch {
	case !sharing && listed:
		delete(p.entryHosts, key)
		p.changed()
	case !sharing || brief:
	case listed && known.centre == centre:
		p.entryHosts[key] = entryHost{centre, now}
	case listed || len(p.entryHosts) < maxHosts:
		p.entryHosts[key] = entryHost{centre, now}
		p.changed()
	}
}

// Learned records the answer of another control host with its own lists. If the version
// is the one that Version returned, the lists are unchanged. Version 0 means that the
// control host does not know its lists yet.
func (p *Peers) Learned(now clock.Millis, control string, version uint64, byCentre map[string][]uint64) {
	p.expire(now)
	c := p.controlHosts[control]
	if c == nil {
		c = &controlHost{}
		p.controlHosts[control] = c
	}
	// A control host that was restarted without losing its entry hosts does not know them
	// for settleTime. Its earlier lists hold until then.
	c.answeredAt = now
	// Without lists, another version than the present one answers a request from before
	// the lists were dropped. They are requested again.
	if version == 0 || version == c.version || len(byCentre) == 0 && version != emptyVersion {
		return
	}
	c.version, c.byCentre = version, byCentre
	clear(p.all)
}

// Version returns the version of the lists of another control host that this one holds,
// or 0.
func (p *Peers) Version(control string) uint64 {
	if c := p.controlHosts[control]; c != nil {
		return c.version
	}
	return 0
}

// Own returns the sorted hashes of the entry hosts that poll this control host, by data
// centre, and a hash of them, for other control hosts. The lists are left out if the
// other control host has this version. The version is 0 while the lists are not known.
func (p *Peers) Own(now clock.Millis, known uint64) (byCentre map[string][]uint64, version uint64) {
	p.expire(now)
	if now < p.settledAt {
		return nil, 0
	}
	p.updateOwn()
	if known == p.ownVersion {
		return nil, known
	}
	return p.own, p.ownVersion
}

// Hosts returns the sorted hashes of the entry hosts of a data centre that take new
// flows, and a hash of the list. Both are left out if the list has the known version, or
// is not known yet.
func (p *Peers) Hosts(now clock.Millis, centre string, known uint64) (hosts []uint64, version uint64) {
	p.expire(now)
	if now < p.settledAt {
		return nil, 0
	}
	l := p.listOf(centre)
	if l.version == known {
		return nil, 0
	}
	return l.hosts, l.version
}

// AllHosts returns the same as Hosts and also, for a host that uses the servers of all
// data centres, the lists of the other data centres. The version is a hash of all lists.
func (p *Peers) AllHosts(now clock.Millis, centre string, known uint64) (hosts []uint64, elsewhere map[string][]uint64, version uint64) {
	p.expire(now)
	if now < p.settledAt {
		return nil, nil, 0
	}
	version = 1
	centres := p.centres()
	for _, other := range centres {
		version = hash.Mix(version, hash.Mix(hash.String(other), p.listOf(other).version))
	}
	version = max(version, 1)
	if version == known {
		return nil, nil, 0
	}
	elsewhere = map[string][]uint64{}
	for _, other := range centres {
		if l := p.listOf(other); other != centre && len(l.hosts) > 0 {
			elsewhere[other] = l.hosts
		}
	}
	return p.listOf(centre).hosts, elsewhere, version
}

// centres returns the sorted names of the data centres that have lists.
func (p *Peers) centres() []string {
	p.updateOwn()
	centres := slices.Collect(maps.Keys(p.own))
	for _, c := range p.controlHosts {
		centres = slices.AppendSeq(centres, maps.Keys(c.byCentre))
	}
	slices.Sort(centres)
	return slices.Compact(centres)
}

// Counts returns the number of entry hosts that take new flows by data centre.
func (p *Peers) Counts(now clock.Millis) map[string]int {
	p.expire(now)
	counts := map[string]int{}
	for _, centre := range p.centres() {
		counts[centre] = len(p.listOf(centre).hosts)
	}
	return counts
}

// Len returns the number of entry hosts that take new flows in all data centres.
func (p *Peers) Len(now clock.Millis) int {
	n := 0
	for _, count := range p.Counts(now) {
		n += count
	}
	return n
}

// changed drops the lists that depend on entryHosts.
func (p *Peers) changed() {
	p.own = nil
	clear(p.all)
}

// expire drops the entry hosts and the lists that are too old.
func (p *Peers) expire(now clock.Millis) {
	if now < p.nextExpireAt {
		return
	}
	p.nextExpireAt = now + expireInterval
	for key, e := range p.entryHosts {
		if now-e.polledAt > maxAge {
			delete(p.entryHosts, key)
			p.changed()
		}
	}
	for id, c := range p.controlHosts {
		if now-c.answeredAt > maxAge {
			delete(p.controlHosts, id)
			clear(p.all)
		}
	}
}

// updateOwn brings own in line with entryHosts.
func (p *Peers) updateOwn() {
	if p.own != nil {
		return
	}
	p.own, p.ownVersion = map[string][]uint64{}, emptyVersion
	for key, e := range p.entryHosts {
		p.own[e.centre] = append(p.own[e.centre], key)
	}
	for _, centre := range slices.Sorted(maps.Keys(p.own)) {
		slices.Sort(p.own[centre])
		p.ownVersion = hash.Mix(p.ownVersion, hash.Mix(hash.String(centre), versionOf(p.own[centre])))
	}
	p.ownVersion = max(p.ownVersion, 1)
}

// listOf returns the list of all entry hosts of a data centre.
func (p *Peers) listOf(centre string) list {
	if l, cached := p.all[centre]; cached {
		return l
	}
	p.updateOwn()
	hosts := slices.Clone(p.own[centre])
	for _, c := range p.controlHosts {
		hosts = append(hosts, c.byCentre[centre]...)
	}
	slices.Sort(hosts)
	hosts = slices.Compact(hosts)
	l := list{hosts, versionOf(hosts)}
	p.all[centre] = l
	return l
}

// versionOf returns a hash of a list that is not 0.
func versionOf(hosts []uint64) uint64 {
	h := uint64(1)
	for _, host := range hosts {
		h = hash.Mix(h, host)
	}
	return max(h, 1)
}
