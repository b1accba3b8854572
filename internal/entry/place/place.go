// Package place holds the default placements of flows on the servers of a service,
// with the recent ones before it, and decides which of them applies to a flow of
// which no host has a record.
package place

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/flow/table"
	"monsooncleat.example/monsooncleat/internal/serve/maglev"
)

// Placement maps flow hashes to default servers during a period of time.
type Placement struct {
	table *maglev.Table
	// backends is the list from which table was built, and ids holds the IDs of
	// table.Backends() by index.
	backends []maglev.Backend
	ids      []table.NameID
	// since is the time at which the placement became active, or zero if it may
	// have been active before this host started serving. until is the time at
	// which it was replaced.
	since, until clock.Millis
}

// Server returns the default server for the hash of a flow, or zero.
func (p *Placement) Server(hash uint64) table.NameID {
	if i := p.table.Index(hash); i >= 0 {
		return p.ids[i]
	}
	return 0
}

// Candidate returns the index of the n-th choice of server for a hash.
func (p *Placement) Candidate(hash uint64, n int) int { return p.table.Candidate(hash, n) }

// Len returns the number of servers.
func (p *Placement) Len() int { return len(p.ids) }

// ID returns the ID of the server with an index.
func (p *Placement) ID(i int) table.NameID { return p.ids[i] }

// IDs returns the IDs of all servers by index.
func (p *Placement) IDs() []table.NameID { return p.ids }

// Share returns the share of all flows that the server with an index gets.
func (p *Placement) Share(i int) float64 { return p.table.Share(i) }

// Names returns the names of the servers by index.
func (p *Placement) Names() []string {
	names := make([]string, 0, len(p.ids))
	for _, b := range p.table.Backends() {
		names = append(names, b.Name)
	}
	return names
}

// maxPrevious is the number of replaced placements kept.
const maxPrevious = 4

// History holds the current placement of a service and the ones before it. The zero
// value has none. It is not safe for concurrent use.
type History struct {
	current *Placement
	// previous holds the replaced placements, oldest first. truncated is set
	// once older ones were discarded.
	previous  []Placement
	truncated bool
}

// Current returns the current placement, or nil before the first one.
func (h *History) Current() *Placement { return h.current }

// At returns the placement that was active at the given time. If that placement was
// discarded, it returns the oldest one kept. If that placement had no server, or
// there was none, it returns the current one.
func (h *History) At(at clock.Millis) *Placement {
	if h.truncated && at < h.previous[0].since {
		return &h.previous[0]
	}
	for i := range h.previous {
		if p := &h.previous[i]; p.since <= at && at < p.until && p.Len() > 0 {
			return p
		}
	}
	return h.current
}

// Set replaces the current placement by one over backends, unless they are the same.
// Intern returns the ID of a server's name.
func (h *History) Set(now clock.Millis, size int, backends []maglev.Backend, intern func(name string) table.NameID) {
	if h.current != nil && slices.Equal(backends, h.current.backends) {
		return
	}
	if h.current != nil {
		h.current.until = now
		h.previous = append(h.previous, *h.current)
		if len(h.previous) > maxPrevious {
			h.previous, h.truncated = h.previous[1:], true
		}
	}
	p := &Placement{table: maglev.New(size, backends), backends: backends, since: now}
	for _, b := range p.table.Backends() {
		p.ids = append(p.ids, intern(b.Name))
	}
	h.current = p
}

// DropCurrent makes the next Set build a new placement without keeping the current
// one, because the size of the table changed.
func (h *History) DropCurrent() { h.current = nil }

// Clear discards the previous placements, as if the current one had always been
// active.
func (h *History) Clear() {
	h.previous, h.truncated = nil, false
	if h.current != nil {
		h.current.since = 0
	}
}
