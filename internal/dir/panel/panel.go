// Package panel selects, on a control host, the entry hosts that are witnesses of the
// replicated log, see package attest.
//
// Each control host knows the entry hosts that poll it, and tells the others of some of
// them. The leader names a few of all of these, spread over the data centres, so that a
// majority of them outlives the loss of a data centre.
//
// The package does no I/O.
package panel

import (
	"cmp"
	"maps"
	"slices"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
)

const (
	// maxWitnesses is the number of witnesses where there are enough entry hosts.
	maxWitnesses = 5
	// maxShared is the number of entry hosts that a control host tells the others of.
	maxShared = 8
	// shareInterval is the time between two such lists.
	shareInterval = clock.Second
	// maxAge is the time after which an entry host that does not poll is no witness. It
	// covers the change to another control host and a few lists.
	maxAge = 5 * clock.Second
	// forgetAfter is the time after which such an entry host is forgotten.
	forgetAfter = clock.Minute
	// settleTime is the time after the start in which no witnesses are selected, since
	// few entry hosts are known.
	settleTime = 3 * clock.Second
	// maxHosts bounds the entry hosts that are known.
	maxHosts = 4096
)

// entryHost is the latest known run of an entry host.
type entryHost struct {
	id      raft.ID
	centre  string
	sharing bool
	seenAt  clock.Millis
	// polledAt is when it last polled this control host, or 0.
	polledAt clock.Millis
}

// Panel holds the entry hosts that can be witnesses. It is not safe for concurrent use.
type Panel struct {
	settledAt   clock.Millis
	nextShareAt clock.Millis
	// hosts are the entry hosts by the address for messages to witnesses.
	hosts map[string]*entryHost
	// counts tells of each control host heard from whether it counts witnesses.
	counts map[raft.ID]bool
}

// New returns an empty Panel, on a control host that starts now.
func New(now clock.Millis) *Panel {
	return &Panel{settledAt: now + settleTime, hosts: map[string]*entryHost{}, counts: map[raft.ID]bool{}}
}

// Polled records a poll of an entry host that can be a witness. An entry host that does
// not take new flows is about to end, or not ready yet, and is not selected.
func (p *Panel) Polled(now clock.Millis, w msgs.Witness) {
	if h := p.see(now, w); h != nil {
		h.polledAt = now
	}
}

// Learned records the entry hosts that another control host tells of.
func (p *Panel) Learned(now clock.Millis, list []msgs.Witness) {
	for _, w := range list {
		p.see(now, w)
	}
}

// see records an entry host and returns it, or nil if the run is not the latest one.
func (p *Panel) see(now clock.Millis, w msgs.Witness) *entryHost {
	address, run := w.ID.Split()
	h := p.hosts[address]
	if h == nil {
		if len(p.hosts) >= maxHosts || run == "" {
			return nil
		}
		h = &entryHost{id: w.ID, centre: w.Centre, sharing: w.Sharing, seenAt: now - w.Age}
		p.hosts[address] = h
	}
	_, knownRun := h.id.Split()
	switch at := now - w.Age; {
	case run < knownRun:
		return nil
	case run > knownRun:
		*h = entryHost{id: w.ID, centre: w.Centre, sharing: w.Sharing, seenAt: at}
	case at >= h.seenAt:
		h.centre, h.sharing, h.seenAt = w.Centre, w.Sharing, at
	}
	return h
}

// Shared returns the entry hosts to tell the other control hosts of, if that is due or
// urgent: those that poll this one, and first those that run where the present witnesses
// did.
func (p *Panel) Shared(now clock.Millis, urgent bool, witnesses []raft.ID) []msgs.Witness {
	if now < p.nextShareAt && !urgent {
		return nil
	}
	p.nextShareAt = now + shareInterval
	maps.DeleteFunc(p.hosts, func(_ string, h *entryHost) bool { return now-h.seenAt >= forgetAfter })
	own := p.spread(maxShared, witnesses, func(h *entryHost) bool { return h.polledAt > 0 && now-h.polledAt < maxAge })
	out := make([]msgs.Witness, 0, len(own))
	for _, h := range own {
		out = append(out, msgs.Witness{ID: h.id, Centre: h.centre, Sharing: h.sharing, Age: now - h.seenAt})
	}
	return out
}

// Told records whether a control host counts witnesses. Those of earlier builds don't.
func (p *Panel) Told(control raft.ID, counts bool) { p.counts[control] = counts }

// Ended returns the witnesses whose processes have ended: later ones run in their place.
func (p *Panel) Ended(witnesses []raft.ID) []raft.ID {
	var out []raft.ID
	for _, id := range witnesses {
		address, run := id.Split()
		if h := p.hosts[address]; h != nil {
			if _, latest := h.id.Split(); latest > run {
				out = append(out, id)
			}
		}
	}
	return out
}

// Select returns the witnesses for a membership with these voters, of which self is one.
// Present are those of the membership in effect. They stay where nothing better is known.
func (p *Panel) Select(now clock.Millis, self raft.ID, voters, present []raft.ID) []raft.ID {
	if len(voters)%2 != 0 {
		return nil
	}
	known := true
	for _, id := range voters {
		counts, heard := p.counts[id]
		if heard && !counts {
			return nil
		}
		known = known && (heard || id == self)
	}
	if !known || now < p.settledAt {
		return present
	}
	selected := p.spread(maxWitnesses, present, func(h *entryHost) bool { return h.sharing && now-h.seenAt < maxAge })
	if len(selected) == 0 {
		return present
	}
	// An even number bears no more losses than the odd one below it.
	selected = selected[:len(selected)-(len(selected)+1)%2]
	out := make([]raft.ID, 0, len(selected))
	for _, h := range selected {
		out = append(out, h.id)
	}
	slices.Sort(out)
	return out
}

// spread returns up to n entry hosts that are eligible, one after the other from the data
// centre of which the fewest are chosen, and first those that run where the present
// witnesses did.
func (p *Panel) spread(n int, present []raft.ID, eligible func(h *entryHost) bool) []*entryHost {
	at := map[string]bool{}
	for _, id := range present {
		address, _ := id.Split()
		at[address] = true
	}
	byCentre := map[string][]*entryHost{}
	for _, address := range slices.Sorted(maps.Keys(p.hosts)) {
		if h := p.hosts[address]; eligible(h) {
			byCentre[h.centre] = append(byCentre[h.centre], h)
		}
	}
	rank := func(h *entryHost) int {
		if address, _ := h.id.Split(); at[address] {
			return 0
		}
		return 1
	}
	for _, hosts := range byCentre {
		slices.SortStableFunc(hosts, func(a, b *entryHost) int { return cmp.Compare(rank(a), rank(b)) })
	}
	var out []*entryHost
	for round, added := 0, true; added && len(out) < n; round++ {
		added = false
		for _, centre := range slices.Sorted(maps.Keys(byCentre)) {
			if hosts := byCentre[centre]; round < len(hosts) && len(out) < n {
				out, added = append(out, hosts[round]), true
			}
		}
	}
	return out
}
