package core

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"monsooncleat.example/monsooncleat/internal/ask/ledger"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/entry/meter"
	"monsooncleat.example/monsooncleat/internal/entry/place"
	"monsooncleat.example/monsooncleat/internal/flow/table"
	"monsooncleat.example/monsooncleat/internal/host/homes"
	"monsooncleat.example/monsooncleat/internal/host/member"
	"monsooncleat.example/monsooncleat/internal/serve/lease"
	"monsooncleat.example/monsooncleat/internal/serve/maglev"
	"monsooncleat.example/monsooncleat/internal/serve/roster"
	"monsooncleat.example/monsooncleat/internal/wire/codec"
)

// service is the state of one service of the active bundle.
type service struct {
	spec *spec.Service
	id   table.NameID
	// places holds the default placements of flows.
	places place.History
	// flowsByServer counts the flows that this host owns, and flowCount is
	// their sum.
	flowsByServer map[table.NameID]int
	flowCount     int
	queue         []*ledger.Entry
	load          meter.Meter
	// retryTokens is the retry budget: each retry takes one token.
	retryTokens float64
}

// clearWork drops the flow counts and the queue.
func (s *service) clearWork() {
	clear(s.flowsByServer)
	s.flowCount = 0
	s.queue = nil
}

func (s *service) addFlows(server table.NameID, n int) {
	s.flowsByServer[server] += n
	s.flowCount += n
}

// refreshView rebuilds the owner table and the server pools after a change of
// the membership or of the server list.
func (c *Core) refreshView() {
	all := false
	if v := c.group.Version(); v != c.viewVersion {
		c.viewVersion = v
		c.viewChangedAt = c.now
		c.rebuildOwnership()
		all = true
	}
	if v := c.servers.Version(); v != c.serversVersion || all {
		c.serversVersion = v
		c.rebuildPools(c.servers.TakeChanged(), all)
	}
}

// rebuildOwnership computes the owner and successor of each bucket from the
// membership, and records the buckets whose owner changed.
func (c *Core) rebuildOwnership() {
	var hosts []homes.Host
	servingHosts := 0
	for _, m := range c.group.Members() {
		if m.State > member.Suspect {
			continue
		}
		hosts = append(hosts, homes.Host{Name: m.Name, Serves: m.Phase == member.Serving, Leaving: m.Phase == member.Leaving})
		if m.Phase == member.Serving {
			servingHosts++
		}
		c.bootIDs[m.Name] = c.interner.ID(fmt.Sprintf("%s#%d", m.Name, m.Boot))
		if addr, err := netip.ParseAddrPort(m.Fabric); err == nil {
			c.addrs[m.Name] = addr
		}
	}
	c.leaseHolder.SetHosts(servingHosts)
	previous := c.owners
	c.owners = homes.New(hosts)
	self := c.opts.Name
	for b := range homes.Buckets {
		if ownerID := c.bootIDs[c.owners.Home(b)]; ownerID != c.bucketOwner[b] {
			c.history[b].Changed(c.now, c.now-c.ownerLag(previous, b), handoverPeriod)
			c.formerOwner[b], c.bucketOwner[b] = c.bucketOwner[b], ownerID
		}
		responsible := c.owners.Home(b) == self || c.owners.Successor(b) == self
		wasResponsible := previous != nil && (previous.Home(b) == self || previous.Successor(b) == self)
		if responsible && !wasResponsible {
			c.responsibleSince[b] = c.now
		}
	}
}

// ownerLag returns how long ago the previous owner of a bucket last received
// changes of the server list. For an owner that died or restarted, this is the
// time that failure detection takes plus propagationDelay, because the owner may
// have died that long ago.
func (c *Core) ownerLag(previous *homes.Table, bucket int) clock.Millis {
	if previous == nil {
		return 0
	}
	name := previous.Home(bucket)
	if m, ok := c.group.Find(name); ok && (m.State == member.Dead || c.bootIDs[name] != c.bucketOwner[bucket]) {
		timing := c.opts.Timing
		return timing.Period + 2*timing.AckWait + timing.SuspectFor + propagationDelay
	}
	return 0
}

// propagationDelay is the approximate time until a change reaches all hosts.
const propagationDelay = 300 * clock.Millis(1)

