package core

import (
	"math"
	"slices"
	"strings"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/conf/tune"
	"monsooncleat.example/monsooncleat/internal/serve/admit"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/subset"
)

const (
	// placesPerSlot is the number of requests per slot that the entry hosts together
	// keep on a server under load: one that runs, and one that waits so that the slot
	// never idles. urgentPlacesPerSlot is the same with the most urgent requests, which
	// find room on a server that others fill. Servers reject what waits for long.
	placesPerSlot       = 2.0
	urgentPlacesPerSlot = 4.0
	// busyUtilization is the mean utilization of the servers from which the places are
	// used. Below it, a server with a free slot is found by the reported loads.
	busyUtilization = 0.65
	// overflowUtilization is the reported utilization up to which a server takes flows
	// for which this host has no place left. With few places per host, many hosts are full
	// while the slots bear the demand. At 1.7, hosts with one place each overfill the
	// servers at the start of a burst.
	overflowUtilization = 1.4
	// overflowShare bounds the requests in flight on places of other hosts, as a share of
	// the slots that this host owns. Reported loads are up to a second old.
	overflowShare = 0.25
	// minHostsWithLongFlows is the number of entry hosts of a data centre from which the
	// slots of services with long flows are split. Fewer hosts each see enough of a
	// service to decide by the reported loads.
	minHostsWithLongFlows = 8
	// longFlowsPerSlot is the number of requests in flight per slot of this host's share
	// from which it opens long flows only on servers that are reported to have room, and
	// maxLongFlowsPerSlot that from which it opens none. Requests on long flows cannot be
	// refused later, and take the places of urgent ones.
	longFlowsPerSlot    = 3.0
	maxLongFlowsPerSlot = 4.0
)

// share is the part of the slots of a service that this host owns. The slots are those in
// this data centre or, while a data centre is evacuated, in all.
type share struct {
	// listVersion and sharingVersion are the versions of the servers and of the list of
	// hosts for which the share was computed.
	listVersion, sharingVersion uint64
	places                      []place
	// slots is the number of slots that the host owns.
	slots float64
}

// place is the part of one server that this host owns: the number of requests in flight
// that it may have there.
type place struct {
	server        *server
	usual, urgent int
}

// setSharing sets the sorted lists of the entry hosts of this data centre and, while a
// data centre is evacuated, of the others. The entry hosts of an evacuated data centre
// own places in the others, as they have as many clients as before. The hosts are ordered
// by data centre, as the servers are, so that many places are local.
func (c *Core) setSharing(hosts []uint64, elsewhere map[string][]uint64) {
	c.sharing, c.sharingVersion = hosts, c.sharingVersion+1
	c.sharers, c.sharesAll = len(hosts), len(elsewhere) > 0
	rank, found := slices.BinarySearch(hosts, c.self)
	for centre, others := range elsewhere {
		c.sharers += len(others)
		if centre < c.options.Centre {
			rank += len(others)
		}
	}
	c.rank = rank
	if !found {
		c.rank = -1
	}
}

// sharedServer reports whether the slots of a server are split among the hosts.
func (c *Core) sharedServer(s *server) bool {
	return c.sharesAll || s.entry.Centre == c.options.Centre
}

// shareOf returns this host's share of a service, or nil if the slots are not split.
func (c *Core) shareOf(service string) *share {
	if c.sharers < 2 || c.rank < 0 || c.options.Off.Has(tune.Subsets) {
		return nil
	}
	s := c.shares[service]
	if s != nil && s.listVersion == c.listVersion && s.sharingVersion == c.sharingVersion {
		return s
	}
	s = &share{listVersion: c.listVersion, sharingVersion: c.sharingVersion}
	c.shares[service] = s
	var shared []*server
	var usual, urgent, slots []int
	for _, b := range c.services[service] {
		if c.sharedServer(b) {
			shared = append(shared, b)
		}
	}
	slices.SortStableFunc(shared, func(a, b *server) int { return strings.Compare(a.entry.Centre, b.entry.Centre) })
	for _, b := range shared {
		slots = append(slots, b.entry.Slots)
		usual = append(usual, int(math.Round(placesPerSlot*float64(b.entry.Slots))))
		urgent = append(urgent, int(math.Round(urgentPlacesPerSlot*float64(b.entry.Slots))))
	}
	ownUsual, ownUrgent := subset.Segment(c.rank, c.sharers, usual), subset.Segment(c.rank, c.sharers, urgent)
	for i := range ownUrgent {
		if ownUrgent[i] > 0 {
			s.places = append(s.places, place{shared[i], ownUsual[i], ownUrgent[i]})
		}
		s.slots += float64(slots[i])
	}
	s.slots /= float64(c.sharers)
	return s
}

