package lease

import (
	"maps"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// holding is what a keeper knows of one holder at one server.
type holding struct {
	// count is the most slots that the holder may be using.
	count   int
	need    int
	have    int
	used    int
	expires clock.Millis
	// reclaim is what the holder loses at its next ask.
	reclaim int
}

type kept struct {
	limit int
	// heir is the holder for which a slot was taken back, and heirUntil how
	// long it is kept for it.
	heir      string
	heirUntil clock.Millis
	since     clock.Millis
	holders   map[string]*holding
}

// arrival is a transfer with the time it came.
type arrival struct {
	holders []TransferHolder
	at      clock.Millis
}

// Keeper grants leases on the servers that this host keeps. It is not safe for
// concurrent use.
type Keeper struct {
	servers map[string]*kept
	// arrived are transfers for servers that this host does not keep yet.
	arrived map[string]arrival
	seqs    map[string]uint64
}

// NewKeeper returns a Keeper without servers.
func NewKeeper() *Keeper {
	return &Keeper{servers: map[string]*kept{}, arrived: map[string]arrival{}, seqs: map[string]uint64{}}
}

// Limit is what a keeper needs to know of a server.
type Limit struct {
	Slots int
	// New says that no other host can have granted slots of the server.
	New bool
}

// SetLimits tells which servers this host keeps. A server that had another
// keeper gets no fresh grants until that one has transferred what it granted,
// or for a term, after which those grants have ended.
func (k *Keeper) SetLimits(now clock.Millis, limits map[string]Limit) {
	maps.DeleteFunc(k.servers, func(name string, _ *kept) bool {
		_, keep := limits[name]
		return !keep
	})
	maps.DeleteFunc(k.arrived, func(_ string, a arrival) bool { return now-a.at >= Term })
	for name, limit := range limits {
		s := k.servers[name]
		if s == nil {
			s = &kept{since: now, holders: map[string]*holding{}}
			if limit.New {
				s.since = now - Term
			}
			k.servers[name] = s
			if a, ok := k.arrived[name]; ok {
				s.restore(a)
				delete(k.arrived, name)
			}
		}
		s.limit = limit.Slots
	}
}

// restore takes over the leases of the keeper before.
func (s *kept) restore(a arrival) {
	for _, t := range a.holders {
		if h := s.holders[t.Host]; h == nil {
			s.holders[t.Host] = &holding{count: t.Count, expires: a.at + t.Left}
		}
	}
	s.since = a.at - Term
}

// Export returns what the next keepers have to know, by their names. Next maps
// a server to its keeper. The keeper must not be asked for those servers again.
func (k *Keeper) Export(now clock.Millis, next func(server string) string, self string) map[string]*Transfer {
	out := map[string]*Transfer{}
	for name, s := range k.servers {
		to := next(name)
		if to == self || to == "" || now-s.since < Term {
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

func (s *kept) export(now clock.Millis) []TransferHolder {
	var out []TransferHolder
	for host, h := range s.holders {
		if h.expires > now && h.count > 0 {
			out = append(out, TransferHolder{host, h.count, h.expires - now})
		}
	}
	return out
}

// Import takes what the keeper before sends.
func (k *Keeper) Import(now clock.Millis, t *Transfer) {
	for _, srv := range t.Servers {
		a := arrival{srv.Holders, now}
		if s := k.servers[srv.Name]; s != nil {
			s.restore(a)
			continue
		}
		k.arrived[srv.Name] = a
	}
}

// OnAsk answers one ask. It returns nil for an ask that came out of order.
func (k *Keeper) OnAsk(now clock.Millis, ask *Ask) *Grant {
	if ask.Seq <= k.seqs[ask.From] {
		return nil
	}
	k.seqs[ask.From] = ask.Seq
	grant := &Grant{Seq: ask.Seq}
	for i := range ask.Services {
		svc := &ask.Services[i]
		have := svc.Have
		for j := range svc.Servers {
			a := &svc.Servers[j]
			s := k.servers[a.Name]
			if s == nil {
				continue
			}
			granted := s.grant(now, ask.From, svc.Need, have, a)
			have += granted - a.Held
			grant.Servers = append(grant.Servers, GrantServer{a.Name, granted, max(0, s.limit-s.counted(""))})
		}
	}
	return grant
}

func (s *kept) counted(except string) int {
	sum := 0
	for name, h := range s.holders {
		if name != except {
			sum += h.count
		}
	}
	return sum
}

// grant decides one holder's lease on s.
func (s *kept) grant(now clock.Millis, from string, need, have int, a *AskServer) int {
	maps.DeleteFunc(s.holders, func(_ string, h *holding) bool { return h.expires < now })
	h := s.holders[from]
	if h == nil {
		h = &holding{}
		s.holders[from] = h
	}
	h.need, h.have, h.used, h.expires = need, have, a.Used, now+Term
	keep := max(0, a.Held-h.reclaim)
	gives := h.reclaim > 0
	h.reclaim = 0
	most := max(0, s.limit-s.counted(from))
	granted := min(keep, most)
	if now-s.since >= Term && !gives {
		granted = max(granted, min(keep+a.More, most-s.reserved(now, from)))
	}
	if s.heir == from && granted > a.Held {
		s.heir = ""
	}
	h.have += granted - a.Held
	if granted < keep+a.More && a.Press {
		s.reclaimFor(now, from, h)
	}
	// Until the holder asks again it may go on with what it held before.
	h.count = max(a.Held, a.Used, granted)
	return granted
}

// reclaimFor takes a slot, at its next ask, from the holder that is best off for
// its need, when that leaves it no worse off than the one asking, or when the
// one asking has nothing and the slot is idle.
func (s *kept) reclaimFor(now clock.Millis, from string, poor *holding) {
	rich := ""
	for _, name := range slices.Sorted(maps.Keys(s.holders)) {
		h := s.holders[name]
		if name == from || h.count <= h.reclaim || h.reclaim > 0 {
			continue
		}
		if rich == "" || h.have*s.holders[rich].need > s.holders[rich].have*h.need {
			rich = name
		}
	}
	if rich == "" {
		return
	}
	h := s.holders[rich]
	fairer := (h.have-1)*poor.need >= (poor.have+1)*h.need
	idle := poor.have == 0 && h.used < h.count
	if poor.have < poor.need && (fairer || idle) {
		h.reclaim = 1
		s.heir, s.heirUntil = from, now+Term/2
	}
}

// reserved returns the slots that are kept for another holder.
func (s *kept) reserved(now clock.Millis, from string) int {
	if s.heir == "" || s.heir == from || now >= s.heirUntil {
		return 0
	}
	return 1
}

// Waiting returns the count of servers for which nothing may be granted yet.
func (k *Keeper) Waiting(now clock.Millis) int {
	n := 0
	for _, s := range k.servers {
		if now-s.since < Term {
			n++
		}
	}
	return n
}
