// Package roster keeps the list of backend servers of one data centre. A server
// sends its heartbeats to one entry host, its keeper, which detects when they
// stop. Changes of the list spread by gossip. Heartbeats do not.
//
// This keeper is independent of the lease keeper of package lease, which grants
// the server's slots.
package roster

import (
	"cmp"
	"maps"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/host/rumor"
)

// Timing of heartbeats and of state changes.
const (
	// HeartbeatInterval is the interval between two announcements of a server,
	// which are its heartbeats.
	HeartbeatInterval = clock.Second
	// HeartbeatTimeout is how long a keeper waits for an announcement before it
	// marks the server as gone.
	HeartbeatTimeout = 3 * clock.Second
	// KeeperTimeout is how long a server may be without a live keeper before it
	// gets no new work.
	KeeperTimeout = 6 * clock.Second
	// goneRetention is how long a server that is gone stays in the list.
	goneRetention = 30 * clock.Minute
	// SlowStartWindow is how long the load of a new server is limited.
	SlowStartWindow = 10 * clock.Second
)

// State is the state of a server in the gossiped list.
type State uint8

// States of a server.
const (
	// Up servers get new work.
	Up State = iota
	// Draining servers keep their flows but get no new work.
	Draining
	// Gone servers have left or have stopped sending announcements.
	Gone
)

// String returns the state in lower case.
func (s State) String() string { return [...]string{"up", "draining", "gone"}[min(s, Gone)] }

// Announcement is a server's heartbeat, with its present settings.
type Announcement struct {
	Name        string       `json:"name"`
	Service     string       `json:"service"`
	Address     string       `json:"address"`
	Start       clock.Millis `json:"start"`
	Weight      uint32       `json:"weight"`
	Slots       uint32       `json:"slots"`
	Connections uint32       `json:"connections"`
	Draining    bool         `json:"draining"`
	Leaving     bool         `json:"leaving"`
}

// Info is the gossiped record of one server.
type Info struct {
	Name    string
	Service string
	Address string
	// Start orders the incarnations of the server. It is the start time of the server
	// process, or later if the record replaced one with a later start.
	Start clock.Millis
	// Rev orders the records of one incarnation of the server.
	Rev         uint64
	Weight      uint32
	Slots       uint32
	Connections uint32
	State       State
	// Keeper is the entry host that received the server's latest announcement.
	Keeper string
}

// overrides reports whether a is newer than b. The name of the keeper breaks
// ties, so that all hosts keep the same record.
func (a *Info) overrides(b *Info) bool {
	if a.Start != b.Start {
		return a.Start > b.Start
	}
	if a.Rev != b.Rev {
		return a.Rev > b.Rev
	}
	return a.Keeper > b.Keeper
}

// Server is the gossiped record of a server and the state that this host keeps
// for it.
type Server struct {
	info Info
	// announcedStart is the start time in the latest announcement to this host.
	announcedStart clock.Millis
	// aliveAt is when this host last received an announcement, or last found
	// the keeper alive. While this host lacks a majority, all servers that are
	// not gone count as alive.
	aliveAt clock.Millis
	// firstSeenAt is when this host first saw this incarnation of the server, or
	// saw it return after it was gone.
	firstSeenAt clock.Millis
	// changedAt is when the state or the keeper last changed.
	changedAt clock.Millis
	// movedAt is when the service or the address last changed.
	movedAt clock.Millis
	// slowStart is set when the server started, or returned after it was gone, while
	// this host was running.
	slowStart bool
	// orphanedAt is when this host found that the server has no live keeper, or
	// zero. It is local to this host and not gossiped.
	orphanedAt clock.Millis
}

// Info returns the gossiped record of the server.
func (s *Server) Info() Info { return s.info }

// Usable reports whether the server is up and has a live keeper, so that it may
// get new work.
func (s *Server) Usable() bool { return s.info.State == Up && s.orphanedAt == 0 }

// Missing reports whether the server is gone, or has no live keeper. It may serve its flows all
// the same.
func (s *Server) Missing() bool { return s.info.State == Gone || s.orphanedAt != 0 }

// MovedAt returns when the server got its present service and address, as far as known here.
func (s *Server) MovedAt() clock.Millis { return s.movedAt }

// SlowStartFactor returns the fraction of its usual load that the server may get.
// It rises from 0.1 to 1 during SlowStartWindow.
func (s *Server) SlowStartFactor(now clock.Millis) float64 {
	if !s.slowStart {
		return 1
	}
	return min(1, max(0.1, float64(now-s.firstSeenAt)/float64(SlowStartWindow)))
}

// StartedWithin reports whether the server started, or returned after it was
// gone, less than span ago. It is false for a server that may have been running
// before this host started.
func (s *Server) StartedWithin(now, span clock.Millis) bool {
	return s.slowStart && now-s.firstSeenAt < span
}

