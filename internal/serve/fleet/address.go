package fleet

import (
	"net/netip"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// addresses holds which servers claim each address. Only a Fleet that is not a Follower
// has any.
type addresses struct {
	owners map[netip.AddrPort]*Server
	// rivals are the servers that announced themselves at an address that a server owns
	// which has not stopped. They take no new flows.
	rivals map[netip.AddrPort][]*Server
}

// claimAddress decides whether s, which has just announced itself, owns its address. The
// server that goes on announcing itself does: s takes the address over if the owner has
// left, or was announced ReuseAfter before s. Until then s is a rival, also while its only
// announcement may be a delayed one. A rival that has not announced itself for ReuseAfter
// longer than the owner has ended.
func (f *Fleet) claimAddress(now clock.Millis, s *Server) {
	if s.State == Left {
		f.markEnded(now, s, RuleLeft, nil)
		f.dropRival(s)
	}
	if f.options.Follower {
		return
	}
	owner := f.owners[s.Address]
	switch {
	case owner == nil || owner == s:
		f.own(now, s)
	case s.State == Left:
	case f.takesOver(s, owner):
		f.own(now, s)
		if f.lapsed(owner, s) {
			f.markEnded(now, owner, RuleAddressTaken, s)
		} else {
			f.addRival(now, owner, s)
		}
	case f.lapsed(s, owner):
		f.markEnded(now, s, RuleAddressTaken, owner)
	default:
		f.addRival(now, s, owner)
		if f.persistentRival(s) {
			f.revive(s)
		}
	}
}

// own makes s the owner of its address, and ends the rivals that have stopped.
func (f *Fleet) own(now clock.Millis, s *Server) {
	f.owners[s.Address] = s
	f.dropRival(s)
	f.revive(s)
	for _, rival := range slices.Clone(f.rivals[s.Address]) {
		if f.lapsed(rival, s) {
			f.dropRival(rival)
			f.markEnded(now, rival, RuleAddressTaken, s)
		}
	}
}

// revive takes back that s has ended, unless it has left.
func (f *Fleet) revive(s *Server) {
	if s.endedAt > 0 && s.State != Left {
		s.endedAt = 0
		f.touch(s, true)
	}
}

// takesOver reports whether s takes the address over. Of two that both go on announcing
// themselves, the one with the earlier start owns it, so that all hosts agree.
func (f *Fleet) takesOver(s, owner *Server) bool {
	switch {
	case owner.State == Left, owner.Unheard():
		return true
	case f.lapsed(owner, s):
		return f.startedSince(s, owner) || s.rivalSince > 0 && s.announcedAt > s.rivalSince
	}
	return s.ownsBefore(&owner.Record) && f.persistentRival(s)
}

// startedSince reports whether s can have started after the latest announcement of owner:
// this host learned of it later, and its Seq is no higher than the announcements that there
// was time for. Neither holds for a delayed announcement of the server before owner.
func (f *Fleet) startedSince(s, owner *Server) bool {
	sent := uint64(1)
	if f.options.Interval > 0 {
		sent += uint64((s.announcedAt - f.seenAt(owner)) / f.options.Interval)
	}
	return s.firstAt > owner.announcedAt && s.Seq <= sent
}

// ownsBefore orders the servers at one address: a known start before an unknown one, the
// earlier start first, then the lower ID.
func (r *Record) ownsBefore(other *Record) bool {
	if (r.Started == 0) != (other.Started == 0) {
		return other.Started == 0
	}
	return r.Started < other.Started || r.Started == other.Started && r.ID < other.ID
}

// lapsed reports whether s has left, or has not announced itself for ReuseAfter longer
// than other.
func (f *Fleet) lapsed(s, other *Server) bool {
	return s.State == Left || other.announcedAt-f.seenAt(s) >= f.options.ReuseAfter
}

// seenAt returns the time until which s may have announced itself: announcements got lost
// while this host was down or suspended.
func (f *Fleet) seenAt(s *Server) clock.Millis { return max(s.announcedAt, f.resumedAt) }

// persistentRival reports whether s has gone on announcing itself as a rival.
func (f *Fleet) persistentRival(s *Server) bool {
	return s.rivalSince > 0 && s.announcedAt-max(s.rivalSince, f.resumedAt) >= f.options.ReuseAfter
}

func (f *Fleet) addRival(now clock.Millis, s, owner *Server) {
	if s.rivalSince > 0 {
		return
	}
	s.rivalSince = f.seenAt(s)
	f.rivals[s.Address] = append(f.rivals[s.Address], s)
	f.touch(s, true)
	f.decide(now, RuleAddressContested, &s.Record, s.announcedAt, owner)
}

func (f *Fleet) dropRival(s *Server) {
	if s.rivalSince == 0 {
		return
	}
	s.rivalSince = 0
	rest := slices.DeleteFunc(f.rivals[s.Address], func(r *Server) bool { return r == s })
	if len(rest) == 0 {
		delete(f.rivals, s.Address)
	} else {
		f.rivals[s.Address] = rest
	}
	f.touch(s, true)
}

// releaseAddress gives up what s claims, before its address changes or it is forgotten.
func (f *Fleet) releaseAddress(s *Server) {
	f.dropRival(s)
	if f.owners[s.Address] == s {
		delete(f.owners, s.Address)
	}
}
