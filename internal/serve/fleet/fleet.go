// Package fleet holds the latest announcement of each backend server and
// distinguishes the incarnations of a server that restarted.
//
// The announcements of one incarnation are ordered by their sequence numbers. Of two
// incarnations of an ID, and of two servers at an address, the one that goes on announcing
// itself is believed, so hosts that exchange records in any order converge.
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
	// firstAt and announcedAt are the times of the first and the latest announcement of the
	// incarnation known to this host.
	firstAt, announcedAt clock.Millis
	// silentSince is when the server was marked silent, or 0. While DeferSilence has retracted
	// that, it is 0, and retracted the time.
	silentSince, retracted clock.Millis
	// endedAt is when this host learned that the incarnation has ended, or 0.
	endedAt clock.Millis
	// rivalSince is when the server first announced itself at an address that another one
	// owns, or 0.
	rivalSince clock.Millis
	// restored is set until the server is heard of after a restart of this host.
	restored bool
	// candidate is another incarnation that announces itself under the ID, or nil.
	candidate *candidate
	// others are incarnations that were replaced or are not believed.
	others []other
	// lastChange is the position of the server's latest change. lastTouch is the
	// position of its latest change or direct announcement.
	lastChange uint64
	lastTouch  uint64
}

// LastAnnounced returns the time of the latest announcement.
func (s *Server) LastAnnounced() clock.Millis { return s.announcedAt }

// LastChange returns the position of the server's latest change, in the order of
// Fleet.LastChange.
func (s *Server) LastChange() uint64 { return s.lastChange }

// Silent reports whether the server has stopped sending announcements.
func (s *Server) Silent() bool { return s.silentSince > 0 }

// Restored reports whether the server is ready by a record that was saved before a restart of
// this host, and has not been heard of since.
func (s *Server) Restored() bool { return s.restored }

// Ended reports whether the incarnation is known to have ended.
func (s *Server) Ended() bool { return s.endedAt > 0 }

// Contested reports whether another server owns the address, and both announce themselves.
func (s *Server) Contested() bool { return s.rivalSince > 0 }

// Usable reports whether the server takes new flows.
func (s *Server) Usable() bool {
	return s.State == Ready && s.silentSince == 0 && s.endedAt == 0 && s.rivalSince == 0
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
	// Interval is the time between two announcements of a server, or 0 if it isn't known.
	Interval clock.Millis
	// ReuseAfter is how much later than the owner of an address another server must
	// have announced itself to take the address over, if the owner has not left. An
	// incarnation with an earlier start is believed once its announcements went on for as
	// long, without any of the later one.
	ReuseAfter clock.Millis
	// Follower leaves it to SetEnded and SetSilent which of two servers owns an address, as
	// the times of announcements that a Follower knows are those of the latest changes. Of
	// two incarnations it believes the one announced later.
	Follower bool
	// Report, if set, is called when a server counts as ended or is superseded.
	Report func(Decision)
}

