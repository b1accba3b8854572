package core

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/flow/table"
)

// ownerHistory describes the recent owners of a bucket. It determines which
// placement applies to flows of which no host has a record.
type ownerHistory struct {
	// serversKnownUntil is the time up to which the previous owner, or an
	// earlier one (see ownerChanged), received changes of the server list.
	serversKnownUntil clock.Millis
	// ownedSince is the time at which the current owner took over, or zero if
	// there was none yet.
	ownedSince clock.Millis
	// longTerm is set if the owner to which serversKnownUntil refers had owned
	// the bucket for at least handoverPeriod.
	longTerm bool
}

// ownerChanged records a new owner, whose predecessor received changes of the
// server list until serversKnownUntil. If a long-term owner was replaced less
// than handoverPeriod ago, its serversKnownUntil is kept: the owners since then
// have no records of flows that were idle.
func (h *ownerHistory) ownerChanged(now, serversKnownUntil clock.Millis) {
	if !h.longTerm || now-h.serversKnownUntil >= handoverPeriod {
		h.serversKnownUntil = serversKnownUntil
		h.longTerm = h.ownedSince > 0 && now-h.ownedSince >= handoverPeriod
	}
	h.ownedSince = now
}

// serverForUnknownFlow returns the server for a mid-stream packet of an unknown
// flow, or zero. Until the idle timeout of the service has passed since
// serversKnownUntil, it uses the placement of that time: a flow on another
// server would have been replicated as an exception.
func (c *Core) serverForUnknownFlow(s *service, hash uint64) table.NameID {
	h := &c.history[c.bucketOf(hash)]
	if c.now-h.serversKnownUntil < s.spec.IdleTimeout() {
		return s.placementAt(h.serversKnownUntil).server(hash)
	}
	return s.placement.server(hash)
}

// nextOwnerDefault returns the default server that the next owner of a flow's
// bucket would use if the owner changed now.
func (c *Core) nextOwnerDefault(s *service, hash uint64) table.NameID {
	h := &c.history[c.bucketOf(hash)]
	if h.longTerm && c.now-h.serversKnownUntil < handoverPeriod {
		return s.placementAt(h.serversKnownUntil).server(hash)
	}
	return s.placement.server(hash)
}
