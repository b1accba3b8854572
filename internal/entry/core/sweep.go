package core

import (
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/entry/batch"
	"monsooncleat.example/monsooncleat/internal/entry/count"
	"monsooncleat.example/monsooncleat/internal/entry/loss"
	"monsooncleat.example/monsooncleat/internal/flow/table"
	"monsooncleat.example/monsooncleat/internal/host/member"
	"monsooncleat.example/monsooncleat/internal/wire/codec"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

const (
	// sweepTableSlots and fullSweepTableSlots are the slots of the flow table
	// visited per tick: normally, and while a full sweep is pending.
	sweepTableSlots     = 2000
	fullSweepTableSlots = 25_000
	// closingTimeout is how long a flow record is kept after the last packet, once a
	// FIN or RST was seen.
	closingTimeout = 30 * clock.Second
	// openingTimeout is how long a flow record is kept without a second segment,
	// or after the last packet if its service was removed.
	openingTimeout = clock.Minute
	// probeAfter is how long a TCP flow is idle before the client is probed.
	probeAfter    = clock.Minute
	probeInterval = 5 * clock.Second
	maxProbes     = 3
	// maxRetransmits is the number of retransmissions of one segment in a row
	// after which a flow is reset.
	maxRetransmits = 6
	// minStallTime is the minimum time from the first of these retransmissions to the
	// reset. Servers that are slow, stalled or cut off for less keep their flows. A flow
	// that something between its ends has lost is reset as soon as that of a silent client.
	minStallTime = probeAfter
	// formerOwnerRetention is how long after a membership change a host keeps
	// records of flows of which it is neither owner nor successor.
	formerOwnerRetention = handoverPeriod + 2*clock.Second
)

// restartSweep begins a full sweep after a change of the membership, the server
// list or the bundle.
func (c *Core) restartSweep() {
	c.replicator.RestartSweep()
	c.flows.Rewind()
}

// replicateSoon replicates the flow of r at the next tick, if it is an exception then.
func (c *Core) replicateSoon(r *table.Record) {
	r.ReplicatedTo = 0
	c.replicator.Enqueue(r.Key)
}

// sweepFlows replicates the queued flows and visits the next part of the flow
// table, to expire, replicate and probe flows.
func (c *Core) sweepFlows() {
	queue := c.replicator.Begin(c.now)
	for i := range queue {
		if r := c.flows.Find(&queue[i], queue[i].Hash()); r != nil {
			c.replicateFlow(r)
		}
	}
	tableSlots := sweepTableSlots
	if c.replicator.SweepPending() {
		tableSlots = fullSweepTableSlots
	}
	if c.flows.Sweep(tableSlots, c.visitFlow) {
		c.replicator.SweepDone()
	}
	c.replicator.Flush()
}

// visitFlow removes r if it is expired or no longer needed on this host, and
// else updates its flags, replicates it and probes an idle client.
func (c *Core) visitFlow(r *table.Record) {
	if c.expired(r) {
		c.removeFlow(r)
		return
	}
	r.Flags &^= table.Exception
	if c.isException(c.services[c.interner.Name(r.Service)], r) {
		r.Flags |= table.Exception
	}
	bucket := c.bucketOf(r.Hash())
	if c.owners.Home(bucket) != c.opts.Name && c.owners.Successor(bucket) != c.opts.Name && c.now-c.viewChangedAt > formerOwnerRetention && !c.leaving {
		c.removeFlow(r)
		return
	}
	if c.owners.Home(bucket) != c.opts.Name {
		c.demoteToReplica(r)
	}
	c.replicateFlow(r)
	c.probeIdleFlow(r)
}

// demoteToReplica marks the record of a flow that has another owner as a
// replica.
func (c *Core) demoteToReplica(r *table.Record) {
	if !r.Has(table.Replica) {
		c.countFlow(r, -1)
		r.Flags |= table.Replica
	}
}

// expired reports whether r has had no packet for the timeout of its state.
func (c *Core) expired(r *table.Record) bool {
	age := c.now - r.LastSeen
	switch {
	case r.State == table.Closing:
		return age > closingTimeout
	case r.State == table.Opening:
		return age > openingTimeout
	}
	if s := c.services[c.interner.Name(r.Service)]; s != nil {
		return age > s.spec.IdleTimeout()
	}
	return age > openingTimeout
}

// replicateFlow sends an exception to the successor if this host is the owner, or
// else to the owner, if the replication budget allows it. It skips a target that
// has the record, except that the owner sends it again after
// replicaRefreshInterval.
func (c *Core) replicateFlow(r *table.Record) {
	if !r.Has(table.Exception) || c.opts.Disabled.FlowReplication {
		return
	}
	bucket := c.bucketOf(r.Hash())
	target := c.owners.Home(bucket)
	isOwner := target == c.opts.Name
	if isOwner {
		target = c.owners.Successor(bucket)
	}
	if target == "" || target == c.opts.Name {
		return
	}
	id := c.bootIDs[target]
	if r.ReplicatedTo == id && !(isOwner && c.now-r.ReplicatedAt >= c.replicaRefreshInterval(r)) {
		return
	}
	if !c.replicator.TakeBudget() {
		return
	}
	r.ReplicatedTo, r.ReplicatedAt = id, c.now
	c.counters.Add(count.FlowsCopied, 1)
	c.replicator.Add(target, r)
}

// replicaRefreshInterval is the interval at which the owner replicates a flow
// again, short enough that the replica does not expire.
func (c *Core) replicaRefreshInterval(r *table.Record) clock.Millis {
	if s := c.services[c.interner.Name(r.Service)]; s != nil {
		return s.spec.IdleTimeout() / 3
	}
	return openingTimeout
}

// onFlowReplicas stores flows from another host: as replicas, or as its own
// flows if this host is now their owner.
func (c *Core) onFlowReplicas(m *batch.Frame) {
	for i := range m.Items {
		item := &m.Items[i]
		key, err := inner.ParseKey(item.Key)
		if err != nil || item.Service >= len(m.Names) || item.Server >= len(m.Names) || min(item.Service, item.Server) < 0 {
			c.counters.Add(count.Malformed, 1)
			continue
		}
		r := c.storeReplica(&key, item, c.interner.ID(m.Names[item.Service]), c.interner.ID(m.Names[item.Server]),
			c.interner.ID(m.Address(item.Server)))
		if r != nil {
			r.ReplicatedTo = c.bootIDs[m.From]
		}
	}
}

// storeReplica stores item, unless this host already owns a record of the flow
// that was not adopted, or the flow table is full. It returns the record if it is
// a replica, or else nil.
func (c *Core) storeReplica(key *inner.Key, item *batch.Item, service, server, address table.NameID) *table.Record {
	hash := key.Hash()
	isOwner := c.owners.Home(c.bucketOf(hash)) == c.opts.Name
	r := c.flows.Find(key, hash)
	if r != nil && !r.Has(table.Replica) && !r.Has(table.Adopted) {
		return nil
	}
	if r != nil {
		if address == 0 && r.Server == server && r.ISN == item.ISN {
			address = r.Address
		}
		c.removeFlow(r)
	}
	if address == 0 {
		address = c.addressOf(server, service)
	}
	if c.flows.Len() >= c.opts.MaxFlows {
		return nil
	}
	r = c.flows.Insert(key, hash)
	r.Service, r.Server, r.Address, r.Version, r.ISN = service, server, address, item.Version, item.ISN
	r.State, r.LastSeen = item.State, c.now
	r.Flags = table.Exception | table.Replica
	if isOwner {
		c.promoteReplica(r)
		return nil
	}
	return r
}

// probeIdleFlow sends a keepalive probe to an idle client, and resets the flow
// after maxProbes unanswered probes.
func (c *Core) probeIdleFlow(r *table.Record) {
	if c.opts.Disabled.IdleProbes || r.Key.Proto() != inner.TCP || r.State != table.Open || r.Has(table.Replica) || r.Ack == 0 {
		return
	}
	if c.now-r.LastSeen < probeAfter+clock.Millis(r.Probes)*probeInterval {
		return
	}
	if r.Probes >= maxProbes {
		c.resetBothEnds(r, loss.ClientSilent)
		return
	}
	r.Probes++
	c.counters.Add(count.FlowsProbed, 1)
	probe := inner.Segment{Flags: inner.ACK, Seq: r.Ack - 1, Ack: r.Seq}
	c.sendToClient(r, inner.BuildTCP(r.Key.Dst(), r.Key.Src(), probe))
}

// resetBothEnds sends a TCP reset to the client and to the server, and removes
// the flow. It is used when packets no longer reach one of them.
func (c *Core) resetBothEnds(r *table.Record, reason loss.ResetReason) {
	c.counters.Add(count.FlowsSilent, 1)
	c.noteReset(&r.Key, r.Server, reason)
	client, serviceAddr := r.Key.Src(), r.Key.Dst()
	c.sendToClient(r, inner.BuildTCP(serviceAddr, client, inner.Segment{Flags: inner.RST | inner.ACK, Seq: r.Ack, Ack: r.Seq}))
	if !c.crosses(r) {
		reset := inner.BuildTCP(client, serviceAddr, inner.Segment{Flags: inner.RST | inner.ACK, Seq: r.Seq, Ack: r.Ack})
		c.send(c.parseAddr(c.interner.Name(r.Address)), reset, nil)
	}
	c.removeFlow(r)
}

// sendToClient sends packet to the client of r through its fabric endpoint.
func (c *Core) sendToClient(r *table.Record, packet []byte) {
	if r.Origin != 0 {
		c.send(c.parseAddr(c.interner.Name(r.Origin)), packet, nil)
	}
}

// sendFrame queues a message for the named entry host, if it is alive or suspect.
func (c *Core) sendFrame(host string, kind codec.Kind, v any) {
	if m, ok := c.group.Find(host); ok && m.State <= member.Suspect {
		c.out.Frames = append(c.out.Frames, Frame{m.Peer, codec.Encode(kind, v)})
	}
}
