package shape

import (
	"encoding/binary"
	"hash/maphash"
	"net/netip"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

const (
	// maxMemory bounds the bytes of the buffers of waiting packets.
	maxMemory = 1_000_000
	// slotSize is the size of such a buffer, which a datagram and the header added for the
	// server fit in.
	slotSize = 1600
	maxSlots = maxMemory / slotSize
	// maxFlows bounds the flows that are told apart. It exceeds maxSlots, so that there is
	// always a flow of which nothing waits.
	maxFlows = 1024
	// buckets is the number of lists of flows with the same hash, a power of two.
	buckets = 2048
	// maxPerFlow bounds the waiting packets of a flow. Senders have 16 packets in flight.
	maxPerFlow = 64
	// maxRoutes bounds the routes whose flows are counted. Further ones refuse no openings.
	maxRoutes = 64
	// routeSample is the number of flows of a route after which the counts are halved, and
	// minLarge the least number of large ones that tells the kind of the route.
	routeSample = 256
	minLarge    = 4
	// quantum is the number of bytes that a flow may send in each round.
	quantum = slotSize
	// none is the index of no slot and no flow.
	none = -1
)

// slot holds a waiting packet.
type slot struct {
	seq      uint32
	length   int
	to       netip.AddrPort
	datagram []byte
	flow     int32
	// next is the slot of the next packet of the flow, or the next free slot.
	next int32
	// older and newer link all waiting packets in the order in which they came.
	older, newer int32
	// since is when the packet came, renewed when it or its latest copy came.
	since, renewed clock.Millis
}

// flow is the state of a flow.
type flow struct {
	key Flow
	// bucket is the list that holds the flow, chained the next flow in it.
	bucket, chained int32
	// sent is the number of bytes sent lately. It is halved each halfLife.
	sent      int
	decayedAt clock.Millis
	delayedAt clock.Millis
	// first and last are the slots of the waiting packets.
	first, last int32
	packets     int
	// highest is the highest sequence number among the waiting packets, or above it.
	highest uint32
	// deficit is the number of bytes that the flow may still send in the round.
	deficit int
	round   uint64
	// place is the index of the flow in queues.heap, or none if nothing waits.
	place int32
	// route is the index of the flow's route, or none. Large is set once the flow has been
	// counted as a large one.
	route int32
	large bool
	// before and after link the flows in the order in which they were last used.
	before, after int32
}

func (f *flow) decay(now clock.Millis) {
	if n := (now - f.decayedAt) / halfLife; n > 0 {
		f.sent >>= min(uint(n), 62)
		f.decayedAt += n * halfLife
	}
}

// route counts the flows that were told apart, and the large ones among them.
type route struct {
	address      netip.AddrPort
	flows, large int
}

// queues holds the flows and their packets. Memory is allocated as it is first needed
// and then used again.
type queues struct {
	// seed makes the lists of equal hashes unpredictable to senders. It has no effect on
	// decisions.
	seed    maphash.Seed
	buckets []int32
	flows   []flow
	routes  []route
	slots   []slot
	free    int32
	// oldest and newest are the ends of the list of waiting packets, idlest and latest
	// those of the list of flows.
	oldest, newest, idlest, latest int32
	waiting, bytes                 int
	// heap holds the flows with waiting packets by round and, within a round, by the bytes
	// sent.
	heap  []int32
	round uint64
}

func (q *queues) init() {
	*q = queues{
		seed: maphash.MakeSeed(), buckets: make([]int32, buckets),
		free: none, oldest: none, newest: none, idlest: none, latest: none,
	}
	for i := range q.buckets {
		q.buckets[i] = none
	}
}

// lookup returns the index of a flow, or none, and the bucket for it. Clients rarely use a
// port for several routes, so the route has no part in the hash.
func (q *queues) lookup(key *Flow) (i, bucket int32) {
	var b [18]byte
	address := key.Client.Addr().As16()
	copy(b[:], address[:])
	binary.LittleEndian.PutUint16(b[16:], key.Client.Port())
	bucket = int32(maphash.Bytes(q.seed, b[:]) % buckets)
	for i = q.buckets[bucket]; i != none; i = q.flows[i].chained {
		if q.flows[i].key == *key {
			break
		}
	}
	return i, bucket
}

// forget removes a flow from its bucket.
func (q *queues) forget(i int32) {
	link := &q.buckets[q.flows[i].bucket]
	for *link != i {
		link = &q.flows[*link].chained
	}
	*link = q.flows[i].chained
}

// find returns the state of a flow. A new flow takes the place of the one that was used
// the longest time ago if there are too many.
func (q *queues) find(now clock.Millis, key *Flow) *flow {
	i, bucket := q.lookup(key)
	known := i != none
	switch {
	case i == q.latest && known:
		return &q.flows[i]
	case known:
		q.unlinkFlow(i)
	case len(q.flows) < maxFlows:
		i = int32(len(q.flows))
		q.flows = append(q.flows, flow{})
	default:
		// Flows with waiting packets are too few to fill the list.
		i = q.idlest
		for q.flows[i].place != none {
			i = q.flows[i].after
		}
		q.unlinkFlow(i)
		q.forget(i)
	}
	if !known {
		q.flows[i] = flow{
			key: *key, bucket: bucket, chained: q.buckets[bucket], first: none, last: none, place: none,
			decayedAt: now, delayedAt: now - 2*measuredAgain, route: q.countFlow(key.Route),
		}
		q.buckets[bucket] = i
	}
	f := &q.flows[i]
	f.before, f.after = q.latest, none
	if q.latest == none {
		q.idlest = i
	} else {
		q.flows[q.latest].after = i
	}
	q.latest = i
	return f
}

// countFlow counts a flow of a route, and returns the index of the route or none.
func (q *queues) countFlow(address netip.AddrPort) int32 {
	i := q.findRoute(address)
	if i == none && len(q.routes) < maxRoutes {
		i = int32(len(q.routes))
		q.routes = append(q.routes, route{address: address})
	}
	if i == none {
		return none
	}
	r := &q.routes[i]
	if r.flows++; r.flows == routeSample {
		r.flows /= 2
		r.large /= 2
	}
	return i
}

func (q *queues) findRoute(address netip.AddrPort) int32 {
	for i := range q.routes {
		if q.routes[i].address == address {
			return int32(i)
		}
	}
	return none
}

// countLarge counts a flow as a large one of its route.
func (q *queues) countLarge(f *flow) {
	if !f.large && f.route != none {
		q.routes[f.route].large++
	}
	f.large = true
}

// mostlyLarge reports whether most flows of a route are large.
func (q *queues) mostlyLarge(address netip.AddrPort) bool {
	i := q.findRoute(address)
	return i != none && q.routes[i].large >= minLarge && 2*q.routes[i].large > q.routes[i].flows
}

func (q *queues) unlinkFlow(i int32) {
	f := &q.flows[i]
	if f.before == none {
		q.idlest = f.after
	} else {
		q.flows[f.before].after = f.after
	}
	if f.after == none {
		q.latest = f.before
	} else {
		q.flows[f.after].before = f.before
	}
}

// renewCopy reports whether a copy of the packet, which has data, waits. The sender then
// still waits for an answer to it, so its age starts again.
func (q *queues) renewCopy(now clock.Millis, f *flow, p *Packet) bool {
	if p.Length == 0 || int32(p.Seq-f.highest) > 0 {
		return false
	}
	for i := f.first; i != none; i = q.slots[i].next {
		if s := &q.slots[i]; s.seq == p.Seq && s.length == p.Length {
			s.renewed = now
			return true
		}
	}
	return false
}

// push adds a packet to the latest flow found. It returns false if there is no room.
func (q *queues) push(now clock.Millis, f *flow, p *Packet) bool {
	if f.packets == maxPerFlow || len(p.Datagram) > slotSize {
		return false
	}
	i := q.takeSlot()
	if i == none {
		return false
	}
	s := &q.slots[i]
	*s = slot{
		seq: p.Seq, length: p.Length, to: p.To, datagram: append(s.datagram[:0], p.Datagram...), flow: q.latest,
		next: none, older: q.newest, newer: none, since: now, renewed: now,
	}
	if q.newest == none {
		q.oldest = i
	} else {
		q.slots[q.newest].newer = i
	}
	q.newest = i
	q.appendTo(f, i, p.Seq)
	q.waiting++
	q.bytes += len(p.Datagram)
	if f.place == none {
		q.schedule(f)
	}
	return true
}

// takeSlot returns a free slot, or none.
func (q *queues) takeSlot() int32 {
	if i := q.free; i != none {
		q.free = q.slots[i].next
		return i
	}
	if len(q.slots) == maxSlots {
		return none
	}
	q.slots = append(q.slots, slot{datagram: make([]byte, 0, slotSize)})
	return int32(len(q.slots) - 1)
}

// appendTo makes a slot the last one of a flow.
func (q *queues) appendTo(f *flow, i int32, seq uint32) {
	if f.first == none {
		f.first, f.highest = i, seq
	} else {
		if int32(seq-f.highest) > 0 {
			f.highest = seq
		}
		q.slots[f.last].next = i
	}
	f.last = i
	f.packets++
}

// schedule adds the latest flow found to the heap.
func (q *queues) schedule(f *flow) {
	// A flow that has used up its turn in this round gets the next one in the next round.
	if f.round < q.round {
		f.round, f.deficit = q.round, quantum
	}
	f.place = int32(len(q.heap))
	q.heap = append(q.heap, q.latest)
	q.up(f.place)
}

// pop removes the first packet of a flow.
func (q *queues) pop(flow int32) {
	f := &q.flows[flow]
	i := f.first
	s := &q.slots[i]
	f.first = s.next
	if f.first == none {
		f.last = none
	}
	q.unlinkSlot(s)
	f.packets--
	q.waiting--
	q.bytes -= len(s.datagram)
	s.next = q.free
	q.free = i
	if f.first == none {
		q.remove(f.place)
	} else {
		q.down(f.place)
	}
}

// unlinkSlot removes a slot from the list of waiting packets.
func (q *queues) unlinkSlot(s *slot) {
	if s.older == none {
		q.oldest = s.newer
	} else {
		q.slots[s.older].newer = s.newer
	}
	if s.newer == none {
		q.newest = s.older
	} else {
		q.slots[s.newer].older = s.older
	}
}

// next returns the flow whose first packet is sent next. A packet must wait.
func (q *queues) next() int32 {
	for {
		f := &q.flows[q.heap[0]]
		if f.deficit > 0 {
			q.round = f.round
			return q.heap[0]
		}
		f.deficit += quantum
		f.round++
		q.down(0)
	}
}

// remove removes the flow at a place of the heap.
func (q *queues) remove(place int32) {
	q.flows[q.heap[place]].place = none
	last := int32(len(q.heap) - 1)
	moved := q.heap[last]
	q.heap = q.heap[:last]
	if place < last {
		q.heap[place] = moved
		q.flows[moved].place = place
		q.down(place)
		q.up(q.flows[moved].place)
	}
}

// less reports whether the flow at one place of the heap is served before that at
// another.
func (q *queues) less(a, b int32) bool {
	f, g := &q.flows[q.heap[a]], &q.flows[q.heap[b]]
	if f.round != g.round {
		return f.round < g.round
	}
	return f.sent < g.sent
}

func (q *queues) swap(a, b int32) {
	q.heap[a], q.heap[b] = q.heap[b], q.heap[a]
	q.flows[q.heap[a]].place, q.flows[q.heap[b]].place = a, b
}

func (q *queues) up(i int32) {
	for i > 0 && q.less(i, (i-1)/2) {
		q.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (q *queues) down(i int32) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < int32(len(q.heap)); child++ {
			if q.less(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		q.swap(i, least)
		i = least
	}
}