// rebuildPools rebuilds the placements and lease pools of the changed services,
// or of all. It sends lease state to the new keepers of servers and restarts
// the sweep over the flows.
func (c *Core) rebuildPools(changed map[string]bool, all bool) {
	for _, s := range c.sortedServices {
		name := s.spec.Name()
		if !all && !changed[name] {
			continue
		}
		pool := c.servers.Pool(name)
		s.setPool(c, pool)
		if s.spec.Kind() != spec.Request {
			continue
		}
		var backends []lease.Backend
		for _, srv := range pool {
			info := srv.Info()
			backends = append(backends, lease.Backend{Name: info.Name, Weight: max(1, info.Weight), Slots: c.effectiveSlots(s, srv)})
		}
		c.leaseHolder.SetPool(name, backends)
	}
	transfers := c.leaseKeeper.Export(c.now, c.leaseKeeperOf, c.opts.Name)
	for _, host := range slices.Sorted(maps.Keys(transfers)) {
		c.sendFrame(host, codec.LeaseTransfer, transfers[host])
	}
	c.setLeaseLimits()
	c.restartSweep()
}

// setPool replaces the placement by one over pool, if the backends differ.
func (s *service) setPool(c *Core, pool []*roster.Server) {
	backends := make([]maglev.Backend, 0, len(pool))
	for _, srv := range pool {
		info := srv.Info()
		backends = append(backends, maglev.Backend{Name: info.Name, Weight: max(1, info.Weight)})
	}
	s.places.Set(c.now, s.spec.TableSize(), backends, c.interner.ID)
}

// leaseLimit returns the number of slots to lease out for a server. New is set
// if the server started within the last lease term and the membership has not
// changed for a term, so that no other keeper can have granted leases on it.
func (c *Core) leaseLimit(s *service, srv *roster.Server) lease.Limit {
	newServer := srv.StartedWithin(c.now, lease.Term) && c.now-c.viewChangedAt > lease.Term
	return lease.Limit{Slots: c.effectiveSlots(s, srv), New: newServer}
}

// effectiveSlots returns the number of requests that a server may run at the
// same time, reduced during slow start.
func (c *Core) effectiveSlots(s *service, srv *roster.Server) int {
	info := srv.Info()
	slots := s.spec.Slots()
	if info.Slots > 0 {
		slots = min(slots, int(info.Slots))
	}
	return max(1, int(srv.SlowStartFactor(c.now)*float64(slots)))
}

// applyBundle replaces the services by those of b. A service of the same name
// keeps its flows, its queue, its previous placements and, unless its table size
// changes, its current placement.
func (c *Core) applyBundle(b *spec.Bundle, old *spec.Bundle) {
	next := map[string]*service{}
	for _, svc := range b.Services() {
		if !slices.Contains(svc.Centres(), c.opts.Centre) {
			continue
		}
		s := c.services[svc.Name()]
		if s == nil {
			s = &service{id: c.interner.ID(svc.Name()), flowsByServer: map[table.NameID]int{}, retryTokens: retryBurst}
		}
		if s.spec != nil && s.spec.TableSize() != svc.TableSize() {
			s.places.DropCurrent()
		}
		s.spec = svc
		next[svc.Name()] = s
	}
	for name, s := range c.services {
		if next[name] == nil {
			c.refuseQueue(s)
		}
	}
	c.services = next
	c.sortedServices = c.sortedServices[:0]
	for _, name := range slices.Sorted(maps.Keys(next)) {
		c.sortedServices = append(c.sortedServices, next[name])
	}
	c.recordServiceChanges(b, old)
	c.rebuildPools(nil, true)
}

// recordServiceChanges records the addresses that b assigns to another service.
// A mid-stream packet of an unknown flow to such an address may belong to
// either service.
func (c *Core) recordServiceChanges(b, old *spec.Bundle) {
	if old == nil {
		return
	}
	for _, s := range old.Services() {
		for _, a := range s.Addresses() {
			if current := b.Lookup(a); current != nil && current.Name() != s.Name() {
				c.serviceChangedAt[a] = c.now
			}
		}
	}
}

// leaseKeeperOf returns the host that grants leases on a server's slots.
func (c *Core) leaseKeeperOf(server string) string {
	return c.owners.Home(homes.Bucket(nameHash(server)))
}
