package fleet

import (
	"cmp"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// candidate is a record of a server's ID that does not supersede the record held, as the
// clock of the server's machine was set, or another writer uses the ID. It is believed
// once its announcements go on while those of the record held don't.
type candidate struct {
	record Record
	// firstAt and latestAt are the times of its first and latest announcement.
	firstAt, latestAt clock.Millis
}

// sameProcess reports whether two records of one ID are of the same incarnation. A server
// keeps its service and address until it ends.
func (r *Record) sameProcess(old *Record) bool {
	return r.Started == old.Started && r.Service == old.Service && r.Address == old.Address
}

// newer reports whether r is a later announcement than old of the same incarnation.
func (r *Record) newer(old *Record) bool {
	return r.Seq > old.Seq || r.Seq == old.Seq && r.State > old.State
}

// supersedes reports whether r, announced at announcedAt, replaces the record of s.
func (f *Fleet) supersedes(now clock.Millis, s *Server, r *Record, announcedAt clock.Millis) bool {
	same := r.sameProcess(&s.Record)
	switch {
	case same && r.newer(&s.Record):
		f.heldAnnounced(s, announcedAt)
		return true
	case f.options.Follower:
		return f.follows(s, r, announcedAt)
	case r.Started > s.Started:
		return announcedAt >= s.announcedAt
	case announcedAt <= s.announcedAt, r.State == Left, same && (s.State != Ready || r.Seq == s.Seq):
		return false
	}
	return f.persists(now, s, r, announcedAt)
}

// follows reports whether a Follower replaces the record of s. Control hosts send a record
// only if they believe it, so the one that was announced later is their later decision. A
// later start replaces always, as the times that a Follower knows are inexact, and a lower
// Seq of the same incarnation only if the server drains or has left.
func (f *Fleet) follows(s *Server, r *Record, announcedAt clock.Millis) bool {
	if r.Started > s.Started {
		return true
	}
	return announcedAt > s.announcedAt && (!r.sameProcess(&s.Record) || r.State > s.State)
}

// persists notes the announcement r of a candidate, and reports whether it has gone on
// announcing itself for ReuseAfter.
func (f *Fleet) persists(now clock.Millis, s *Server, r *Record, announcedAt clock.Millis) bool {
	c := s.candidate
	switch {
	case c == nil || !c.record.sameProcess(r) && announcedAt-c.latestAt >= f.options.ReuseAfter:
		s.candidate = &candidate{record: *r, firstAt: announcedAt, latestAt: announcedAt}
		f.decide(now, RuleSuperseded, r, announcedAt, s)
		return false
	case !c.record.sameProcess(r) || r.Seq <= c.record.Seq:
		return false
	}
	c.record, c.latestAt = *r, max(announcedAt, c.latestAt)
	return c.latestAt-max(c.firstAt, f.resumedAt) >= f.options.ReuseAfter
}

// heldAnnounced drops the candidate of s, as the incarnation held announced itself. If both
// go on, all hosts must choose the same one: the later start, and with equal starts the one
// that precedes the other by address and service.
func (f *Fleet) heldAnnounced(s *Server, announcedAt clock.Millis) {
	c := s.candidate
	if c == nil || announcedAt < c.firstAt {
		return
	}
	if c.record.Started < s.Started || !c.record.precedes(&s.Record) || announcedAt-c.latestAt >= f.options.ReuseAfter {
		s.candidate = nil
	}
}

func (r *Record) precedes(other *Record) bool {
	return cmp.Or(r.Address.Compare(other.Address), cmp.Compare(r.Service, other.Service)) < 0
}
