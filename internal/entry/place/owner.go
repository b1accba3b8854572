package place

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/flow/table"
)

// Owners describes the recent owners of a bucket. It determines which placement
// applies to flows of which no host has a record.
type Owners struct {
	// serversKnownUntil is the time up to which the previous owner, or an
	// earlier one (see Changed), received changes of the server list.
	serversKnownUntil clock.Millis
	// ownedSince is the time at which the current owner took over, or zero if
	// there was none yet.
	ownedSince clock.Millis
	// longTerm is set if the owner to which serversKnownUntil refers had owned
	// the bucket for at least the handover period.
	longTerm bool
}

// Changed records a new owner, whose predecessor received changes of the server
// list until serversKnownUntil. If a long-term owner was replaced less than the
// handover period ago, its serversKnownUntil is kept: the owners since then have no
// records of flows that were idle.
func (o *Owners) Changed(now, serversKnownUntil, handover clock.Millis) {
	if !o.longTerm || now-o.serversKnownUntil >= handover {
		o.serversKnownUntil = serversKnownUntil
		o.longTerm = o.ownedSince > 0 && now-o.ownedSince >= handover
	}
	o.ownedSince = now
}

// OwnedSince returns when the current owner took over, or zero if there was none yet.
func (o *Owners) OwnedSince() clock.Millis { return o.ownedSince }

// ForUnknownFlow returns the server for a mid-stream packet of an unknown flow, or
// zero. Until the idle timeout of the service has passed since the servers were known
// to an earlier owner, it uses the placement of that time: a flow on another server
// would have been replicated as an exception.
func (o *Owners) ForUnknownFlow(now, idleTimeout clock.Millis, h *History, hash uint64) table.NameID {
	if now-o.serversKnownUntil < idleTimeout {
		return h.At(o.serversKnownUntil).Server(hash)
	}
	return h.Current().Server(hash)
}

// NextDefault returns the default server that the next owner of a flow's bucket would
// use if the owner changed now.
func (o *Owners) NextDefault(now, handover clock.Millis, h *History, hash uint64) table.NameID {
	if o.longTerm && now-o.serversKnownUntil < handover {
		return h.At(o.serversKnownUntil).Server(hash)
	}
	return h.Current().Server(hash)
}
