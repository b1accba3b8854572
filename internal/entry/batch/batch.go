// Package batch collects the flows that an entry host replicates to others into frames,
// within a budget of bytes per second. It answers changes of the membership or of the
// servers, after which most flows must be replicated at once, while the control traffic
// of a host is bounded.
package batch

import (
	"maps"
	"net/netip"
	"slices"
	"strings"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/flow/table"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

const (
	// bytesPerSecond and maxBurstBytes are the rate and the burst size of the token
	// bucket that limits replication.
	bytesPerSecond   = 4000
	maxBurstBytes    = 32_000
	maxItemsPerFrame = 64
	// maxQueued is the maximum length of the queue.
	maxQueued = 16 * maxItemsPerFrame
	// itemBytes is the approximate encoded size of an Item.
	itemBytes = 32
)

// addressMark precedes an address in Frame.Names.
const addressMark = "@"

// Item is one flow in a frame. Service and Server are indexes into Frame.Names.
type Item struct {
	Key     []byte
	Service int
	Server  int
	Version uint32
	ISN     uint32
	State   table.State
}

// Frame replicates flows to another host. In Names, the name of a server is followed by
// addressMark and its address, if that is known.
type Frame struct {
	From  string
	Names []string
	Items []Item
}

// Address returns the address of the server with an index in Names, or "" if the sender did
// not know it.
func (f *Frame) Address(server int) string {
	if server+1 >= len(f.Names) {
		return ""
	}
	address, _ := strings.CutPrefix(f.Names[server+1], addressMark)
	if _, err := netip.ParseAddrPort(address); err != nil || address == f.Names[server+1] {
		return ""
	}
	return address
}

// named identifies a server at an address, or a service, in a frame under construction.
type named struct{ name, address table.NameID }

// Replicator holds the state of flow replication to other hosts. It is not safe for
// concurrent use.
type Replicator struct {
	self     string
	interner *table.Interner
	send     func(host string, f *Frame)
	// sweepPending is set until a full sweep has completed after the last change
	// of the membership, the server list or the bundle.
	sweepPending bool
	// queue holds flows to replicate at the next tick.
	queue      []inner.Key
	byteBudget float64
	refilledAt clock.Millis
	// overBudget is set if a flow was skipped in this sweep because byteBudget
	// was exhausted.
	overBudget bool
	// frames holds the frames under construction, and nameIndex the positions
	// of names in them, both by target host.
	frames    map[string]*Frame
	nameIndex map[string]map[named]int
}

// New returns a Replicator of the host called self. Send passes a frame on to another
// host.
func New(self string, interner *table.Interner, send func(host string, f *Frame)) *Replicator {
	return &Replicator{self: self, interner: interner, send: send}
}

// Reset forgets the queue and the pending sweep.
func (r *Replicator) Reset() { *r = *New(r.self, r.interner, r.send) }

// RestartSweep requires a full sweep over the flows.
func (r *Replicator) RestartSweep() { r.sweepPending, r.overBudget = true, false }

// SweepPending reports whether a full sweep over the flows has not completed yet.
func (r *Replicator) SweepPending() bool { return r.sweepPending }

// SweepDone records that a sweep has completed. If it skipped flows for lack of budget,
// another one follows.
func (r *Replicator) SweepDone() { r.sweepPending, r.overBudget = r.overBudget, false }

// Idle reports whether nothing is left to replicate.
func (r *Replicator) Idle() bool { return !r.sweepPending && !r.overBudget && len(r.queue) == 0 }

// Enqueue queues a flow for replication at the next tick. If the queue is full, a full
// sweep replicates it.
func (r *Replicator) Enqueue(key inner.Key) {
	if len(r.queue) < maxQueued {
		r.queue = append(r.queue, key)
		return
	}
	r.sweepPending = true
}

// Begin refills the budget, begins the frames of a tick and returns the queued flows.
func (r *Replicator) Begin(now clock.Millis) []inner.Key {
	r.byteBudget = min(maxBurstBytes, r.byteBudget+bytesPerSecond*float64(now-r.refilledAt)/float64(clock.Second))
	r.refilledAt = now
	r.frames, r.nameIndex = map[string]*Frame{}, map[string]map[named]int{}
	queue := r.queue
	r.queue = nil
	return queue
}

// Flush sends the frames of a tick.
func (r *Replicator) Flush() {
	for _, host := range slices.Sorted(maps.Keys(r.frames)) {
		r.send(host, r.frames[host])
	}
}

// TakeBudget reports whether the budget allows one more flow, and takes it.
func (r *Replicator) TakeBudget() bool {
	if r.byteBudget < itemBytes {
		r.overBudget = true
		return false
	}
	r.byteBudget -= itemBytes
	return true
}

// Add adds a flow to the frame for target, and first sends the frame if it is full.
func (r *Replicator) Add(target string, flow *table.Record) {
	frame := r.frames[target]
	if frame == nil || len(frame.Items) >= maxItemsPerFrame {
		if frame != nil {
			r.send(target, frame)
		}
		frame = &Frame{From: r.self}
		r.frames[target] = frame
		r.nameIndex[target] = map[named]int{}
	}
	frame.Items = append(frame.Items, Item{
		Key:     flow.Key.Append(nil),
		Service: r.nameIndexOf(target, frame, named{name: flow.Service}),
		Server:  r.nameIndexOf(target, frame, named{flow.Server, flow.Address}),
		Version: flow.Version, ISN: flow.ISN, State: flow.State,
	})
}

// nameIndexOf returns the index of a name in a frame, and adds the name if necessary.
func (r *Replicator) nameIndexOf(target string, frame *Frame, id named) int {
	i, ok := r.nameIndex[target][id]
	if !ok {
		i = len(frame.Names)
		frame.Names = append(frame.Names, r.interner.Name(id.name))
		if id.address != 0 {
			frame.Names = append(frame.Names, addressMark+r.interner.Name(id.address))
		}
		r.nameIndex[target][id] = i
	}
	return i
}
