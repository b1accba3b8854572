// Package fleet holds the latest announcement of each backend server and
// distinguishes the incarnations of a server that restarted.
//
// Records are merged by last-writer-wins on (start time, sequence number), so
// hosts that exchange records in any order converge on the same set.
package fleet

import (
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// State is the lifecycle state that a server announces.
type State uint8

// States, in the order in which a server passes through them.
const (
	Ready State = iota + 1
	Draining
	Left
)

// String returns the state in lower case.
func (s State) String() string {
	names := [...]string{"unknown", "ready", "draining", "left"}
	if int(s) >= len(names) {
		return names[0]
	}
	return names[s]
}

// Record is one announcement of a server.
type Record struct {
	ID string `msgpack:"id"`
	// Number is the numeric form of ID that packets carry.
	Number uint64 `msgpack:"number"`
	// Started is the server's wall clock at its start. It only identifies the
	// incarnation and is not used to measure time. It is 0 for servers that take
	// a new ID at each start.
	Started clock.Millis `msgpack:"started"`
	// Seq counts the announcements of one incarnation.
	Seq     uint64         `msgpack:"seq"`
	Service string         `msgpack:"service"`
	Address netip.AddrPort `msgpack:"address"`
	Centre  string         `msgpack:"centre"`
	// Slots is the number of requests that the server processes concurrently.
	Slots int   `msgpack:"slots"`
	State State `msgpack:"state"`
	// Warmup is how long the server is cold from this announcement on: it bears only the
	// rate of requests that the routing table names. It is 0 for a warm server.
	Warmup clock.Millis `msgpack:"warmup,omitempty"`
}

// supersedes reports whether r is newer than old, a record of the same server.
func (r *Record) supersedes(old *Record) bool {
	if r.Started != old.Started {
		return r.Started > old.Started
	}
	if r.Seq != old.Seq {
		return r.Seq > old.Seq
	}
	return r.State > old.State
}

// equivalent reports whether two records agree in every field that routing
// depends on. Of Warmup it compares only whether the server is cold, since the rest is
// the passage of time.
func (r *Record) equivalent(old *Record) bool {
	return r.Started == old.Started && r.Service == old.Service && r.Address == old.Address &&
		r.Centre == old.Centre && r.Slots == old.Slots && r.State == old.State &&
		(r.Warmup > 0) == (old.Warmup > 0)
}

// ColdUntil returns the time until which the server is cold by its latest announcement,
// or 0 if it announced that it is warm.
func (s *Server) ColdUntil() clock.Millis {
	if s.Warmup <= 0 {
		return 0
	}
	return s.announcedAt + s.Warmup
}

// Server is the latest record of a server and its liveness, derived by this host
// or reported by another one.
type Server struct {
	Record
	// announcedAt is the time of the latest announcement known to this host.
	announcedAt clock.Millis
	// silentSince is when the server was marked silent, or 0.
	silentSince clock.Millis
	// endedAt is when this host learned that the incarnation has ended, or 0.
	endedAt clock.Millis
	// lastChange is the position of the server's latest change. lastTouch is the
	// position of its latest change or direct announcement.
	lastChange uint64
	lastTouch  uint64
}

// LastAnnounced returns the time of the latest announcement.
func (s *Server) LastAnnounced() clock.Millis { return s.announcedAt }

// Silent reports whether the server has stopped sending announcements.
func (s *Server) Silent() bool { return s.silentSince > 0 }

// Ended reports whether the incarnation is known to have ended.
func (s *Server) Ended() bool { return s.endedAt > 0 }

// Usable reports whether the server takes new flows.
func (s *Server) Usable() bool {
	return s.State == Ready && s.silentSince == 0 && s.endedAt == 0
}

// Outcome is the result of Fleet.Apply.
type Outcome uint8

// Outcomes of Apply.
const (
	// Stale means that the record is not newer than the one held.
	Stale Outcome = iota
	// Refreshed means that the record is newer but changes nothing for routing.
	Refreshed
	// Changed means that the server is new, or that something that routing depends
	// on has changed.
	Changed
)

// Options set the timeouts of a Fleet and how it resolves address conflicts.
type Options struct {
	// SilentAfter is the time without announcements after which a server is
	// silent and takes no new flows.
	SilentAfter clock.Millis
	// ForgetAfter is how long the record of an ended or silent server is kept, so
	// that late announcements are recognised as stale.
	ForgetAfter clock.Millis
	// ReuseAfter is how much later than the owner of an address another server must
	// have announced itself to take the address over, if their start times are equal
	// and the owner has not left.
	ReuseAfter clock.Millis
	// Follower leaves it to SetEnded to decide which of two servers with equal
	// start times owns an address, and accepts an earlier incarnation that was
	// announced later than the one held.
	Follower bool
	// Report, if set, is called when a server counts as ended or is superseded.
	Report func(Decision)
}

// Fleet holds the records of all servers. It is not safe for concurrent use.
type Fleet struct {
	options Options
	servers map[string]*Server
	// owners maps each address to the server that currently owns it.
	owners map[netip.AddrPort]*Server
	// position is incremented at every change and every direct announcement.
	position uint64
	// lastChange is the position of the latest change.
	lastChange uint64
	changes    changeLog
	touches    changeLog
}

// New returns an empty Fleet.
func New(options Options) *Fleet {
	return &Fleet{
		options: options, servers: map[string]*Server{}, owners: map[netip.AddrPort]*Server{},
		changes: changeLog{latest: func(s *Server) uint64 { return s.lastChange }},
		touches: changeLog{latest: func(s *Server) uint64 { return s.lastTouch }},
	}
}

// Len returns the number of records held.
func (f *Fleet) Len() int { return len(f.servers) }

// Find returns the server with the given ID, or nil.
func (f *Fleet) Find(id string) *Server { return f.servers[id] }

// LastChange returns the position of the latest change.
func (f *Fleet) LastChange() uint64 { return f.lastChange }

// Position returns the current position, which ChangedSince and TouchedSince
// accept.
func (f *Fleet) Position() uint64 { return f.position }

// Apply merges a record announced at announcedAt. Direct is true if this host
// received the announcement from the server itself.
func (f *Fleet) Apply(now, announcedAt clock.Millis, r Record, direct bool) Outcome {
	s := f.servers[r.ID]
	if s == nil {
		s = &Server{Record: r, announcedAt: announcedAt}
		f.servers[r.ID] = s
		f.resolveOwner(now, s)
		f.touch(s, true)
		return Changed
	}
	if !r.supersedes(&s.Record) && !f.followsEarlierStart(s, &r, announcedAt) {
		s.announcedAt = f.latestAnnouncement(s, &r, announcedAt)
		return Stale
	}
	outcome := Refreshed
	if !r.equivalent(&s.Record) || s.Silent() {
		outcome = Changed
	}
	oldEndedAt := s.endedAt
	// A new incarnation, or a server that announces itself after it had left, has
	// not ended.
	if r.Started != s.Started || s.State == Left {
		s.endedAt = 0
	}
	if f.owners[s.Address] == s && s.Address != r.Address {
		delete(f.owners, s.Address)
	}
	// The times of two incarnations can't be merged: on a Follower, a record may
	// replace one that was announced later.
	if !f.options.Follower || r.Started == s.Started {
		announcedAt = max(announcedAt, s.announcedAt)
	}
	before, beforeAt := s.Record, s.announcedAt
	s.Record, s.announcedAt, s.silentSince = r, announcedAt, 0
	if r.Started != before.Started {
		f.decide(now, RuleSuperseded, &before, beforeAt, s)
	}
	f.resolveOwner(now, s)
	if (oldEndedAt > 0) != s.Ended() {
		outcome = Changed
	}
	if outcome == Changed || direct {
		f.touch(s, outcome == Changed)
	}
	return outcome
}

// followsEarlierStart reports whether a Follower replaces s by r, which has an earlier
// start. Control hosts send a record only if it is the one that they believe, so the
// record announced later is their later decision.
func (f *Fleet) followsEarlierStart(s *Server, r *Record, announcedAt clock.Millis) bool {
	return f.options.Follower && r.Started < s.Started && announcedAt > s.announcedAt
}

// latestAnnouncement returns the time of the latest announcement of s after
// receiving r, which does not supersede its record. Only a duplicate of the
// current announcement can advance the time.
func (f *Fleet) latestAnnouncement(s *Server, r *Record, announcedAt clock.Millis) clock.Millis {
	if r.Started == s.Started && r.Seq == s.Seq {
		return max(announcedAt, s.announcedAt)
	}
	return s.announcedAt
}

// resolveOwner decides whether s or the present owner of its address owns it (see
// replaces), and marks the other server as ended. A Follower marks neither if
// their start times are equal. A server that has left is always marked as ended.
func (f *Fleet) resolveOwner(now clock.Millis, s *Server) {
	if s.State == Left {
		f.markEnded(now, s, RuleLeft, nil)
	}
	owner := f.owners[s.Address]
	switch {
	case owner == nil || owner == s:
		f.owners[s.Address] = s
	case f.replaces(s, owner):
		f.markEnded(now, owner, RuleAddressTaken, s)
		f.owners[s.Address] = s
		if s.State != Left {
			s.endedAt = 0
		}
	case !f.options.Follower || s.Started != owner.Started:
		f.markEnded(now, s, RuleAddressTaken, owner)
	}
}

// replaces reports whether s takes over the address of owner: if s started later
// or, with equal start times, if owner has left and s has not, or if s was
// announced at least ReuseAfter later than an owner that has not left. A delayed
// announcement of the previous owner fails this test, because the new owner keeps
// announcing itself. On a Follower, s never replaces an owner with an equal start
// time.
func (f *Fleet) replaces(s, owner *Server) bool {
	switch {
	case s.Started != owner.Started:
		return s.Started > owner.Started
	case f.options.Follower:
		return false
	case owner.State == Left:
		return s.State != Left
	}
	return s.announcedAt-owner.announcedAt >= f.options.ReuseAfter
}

func (f *Fleet) markEnded(now clock.Millis, s *Server, rule Rule, rival *Server) {
	if s.endedAt == 0 {
		s.endedAt = now
		f.decide(now, rule, &s.Record, s.announcedAt, rival)
		f.touch(s, true)
	}
}

// touch advances the position and assigns it to s as its latest touch and, if
// changed is set, as its latest change.
func (f *Fleet) touch(s *Server, changed bool) {
	f.position++
	s.lastTouch = f.position
	f.touches.add(f.position, s, len(f.servers))
	if changed {
		s.lastChange, f.lastChange = f.position, f.position
		f.changes.add(f.position, s, len(f.servers))
	}
}

// Leave records that a server has left. It returns the server's record and
// whether the server was known.
func (f *Fleet) Leave(now clock.Millis, id string) (Record, bool) {
	s := f.servers[id]
	if s == nil {
		return Record{}, false
	}
	if s.State != Left {
		s.State = Left
		f.resolveOwner(now, s)
		f.touch(s, true)
	}
	return s.Record, true
}

// Expire marks servers as silent whose announcements are overdue, removes the
// ones that have been ended or silent for longer than Options.ForgetAfter, and
// returns the IDs of the newly silent ones.
func (f *Fleet) Expire(now clock.Millis) []string {
	var silent []string
	for id, s := range f.servers {
		switch {
		case s.endedAt > 0 && now-s.endedAt > f.options.ForgetAfter,
			s.silentSince > 0 && now-s.silentSince > f.options.ForgetAfter:
			f.remove(id, s)
		case s.silentSince == 0 && s.endedAt == 0 && now-s.announcedAt > f.options.SilentAfter:
			s.silentSince = now
			f.touch(s, true)
			silent = append(silent, id)
		}
	}
	return silent
}

func (f *Fleet) remove(id string, s *Server) {
	delete(f.servers, id)
	s.lastChange, s.lastTouch = 0, 0
	if f.owners[s.Address] == s {
		delete(f.owners, s.Address)
	}
}

// ChangedSince returns the servers that changed after position.
func (f *Fleet) ChangedSince(position uint64) []*Server { return f.changes.since(position) }

// TouchedSince returns the servers that changed, or sent an announcement
// directly to this host, after position.
func (f *Fleet) TouchedSince(position uint64) []*Server { return f.touches.since(position) }

// SetSilent sets whether a server is silent, as reported by another host.
func (f *Fleet) SetSilent(now clock.Millis, id string, silent bool) {
	s := f.servers[id]
	if s == nil || s.Silent() == silent {
		return
	}
	s.silentSince = 0
	if silent {
		s.silentSince = now
	}
	f.touch(s, true)
}

// SetEnded sets whether an incarnation has ended, as reported by another host.
func (f *Fleet) SetEnded(now clock.Millis, id string, ended bool) {
	s := f.servers[id]
	switch {
	case s == nil || s.Ended() == ended:
	case ended:
		s.endedAt = now
		f.touch(s, true)
	default:
		s.endedAt = 0
		f.owners[s.Address] = s
		f.touch(s, true)
	}
}

// Each calls visit for each server, in no particular order.
func (f *Fleet) Each(visit func(*Server)) {
	for _, s := range f.servers {
		visit(s)
	}
}

// EndedFor returns the time since this host learned that the incarnation has
// ended, or 0 if it has not ended.
func (s *Server) EndedFor(now clock.Millis) clock.Millis {
	if s.endedAt == 0 {
		return 0
	}
	return now - s.endedAt
}
