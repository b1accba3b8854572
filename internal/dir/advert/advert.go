// Package advert remembers, on a control host, where entry hosts receive adverts of
// control hosts. An entry host keeps nothing over a restart and knows the few seeds of
// its settings only, so after a restart of all hosts it would wait for a seed although
// other control hosts are up. A control host that starts therefore advertises itself to
// the entry hosts that it knew, until they poll.
//
// The package does no I/O.
package advert

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

const (
	// interval is the time between two adverts to an entry host.
	interval = 80 * clock.Millis(1)
	// period is how long a control host advertises itself after its start. It covers
	// the time by which the hosts of a system differ in their start.
	period = 2 * clock.Second
	// saveInterval is the least time between two writes of the list.
	saveInterval = clock.Second
	// maxHosts bounds the list.
	maxHosts = 4096
	// forgetAfter is how long an entry host is kept that does not poll.
	forgetAfter = 10 * clock.Minute
)

// Hosts holds the addresses of entry hosts. It is not safe for concurrent use.
type Hosts struct {
	// startedAt is when the adverts began.
	startedAt clock.Millis
	nextAt    clock.Millis
	savedAt   clock.Millis
	changed   bool
	// version counts the changes of own.
	version uint64
	// seenAt holds when each entry host was last known to poll a control host, or 0 if
	// that was before the start. Own are those that polled this one.
	seenAt map[string]clock.Millis
	own    []string
}

// New returns an empty list, on a control host that starts now.
func New(now clock.Millis) *Hosts { return &Hosts{startedAt: now, seenAt: map[string]clock.Millis{}} }

// Polled records that an entry host polled this control host for the first time since it
// started. Address is where it receives adverts.
func (h *Hosts) Polled(now clock.Millis, address string) {
	if address == "" {
		return
	}
	h.see(now, address)
	if !slices.Contains(h.own, address) && len(h.own) < maxHosts {
		h.own = append(h.own, address)
		h.version++
	}
}

// Learned records the entry hosts that polled another control host.
func (h *Hosts) Learned(now clock.Millis, addresses []string) {
	for _, a := range addresses {
		h.see(now, a)
	}
}

func (h *Hosts) see(now clock.Millis, address string) {
	_, known := h.seenAt[address]
	if !known && len(h.seenAt) >= maxHosts {
		return
	}
	h.changed = h.changed || !known
	h.seenAt[address] = max(now, 1)
}

// Own returns the entry hosts that polled this control host, and the number of that
// list, or nil if the caller has the list of that number.
func (h *Hosts) Own(version uint64) ([]string, uint64) {
	if version == h.version {
		return nil, version
	}
	return h.own, h.version
}

// Due returns the entry hosts to send an advert to now: those that no control host has
// heard from since the start.
func (h *Hosts) Due(now clock.Millis) []string {
	if now < h.nextAt || now-h.startedAt > period {
		return nil
	}
	h.nextAt = now + interval
	var due []string
	for address, seenAt := range h.seenAt {
		if seenAt == 0 {
			due = append(due, address)
		}
	}
	slices.Sort(due)
	return due
}

// Save returns the encoded list if entry hosts were added since the last call and enough
// time has passed, and else nil.
func (h *Hosts) Save(now clock.Millis) ([]byte, error) {
	if !h.changed || now-h.savedAt < saveInterval {
		return nil, nil
	}
	h.changed, h.savedAt = false, now
	list := make([]string, 0, len(h.seenAt))
	for address, seenAt := range h.seenAt {
		if seenAt > 0 && now-seenAt > forgetAfter && !slices.Contains(h.own, address) {
			delete(h.seenAt, address)
			continue
		}
		list = append(list, address)
	}
	slices.Sort(list)
	return msgpack.Marshal(list)
}

// Load loads a list that was saved before a restart.
func (h *Hosts) Load(saved []byte) error {
	var list []string
	if err := msgpack.Unmarshal(saved, &list); err != nil {
		return err
	}
	for _, address := range list[:min(len(list), maxHosts)] {
		if _, known := h.seenAt[address]; !known {
			h.seenAt[address] = 0
		}
	}
	return nil
}