// Roster is one host's list of servers. It is not safe for concurrent use.
type Roster struct {
	self    string
	servers map[string]*Server
	// services holds the servers of each service by name.
	services map[string]map[string]*Server
	// atAddress holds the servers at each address, and shared the addresses of servers of
	// several services.
	atAddress map[string][]*Server
	shared    map[string]bool
	// changed holds the services whose servers changed since the last
	// TakeChanged.
	changed map[string]bool
	rumors  rumor.Set[string, Info]
	version uint64
	// hostStartedAt is when this host started, and tickedAt when it last ran Tick.
	hostStartedAt clock.Millis
	tickedAt      clock.Millis
	// sortedNames caches the sorted names of the servers.
	sortedNames []string
}

// New returns the empty Roster of the host called self.
func New(self string, now clock.Millis) *Roster {
	return &Roster{self: self, servers: map[string]*Server{}, services: map[string]map[string]*Server{}, changed: map[string]bool{}, atAddress: map[string][]*Server{}, shared: map[string]bool{}, version: 1, hostStartedAt: now, tickedAt: now}
}

// Version returns a number that increases when a server is added, when its record
// changes in more than its revision and keeper, or when it loses or regains a
// live keeper.
func (r *Roster) Version() uint64 { return r.version }

// TakeChanged returns the services whose servers changed since the last call.
func (r *Roster) TakeChanged() map[string]bool {
	changed := r.changed
	r.changed = map[string]bool{}
	return changed
}

// markChanged records a change of the servers of a service.
func (r *Roster) markChanged(service string) {
	if service != "" {
		r.changed[service] = true
		r.version++
	}
}

// Find returns the server called name, or nil.
func (r *Roster) Find(name string) *Server { return r.servers[name] }

// Len returns the number of servers in the list.
func (r *Roster) Len() int { return len(r.servers) }

// Announce applies an announcement that a server sent to this host, and makes
// this host the server's keeper. It ignores announcements with an earlier start than
// that of the record, unless the server of the record is gone: the start may be that of
// another writer, or of a clock that was set back meanwhile.
func (r *Roster) Announce(now clock.Millis, a *Announcement) {
	next := Info{
		Name: a.Name, Service: a.Service, Address: a.Address, Start: a.Start,
		Weight: a.Weight, Slots: a.Slots, Connections: a.Connections, Keeper: r.self,
	}
	switch {
	case a.Leaving:
		next.State = Gone
	case a.Draining:
		next.State = Draining
	}
	s := r.servers[a.Name]
	if s == nil {
		r.apply(now, &next)
		r.servers[a.Name].aliveAt, r.servers[a.Name].announcedStart = now, a.Start
		return
	}
	if next.Start < s.info.Start {
		switch {
		case s.info.Keeper == r.self && next.Start == s.announcedStart:
			next.Start = s.info.Start
		case s.info.State == Gone || s.orphanedAt != 0:
			next.Start = s.info.Start + 1
		default:
			return
		}
	}
	s.aliveAt, s.announcedStart = now, a.Start
	next.Rev = s.info.Rev
	if next == s.info {
		return
	}
	next.Rev++
	r.apply(now, &next)
}

// Merge applies the records of another host that are newer than those held
// here.
func (r *Roster) Merge(now clock.Millis, infos []Info) {
	for i := range infos {
		s := r.servers[infos[i].Name]
		if s == nil || infos[i].overrides(&s.info) {
			r.apply(now, &infos[i])
		}
	}
}

// apply stores a record and queues it for gossip.
func (r *Roster) apply(now clock.Millis, info *Info) {
	s := r.servers[info.Name]
	if s == nil {
		// A server seen soon after this host started was probably running
		// before, and needs no slow start. Its keeper may be this host itself,
		// from before a restart, so aliveAt gives it time to send an
		// announcement again.
		s = &Server{firstSeenAt: now, changedAt: now, aliveAt: now, slowStart: now-r.hostStartedAt > 2*HeartbeatTimeout}
		r.servers[info.Name] = s
	} else {
		if s.info.Start != info.Start || s.info.State == Gone && info.State == Up {
			s.firstSeenAt, s.slowStart = now, true
		}
		if s.info.State != info.State || s.info.Keeper != info.Keeper {
			s.changedAt = now
		}
	}
	if s.info.Name == "" || differ(&s.info, info) {
		r.markChanged(s.info.Service)
		r.markChanged(info.Service)
	}
	if s.info.Service != info.Service {
		delete(r.services[s.info.Service], info.Name)
		if r.services[info.Service] == nil {
			r.services[info.Service] = map[string]*Server{}
		}
		r.services[info.Service][info.Name] = s
	}
	if s.info.Service != info.Service || s.info.Address != info.Address {
		r.removeAddress(s)
		s.info, s.movedAt = *info, now
		r.addAddress(s)
	}
	s.info = *info
	r.setOrphaned(s, 0)
	r.rumors.Put(info.Name, *info)
}

func (r *Roster) addAddress(s *Server) {
	address := s.info.Address
	r.atAddress[address] = append(r.atAddress[address], s)
	r.updateShared(address)
}

