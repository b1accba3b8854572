package share

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
)

const (
	// maxRequests is the number of latest requests for announcements to which a reply counts.
	maxRequests = 8
	// minContact is the least time after which the announcements of another control host count
	// as missing. It covers two lost exchanges.
	minContact = 3 * syncInterval
)

// contact tells up to when the announcements that other control hosts received are known here.
type contact struct {
	// timeout is the time without an exchange with a control host after which its
	// announcements count as missing.
	timeout clock.Millis
	// currentSince is since when the host has been in contact with a quorum, or 0. CompleteAt is
	// when it last was, with no announcements missing.
	currentSince, completeAt clock.Millis
	// awaited holds for how long, in contact with a quorum, the announcements of each control
	// host that doesn't reply have been missing. ObservedAt is the time of the latest Observe.
	awaited    map[raft.ID]clock.Millis
	observedAt clock.Millis
	// lastNumber is that of the latest request, and sent holds the times of the latest ones,
	// in order.
	lastNumber uint64
	sent       []clock.Millis
}

// newContact returns the contact of a host that was just started. A server misses three
// announcements before it is silent, so those of one interval may be missing.
func newContact(silentAfter clock.Millis, runID uint64) contact {
	return contact{timeout: max(silentAfter/3, minContact), lastNumber: runID << 32, awaited: map[raft.ID]clock.Millis{}}
}

// asked records the requests to all other control hosts, and returns their number.
func (c *contact) asked(now clock.Millis) uint64 {
	c.lastNumber++
	c.sent = append(c.sent, now)
	c.sent = c.sent[max(len(c.sent)-maxRequests, 0):]
	return c.lastNumber
}

// sentAt returns when a request was sent, if it is one of the latest. A reply without a number
// counts as one to the request before the latest.
func (c *contact) sentAt(number uint64) (clock.Millis, bool) {
	if number == 0 {
		number = c.lastNumber - 1
	}
	back := c.lastNumber - number
	if back >= uint64(len(c.sent)) {
		return 0, false
	}
	return c.sent[len(c.sent)-1-int(back)], true
}

// Observe takes whether this host is in contact with a quorum, and which control hosts no host
// has heard from for lostAfter. It returns the control hosts whose announcements are missing, and
// whether no server becomes silent for their sake from now on, or any may again.
//
// What a host in contact with a quorum reports as silent takes no new flows, so it reports no
// server that another control host may have heard of: one that it has no news from and that isn't
// lost. A host is lost once its announcements have been missing for lostAfter, returns included.
// At a return, servers that became silent since contact was last complete count as running. A host
// without a quorum reports what it hears on its side of a partition.
func (l *List) Observe(now clock.Millis, current bool, lost func(id raft.ID) bool, lostAfter clock.Millis) (missing []raft.ID, changed bool) {
	c := &l.contact
	returns := current && c.currentSince == 0
	switch {
	case returns:
		c.currentSince = now
	case !current:
		c.currentSince = 0
	}
	if current {
		elapsed := now - max(c.observedAt, c.currentSince)
		missing = l.missing(now, func(id raft.ID) bool {
			c.awaited[id] += elapsed
			return c.awaited[id] >= lostAfter && lost(id)
		})
	}
	c.observedAt = now
	before := l.fleet.SilenceDeferred()
	switch deferred := len(missing) > 0; {
	case deferred && returns:
		l.fleet.DeferSilence(c.completeAt)
	case deferred && !before:
		l.fleet.DeferSilence(now)
	case !deferred && before:
		l.fleet.DecideSilence()
		l.nextExpireAt = min(l.nextExpireAt, now)
	}
	if current && len(missing) == 0 {
		c.completeAt = now
	}
	return missing, l.fleet.SilenceDeferred() != before
}

// Current reports whether the latest Observe told of contact with a quorum.
func (l *List) Current() bool { return l.contact.currentSince > 0 }

// missing returns the other members whose announcements are missing, except those that are lost.
func (l *List) missing(now clock.Millis, lost func(id raft.ID) bool) []raft.ID {
	var out []raft.ID
	for _, id := range l.group.Members() {
		if id == l.group.Self() {
			continue
		}
		at := l.cursorOf(id)
		switch {
		case at.answered && now-at.knownAt <= l.contact.timeout:
			delete(l.contact.awaited, id)
		case !lost(id):
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
