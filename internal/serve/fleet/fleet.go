// Package fleet keeps what backend servers announce of themselves, one record
// for each server, and tells the incarnations of a restarted server apart.
//
// Records are merged by last-writer-wins on (start, sequence), so that hosts
// that exchange records in any order end with the same ones.
package fleet

import (
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// State is what a server says of itself.
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
	// Number is the ID in the form that packets carry.
	Number uint64 `msgpack:"number"`
	// Started is the server's wall clock at its start. It names the incarnation
	// and measures no time. It is 0 for servers that take a new ID at each start.
	Started clock.Millis `msgpack:"started"`
	// Seq counts the announcements of one incarnation.
	Seq     uint64         `msgpack:"seq"`
	Service string         `msgpack:"service"`
	Address netip.AddrPort `msgpack:"address"`
	Centre  string         `msgpack:"centre"`
	// Slots is how many requests the server works on at once.
	Slots int   `msgpack:"slots"`
	State State `msgpack:"state"`
	// WarmUp is how much longer the server is slow after its start.
	WarmUp clock.Millis `msgpack:"warmUp"`
}

// supersedes reports whether r is a later word of the same server than old.
func (r *Record) supersedes(old *Record) bool {
	if r.Started != old.Started {
		return r.Started > old.Started
	}
	if r.Seq != old.Seq {
		return r.Seq > old.Seq
	}
	return r.State > old.State
}

// sameAs reports whether two records differ in nothing that routing depends on.
func (r *Record) sameAs(old *Record) bool {
	return r.Started == old.Started && r.Service == old.Service && r.Address == old.Address &&
		r.Centre == old.Centre && r.Slots == old.Slots && r.State == old.State && (r.WarmUp > 0) == (old.WarmUp > 0)
}

// Server is a record with what this host knows besides.
type Server struct {
	Record
	// heard is when the latest announcement was made, as far as known here.
	heard clock.Millis
	// silentSince is when announcements ceased, or 0.
	silentSince clock.Millis
	// endedAt is when the incarnation was known to have ended, or 0.
	endedAt clock.Millis
	// changed and touched are positions in the order of changes, and of changes
	// and announcements, of this host.
	changed uint64
	touched uint64
}

// Heard returns when the latest announcement was made.
func (s *Server) Heard() clock.Millis { return s.heard }

// Silent reports whether announcements have ceased.
func (s *Server) Silent() bool { return s.silentSince > 0 }

// Ended reports whether the incarnation is known to have ended.
func (s *Server) Ended() bool { return s.endedAt > 0 }

// Usable reports whether the server takes new flows.
func (s *Server) Usable() bool {
	return s.State == Ready && s.silentSince == 0 && s.endedAt == 0
}

// Outcome is what Fleet.Apply made of a record.
type Outcome uint8

// Outcomes of Apply.
const (
	// Stale is a record that is not newer than the one held.
	Stale Outcome = iota
	// Refreshed is a newer record that says the same.
	Refreshed
	// Changed is a record that says something new.
	Changed
)

// Options set the pace of a Fleet.
type Options struct {
	// SilentAfter is the span without announcements after which a server takes
	// no new flows.
	SilentAfter clock.Millis
	// ForgetAfter is how long the record of an ended or silent server is kept,
	// so that late announcements are recognised.
	ForgetAfter clock.Millis
	// ReuseAfter is the least span between the end of a server and the start of
	// another one at its address.
	ReuseAfter clock.Millis
	// Follower leaves it to SetEnded which of two servers holds an address, where
	// their starts do not tell.
	Follower bool
}

// Fleet holds the records of all servers. It is not safe for concurrent use.
type Fleet struct {
	options Options
	servers map[string]*Server
	// holders maps an address to the server that holds it now.
	holders map[netip.AddrPort]*Server
	order   uint64
	// changedAt is the position of the latest change.
	changedAt uint64
}

// New returns an empty Fleet.
func New(options Options) *Fleet {
	return &Fleet{options: options, servers: map[string]*Server{}, holders: map[netip.AddrPort]*Server{}}
}

// Len returns the count of records held.
func (f *Fleet) Len() int { return len(f.servers) }

// Find returns the server with an ID, or nil.
func (f *Fleet) Find(id string) *Server { return f.servers[id] }

// ChangedAt returns the position of the latest change.
func (f *Fleet) ChangedAt() uint64 { return f.changedAt }

// Position returns the latest position in the order of changes.
func (f *Fleet) Position() uint64 { return f.order }

// Apply takes a record that was announced at heard. Direct says that the server
// announced it to this host itself.
func (f *Fleet) Apply(now, heard clock.Millis, r Record, direct bool) Outcome {
	s := f.servers[r.ID]
	if s == nil {
		s = &Server{Record: r, heard: heard}
		f.servers[r.ID] = s
		f.settle(now, s)
		f.mark(s, true)
		return Changed
	}
	if !r.supersedes(&s.Record) {
		s.heard = f.laterHeard(s, &r, heard)
		return Stale
	}
	outcome := Refreshed
	if !r.sameAs(&s.Record) || s.Silent() {
		outcome = Changed
	}
	before := s.endedAt
	if r.Started != s.Started || s.State == Left {
		s.endedAt = 0
	}
	if f.holders[s.Address] == s && s.Address != r.Address {
		delete(f.holders, s.Address)
	}
	s.Record, s.heard, s.silentSince = r, max(heard, s.heard), 0
	f.settle(now, s)
	if (before > 0) != s.Ended() {
		outcome = Changed
	}
	if outcome == Changed || direct {
		f.mark(s, outcome == Changed)
	}
	return outcome
}