// pickShared selects the server of a short flow by this host's own places, while the
// service is busy. List holds the servers that the flow may go to. Decided is false if the
// service is not busy or only cold servers are left, so that the reported loads decide.
func (c *Core) pickShared(now clock.Millis, list []*server, a *admit.Service, o *admit.Opening) (s *server, admitted, decided bool) {
	if o.Kind != choose.Short || o.Goal == 0 || now < list[0].coldUntil {
		return nil, false, false
	}
	share := c.shareOf(list[0].entry.Service)
	if share == nil || len(share.places) == 0 {
		return nil, false, false
	}
	usage := c.usageOf(list)
	if usage.longFlows && len(c.sharing) < minHostsWithLongFlows || usage.mean < busyUtilization && float64(usage.own) < share.slots {
		return nil, false, false
	}
	urgent, maxLoad := a.MostUrgent(o.Priority), placesPerSlot
	if urgent {
		maxLoad = urgentPlacesPerSlot
	}
	// A host that doesn't use its share needs no reports to open. After a restart of all
	// hosts they count many requests twice, and flows as long that aren't.
	unused := float64(usage.own) < share.slots
	best, bestUse, ownInFlight := (*server)(nil), 1.0, 0
	elsewhere := max(overflowShare*share.slots, 1)
	for i := range share.places {
		p := &share.places[i]
		b := p.server.backend
		if now < p.server.coldUntil && !p.server.budget.Available(now) {
			continue
		}
		if b.Avoided(now) {
			// The host uses as many slots of other servers.
			elsewhere += float64(p.usual) / placesPerSlot
			continue
		}
		ownInFlight += b.InFlight()
		places := p.usual
		if urgent {
			places = p.urgent
		}
		if places == 0 || usage.longFlows && !unused && b.Load(choose.Short) > maxLoad {
			continue
		}
		if use := float64(b.InFlight()) / float64(places); use < bestUse {
			best, bestUse = p.server, use
		}
	}
	if best != nil {
		return best, true, true
	}
	index := c.policy.Pick(now, choose.Short, list, backendOf)
	s = list[index]
	overflow := float64(usage.own-ownInFlight) < elsewhere
	return s, unused || overflow && s.backend.Utilization() <= overflowUtilization, true
}

// longFlowLimit returns the reported utilization of a server up to which a service takes
// another long flow there. It falls as the requests in flight through this host fill its
// share of the slots.
func (c *Core) longFlowLimit(list []*server) float64 {
	share := c.shareOf(list[0].entry.Service)
	if share == nil || len(share.places) == 0 || len(c.sharing) < minHostsWithLongFlows {
		return math.Inf(1)
	}
	switch own := float64(c.usageOf(list).own); {
	case own < longFlowsPerSlot*share.slots:
		return math.Inf(1)
	case own < maxLongFlowsPerSlot*share.slots:
		return overflowUtilization
	default:
		return -1
	}
}

// usage describes how busy the servers of a service are.
type usage struct {
	// mean is the mean utilization of the servers whose slots are split.
	mean float64
	// own is the number of requests in flight through this host.
	own int
	// longFlows reports whether long flows are active on the servers. They go to servers
	// of other hosts too, so a host's own counts don't show their requests.
	longFlows bool
}

func (c *Core) usageOf(list []*server) usage {
	u, shared := usage{}, 0
	for _, s := range list {
		u.own += s.backend.InFlight()
		if c.sharedServer(s) {
			u.mean += s.backend.Utilization()
			u.longFlows = u.longFlows || s.backend.TotalFlows() > 0
			shared++
		}
	}
	u.mean /= float64(max(shared, 1))
	return u
}
