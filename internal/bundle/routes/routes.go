// Package routes defines the routing table. It maps addresses to weighted
// services for new flows, and holds the timeout and the priority of requests.
package routes

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// Errors returned by Check.
var (
	// ErrUnknownService is returned for a route to a service that is not in the
	// table.
	ErrUnknownService = errors.New("route refers to an unknown service")
	// ErrDuplicateRoute is returned for two routes with the same address.
	ErrDuplicateRoute = errors.New("two routes have the same address")
	// ErrNoTimeout is returned for a route whose timeout is not positive.
	ErrNoTimeout = errors.New("route timeout must be positive")
	// ErrNoTarget is returned for a route without a target of positive weight.
	ErrNoTarget = errors.New("route has no service with a positive weight")
	// ErrNoVersion is returned for a table of version zero.
	ErrNoVersion = errors.New("version must be positive")
	// ErrWarmup is returned for a warm-up whose rate or duration cannot be kept to.
	ErrWarmup = errors.New("warm-up needs a finite rate and a duration of at most a day, neither below 0")
)

// Target is a service that takes new flows of a route in proportion to its
// weight.
type Target struct {
	_msgpack struct{} `msgpack:",as_array"`

	Service string
	// Weight is relative to the other targets of the route.
	Weight uint32
}

// Route assigns the new flows of one address to services.
type Route struct {
	_msgpack struct{} `msgpack:",as_array"`

	Name    string
	Address netip.AddrPort
	Targets []Target
	// Timeout is the time limit of one request of a flow.
	Timeout clock.Millis
	// LatencyGoal is the desired latency of requests.
	LatencyGoal clock.Millis
	// Priority orders routes under overload. 0 is the highest priority.
	Priority int
	// Idempotent reports whether requests may be executed more than once.
	Idempotent bool
}

// Table is one version of the routing table. It is not modified after
// construction.
type Table struct {
	Version  uint64   `msgpack:"version"`
	Routes   []Route  `msgpack:"routes"`
	Services []string `msgpack:"services"`
	// IdleTimeout is the time without packets after which the state of a flow is
	// dropped.
	IdleTimeout clock.Millis `msgpack:"idleTimeout"`
	// Warmups maps the services that limit their cold servers to what those bear.
	Warmups map[string]Warmup `msgpack:"warmups,omitempty"`
}

// Warmup describes the cold servers of a service.
type Warmup struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Duration is how long a server is cold after its start, and after its data centre
	// was evacuated.
	Duration clock.Millis
	// Rate is the number of requests a second that a cold server bears.
	Rate float64
}

// maxWarmup is the longest Warmup.Duration. Times derived from it don't overflow.
const maxWarmup = 24 * 60 * clock.Minute

func (w Warmup) valid() bool {
	return w.Duration >= 0 && w.Duration <= maxWarmup && w.Rate >= 0 && !math.IsInf(w.Rate, 0)
}

// Check validates the table and returns the first error that it finds.
func (t *Table) Check() error {
	if t.Version == 0 {
		return ErrNoVersion
	}
	services := make(map[string]bool, len(t.Services))
	for _, s := range t.Services {
		services[s] = true
	}
	for _, service := range slices.Sorted(maps.Keys(t.Warmups)) {
		if !t.Warmups[service].valid() {
			return fmt.Errorf("%w: %s", ErrWarmup, service)
		}
	}
	routeNames := make(map[netip.AddrPort]string, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		if other, inUse := routeNames[r.Address]; inUse {
			return fmt.Errorf("%w: %s and %s at %s", ErrDuplicateRoute, other, r.Name, r.Address)
		}
		routeNames[r.Address] = r.Name
		if err := r.check(services); err != nil {
			return fmt.Errorf("%w: %s", err, r.Name)
		}
	}
	return nil
}

func (r *Route) check(services map[string]bool) error {
	if r.Timeout <= 0 {
		return ErrNoTimeout
	}
	total := uint32(0)
	for _, target := range r.Targets {
		if !services[target.Service] {
			return ErrUnknownService
		}
		total += target.Weight
	}
	if total == 0 {
		return ErrNoTarget
	}
	return nil
}

// Pick returns the service for a new flow, chosen by weight. Draw is a uniformly
// distributed random number. It returns "" if all weights are zero.
func (r *Route) Pick(draw uint64) string {
	total := uint64(0)
	for _, t := range r.Targets {
		total += uint64(t.Weight)
	}
	if total == 0 {
		return ""
	}
	offset := draw % total
	for _, t := range r.Targets {
		if offset < uint64(t.Weight) {
			return t.Service
		}
		offset -= uint64(t.Weight)
	}
	return ""
}

// Allows reports whether new flows of the route may go to a service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// Index looks up the routes of a table by address.
type Index struct {
	table  *Table
	routes map[netip.AddrPort]*Route
}

// NewIndex returns the index of table.
func NewIndex(table *Table) *Index {
	x := &Index{table: table, routes: make(map[netip.AddrPort]*Route, len(table.Routes))}
	for i := range table.Routes {
		x.routes[table.Routes[i].Address] = &table.Routes[i]
	}
	return x
}

// Table returns the indexed table.
func (x *Index) Table() *Table { return x.table }

// Find returns the route of address, or nil.
func (x *Index) Find(address netip.AddrPort) *Route { return x.routes[address] }
