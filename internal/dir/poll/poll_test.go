package poll_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/poll"
)

const (
	hostA = "10.0.0.1:7000"
	hostB = "10.0.0.2:7000"
)

// newPoller returns a Poller that starts at 1 ms.
func newPoller(awaitQuorum bool, seeds ...string) *poll.Poller {
	return poll.New(poll.Options{Name: "entry", Seeds: seeds, AwaitQuorum: awaitQuorum}, 1)
}

// handle passes a reply to a Poller.
func handle(p *poll.Poller, now clock.Millis, r *msgs.FetchReply, version uint64) poll.Accepted {
	a, err := p.HandleReply(now, r, version)
	if err != nil {
		panic(err)
	}
	return a
}

// fakeControlHost replies to the requests of a Poller.
type fakeControlHost struct {
	runID   uint64
	current bool
	silent  map[string]bool
	down    bool
	delta   *routes.Delta
}

func (h *fakeControlHost) reply(request *poll.Request) *msgs.FetchReply {
	r := &msgs.FetchReply{RequestID: request.Fetch.RequestID, Current: h.current, RunID: h.runID, Position: 1}
	if h.delta != nil {
		r.Delta = msgs.EncodeDelta(h.delta)
		r.Version = h.delta.Version
	}
	for id, silent := range h.silent {
		if silent {
			r.SilentServers = append(r.SilentServers, id)
		}
	}
	if request.Fetch.Brief {
		r.Delta, r.Position = nil, 0
	}
	return r
}

// simulate ticks a Poller from one time to another. It returns when each version
// of the routing table was first accepted.
func simulate(p *poll.Poller, from, to clock.Millis, hosts map[string]*fakeControlHost) map[uint64]clock.Millis {
	acceptedAt := map[uint64]clock.Millis{}
	for now := from; now < to; now += 100 {
		for _, request := range p.Tick(now, 0, nil) {
			h := hosts[request.Address]
			if h == nil || h.down {
				continue
			}
			if acc := handle(p, now, h.reply(&request), 0); acc.Delta != nil {
				if _, seen := acceptedAt[acc.Delta.Version]; !seen {
					acceptedAt[acc.Delta.Version] = now
				}
			}
		}
	}
	return acceptedAt
}

// Without a quorum, each control host receives announcements only from servers on
// its own side of a partition.
func TestServerSilentOnlyIfAllSidesOfAPartitionReportIt(t *testing.T) {
	c := qt.New(t)
	a := &fakeControlHost{runID: 1, silent: map[string]bool{"s1": false, "s2": true, "s3": true}}
	b := &fakeControlHost{runID: 2, silent: map[string]bool{"s1": true, "s2": false, "s3": true}}
	p := newPoller(false, hostA, hostB)
	simulate(p, 1, 4000, map[string]*fakeControlHost{hostA: a, hostB: b})
	for id, want := range map[string]bool{"s1": false, "s2": false, "s3": true} {
		silent, known := p.Silent(4000, id)
		c.Check(known, qt.IsTrue)
		c.Check(silent, qt.Equals, want, qt.Commentf(id))
	}
}

func TestQuorumDecidesWhetherServerIsSilent(t *testing.T) {
	c := qt.New(t)
	a := &fakeControlHost{runID: 1, current: true, silent: map[string]bool{"s1": true}}
	b := &fakeControlHost{runID: 2, silent: map[string]bool{"s1": false}}
	p := newPoller(false, hostA, hostB)
	simulate(p, 1, 4000, map[string]*fakeControlHost{hostA: a, hostB: b})
	silent, known := p.Silent(4000, "s1")
	c.Check(known && silent, qt.IsTrue)
}

func TestSilenceUnknownWhenRepliesAreOld(t *testing.T) {
	c := qt.New(t)
	a := &fakeControlHost{runID: 1, current: true, silent: map[string]bool{"s1": false}}
	p := newPoller(false, hostA)
	simulate(p, 1, 2000, map[string]*fakeControlHost{hostA: a})
	a.down = true
	simulate(p, 2000, 8000, map[string]*fakeControlHost{hostA: a})
	_, known := p.Silent(8000, "s1")
	c.Check(known, qt.IsFalse)
}

func TestSwitchesPrimaryThatLostQuorum(t *testing.T) {
	c := qt.New(t)
	a := &fakeControlHost{runID: 1, current: true}
	b := &fakeControlHost{runID: 2, current: true}
	hosts := map[string]*fakeControlHost{hostA: a, hostB: b}
	p := newPoller(false, hostA, hostB)
	simulate(p, 1, 2000, hosts)
	first := p.Primary()
	hosts[first].current = false
	simulate(p, 2000, 5000, hosts)
	c.Check(p.Primary(), qt.Not(qt.Equals), first)
	c.Check(p.HasQuorum(5000), qt.IsTrue)
}