// laterHeard returns when s was heard last, given the same announcement again.
func (f *Fleet) laterHeard(s *Server, r *Record, heard clock.Millis) clock.Millis {
	if r.Started == s.Started && r.Seq == s.Seq {
		return max(heard, s.heard)
	}
	return s.heard
}

// settle ends the incarnations that s proves to be gone, or s itself: an address
// belongs to the server that started last.
func (f *Fleet) settle(now clock.Millis, s *Server) {
	if s.State == Left {
		f.end(now, s)
	}
	holder := f.holders[s.Address]
	switch {
	case holder == nil || holder == s:
		f.holders[s.Address] = s
	case f.follows(s, holder):
		f.end(now, holder)
		f.holders[s.Address] = s
		if s.State != Left {
			s.endedAt = 0
		}
	case !f.options.Follower || s.Started != holder.Started:
		f.end(now, s)
	}
}

// follows reports whether s took the address of holder over. Where starts do not
// tell, a server that was heard while the other no longer was has it: an
// announcement that was held up on its way arrives while the new holder is heard.
func (f *Fleet) follows(s, holder *Server) bool {
	switch {
	case s.Started != holder.Started:
		return s.Started > holder.Started
	case f.options.Follower:
		return false
	case holder.State == Left:
		return s.State != Left
	}
	return s.heard-holder.heard >= f.options.ReuseAfter
}

func (f *Fleet) end(now clock.Millis, s *Server) {
	if s.endedAt == 0 {
		s.endedAt = now
		f.mark(s, true)
	}
}

func (f *Fleet) mark(s *Server, changed bool) {
	f.order++
	s.touched = f.order
	if changed {
		s.changed, f.changedAt = f.order, f.order
	}
}

// Leave records that a server has left, and reports its record and whether the
// server was known.
func (f *Fleet) Leave(now clock.Millis, id string) (Record, bool) {
	s := f.servers[id]
	if s == nil {
		return Record{}, false
	}
	if s.State != Left {
		s.State = Left
		f.settle(now, s)
		f.mark(s, true)
	}
	return s.Record, true
}

// Expire marks servers that ceased to announce themselves, forgets those that
// are gone for long, and returns the ones newly silent.
func (f *Fleet) Expire(now clock.Millis) []string {
	var silent []string
	for id, s := range f.servers {
		switch {
		case s.endedAt > 0 && now-s.endedAt > f.options.ForgetAfter,
			s.silentSince > 0 && now-s.silentSince > f.options.ForgetAfter:
			f.forget(id, s)
		case s.silentSince == 0 && s.endedAt == 0 && now-s.heard > f.options.SilentAfter:
			s.silentSince = now
			f.mark(s, true)
			silent = append(silent, id)
		}
	}
	return silent
}

func (f *Fleet) forget(id string, s *Server) {
	delete(f.servers, id)
	if f.holders[s.Address] == s {
		delete(f.holders, s.Address)
	}
}

// ChangedSince returns the servers whose record changed after position.
func (f *Fleet) ChangedSince(position uint64) []*Server {
	var out []*Server
	for _, s := range f.servers {
		if s.changed > position {
			out = append(out, s)
		}
	}
	return out
}

// TouchedSince returns the servers that changed, or that announced themselves
// to this host, after position.
func (f *Fleet) TouchedSince(position uint64) []*Server {
	var out []*Server
	for _, s := range f.servers {
		if s.touched > position {
			out = append(out, s)
		}
	}
	return out
}

// SetSilent takes another host's word on whether a server still announces
// itself.
func (f *Fleet) SetSilent(now clock.Millis, id string, silent bool) {
	s := f.servers[id]
	if s == nil || s.Silent() == silent {
		return
	}
	s.silentSince = 0
	if silent {
		s.silentSince = now
	}
	f.mark(s, true)
}

// SetEnded takes another host's word on whether an incarnation has ended.
func (f *Fleet) SetEnded(now clock.Millis, id string, ended bool) {
	s := f.servers[id]
	switch {
	case s == nil || s.Ended() == ended:
	case ended:
		f.end(now, s)
	default:
		s.endedAt = 0
		f.holders[s.Address] = s
		f.mark(s, true)
	}
}

// Each calls visit for each server, in no order.
func (f *Fleet) Each(visit func(*Server)) {
	for _, s := range f.servers {
		visit(s)
	}
}

// EndedFor returns how long the incarnation has been known to have ended, or 0.
func (s *Server) EndedFor(now clock.Millis) clock.Millis {
	if s.endedAt == 0 {
		return 0
	}
	return now - s.endedAt
}
