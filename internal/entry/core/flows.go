package core

import (
	"math"
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/entry/count"
	"monsooncleat.example/monsooncleat/internal/entry/loss"
	"monsooncleat.example/monsooncleat/internal/flow/table"
	"monsooncleat.example/monsooncleat/internal/serve/roster"
	"monsooncleat.example/monsooncleat/internal/wire/geneve"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

const (
	// handoverPeriod is how long a new owner looks up unknown flows at the
	// previous owner, and how long an owner must have owned a bucket to count
	// as long-term (see place.Owners).
	handoverPeriod = 10 * clock.Second
	// copyPeriod is how long after a takeover openings may be copies of openings that
	// the previous owner has placed.
	copyPeriod = 3 * clock.Second
	// hashCandidates is the number of servers tried by hash before falling back
	// to the least loaded one.
	hashCandidates = 4
	// maxLoadFactor limits the flows that an owner assigns to one server, as a
	// multiple of the server's weighted share of this owner's flows. A lower
	// factor spreads the flows more evenly, but moves more of them off their
	// default server, so that they have to be replicated.
	maxLoadFactor = 1.06
	// connectionQuotaSlack scales an owner's quota of a server's connection
	// limit, because the flows are not spread evenly over the owners.
	connectionQuotaSlack = 1.1
)

// handleFlowPacket handles a packet of a TCP or UDP flow. s is nil if the
// active bundle has no service at the address. Flows of a removed service may
// still be open then.
func (c *Core) handleFlowPacket(s *service, p *inner.Packet, in *arrival) {
	hash := p.Key.Hash()
	bucket := c.bucketOf(hash)
	if c.relayToOwner(bucket, p, in) {
		return
	}
	r := c.flows.Find(&p.Key, hash)
	// A SYN with another ISN opens a new connection between the same addresses
	// and ports.
	if r != nil && p.Opens() && r.ISN != p.Seq && !in.has(geneve.FlagLookup) {
		c.removeFlow(r)
		r = nil
	}
	if r == nil {
		c.handleUnknownFlow(s, p, in, hash)
		return
	}
	if in.has(geneve.FlagLookup) && c.owners.Home(bucket) != c.opts.Name {
		// This is a lookup by the new owner, which lacks the record.
		c.replicateSoon(r)
	} else {
		c.promoteReplica(r)
	}
	c.updateRecord(r, p, in)
	c.forward(r, p, in)
}

// promoteReplica makes this host the owner of a flow of which it held a replica.
func (c *Core) promoteReplica(r *table.Record) {
	if !r.Has(table.Replica) {
		return
	}
	r.Flags &^= table.Replica
	r.ReplicatedTo = 0
	c.countFlow(r, 1)
}

// countFlow adds n to the flow count of r's server.
func (c *Core) countFlow(r *table.Record, n int) {
	if s := c.services[c.interner.Name(r.Service)]; s != nil {
		s.addFlows(r.Server, n)
	}
}

func (c *Core) removeFlow(r *table.Record) {
	if !r.Has(table.Replica) {
		c.countFlow(r, -1)
	}
	c.flows.Remove(r)
}

// handleUnknownFlow handles a packet of a flow without a record: it looks the
// flow up at the previous owner, assigns a server, or refuses the packet.
// A packet from a host with a newer bundle, which may have the service, is dropped.
func (c *Core) handleUnknownFlow(s *service, p *inner.Packet, in *arrival, hash uint64) {
	bucket := c.bucketOf(hash)
	if in.has(geneve.FlagLookup) && c.forwardAsPreviousOwner(s, p, in, hash) {
		return
	}
	if c.returnToOwner(bucket, p, in) {
		return
	}
	if c.declinesNewWork() {
		c.counters.Add(count.StoodAside, 1)
		return
	}
	if target := c.lookupTarget(bucket, in, handoverPeriod); target != "" {
		if c.hopLimitReached(in) {
			return
		}
		c.counters.Add(count.FlowsAsked, 1)
		c.relay(target, p, in, geneve.FlagLookup)
		return
	}
	if s == nil {
		c.counters.Add(count.NoService, 1)
		if spec.Version(in.relay.Version) > c.activeVersion() {
			return
		}
		c.refuse(p, in, 0, loss.NoService)
		return
	}
	opens := p.Key.Proto() == inner.UDP || p.Opens()
	if !opens && !c.canAdopt(s, p) {
		c.counters.Add(count.FlowsUnknown, 1)
		c.refuse(p, in, 0, loss.UnknownFlow)
		return
	}
	server := c.chooseServer(s, hash, opens)
	if c.awaitsServers() && (!opens || server == 0) {
		c.counters.Add(count.StoodAside, 1)
		return
	}
	full := c.flows.Len() >= c.opts.MaxFlows
	if full && server != 0 && !opens {
		c.forwardWithoutRecord(s, p, server)
		return
	}
	if server == 0 || full {
		s.load.Refuse()
		c.counters.Add(count.FlowsRefused, 1)
		c.refuse(p, in, 0, loss.NoServer)
		return
	}
	r := c.addFlow(s, p, hash, server)
	if !opens {
		r.Flags |= table.Adopted
		r.State = table.Open
		c.counters.Add(count.FlowsAdopted, 1)
	} else {
		s.load.Serve()
		c.counters.Add(count.FlowsOpened, 1)
	}
	c.updateRecord(r, p, in)
	c.forward(r, p, in)
}

// forwardWithoutRecord forwards a packet of an open flow for which the table has no room.
func (c *Core) forwardWithoutRecord(s *service, p *inner.Packet, server table.NameID) {
	if srv := c.servers.Find(c.interner.Name(server)); srv != nil && srv.Info().Service == s.spec.Name() {
		if c.isTaken(c.addressOf(server, s.id), server, s.id) {
			c.counters.Add(count.CrossedPrevented, 1)
			return
		}
		c.counters.Add(count.PacketsForwarded, 1)
		c.send(c.parseAddr(srv.Info().Address), p.Raw, nil)
	}
}

// awaitsServers reports whether running servers may not have announced themselves to this
// host yet: it has just started and has no list of another host.
func (c *Core) awaitsServers() bool {
	return !c.group.Joined() && c.now-c.startedAt < 2*roster.HeartbeatInterval
}

// forwardAsPreviousOwner handles a mid-stream packet that the new owner relayed
// for a lookup. If the flow's default server at the change of owner differs from
// its current one, it forwards the packet to the default server of that time and
// records the flow as a replica. A host that did not own the bucket, such as a
// successor that the new owner asks too, cannot tell which default applied. It reports
// whether it forwarded the packet.
func (c *Core) forwardAsPreviousOwner(s *service, p *inner.Packet, in *arrival, hash uint64) bool {
	if s == nil || p.Key.Proto() != inner.TCP || p.Opens() || !c.ownedLast(c.bucketOf(hash)) || !c.canAdopt(s, p) {
		return false
	}
	server, currentDefault := c.serverForUnknownFlow(s, hash), s.places.Current().Server(hash)
	if server == 0 || currentDefault == 0 || currentDefault == server || c.flows.Len() >= c.opts.MaxFlows {
		return false
	}
	r := c.addFlow(s, p, hash, server)
	r.Flags |= table.Adopted
	c.demoteToReplica(r)
	c.updateRecord(r, p, in)
	c.forward(r, p, in)
	return true
}

// canAdopt reports whether a mid-stream packet of an unknown flow may go to the
// default server. It may not if it is a reset, or while flows of a service that
// had the address before may still be open.
func (c *Core) canAdopt(s *service, p *inner.Packet) bool {
	if p.Flags&inner.RST != 0 {
		return false
	}
	changedAt, changed := c.serviceChangedAt[spec.Address{Proto: p.Key.Proto(), AddrPort: p.Key.Dst()}]
	return !changed || c.now-changedAt > s.spec.IdleTimeout()
}

// addFlow inserts a record for the flow of p, and queues it for replication if
// it is an exception.
func (c *Core) addFlow(s *service, p *inner.Packet, hash uint64, server table.NameID) *table.Record {
	r := c.flows.Insert(&p.Key, hash)
	r.Service, r.Server, r.Address = s.id, server, c.addressOf(server, s.id)
	r.Version = uint32(c.releases.Bundle().Version())
	r.ISN, r.LastSeen = p.Seq, c.now
	if c.isException(s, r) {
		r.Flags |= table.Exception
		c.replicateSoon(r)
	}
	s.addFlows(server, 1)
	return r
}

// isException reports whether a host without a record of the flow might choose
// another server or another address, or no server because the service was removed
// or its address now belongs to another one. s is the service of the flow, or nil if the active
// bundle no longer contains it.
func (c *Core) isException(s *service, r *table.Record) bool {
	if s == nil || c.serviceOf(&r.Key) != s {
		return true
	}
	if s.places.Current().Server(r.Hash()) != r.Server || c.nextOwnerDefault(s, r.Hash()) != r.Server {
		return true
	}
	srv := c.servers.Find(c.interner.Name(r.Server))
	return srv != nil && r.Address != 0 && srv.Info().Address != c.interner.Name(r.Address)
}

// serviceOf returns the service at the destination address of a flow, or nil.
func (c *Core) serviceOf(key *inner.Key) *service {
	sp := c.releases.Bundle().Lookup(spec.Address{Proto: key.Proto(), AddrPort: key.Dst()})
	if sp == nil {
		return nil
	}
	return c.services[sp.Name()]
}

// chooseServer returns the server for a flow, or zero if there is none. Load
// and connection limits apply only if the flow is opening.
func (c *Core) chooseServer(s *service, hash uint64, opens bool) table.NameID {
	if !opens {
		return c.serverForUnknownFlow(s, hash)
	}
	if s.places.Current().Len() == 0 {
		return 0
	}
	if server := c.serverForCopy(s, hash); server != 0 {
		return server
	}
	for n := range hashCandidates {
		if i := s.places.Current().Candidate(hash, n); c.acceptsFlow(s, i) {
			return s.places.Current().ID(i)
		}
	}
	return c.leastLoaded(s)
}

// serverForCopy returns the server of an opening that may be a copy of one that the owner
// before has placed, or zero. Flows on other servers than the default one are known here.
func (c *Core) serverForCopy(s *service, hash uint64) table.NameID {
	if c.now-c.history[c.bucketOf(hash)].OwnedSince() >= copyPeriod {
		return 0
	}
	server := c.serverForUnknownFlow(s, hash)
	if srv := c.servers.Find(c.interner.Name(server)); srv == nil || !srv.Usable() {
		return 0
	}
	return server
}

// acceptsFlow reports whether this host may assign one more flow to the server
// at index i.
func (c *Core) acceptsFlow(s *service, i int) bool {
	server := s.places.Current().ID(i)
	count := s.flowsByServer[server]
	if float64(count) >= c.connectionQuota(s, i) || c.isTaken(c.addressOf(server, s.id), server, s.id) {
		return false
	}
	if c.opts.Disabled.LoadBound {
		return true
	}
	bound := maxLoadFactor * float64(s.flowCount+1) * s.places.Current().Share(i)
	return float64(count) < math.Ceil(bound)*c.slowStartFactor(s, i)
}

// slowStartFactor returns the fraction of its share that the server at index i
// gets: less than 1 while it is in slow start.
func (c *Core) slowStartFactor(s *service, i int) float64 {
	if srv := c.servers.Find(c.interner.Name(s.places.Current().ID(i))); srv != nil {
		return srv.SlowStartFactor(c.now)
	}
	return 1
}

// connectionQuota returns the number of flows that this host may assign to the
// server at index i: its part of the server's connection limit.
func (c *Core) connectionQuota(s *service, i int) float64 {
	limit := s.spec.MaxConnections()
	if srv := c.servers.Find(c.interner.Name(s.places.Current().ID(i))); srv != nil {
		if n := srv.Info().Connections; n > 0 {
			limit = min(limit, int(n))
		}
	}
	return max(1, connectionQuotaSlack*float64(limit)*c.ownedFraction())
}

// ownedFraction returns the fraction of the buckets that this host owns.
func (c *Core) ownedFraction() float64 { return c.owners.Share(c.opts.Name) }

// leastLoaded returns the server with the fewest flows relative to its weight
// among those below their connection quota whose address is their own, or zero.
func (c *Core) leastLoaded(s *service) table.NameID {
	best, lowest := table.NameID(0), math.Inf(1)
	for i, id := range s.places.Current().IDs() {
		count := float64(s.flowsByServer[id])
		if count >= c.connectionQuota(s, i) || c.isTaken(c.addressOf(id, s.id), id, s.id) {
			continue
		}
		if load := (count + 1) / (s.places.Current().Share(i) * c.slowStartFactor(s, i)); load < lowest {
			best, lowest = id, load
		}
	}
	return best
}

// updateRecord updates a flow record from a packet of the client.
func (c *Core) updateRecord(r *table.Record, p *inner.Packet, in *arrival) {
	r.LastSeen = c.now
	r.Probes = 0
	r.Origin = c.originID(in.origin)
	if p.Key.Proto() != inner.TCP {
		r.State = table.Open
		return
	}
	nextSeq := p.Seq + uint32(len(p.Payload))
	switch {
	case p.Flags&(inner.FIN|inner.RST) != 0:
		r.State = table.Closing
		nextSeq++
	case p.Flags&inner.SYN != 0:
		nextSeq++
	case r.State == table.Opening:
		r.State = table.Open
	}
	// Pure acknowledgements, and keepalive probes, which carry at most one byte,
	// do not count as retransmissions.
	carriesData := len(p.Payload) > 1
	same := nextSeq == r.Seq && p.Ack == r.Ack
	switch {
	case same && (carriesData || p.Flags&inner.SYN != 0):
		c.countRetransmit(r)
	case !same:
		r.Retransmits = 0
	}
	r.Seq, r.Ack = nextSeq, p.Ack
}

// originID returns the ID of a fabric endpoint.
func (c *Core) originID(origin netip.AddrPort) table.NameID {
	if id, ok := c.originIDs[origin]; ok {
		return id
	}
	id := c.interner.ID(origin.String())
	c.originIDs[origin] = id
	return id
}

// forward sends p to the address where its flow was opened, or drops it if a server of another
// service is said to be there. It resets the flow after maxRetransmits retransmissions in a row
// over minStallTime. Packets that were dropped in a row count as well, if they don't tell whether
// the client repeats them.
func (c *Core) forward(r *table.Record, p *inner.Packet, in *arrival) {
	if r.Address == 0 {
		r.Address = c.addressOf(r.Server, r.Service)
	}
	crosses := c.crosses(r)
	if p.Key.Proto() == inner.UDP || !p.Opens() && len(p.Payload) <= 1 {
		c.countDrops(r, crosses)
	}
	switch {
	case c.isStalled(r):
		c.resetStalled(r, p, in)
	case crosses:
		c.counters.Add(count.CrossedPrevented, 1)
	default:
		c.counters.Add(count.PacketsForwarded, 1)
		c.send(c.parseAddr(c.interner.Name(r.Address)), p.Raw, nil)
	}
}

// parseAddr returns the parsed form of address, which it caches, or an invalid
// address if it cannot be parsed.
func (c *Core) parseAddr(address string) netip.AddrPort {
	if addr, ok := c.addrs[address]; ok {
		return addr
	}
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return netip.AddrPort{}
	}
	c.addrs[address] = addr
	return addr
}
