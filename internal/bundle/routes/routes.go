// Package routes holds a routing table: which service takes the new flows of an
// address, by what weight, and how urgent the requests inside are.
package routes

import (
	"errors"
	"fmt"
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// Errors of Table.Check.
var (
	// ErrUnknownService is returned for a route that names a service which the
	// table does not hold.
	ErrUnknownService = errors.New("route names an unknown service")
	// ErrDoubleRoute is returned when two routes share an address.
	ErrDoubleRoute = errors.New("two routes share an address")
	// ErrNoTimeout is returned for a route without a timeout.
	ErrNoTimeout = errors.New("route has no timeout")
	// ErrNoTarget is returned for a route whose weights are all zero.
	ErrNoTarget = errors.New("route has no service with a weight")
	// ErrNoVersion is returned for a table without a positive version.
	ErrNoVersion = errors.New("version is not positive")
)

// Target is a service and its share of a route's new flows.
type Target struct {
	_msgpack struct{} `msgpack:",as_array"`

	Service string
	// Weight is relative to the other targets of the route.
	Weight uint32
}

// Route says where the new flows to one address go.
type Route struct {
	_msgpack struct{} `msgpack:",as_array"`

	Name    string
	Address netip.AddrPort
	Targets []Target
	// Timeout bounds one request of a flow.
	Timeout clock.Millis
	// Goal is the latency that the callers of the route aim at.
	Goal clock.Millis
	// Priority orders routes under overload. 0 is the most urgent.
	Priority int
	// Repeatable says that a request may run more than once.
	Repeatable bool
}

// Table is one version of the configuration. It is not changed once made.
type Table struct {
	Version  uint64   `msgpack:"version"`
	Routes   []Route  `msgpack:"routes"`
	Services []string `msgpack:"services"`
	// IdleTimeout is how long a flow may be silent before its state is dropped.
	IdleTimeout clock.Millis `msgpack:"idleTimeout"`
}

// Check returns the first fault of the table, or nil.
func (t *Table) Check() error {
	if t.Version == 0 {
		return ErrNoVersion
	}
	services := make(map[string]bool, len(t.Services))
	for _, s := range t.Services {
		services[s] = true
	}
	places := make(map[netip.AddrPort]string, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		if other, taken := places[r.Address]; taken {
			return fmt.Errorf("%w: %s and %s at %s", ErrDoubleRoute, other, r.Name, r.Address)
		}
		places[r.Address] = r.Name
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

// Pick returns the service for a new flow. Draw is a uniform random number.
func (r *Route) Pick(draw uint64) string {
	total := uint64(0)
	for _, t := range r.Targets {
		total += uint64(t.Weight)
	}
	if total == 0 {
		return ""
	}
	at := draw % total
	for _, t := range r.Targets {
		if at < uint64(t.Weight) {
			return t.Service
		}
		at -= uint64(t.Weight)
	}
	return ""
}

// Index finds the routes of a table by address.
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

// Find returns the route at address, or nil.
func (x *Index) Find(address netip.AddrPort) *Route { return x.routes[address] }
