package dirsim_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/dir/core"
	"monsooncleat.example/monsooncleat/internal/dir/evac"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/poll"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	token "monsooncleat.example/monsooncleat/internal/token/core"
)

const (
	// repeatWindow is the option of core.Options, in milliseconds.
	repeatWindow = 6000
	// inForceLimit is the goal for an order to reach all entry hosts in contact.
	inForceLimit = 500
)

// centres are the data centres. Orders are for the second one.
var centres = []string{"a", "b"}

// order is the latest order. Until it is acknowledged, either state is right.
type order struct {
	number       int
	start, acked bool
}

// evacuate starts or ends the evacuation at one host and records the acknowledgement.
// Done, unless it is nil, gets the answer.
func (sim *simulation) evacuate(addr string, start bool, done func(core.Answer)) {
	sim.order = order{number: sim.order.number + 1, start: start}
	number := sim.order.number
	sim.call(addr, func(h *host, id core.CallID) {
		h.core.Evacuate(sim.now, id, centres[1], start, h.core.EvacuationBase())
	}, func(a core.Answer) {
		sim.order.acked = sim.order.acked || a.Code == core.Done && sim.order.number == number
		if done != nil {
			done(a)
		}
	})
}

// evacuateOnce gives an order at one host and returns the code of the answer.
func (sim *simulation) evacuateOnce(addr string, start bool) (code core.Code) {
	sim.evacuate(addr, start, func(a core.Answer) { code = a.Code })
	for end := sim.now + 1000; code == 0 && sim.now < end; {
		sim.run(1)
	}
	return code
}

// evacuateWithRetry repeats an order at the live hosts in turn until one acknowledges it.
func (sim *simulation) evacuateWithRetry(start bool, timeout clock.Millis) {
	hosts := sim.liveHosts()
	for i, end := 0, sim.now+timeout; sim.now < end; i++ {
		if sim.evacuateOnce(hosts[i%len(hosts)], start) == core.Done {
			return
		}
		sim.run(50)
	}
	sim.recordViolation("order (start %t) was not acknowledged within %d ms", start, timeout)
}

// verifyOrder lists the evacuations at one host and checks the latest acknowledged order.
func (sim *simulation) verifyOrder(addr string) {
	want := sim.order
	sim.call(addr, func(h *host, id core.CallID) { h.core.ListEvacuations(sim.now, id) }, func(a core.Answer) {
		evacuated := slices.ContainsFunc(a.Uses, func(u evac.Use) bool { return u.Centre == centres[1] && u.Evacuated })
		if a.Code == core.Done && want.acked && want == sim.order && evacuated != want.start {
			sim.recordViolation("%s lists the data centre as evacuated: %t, want %t, which was acknowledged", addr, evacuated, want.start)
		}
	})
}

// entryHost is an entry host that polls the control hosts every 100 ms.
type entryHost struct {
	*token.Core
	sim    *simulation
	poller *poll.Poller
	paused bool
	// listed is the length of the latest list of entry hosts.
	listed int
}

func (sim *simulation) addEntryHost(name string) *entryHost {
	e := &entryHost{sim: sim, poller: poll.New(poll.Options{Name: name, Centre: "a", Seeds: sim.seeds}, sim.now)}
	e.Core = token.New(token.Options{
		Centre: "a", Choice: choose.DefaultSettings, DefaultIdleTimeout: 15_000, MaxFlows: 1000,
		Fleet: fleet.Options{SilentAfter: 1 << 60, ForgetAfter: forgetAfter, Follower: true},
	}, rand.New(rand.NewPCG(1, 2)))
	e.tick()
	return e
}

func (e *entryHost) tick() {
	e.sim.events.Add(e.sim.now+100, e.tick)
	if e.paused {
		return
	}
	for _, r := range e.poller.Tick(e.sim.now, e.Version(), nil) {
		h := e.sim.hosts[r.Address]
		e.sim.fetches = append(e.sim.fetches, e)
		handle := core.ReplyHandle(len(e.sim.fetches))
		m := &msgs.Envelope{Fetch: &r.Fetch}
		e.sim.events.Add(e.sim.now+1, func() { e.sim.dispatch(h, func() { h.core.HandleMessage(e.sim.now, handle, m) }) })
	}
}

// receive handles a reply. It drops those that arrive while the host is paused.
func (e *entryHost) receive(body []byte) {
	if e.paused {
		return
	}
	m, err := msgs.Decode(body)
	e.sim.c.Assert(err, qt.IsNil)
	a, err := e.poller.HandleReply(e.sim.now, m.FetchReply, e.Version())
	e.sim.c.Assert(err, qt.IsNil)
	if a.Sharing != nil {
		e.listed = len(a.Sharing)
	}
	u := &token.Update{EvacuationsVersion: a.EvacuationsVersion}
	for _, s := range a.Servers {
		u.Servers = append(u.Servers, token.ServerUpdate{Record: s.Record, Age: s.Age, Ended: s.Ended})
	}
	for _, v := range a.Evacuations {
		u.Evacuations = append(u.Evacuations, token.EvacuationUpdate{Centre: v.Centre, Active: v.Active, Age: v.Age})
	}
	e.Learn(e.sim.now, u)
	if a.Delta != nil {
		table, err := a.Delta.Apply(e.Table())
		e.sim.c.Assert(err, qt.IsNil)
		e.Configure(e.sim.now, table)
	}
}