func (r *Roster) removeAddress(s *Server) {
	address := s.info.Address
	r.atAddress[address] = slices.DeleteFunc(r.atAddress[address], func(other *Server) bool { return other == s })
	if len(r.atAddress[address]) == 0 {
		delete(r.atAddress, address)
	}
	r.updateShared(address)
}

func (r *Roster) updateShared(address string) {
	for _, s := range r.atAddress[address] {
		if s.info.Service != r.atAddress[address][0].info.Service {
			r.shared[address] = true
			return
		}
	}
	delete(r.shared, address)
}

// Shared reports whether the list has servers of several services at an address.
func (r *Roster) Shared(address string) bool { return r.shared[address] }

// Occupant returns the server at an address that belongs to another service than the given
// one and is not gone, or nil. Of several it returns the one that came last.
func (r *Roster) Occupant(address, service string) *Server {
	var latest *Server
	for _, s := range r.atAddress[address] {
		if s.info.Service != service && s.info.State != Gone && (latest == nil || s.movedAt > latest.movedAt) {
			latest = s
		}
	}
	return latest
}

// differ reports whether the records differ in anything but revision and
// keeper.
func differ(a, b *Info) bool {
	x, y := *a, *b
	x.Rev, y.Rev, x.Keeper, y.Keeper = 0, 0, "", ""
	return x != y
}

// Tick marks servers without announcements as gone, and servers without a live
// keeper as orphaned. KeeperAlive reports whether a host is alive. Pass
// hasMajority as false while this host lacks a majority: no server is then marked
// as gone or orphaned, because it may announce itself to another host. After a stall of
// this host, the time of the stall does not count as silence of its servers.
func (r *Roster) Tick(now clock.Millis, hasMajority bool, keeperAlive func(name string) bool) {
	stall := now - r.tickedAt
	if stall < HeartbeatInterval {
		stall = 0
	}
	r.tickedAt = now
	for _, name := range r.names() {
		s := r.servers[name]
		switch {
		case s.info.State == Gone:
			s.orphanedAt = 0
			if now-s.changedAt > goneRetention {
				delete(r.servers, name)
				r.sortedNames = nil
				delete(r.services[s.info.Service], name)
				r.removeAddress(s)
			}
		case s.info.Keeper == r.self && hasMajority:
			s.aliveAt = min(now, s.aliveAt+stall)
			if now-s.aliveAt > HeartbeatTimeout {
				r.markGone(now, s)
			}
		case !hasMajority || keeperAlive(s.info.Keeper):
			s.aliveAt = now
			r.setOrphaned(s, 0)
		case now-max(s.aliveAt, s.changedAt) > KeeperTimeout && s.orphanedAt == 0:
			r.setOrphaned(s, now)
		}
	}
}

// names returns the names of all servers, sorted.
func (r *Roster) names() []string {
	if len(r.sortedNames) != len(r.servers) {
		r.sortedNames = slices.Sorted(maps.Keys(r.servers))
	}
	return r.sortedNames
}

// setOrphaned sets the time since which the server has no live keeper. Zero means
// that it has one.
func (r *Roster) setOrphaned(s *Server, at clock.Millis) {
	if (s.orphanedAt == 0) != (at == 0) {
		r.markChanged(s.info.Service)
	}
	s.orphanedAt = at
}

func (r *Roster) markGone(now clock.Millis, s *Server) {
	info := s.info
	info.State = Gone
	info.Rev++
	r.apply(now, &info)
}

// TakeUpdates returns at most limit records to gossip next, in a group of the
// given number of hosts.
func (r *Roster) TakeUpdates(limit, group int) []Info { return r.rumors.Take(limit, group) }

// All returns the records of all servers, sorted by name.
func (r *Roster) All() []Info {
	out := make([]Info, 0, len(r.servers))
	for _, s := range r.servers {
		out = append(out, s.info)
	}
	slices.SortFunc(out, func(a, b Info) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Pool returns the servers of a service that may get new work, sorted by name.
// If none is usable, it returns the gone and the orphaned ones that are not
// draining, so that missing heartbeats alone never empty a pool.
func (r *Roster) Pool(service string) []*Server {
	var usable, missing []*Server
	for _, s := range r.services[service] {
		switch {
		case s.Usable():
			usable = append(usable, s)
		case s.info.State != Draining:
			missing = append(missing, s)
		}
	}
	if len(usable) == 0 {
		usable = missing
	}
	slices.SortFunc(usable, func(a, b *Server) int { return cmp.Compare(a.info.Name, b.info.Name) })
	return usable
}

// Digest returns a hash of the list. Hosts with equal lists return equal
// digests.
func (r *Roster) Digest() uint64 {
	var sum uint64
	for _, s := range r.servers {
		i := &s.info
		h := hash.Mix(hash.String(i.Name), uint64(i.Start))
		sum += hash.Mix(h, hash.Mix(i.Rev, uint64(i.State)))
	}
	return sum
}
