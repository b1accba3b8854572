// Package watch tracks when each control host was last heard from. The hosts
// exchange what they know, so that a change of the leader or a restart does not
// reset the time for which a host has been silent.
package watch

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// Ages maps control hosts to the time since any host last heard from them.
type Ages map[raft.ID]clock.Millis

// Tracker holds what one control host knows. It is not safe for concurrent use.
type Tracker struct {
	started clock.Millis
	heardAt map[raft.ID]clock.Millis
}

// New returns a Tracker that has heard from no host yet.
func New(now clock.Millis) *Tracker {
	return &Tracker{started: now, heardAt: map[raft.ID]clock.Millis{}}
}

// Heard records a message from a host.
func (t *Tracker) Heard(now clock.Millis, id raft.ID) { t.heardAt[id] = now }

// Ages returns the ages of the hosts heard from, for another host to merge.
func (t *Tracker) Ages(now clock.Millis) Ages {
	ages := make(Ages, len(t.heardAt))
	for id, at := range t.heardAt {
		ages[id] = now - at
	}
	return ages
}

// Merge adds what another host knows. The delay of the message makes a silence
// look shorter, never longer.
func (t *Tracker) Merge(now clock.Millis, ages Ages) {
	for id, age := range ages {
		if at, known := t.heardAt[id]; age >= 0 && (!known || now-age > at) {
			t.heardAt[id] = now - age
		}
	}
}

// Silence returns the time since any host last heard from id. If none is known to
// have heard from it, that is the time since this host started.
func (t *Tracker) Silence(now clock.Millis, id raft.ID) clock.Millis {
	if at, known := t.heardAt[id]; known {
		return now - at
	}
	return now - t.started
}

// Retain forgets all hosts except members.
func (t *Tracker) Retain(members []raft.ID) {
	for id := range t.heardAt {
		if !slices.Contains(members, id) {
			delete(t.heardAt, id)
		}
	}
}