// open opens n flows and returns the IDs of their servers, without repetitions.
func (e *entryHost) open(n int) []string {
	var out []string
	for range n {
		p := &token.Packet{From: netip.AddrPortFrom(netip.MustParseAddr("10.9.0.1"), uint16(e.sim.rand.IntN(60_000)+1)), To: routeAddress, Open: true, Seq: e.sim.rand.Uint32()}
		out = append(out, e.HandlePacket(e.sim.now, p, true).ServerID)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

var routeAddress = netip.MustParseAddrPort("10.8.0.1:80")

// newServingSimulation returns three control hosts with a route to service x, which has a
// server in each data centre.
func newServingSimulation(t *testing.T, seed uint64) *simulation {
	sim := newSimulation(t, seed, 3)
	sim.run(2500)
	p := &msgs.Publication{Table: routes.Table{Version: 1, Services: []string{"x"}, Routes: []routes.Route{
		{Name: "r", Address: routeAddress, Timeout: 4000, Targets: []routes.Target{{Service: "x", Weight: 1}}},
	}}}
	sim.call(hostAddress(1), func(h *host, id core.CallID) { h.core.Publish(sim.now, id, p) }, func(core.Answer) {})
	for i, centre := range centres {
		r := announcement("s-"+centre, 1, fleet.Ready)
		r.Centre, r.Number, r.Address = centre, uint64(i+1), netip.AddrPortFrom(r.Address.Addr(), uint16(80+i))
		sim.announce(hostAddress(1), r, nil)
	}
	sim.run(500)
	return sim
}

// TestOrderIsInForceSoon gives orders at each control host. Each must be acknowledged and
// known to all control hosts within 50 ms, and in force on all of 84 entry hosts within 500 ms.
func TestOrderIsInForceSoon(t *testing.T) {
	for seed := range uint64(5) {
		sim := newServingSimulation(t, seed)
		var entries []*entryHost
		for i := range 84 {
			entries = append(entries, sim.addEntryHost(fmt.Sprint("e", i)))
			sim.run(17)
		}
		for i, start := range []bool{true, false, true, false} {
			began := sim.now
			sim.c.Check(sim.evacuateOnce(hostAddress(1+(i+int(seed))%3), start), qt.Equals, core.Done)
			sim.run(began + 50 - sim.now)
			for _, h := range sim.hosts {
				sim.c.Check(h.core.Evacuated() == 1, qt.Equals, start, qt.Commentf("control host %s, order %d", h.address, i))
			}
			sim.run(began + inForceLimit - sim.now)
			for _, e := range entries {
				sim.c.Check(len(e.Evacuated()) == 1, qt.Equals, start, qt.Commentf("seed %d, order %d", seed, i))
			}
			sim.run(repeatWindow)
		}
	}
}

// TestLeaderLostBeforeAcknowledgement loses the leader when it has stored an order and not
// acknowledged it. The order must be acknowledged within a second of the next leader.
func TestLeaderLostBeforeAcknowledgement(t *testing.T) {
	for seed := range uint64(10) {
		sim := newServingSimulation(t, seed)
		leader := sim.leader()
		last := sim.hosts[leader].core.Node().Last()
		sim.evacuate(sim.follower(), true, nil)
		for sim.hosts[leader].core.Node().Last() == last {
			sim.run(1)
		}
		sim.c.Assert(sim.order.acked, qt.IsFalse)
		sim.powerOff(leader)
		for sim.leader() == "" {
			sim.run(1)
		}
		sim.evacuateWithRetry(true, clock.Second)
		sim.powerOn(leader)
		sim.awaitConvergence(recoveryTimeout)
		sim.verifyOrder(leader)
		sim.run(100)
		sim.c.Check(sim.violations, qt.HasLen, 0)
	}
}

// follower returns the first live host that does not lead.
func (sim *simulation) follower() string {
	return slices.DeleteFunc(sim.liveHosts(), func(addr string) bool { return addr == sim.leader() })[0]
}

// TestRepeatDoesNotUndoANewerOrder repeats an end, whose acknowledgement the caller did not
// get, after the next start. No host may obey it within the window, also not one that was
// suspended when the repeat arrived, or one that knew of nothing newer then.
func TestRepeatDoesNotUndoANewerOrder(t *testing.T) {
	sim := newServingSimulation(t, 1)
	for _, start := range []bool{true, false, true} {
		sim.c.Assert(sim.evacuateOnce(sim.leader(), start), qt.Equals, core.Done)
	}
	sim.run(100)
	for _, addr := range sim.liveHosts() {
		sim.c.Check(sim.evacuateOnce(addr, false), qt.Equals, core.Unavailable, qt.Commentf("repeat of the end at %s", addr))
		sim.c.Check(sim.evacuateOnce(addr, true), qt.Equals, core.Done, qt.Commentf("repeat of the start at %s", addr))
	}
	sim.run(100)
	suspended := sim.follower()
	sim.freeze(suspended)
	var late core.Code
	sim.evacuate(suspended, false, func(a core.Answer) { late = a.Code })
	sim.run(repeatWindow)
	sim.unfreeze(suspended)
	sim.run(1000)
	sim.c.Check(late, qt.Equals, core.Unavailable)
	sim.c.Check(sim.hosts[suspended].core.Evacuated(), qt.Equals, 1)
	sim.c.Check(sim.evacuateOnce(sim.leader(), false), qt.Equals, core.Done, qt.Commentf("end after the window"))

	sim.c.Assert(sim.evacuateOnce(sim.leader(), true), qt.Equals, core.Done)
	sim.run(repeatWindow)
	apart := sim.follower()
	sim.isolate(apart, true)
	sim.evacuate(apart, false, func(a core.Answer) { late = a.Code })
	sim.c.Assert(sim.evacuateOnce(sim.leader(), true), qt.Equals, core.Done)
	sim.isolate(apart, false)
	sim.run(1000)
	sim.c.Check(late, qt.Equals, core.Unavailable, qt.Commentf("end whose host did not know of the start"))
	sim.c.Check(sim.hosts[apart].core.Evacuated(), qt.Equals, 1)
}

// TestAcknowledgedOrderSurvivesPowerLoss takes the power from all hosts right after each
// acknowledgement, with and without a snapshot, and once erases a disk, too.
func TestAcknowledgedOrderSurvivesPowerLoss(t *testing.T) {
	for seed := range uint64(4) {
		sim := newServingSimulation(t, seed)
		for i := range 4 {
			sim.evacuateWithRetry(i%2 == 0, 8*clock.Second)
			sim.powerOffAll(3, "")
			if i == 2 {
				sim.wipe(hostAddress(1 + int(seed)%3))
			}
			sim.powerOnAll(3, "")
			sim.awaitConvergence(recoveryTimeout)
			for v := 2; seed == 0 && v < 70; v++ {
				sim.publishWithRetry(uint64(70*i+v), ackTimeout)
			}
			sim.run(recoveryTimeout)
			sim.powerOffAll(3, "")
			sim.powerOnAll(3, "")
			sim.awaitConvergence(recoveryTimeout)
			for _, addr := range sim.liveHosts() {
				sim.verifyOrder(addr)
				sim.c.Check(sim.hosts[addr].core.Evacuated() == 1, qt.Equals, i%2 == 0, qt.Commentf("%s, order %d", addr, i))
			}
			sim.run(100)
		}
		sim.c.Check(sim.violations, qt.HasLen, 0)
	}
}

// TestEntryHostPausedAcrossAnOrder pauses an entry host while a data centre is evacuated.
// Its flows stay, and it must keep new ones away within 500 ms of its return.
func TestEntryHostPausedAcrossAnOrder(t *testing.T) {
	sim := newServingSimulation(t, 1)
	e := sim.addEntryHost("e1")
	sim.run(1000)
	sim.c.Assert(e.open(50), qt.DeepEquals, []string{"s-a", "s-b"})
	e.paused = true
	sim.c.Assert(sim.evacuateOnce(hostAddress(2), true), qt.Equals, core.Done)
	sim.run(3000)
	e.paused = false
	sim.run(inForceLimit)
	flows := e.Flows()
	sim.c.Check(e.open(50), qt.DeepEquals, []string{"s-a"})
	sim.c.Check(e.Flows() > flows, qt.IsTrue)
}

// TestOrderWithoutQuorumIsNotAcknowledged gives an order to hosts that cannot store it on a
// quorum of disks, because the disks refuse writes or the others are out of reach.
func TestOrderWithoutQuorumIsNotAcknowledged(t *testing.T) {
	for _, full := range []bool{true, false} {
		sim := newServingSimulation(t, 1)
		leader, follower := sim.leader(), sim.follower()
		for _, addr := range []string{leader, follower} {
			sim.hosts[addr].diskFull = full
		}
		if !full {
			sim.isolate(follower, true)
		}
		sim.c.Check(sim.evacuateOnce(follower, true), qt.Equals, core.Unavailable, qt.Commentf("disks full: %t", full))
		sim.c.Check(sim.hosts[follower].core.Evacuated(), qt.Equals, 0)
	}
}
