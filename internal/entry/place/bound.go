package place

import "math"

const (
	// maxLoadFactor limits the flows that an owner assigns to one server, as a
	// multiple of the server's weighted share of this owner's flows. A lower
	// factor spreads the flows more evenly, but moves more of them off their
	// default server, so that they have to be replicated.
	maxLoadFactor = 1.06
	// maxImbalance limits the flows that all owners together assign to one server, as a
	// multiple of its share. It is the stricter limit while an owner has few flows for
	// each server, so that rounding adds much.
	maxImbalance = 1.10
)

// Rounding tells a host which of its bounds to round up. Hosts round up in different
// places, so that their bounds for one server add up to its limit and at most one flow more.
type Rounding struct{ rank, hosts int }

// NewRounding returns the rounding of the host with a rank among a number of hosts.
func NewRounding(rank, hosts int) Rounding { return Rounding{rank, max(hosts, 1)} }

// offset returns what is added to the bound for the server at index i of n before it is
// rounded down. Its values are evenly spread over 0 to 1, for one server over the hosts and
// for one host over the servers.
func (r Rounding) offset(i, n int) float64 {
	product := r.hosts * n
	return float64((r.rank*n+i*r.hosts)%product) / float64(product)
}

// Bound returns the number of flows from which on a host that owns a number of flows assigns no
// more to the server at index i. Factor scales the server's share.
func (p *Placement) Bound(r Rounding, i, flows int, factor float64) int {
	share := float64(flows+1) * p.Share(i) * factor
	return int(min(math.Ceil(maxLoadFactor*share), math.Floor(maxImbalance*share+r.offset(i, p.Len()))))
}

// Load returns the load of the server at index i with one flow more than count, relative to its
// share. Servers of equal shares reach it in the order in which their bounds grow.
func (p *Placement) Load(r Rounding, i, count int, factor float64) float64 {
	return (float64(count+1) - r.offset(i, p.Len())) / (p.Share(i) * factor)
}
