package lease

import (
	"maps"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// holderLease is one holder's lease on one server.
type holderLease struct {
	// committed is the upper bound of the slots that the holder may be using.
	committed int
	// need, have and used are those of the holder's latest lease request. Have
	// is updated with the slots granted in the answer.
	need    int
	have    int
	used    int
	expires clock.Millis
	// reclaim is the number of slots to deduct at the holder's next lease request.
	reclaim int
}

// keptServer is a server whose leases this host grants.
type keptServer struct {
	limit int
	// reservedFor is the holder for which a slot is being reclaimed. Until
	// reservedUntil, one free slot is granted to no other holder.
	reservedFor   string
	reservedUntil clock.Millis
	// keptSince is when this host became the keeper. New slots are granted only a
	// Term later, when all leases of a previous keeper have expired. If there were
	// none, or they were transferred, keptSince is set a Term earlier, so that
	// granting starts at once.
	keptSince clock.Millis
	holders   map[string]*holderLease
}

// receivedLeases are the leases of a transfer, with the time of its receipt.
type receivedLeases struct {
	holders []TransferHolder
	at      clock.Millis
}

// Keeper grants leases on the servers whose keeper is this host. It is not safe
// for concurrent use.
type Keeper struct {
	servers map[string]*keptServer
	// early holds transferred leases of servers that this host does not keep
	// yet, by server.
	early map[string]receivedLeases
	// lastSeq is the highest sequence number received from each holder.
	lastSeq map[string]uint64
}

// NewKeeper returns a Keeper without servers.
func NewKeeper() *Keeper {
	return &Keeper{servers: map[string]*keptServer{}, early: map[string]receivedLeases{}, lastSeq: map[string]uint64{}}
}

// Limit describes a server to its keeper.
type Limit struct {
	// Slots is the number of requests that the server may run at once.
	Slots int
	// New is set when no other host can have granted slots of the server.
	New bool
}

// SetLimits sets the servers whose keeper is this host. If a server had another
// keeper before, no new slots are granted until that one has transferred its
// leases, or until a Term has passed and they have all expired.
func (k *Keeper) SetLimits(now clock.Millis, limits map[string]Limit) {
	maps.DeleteFunc(k.servers, func(name string, _ *keptServer) bool {
		_, ok := limits[name]
		return !ok
	})
	maps.DeleteFunc(k.early, func(_ string, r receivedLeases) bool { return now-r.at >= Term })
	for name, limit := range limits {
		s := k.servers[name]
		if s == nil {
			s = &keptServer{keptSince: now, holders: map[string]*holderLease{}}
			if limit.New {
				s.keptSince = now - Term
			}
			k.servers[name] = s
			if r, ok := k.early[name]; ok {
				s.restore(r)
				delete(k.early, name)
			}
		}
		s.limit = limit.Slots
	}
}

// restore adds the leases granted by the previous keeper.
func (s *keptServer) restore(r receivedLeases) {
	for _, t := range r.holders {
		if h := s.holders[t.Host]; h == nil {
			s.holders[t.Host] = &holderLease{committed: t.Committed, expires: r.at + t.Remaining}
		}
	}
	s.keptSince = r.at - Term
}

// Export returns the leases to transfer, by the name of the next keeper, for the
// servers whose keeper is now another host. It omits servers on which this host
// may not grant slots yet, because leases granted by their previous keeper may be
// unknown here. Next returns the keeper of a server, or "" if it has none. Call
// SetLimits without those servers before the next OnLeaseRequest, or slots could
// be granted twice.
func (k *Keeper) Export(now clock.Millis, next func(server string) string, self string) map[string]*Transfer {
	out := map[string]*Transfer{}
	for name, s := range k.servers {
		to := next(name)
		if to == self || to == "" || now-s.keptSince < Term {
			continue
		}
		t := out[to]
		if t == nil {
			t = &Transfer{From: self}
			out[to] = t
		}
		t.Servers = append(t.Servers, TransferServer{Name: name, Holders: s.export(now)})
	}
	return out
}

func (s *keptServer) export(now clock.Millis) []TransferHolder {
	var out []TransferHolder
	for host, h := range s.holders {
		if h.expires > now && h.committed > 0 {
			out = append(out, TransferHolder{host, h.committed, h.expires - now})
		}
	}
	return out
}

// Import takes a transfer from the previous keeper of some servers.
func (k *Keeper) Import(now clock.Millis, t *Transfer) {
	for _, srv := range t.Servers {
		r := receivedLeases{srv.Holders, now}
		if s := k.servers[srv.Name]; s != nil {
			s.restore(r)
			continue
		}
		k.early[srv.Name] = r
	}
}

// OnLeaseRequest returns the answer to a request, or nil if the request is a
// duplicate or older than one already answered.
func (k *Keeper) OnLeaseRequest(now clock.Millis, request *Request) *Grant {
	if request.Seq <= k.lastSeq[request.From] {
		return nil
	}
	k.lastSeq[request.From] = request.Seq
	grant := &Grant{Seq: request.Seq}
	for i := range request.Services {
		svc := &request.Services[i]
		have := svc.Have
		for j := range svc.Servers {
			requested := &svc.Servers[j]
			s := k.servers[requested.Name]
			if s == nil {
				continue
			}
			granted := s.grant(now, request.From, svc.Need, have, requested)
			have += granted - requested.Held
			grant.Servers = append(grant.Servers, GrantServer{requested.Name, granted, max(0, s.limit-s.committed(""))})
		}
	}
	return grant
}

// committed returns the slots that holders other than except may be using. Pass
// "" to include all holders.
func (s *keptServer) committed(except string) int {
	sum := 0
	for name, h := range s.holders {
		if name != except {
			sum += h.committed
		}
	}
	return sum
}

// grant renews one holder's lease on s and returns its slots.
func (s *keptServer) grant(now clock.Millis, from string, need, have int, requested *RequestServer) int {
	maps.DeleteFunc(s.holders, func(_ string, h *holderLease) bool { return h.expires < now })
	h := s.holders[from]
	if h == nil {
		h = &holderLease{}
		s.holders[from] = h
	}
	h.need, h.have, h.used, h.expires = need, have, requested.Used, now+Term
	keep := max(0, requested.Held-h.reclaim)
	reclaimed := h.reclaim > 0
	h.reclaim = 0
	available := max(0, s.limit-s.committed(from))
	granted := min(keep, available)
	if now-s.keptSince >= Term && !reclaimed {
		granted = max(granted, min(keep+requested.Extra, available-s.reserved(now, from)))
	}
	if s.reservedFor == from && granted > requested.Held {
		s.reservedFor = ""
	}
	h.have += granted - requested.Held
	if granted < keep+requested.Extra && requested.Reclaim {
		s.reclaimFor(now, from, h)
	}
	// Until its next request, the holder may still use the slots of its previous
	// lease, because this grant may be late or lost.
	h.committed = max(requested.Held, requested.Used, granted)
	return granted
}

// reclaimFor marks a slot of the holder with the highest ratio of have to need
// to be deducted at its next request, and reserves it for the requester. It
// does so only when the requester is short of slots, and either its ratio stays
// no higher than the other holder's after the change, or it has no slot and the
// other holder has an unused one.
func (s *keptServer) reclaimFor(now clock.Millis, from string, requester *holderLease) {
	donor := ""
	for _, name := range slices.Sorted(maps.Keys(s.holders)) {
		h := s.holders[name]
		if name == from || h.committed <= h.reclaim || h.reclaim > 0 {
			continue
		}
		if donor == "" || h.have*s.holders[donor].need > s.holders[donor].have*h.need {
			donor = name
		}
	}
	if donor == "" {
		return
	}
	h := s.holders[donor]
	fairer := (h.have-1)*requester.need >= (requester.have+1)*h.need
	idle := requester.have == 0 && h.used < h.committed
	if requester.have < requester.need && (fairer || idle) {
		h.reclaim = 1
		s.reservedFor, s.reservedUntil = from, now+Term/2
	}
}

// reserved returns the number of slots reserved for holders other than from.
func (s *keptServer) reserved(now clock.Millis, from string) int {
	if s.reservedFor == "" || s.reservedFor == from || now >= s.reservedUntil {
		return 0
	}
	return 1
}

// ServersAwaitingTerm returns the number of servers for which no new slots may be
// granted yet, because leases of a previous keeper may still be in force.
func (k *Keeper) ServersAwaitingTerm(now clock.Millis) int {
	n := 0
	for _, s := range k.servers {
		if now-s.keptSince < Term {
			n++
		}
	}
	return n
}
