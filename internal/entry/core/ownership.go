package core

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/flow/table"
)

// ownerHistory describes the recent owners of a bucket. It determines which
// placement applies to flows of which no host has a record.
type ownerHistory struct {
	// trackedUntil is the time up to which a previous owner received changes of
	// the server list.
	trackedUntil clock.Millis
	// ownedSince is the time at which the current owner took over, or zero if
	// there was none yet.
	ownedSince clock.Millis
	// settled is set if the owner before trackedUntil had owned the bucket for
	// at least handoverPeriod. No later owner has a record of flows that have
	// been idle since trackedUntil.
	settled bool
}

// ownerChanged records a new owner, whose predecessor received changes of the
// server list until trackedUntil. An owner of less than handoverPeriod has not
// seen the idle flows, so after it the time of the settled owner still applies.
func (h *ownerHistory) ownerChanged(now, trackedUntil clock.Millis) {
	if !h.settled || now-h.trackedUntil >= handoverPeriod {
		h.trackedUntil = trackedUntil
		h.settled = h.ownedSince > 0 && now-h.ownedSince >= handoverPeriod
	}
	h.ownedSince = now
}

// adoptingServer returns the server for a mid-stream packet of an unknown flow,
// or zero. It uses the placement of the time up to which the previous owner
// could replicate exceptions.
func (c *Core) adoptingServer(s *service, hash uint64) table.NameID {
	h := &c.history[c.bucketOf(hash)]
	if c.now-h.trackedUntil < s.spec.IdleTimeout() {
		return s.placementAt(h.trackedUntil).server(hash)
	}
	return s.placement.server(hash)
}

// nextOwnerDefault returns the default server that the next owner of a flow's
// bucket would use if the owner changed now.
func (c *Core) nextOwnerDefault(s *service, hash uint64) table.NameID {
	h := &c.history[c.bucketOf(hash)]
	if h.settled && c.now-h.trackedUntil < handoverPeriod {
		return s.placementAt(h.trackedUntil).server(hash)
	}
	return s.placement.server(hash)
}