// Fleet holds the records of all servers. It is not safe for concurrent use.
type Fleet struct {
	options Options
	servers map[string]*Server
	addresses
	// resumedAt is when this host was last started or suspended.
	resumedAt clock.Millis
	// deferred is set from DeferSilence to DecideSilence.
	deferred bool
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
		options: options, servers: map[string]*Server{},
		addresses: addresses{owners: map[netip.AddrPort]*Server{}, rivals: map[netip.AddrPort][]*Server{}},
		changes:   changeLog{latest: func(s *Server) uint64 { return s.lastChange }},
		touches:   changeLog{latest: func(s *Server) uint64 { return s.lastTouch }},
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

// Resume tells that announcements may have been lost until now, because this host was
// started or was suspended. No server has ended for not announcing itself before.
func (f *Fleet) Resume(now clock.Millis) { f.resumedAt = now }

// Restore adds a record that was saved before a restart of this host, as announced at
// announcedAt. If the server is ready, the record of another incarnation replaces it that
// another host believes: that host may have heard both.
func (f *Fleet) Restore(now, announcedAt clock.Millis, r Record) {
	f.Apply(now, announcedAt, r, false)
	f.servers[r.ID].restored = r.State == Ready
}

// Apply merges a record announced at announcedAt. Direct is true if this host
// received the announcement from the server itself.
func (f *Fleet) Apply(now, announcedAt clock.Millis, r Record, direct bool) Outcome {
	s := f.servers[r.ID]
	if s == nil {
		s = &Server{Record: r, firstAt: announcedAt, announcedAt: announcedAt}
		f.servers[r.ID] = s
		f.claimAddress(now, s)
		f.touch(s, true)
		return Changed
	}
	if !f.supersedes(now, s, &r, announcedAt, direct) {
		if latest := f.latestAnnouncement(s, &r, announcedAt); latest > s.announcedAt {
			s.announcedAt, s.retracted = latest, 0
		}
		// Another host may believe it.
		if r.Address == s.Address {
			f.AddAliases(now, &r, []Alias{{r.Started, now - announcedAt}})
		}
		return Stale
	}
	outcome := Refreshed
	if !r.equivalent(&s.Record) || s.Unheard() {
		outcome = Changed
	}
	before, beforeAt, ended, contested := s.Record, s.announcedAt, s.Ended(), s.Contested()
	same := r.sameProcess(&before)
	// A new incarnation, or a server that announces itself after it had left, has
	// not ended.
	if !same || s.State == Left {
		s.endedAt = 0
	}
	if s.Address != r.Address {
		f.releaseAddress(s)
	}
	// The times of two incarnations can't be merged: on a Follower, a record may
	// replace one that was announced later.
	if same {
		announcedAt = max(announcedAt, beforeAt)
	} else {
		s.firstAt = announcedAt
	}
	s.Record, s.announcedAt, s.restored = r, announcedAt, false
	s.setSilentSince(0)
	if !same || !r.newer(&before) {
		s.candidate = nil
		f.decide(now, RuleSuperseded, &before, beforeAt, s)
	}
	if r.Started != before.Started {
		s.addOther(other{before.Started, before.Address, now})
	}
	f.claimAddress(now, s)
	if ended != s.Ended() || contested != s.Contested() {
		outcome = Changed
	}
	if outcome == Changed || direct {
		f.touch(s, outcome == Changed)
	}
	return outcome
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
		f.claimAddress(now, s)
		f.touch(s, true)
	}
	return s.Record, true
}

// Expire marks servers as silent whose announcements are overdue, removes the
// ones that have been ended or silent for longer than Options.ForgetAfter, forgets
// aliases that are as old, and returns the IDs of the newly silent ones.
func (f *Fleet) Expire(now clock.Millis) []string {
	var silent []string
	for id, s := range f.servers {
		s.forgetOthers(now - f.options.ForgetAfter)
		switch {
		case s.endedAt > 0 && now-s.endedAt > f.options.ForgetAfter,
			s.silentSince > 0 && now-s.silentSince > f.options.ForgetAfter:
			f.remove(id, s)
		case !f.deferred && s.silentSince == 0 && s.endedAt == 0 && now-s.announcedAt > f.options.SilentAfter:
			s.setSilentSince(now)
			f.touch(s, true)
			silent = append(silent, id)
		}
	}
	return silent
}

func (f *Fleet) remove(id string, s *Server) {
	delete(f.servers, id)
	f.releaseAddress(s)
	s.lastChange, s.lastTouch = 0, 0
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
	s.setSilentSince(0)
	if silent {
		s.setSilentSince(now)
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
		f.touch(s, true)
	}
}

// Each calls visit for each server, in no particular order.
func (f *Fleet) Each(visit func(*Server)) {
	for _, s := range f.servers {
		visit(s)
	}
}
