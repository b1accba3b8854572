package share_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/share"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

const announceInterval = 1200 * clock.Millis(1)

// event is a delivery or a timer of a simulation.
type event struct {
	at  clock.Millis
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// hosts are control hosts that exchange the announcements of servers over links with random
// delays, and the servers.
type hosts struct {
	r      *rand.Rand
	now    clock.Millis
	queue  events
	seq    int
	lists  []*share.List
	cut    []bool
	runs   uint64
	alive  []*process
	gone   []*process
	nextID int
}

// process is one incarnation of a server.
type process struct {
	record fleet.Record
	home   int
	gone   bool
}

type hostGroup struct{ self, n int }

func hostID(i int) raft.ID { return raft.ID(fmt.Sprint("h", i)) }

func (g hostGroup) Self() raft.ID     { return hostID(g.self) }
func (g hostGroup) Voters() []raft.ID { return g.Members() }
func (g hostGroup) Members() []raft.ID {
	var out []raft.ID
	for i := range g.n {
		out = append(out, hostID(i))
	}
	return out
}

func (h *hosts) after(delay clock.Millis, run func()) {
	h.seq++
	heap.Push(&h.queue, event{h.now + delay, h.seq, run})
}

func (h *hosts) delay(most clock.Millis) clock.Millis {
	return clock.Millis(h.r.Int64N(int64(most)) + 1)
}

func (h *hosts) newList(i int) *share.List {
	h.runs++
	options := fleet.Options{SilentAfter: 3600, ForgetAfter: 90_000, ReuseAfter: 2000, Interval: announceInterval}
	send := func(to raft.ID, e *msgs.Envelope) {
		for j := range h.lists {
			if hostID(j) == to && !h.cut[i] && !h.cut[j] {
				h.after(h.delay(200), func() {
					reply := h.lists[j].ReplyToSync(h.now, e.Sync)
					h.after(h.delay(200), func() {
						if h.lists[i].HandleSyncReply(h.now, reply) != nil {
							panic("malformed reply")
						}
					})
				})
			}
		}
	}
	return share.NewList(options, h.runs, h.now, hostGroup{i, len(h.cut)}, func(string) bool { return true }, send)
}

// tick runs the exchanges and the expiry of a host.
func (h *hosts) tick(i int) {
	if l := h.lists[i]; l.SyncDue(h.now) {
		l.RequestSync(h.now, func(raft.ID, *msgs.Sync) {})
	}
	h.lists[i].Expire(h.now)
	h.after(50, func() { h.tick(i) })
}

// announce makes a server announce itself each announceInterval until it is gone.
func (h *hosts) announce(p *process) {
	if p.gone {
		return
	}
	p.record.Seq++
	r := p.record
	if h.r.IntN(20) == 0 {
		p.home = h.r.IntN(len(h.lists))
	}
	h.deliver(p.home, h.delay(100), r)
	h.after(announceInterval, func() { h.announce(p) })
}

func (h *hosts) deliver(to int, delay clock.Millis, r fleet.Record) {
	h.after(delay, func() { h.lists[to].Apply(h.now, h.now, r, true) })
}

func (h *hosts) start(id, address string, started clock.Millis) {
	p := &process{home: h.r.IntN(len(h.lists)), record: fleet.Record{
		ID: id, Number: 1, Started: started, Service: "s", Slots: 1, State: fleet.Ready, Address: netip.MustParseAddrPort(address),
	}}
	h.alive = append(h.alive, p)
	h.announce(p)
}

// disturb applies one of the faults to a random server or host.
func (h *hosts) disturb() {
	k := h.r.IntN(len(h.alive))
	p, host := h.alive[k], h.r.IntN(len(h.lists))
	// The time of day of the server's next machine.
	started := 1_000_000 + h.now + clock.Millis(h.r.Int64N(30_000)) - 15_000
	end := func() {
		p.gone = true
		h.alive[k] = h.alive[len(h.alive)-1]
		h.alive, h.gone = h.alive[:len(h.alive)-1], append(h.gone, p)
	}
	id, address := p.record.ID, p.record.Address.String()
	switch h.r.IntN(7) {
	case 0: // It starts again under its ID, at its address or at another one.
		end()
		if h.r.IntN(2) == 0 {
			h.nextID++
			address = fmt.Sprint("10.1.0.", h.nextID, ":80")
		}
		h.after(h.delay(3000), func() { h.start(id, address, started) })
	case 1: // Its address is used again.
		end()
		if h.r.IntN(2) == 0 {
			h.after(h.delay(200), func() { h.lists[host].Fleet().Leave(h.now, id) })
		}
		h.nextID++
		next := fmt.Sprint("i-", h.nextID)
		h.after(2000+h.delay(2000), func() { h.start(next, address, started) })
	case 2: // An announcement is delayed.
		if len(h.gone) > 0 {
			p = h.gone[h.r.IntN(len(h.gone))]
		}
		h.deliver(host, h.delay(4000), p.record)
	case 3: // Another writer announces its ID elsewhere.
		r := p.record
		r.Address, r.Started, r.Seq = netip.MustParseAddrPort("10.9.9.9:9"), started, uint64(h.r.IntN(5000))
		h.deliver(host, 1, r)
	case 4: // Another writer announces its address.
		r := p.record
		r.ID, r.Started = "i-other", started
		h.deliver(host, 1, r)
	case 5: // A DELETE is delayed.
		h.after(h.delay(4000), func() { h.lists[host].Fleet().Leave(h.now, id) })
	case 6: // A control host is cut off or starts again.
		if h.r.IntN(2) == 0 {
			h.cut[host] = true
			h.after(h.delay(5000), func() { h.cut[host] = false })
			return
		}
		saved := h.lists[host].Encode(h.now)
		h.lists[host] = h.newList(host)
		if h.lists[host].Load(h.now, saved) != nil {
			panic("malformed list")
		}
	}
}

func (h *hosts) runUntil(until clock.Millis) {
	for len(h.queue) > 0 && h.queue[0].at <= until {
		e := heap.Pop(&h.queue).(event)
		h.now = e.at
		e.run()
	}
	h.now = until
}

// TestControlHostsAgreeOnLiveServers guards against hosts that hold a live server as ended or
// unusable for good, or offer one that is gone, after restarts with steps of the clock, reuse
// of addresses, delayed calls and the records of another writer.
func TestControlHostsAgreeOnLiveServers(t *testing.T) {
	for seed := range uint64(100) {
		h := &hosts{r: rand.New(rand.NewPCG(seed, 1)), now: 10_000, cut: make([]bool, 4)}
		for i := range h.cut {
			h.lists = append(h.lists, h.newList(i))
			h.after(h.delay(300), func() { h.tick(i) })
		}
		for range 6 {
			h.nextID++
			h.start(fmt.Sprint("i-", h.nextID), fmt.Sprint("10.0.0.", h.nextID, ":80"), 1_000_000+h.now)
		}
		for h.now < 70_000 {
			h.runUntil(h.now + h.delay(2500))
			if len(h.alive) > 0 {
				h.disturb()
			}
		}
		h.runUntil(90_000)
		for i, l := range h.lists {
			want := map[string]bool{}
			for _, p := range h.alive {
				want[p.record.ID] = true
				s := l.Fleet().Find(p.record.ID)
				qt.Assert(t, s, qt.IsNotNil, qt.Commentf("seed %d, host %d, %s", seed, i, p.record.ID))
				qt.Check(t, s.Usable() && !s.Ended() && s.Started == p.record.Started && s.Address == p.record.Address, qt.IsTrue,
					qt.Commentf("seed %d, host %d: want %+v, got %+v, silent %t, ended %t", seed, i, p.record, s.Record, s.Silent(), s.Ended()))
			}
			l.Fleet().Each(func(s *fleet.Server) {
				qt.Check(t, s.Usable(), qt.Equals, want[s.ID], qt.Commentf("seed %d, host %d, %+v", seed, i, s.Record))
			})
		}
	}
}
