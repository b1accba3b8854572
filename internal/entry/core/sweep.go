package core

import (
	"maps"
	"net/netip"
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/flow/table"
	"monsooncleat.example/monsooncleat/internal/host/member"
	"monsooncleat.example/monsooncleat/internal/wire/codec"
	"monsooncleat.example/monsooncleat/internal/wire/geneve"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

const (
	askFlag = geneve.FlagAskPrevious
	// sweepCalm and sweepBusy are the flow slots visited in one tick, at rest
	// and after a change of the view.
	sweepCalm = 2000
	sweepBusy = 25_000
	// closingFor is how long a flow is remembered after its FIN or RST.
	closingFor = 30 * clock.Second
	// openingFor is how long a flow may stay without a second segment.
	openingFor = clock.Minute
	// silence is how long a TCP flow may be silent before the caller is probed.
	silence    = clock.Minute
	probeSpan  = 5 * clock.Second
	maxProbes  = 3
	maxRepeats = 6
	// keepFormer is how long a host keeps records that it is no home to.
	keepFormer = handover + 2*clock.Second
	// copyRate is the bytes of flow copies that a host sends in a second, and
	// copyBurst what may be saved up.
	copyRate  = 4000
	copyBurst = 32_000
	// maxItems is the most flows in one frame.
	maxItems = 64
	// itemBytes is about what one flow takes in a frame.
	itemBytes = 32
)

// flowItem is one flow in a frame.
type flowItem struct {
	Key     []byte
	Service int
	Server  int
	Version uint32
	ISN     uint32
	State   table.State
}

// flowCopies is a frame of flows, with the names that the items refer to.
type flowCopies struct {
	From  string
	Names []string
	Items []flowItem
}

// copier keeps what has to be copied to other hosts.
type copier struct {
	// busy is set until a whole sweep has passed after the last change.
	busy   bool
	fresh  []inner.Key
	budget float64
	last   clock.Millis
	behind bool
	boxes  map[string]*flowCopies
	index  map[string]map[table.ID]int
}

// restart begins a new sweep after a change.
func (c *Core) restartSweep() {
	c.copies.busy, c.copies.behind = true, false
	c.flows.Rewind()
}

// urgent queues the flow of r to be copied at the next tick.
func (k *copier) urgent(r *table.Record) {
	r.Holder = 0
	if len(k.fresh) < maxItems*16 {
		k.fresh = append(k.fresh, r.Key)
		return
	}
	k.busy = true
}

func (k *copier) empty() bool { return !k.busy && !k.behind && len(k.fresh) == 0 }

// sweep visits a part of the flows: it forgets those that ended, probes those
// that fell silent, and sends copies to the hosts that need them.
func (c *Core) sweep() {
	k := &c.copies
	k.budget = min(copyBurst, k.budget+copyRate*float64(c.now-k.last)/1000)
	k.last = c.now
	k.boxes, k.index = map[string]*flowCopies{}, map[string]map[table.ID]int{}
	fresh := k.fresh
	k.fresh = nil
	for i := range fresh {
		if r := c.flows.Find(&fresh[i], fresh[i].Hash()); r != nil {
			c.copyFlow(r)
		}
	}
	n := sweepCalm
	if k.busy {
		n = sweepBusy
	}
	if c.flows.Sweep(n, c.visit) {
		k.busy = k.behind
		k.behind = false
	}
	for _, host := range slices.Sorted(maps.Keys(k.boxes)) {
		c.frameTo(host, codec.Exceptions, k.boxes[host])
	}
}

func (c *Core) visit(r *table.Record) {
	if c.expired(r) {
		c.removeFlow(r)
		return
	}
	r.Flags &^= table.Exception
	if c.isException(c.services[c.names.Name(r.Service)], r) {
		r.Flags |= table.Exception
	}
	bucket := c.bucketOf(r.Hash())
	if c.homes.Home(bucket) != c.opts.Name && c.homes.Next(bucket) != c.opts.Name && c.now-c.viewAt > keepFormer && !c.leaving {
		c.removeFlow(r)
		return
	}
	if c.homes.Home(bucket) != c.opts.Name {
		c.disown(r)
	}
	c.copyFlow(r)
	c.checkSilence(r)
}

// disown makes a record of a flow that has another home now a copy.
func (c *Core) disown(r *table.Record) {
	if !r.Has(table.Replica) {
		c.count(r, -1)
		r.Flags |= table.Replica
	}
}

func (c *Core) expired(r *table.Record) bool {
	age := c.now - r.Seen
	switch {
	case r.State == table.Closing:
		return age > closingFor
	case r.State == table.Opening:
		return age > openingFor
	}
	if s := c.services[c.names.Name(r.Service)]; s != nil {
		return age > s.spec.Idle()
	}
	return age > openingFor
}

// copyFlow sends an exception to the host that needs a copy and is not known
// to have it: the successor when this host is its home, else the home.
func (c *Core) copyFlow(r *table.Record) {
	if !r.Has(table.Exception) || c.opts.Off.Exceptions {
		return
	}
	bucket := c.bucketOf(r.Hash())
	target := c.homes.Home(bucket)
	home := target == c.opts.Name
	if home {
		target = c.homes.Next(bucket)
	}
	if target == "" || target == c.opts.Name {
		return
	}
	id := c.boots[target]
	if r.Holder == id && !(home && c.now-r.Copied >= c.recopySpan(r)) {
		return
	}
	if c.copies.budget < itemBytes {
		c.copies.behind = true
		return
	}
	c.copies.budget -= itemBytes
	r.Holder, r.Copied = id, c.now
	c.pack(target, r)
}

// recopySpan is how long a copy is good, before the holder would forget it.
func (c *Core) recopySpan(r *table.Record) clock.Millis {
	if s := c.services[c.names.Name(r.Service)]; s != nil {
		return s.spec.Idle() / 3
	}
	return openingFor
}

func (c *Core) pack(target string, r *table.Record) {
	k := &c.copies
	box := k.boxes[target]
	if box == nil || len(box.Items) >= maxItems {
		if box != nil {
			c.frameTo(target, codec.Exceptions, box)
		}
		box = &flowCopies{From: c.opts.Name}
		k.boxes[target] = box
		k.index[target] = map[table.ID]int{}
	}
	c.counters.Add(FlowsCopied, 1)
	box.Items = append(box.Items, flowItem{
		Key:     r.Key.Append(nil),
		Service: k.nameIn(target, box, c.names, r.Service),
		Server:  k.nameIn(target, box, c.names, r.Server),
		Version: r.Version, ISN: r.ISN, State: r.State,
	})
}

func (k *copier) nameIn(target string, box *flowCopies, names *table.Names, id table.ID) int {
	i, ok := k.index[target][id]
	if !ok {
		i = len(box.Names)
		box.Names = append(box.Names, names.Name(id))
		k.index[target][id] = i
	}
	return i
}

// onCopies takes flows from another host: copies for later when that host is
// their home, or flows that this host is now the home of.
func (c *Core) onCopies(m *flowCopies) {
	for i := range m.Items {
		item := &m.Items[i]
		key, err := inner.ParseKey(item.Key)
		if err != nil || item.Service >= len(m.Names) || item.Server >= len(m.Names) || min(item.Service, item.Server) < 0 {
			c.counters.Add(Malformed, 1)
			continue
		}
		r := c.takeCopy(&key, item, c.names.ID(m.Names[item.Service]), c.names.ID(m.Names[item.Server]))
		if r != nil {
			r.Holder = c.boots[m.From]
		}
	}
}

// takeCopy returns the record made of item, when it stays a copy.
func (c *Core) takeCopy(key *inner.Key, item *flowItem, service, server table.ID) *table.Record {
	hash := key.Hash()
	home := c.homes.Home(c.bucketOf(hash)) == c.opts.Name
	r := c.flows.Find(key, hash)
	if r != nil && !r.Has(table.Replica) && !r.Has(table.Adopted) {
		return nil
	}
	if r != nil {
		c.removeFlow(r)
	}
	if c.flows.Len() >= c.opts.MaxFlows {
		return nil
	}
	r = c.flows.Insert(key, hash)
	r.Service, r.Server, r.Version, r.ISN = service, server, item.Version, item.ISN
	r.State, r.Seen = item.State, c.now
	r.Flags = table.Exception | table.Replica
	if home {
		c.own(r)
		return nil
	}
	return r
}

// checkSilence probes a caller that has been silent, and ends the flow towards
// both ends when the probes stay without an answer.
func (c *Core) checkSilence(r *table.Record) {
	if c.opts.Off.Probes || r.Key.Proto() != inner.TCP || r.State != table.Open || r.Has(table.Replica) || r.Ack == 0 {
		return
	}
	if c.now-r.Seen < silence+clock.Millis(r.Probes)*probeSpan {
		return
	}
	if r.Probes >= maxProbes {
		c.endSilent(r, r.Key.Dst())
		return
	}
	r.Probes++
	c.counters.Add(FlowsProbed, 1)
	probe := inner.Segment{Flags: inner.ACK, Seq: r.Ack - 1, Ack: r.Seq}
	c.toCaller(r, inner.BuildTCP(r.Key.Dst(), r.Key.Src(), probe))
}

// endSilent resets both ends of a flow whose packets no longer arrive.
func (c *Core) endSilent(r *table.Record, service netip.AddrPort) {
	c.counters.Add(FlowsSilent, 1)
	caller := r.Key.Src()
	c.toCaller(r, inner.BuildTCP(service, caller, inner.Segment{Flags: inner.RST | inner.ACK, Seq: r.Ack, Ack: r.Seq}))
	if srv := c.roster.Find(c.names.Name(r.Server)); srv != nil && srv.Info().Service == c.names.Name(r.Service) {
		reset := inner.BuildTCP(caller, service, inner.Segment{Flags: inner.RST | inner.ACK, Seq: r.Seq, Ack: r.Ack})
		c.send(c.serverAddr(srv.Info().Address), reset, nil)
	}
	c.removeFlow(r)
}

func (c *Core) toCaller(r *table.Record, packet []byte) {
	if r.Origin != 0 {
		c.send(c.serverAddr(c.names.Name(r.Origin)), packet, nil)
	}
}

// frameTo sends a message to another entry host by name.
func (c *Core) frameTo(host string, kind codec.Kind, v any) {
	if m, ok := c.group.Find(host); ok && m.State <= member.Suspect {
		c.out.Frames = append(c.out.Frames, Frame{m.Peer, codec.Encode(kind, v)})
	}
}