func TestSwitchesPrimaryThatDoesNotReply(t *testing.T) {
	c := qt.New(t)
	hosts := map[string]*fakeControlHost{hostA: {runID: 1, current: true}, hostB: {runID: 2, current: true}}
	p := newPoller(false, hostA, hostB)
	simulate(p, 1, 2000, hosts)
	first := p.Primary()
	hosts[first].down = true
	simulate(p, 2000, 4500, hosts)
	c.Check(p.Primary(), qt.Not(qt.Equals), first)
}

// An entry host that starts takes a table without a quorum at once, so that it can
// serve after a restart of all hosts before a leader is elected.
func TestAcceptsFirstTableWithoutQuorum(t *testing.T) {
	c := qt.New(t)
	a := &fakeControlHost{runID: 1, delta: &routes.Delta{Version: 3}}
	p := newPoller(false, hostA)
	acceptedAt := simulate(p, 1, 6000, map[string]*fakeControlHost{hostA: a})
	c.Check(acceptedAt[3], qt.Equals, clock.Millis(101), qt.Commentf("one probe and one full request"))
}

// With the wait for a quorum, an entry host without a table accepts one from a control
// host without a quorum only once it is isolated.
func TestAwaitsQuorumForFirstTableIfTold(t *testing.T) {
	c := qt.New(t)
	a := &fakeControlHost{runID: 1, delta: &routes.Delta{Version: 3}}
	p := newPoller(true, hostA)
	acceptedAt := simulate(p, 1, 6000, map[string]*fakeControlHost{hostA: a})
	c.Check(acceptedAt[3] >= 2000, qt.IsTrue, qt.Commentf("accepted at %d", acceptedAt[3]))
}

// An entry host that has a table takes another one only from a control host that is in
// contact with a quorum, also when it is isolated for long.
func TestNeverAcceptsLaterTableWithoutQuorum(t *testing.T) {
	c := qt.New(t)
	a := &fakeControlHost{runID: 1, delta: &routes.Delta{Version: 3}}
	p := newPoller(false, hostA)
	simulate(p, 1, 200, map[string]*fakeControlHost{hostA: a})
	a.delta = &routes.Delta{Version: 4}
	for now := clock.Millis(200); now < 9000; now += 100 {
		for _, request := range p.Tick(now, 3, nil) {
			c.Check(handle(p, now, a.reply(&request), 3).Delta, qt.IsNil, qt.Commentf("at %d", now))
		}
	}
	a.current = true
	accepted := false
	for now := clock.Millis(9000); now < 10_000; now += 100 {
		for _, request := range p.Tick(now, 3, nil) {
			accepted = accepted || handle(p, now, a.reply(&request), 3).Delta != nil
		}
	}
	c.Check(accepted, qt.IsTrue)
}

// The control host that replies first has lost its disk. An entry host without a table
// must turn to one that has a table.
func TestTurnsToControlHostWithTable(t *testing.T) {
	c := qt.New(t)
	a := &fakeControlHost{runID: 1}
	b := &fakeControlHost{runID: 2, down: true, delta: &routes.Delta{Version: 3}}
	p := newPoller(false, hostA, hostB)
	hosts := map[string]*fakeControlHost{hostA: a, hostB: b}
	simulate(p, 1, 200, hosts)
	b.down = false
	acceptedAt := simulate(p, 200, 1000, hosts)
	c.Check(acceptedAt[3] > 0 && acceptedAt[3] <= 500, qt.IsTrue, qt.Commentf("accepted at %d", acceptedAt[3]))
}

// A reply with a whole table can take a second on a slow link. A second full
// request in that time would transfer the table twice. Once the reply is overdue,
// one request asks for a new connection.
func TestSendsOneFullRequestWhileReplyIsInFlight(t *testing.T) {
	c := qt.New(t)
	p := newPoller(false, hostA)
	h := &fakeControlHost{runID: 1, current: true}
	fullRequests := 0
	for now := clock.Millis(1); now < 1100; now += 100 {
		for _, request := range p.Tick(now, 0, nil) {
			if request.Fetch.Brief {
				handle(p, now, h.reply(&request), 0)
				continue
			}
			fullRequests++
			c.Check(request.Reconnect, qt.IsFalse)
		}
	}
	c.Check(fullRequests, qt.Equals, 1)
	reconnects := 0
	for now := clock.Millis(1101); now < 2100; now += 100 {
		for _, request := range p.Tick(now, 0, nil) {
			if request.Reconnect {
				reconnects++
			}
		}
	}
	c.Check(reconnects, qt.Equals, 1)
}

// The first probes are lost because the control host is not listening yet. An
// entry host without a routing table must probe again soon.
func TestFindsControlHostThatStartsLater(t *testing.T) {
	c := qt.New(t)
	p := newPoller(false, hostA, hostB)
	a := &fakeControlHost{runID: 1, current: true, down: true, delta: &routes.Delta{Version: 3}}
	simulate(p, 1, 300, map[string]*fakeControlHost{hostA: a})
	a.down = false
	acceptedAt := simulate(p, 301, 1000, map[string]*fakeControlHost{hostA: a})
	c.Check(acceptedAt[3] > 0 && acceptedAt[3] <= 800, qt.IsTrue, qt.Commentf("accepted at %d", acceptedAt[3]))
}
