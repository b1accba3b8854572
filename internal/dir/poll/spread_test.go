package poll_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/poll"
	"monsooncleat.example/monsooncleat/internal/dir/record"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// system is 6 control hosts, one in each data centre, and 294 entry hosts.
type system struct {
	addresses, centres []string
	down               map[string]bool
	pollers            []*poll.Poller
	versions           []uint64
	// fulls counts the full requests by control host.
	fulls map[string]int
}

func newSystem(now clock.Millis) *system {
	s := &system{down: map[string]bool{}, fulls: map[string]int{}}
	for i := range 6 {
		s.addresses = append(s.addresses, fmt.Sprintf("10.%d.0.9:7000", i+1))
		s.centres = append(s.centres, fmt.Sprint("hall-", i))
	}
	for i := range 294 {
		s.pollers = append(s.pollers, poll.New(poll.Options{Name: fmt.Sprint("e", i), Centre: s.centres[i%6], Seeds: s.addresses[:3]}, now))
	}
	s.versions = make([]uint64, len(s.pollers))
	return s
}

// run plays the polls from one time to another and returns the number of requests.
func (s *system) run(from, to clock.Millis) (requests int) {
	delta := msgs.EncodeDelta(&routes.Delta{Version: 1})
	for now := from; now < to; now += 20 {
		for i, p := range s.pollers {
			for due := p.Tick(now, s.versions[i], nil); len(due) > 0; {
				request := due[0]
				due = due[1:]
				requests++
				if s.down[request.Address] {
					continue
				}
				r := &msgs.FetchReply{
					RequestID: request.Fetch.RequestID, Current: true, RunID: 1, Version: 1, Form: msgs.BlockForm,
					ControlHosts: s.addresses, ControlCentres: s.centres, HostsVersion: 1,
				}
				if !request.Fetch.Brief {
					s.fulls[request.Address]++
					r.Position, r.Part, r.Delta = 5, request.Fetch.Part, delta
				}
				a := handle(p, now, r, s.versions[i])
				if a.Delta != nil {
					s.versions[i] = 1
				}
				if a.Next {
					due = append(due, p.Tick(now, s.versions[i], nil)...)
				}
			}
		}
	}
	return requests
}

// most returns the highest number of pollers with the same primary.
func (s *system) most() int {
	count, most := map[string]int{}, 0
	for _, p := range s.pollers {
		count[p.Primary()]++
		most = max(most, count[p.Primary()])
	}
	return most
}

// TestEntryHostsSpreadOverControlHosts starts all entry hosts at once, loses a control
// host and brings it back. Two seconds after each, no control host may have more than
// twice the mean.
func TestEntryHostsSpreadOverControlHosts(t *testing.T) {
	s := newSystem(1)
	s.run(1, 2001)
	qt.Check(t, s.most() <= 2*294/6, qt.IsTrue, qt.Commentf("%d after the start", s.most()))
	lost := s.addresses[4]
	s.down[lost] = true
	s.run(2001, 4001)
	for _, p := range s.pollers {
		qt.Assert(t, p.Primary(), qt.Not(qt.Equals), lost)
	}
	qt.Check(t, s.most() <= 2*294/5, qt.IsTrue, qt.Commentf("%d after a loss", s.most()))
	s.down[lost] = false
	s.run(4001, 6001)
	qt.Check(t, s.most() <= 2*294/6, qt.IsTrue, qt.Commentf("%d after the return", s.most()))
	local := 0
	for i, p := range s.pollers {
		if p.Primary() == s.addresses[i%6] {
			local++
		}
	}
	qt.Check(t, local, qt.Equals, len(s.pollers))
}

// TestFewProbesWhileNoControlHostAnswers guards against 294 entry hosts that ask all
// control hosts every 60 ms.
func TestFewProbesWhileNoControlHostAnswers(t *testing.T) {
	s := newSystem(1)
	for _, a := range s.addresses {
		s.down[a] = true
	}
	requests := s.run(1, 2001)
	qt.Check(t, requests <= 2*294*20, qt.IsTrue, qt.Commentf("%d probes in 2 s", requests))
	requests = s.run(2001, 4001)
	qt.Check(t, requests <= 2*294*6, qt.IsTrue, qt.Commentf("%d probes in the next 2 s", requests))
}

// TestAsksForItsDataCentreFirst starts one entry host.
func TestAsksForItsDataCentreFirst(t *testing.T) {
	p := poll.New(poll.Options{Name: "e", Centre: "hall-0", Seeds: []string{hostA}}, 1)
	var parts []msgs.Part
	version := uint64(0)
	for now := clock.Millis(1); now < 1000; now += 50 {
		for _, request := range p.Tick(now, version, nil) {
			r := &msgs.FetchReply{RequestID: request.Fetch.RequestID, Current: true, RunID: 1, Version: 1, Form: msgs.BlockForm}
			if !request.Fetch.Brief {
				parts = append(parts, request.Fetch.Part)
				r.Position, r.Part, r.Delta = 5, request.Fetch.Part, msgs.EncodeDelta(&routes.Delta{Version: 1})
			}
			if handle(p, now, r, version).Delta != nil {
				version = 1
			}
		}
	}
	qt.Assert(t, len(parts) >= 3, qt.IsTrue)
	qt.Check(t, parts[:3], qt.DeepEquals, []msgs.Part{msgs.LocalPart, msgs.RestPart, msgs.AllParts})
}

// TestMalformedReplyIsFetchedAgain guards against a damaged block that stops the
// process, or leaves a gap in the server list.
func TestMalformedReplyIsFetchedAgain(t *testing.T) {
	p := newPoller(false, hostA)
	block := record.Append(nil, []msgs.ServerStatus{{Record: fleet.Record{ID: "i-1", Number: 1, State: fleet.Ready}}})
	damaged := false
	var since []uint64
	servers := 0
	for now := clock.Millis(1); now < 3000; now += 100 {
		for _, request := range p.Tick(now, 1, choose.Loads{}) {
			r := &msgs.FetchReply{RequestID: request.Fetch.RequestID, Current: true, RunID: 1, Version: 1, Form: msgs.BlockForm}
			if !request.Fetch.Brief {
				since = append(since, request.Fetch.Since)
				r.Position, r.Blocks = uint64(len(since)), []msgs.Block{{Data: block}}
			}
			if len(since) == 3 && !damaged {
				damaged = true
				r.Blocks = []msgs.Block{{Data: block[:len(block)-1]}}
			}
			a, err := p.HandleReply(now, r, 1)
			if err != nil {
				qt.Check(t, len(since), qt.Equals, 3)
			}
			servers += len(a.Servers)
		}
	}
	qt.Assert(t, len(since) > 4, qt.IsTrue)
	qt.Check(t, since[:4], qt.DeepEquals, []uint64{0, 1, 2, 0})
	qt.Check(t, servers > 0, qt.IsTrue)
}

// TestWaitsAsToldByABusyControlHost guards against an entry host that asks again at once.
func TestWaitsAsToldByABusyControlHost(t *testing.T) {
	p := newPoller(false, hostA)
	h := &fakeControlHost{runID: 1, current: true}
	var at []clock.Millis
	for now := clock.Millis(1); now < 3000; now += 10 {
		for _, request := range p.Tick(now, 1, nil) {
			r := h.reply(&request)
			if !request.Fetch.Brief {
				if at = append(at, now); len(at) == 2 {
					r = &msgs.FetchReply{RequestID: request.Fetch.RequestID, RetryAfter: 600}
				}
			}
			handle(p, now, r, 1)
		}
	}
	qt.Assert(t, len(at) > 2, qt.IsTrue)
	qt.Check(t, at[2]-at[1] >= 450, qt.IsTrue, qt.Commentf("%v", at))
}

// TestAdvertLeadsToAControlHostThatIsNoSeed starts an entry host while all of its seeds
// are down.
func TestAdvertLeadsToAControlHostThatIsNoSeed(t *testing.T) {
	p := newPoller(false, hostA)
	h := &fakeControlHost{runID: 1, delta: &routes.Delta{Version: 3}}
	hosts := map[string]*fakeControlHost{hostB: h}
	acceptedAt := simulate(p, 1, 201, hosts)
	qt.Check(t, acceptedAt, qt.HasLen, 0)
	p.HandleAdvert(230, hostB)
	acceptedAt = simulate(p, 240, 600, hosts)
	qt.Check(t, acceptedAt[3] > 0 && acceptedAt[3] <= 340, qt.IsTrue, qt.Commentf("accepted at %d", acceptedAt[3]))
	h.current = true
	simulate(p, 600, 1000, hosts)
	p.HandleAdvert(1000, hostA)
	for _, request := range p.Tick(1001, 3, nil) {
		qt.Check(t, request.Address, qt.Equals, hostB, qt.Commentf("its primary is healthy"))
	}
}

// TestSecondCopyOfAReplyIsIgnored guards against an answer that is taken for that of
// another request: a late copy, and one from a control host that was not asked.
func TestSecondCopyOfAReplyIsIgnored(t *testing.T) {
	p := newPoller(false, hostA)
	h := &fakeControlHost{runID: 1, current: true}
	var replies []*msgs.FetchReply
	for now := clock.Millis(1); now < 2000; now += 100 {
		for _, request := range p.Tick(now, 1, nil) {
			r := h.reply(&request)
			r.Servers = []msgs.ServerStatus{{Record: fleet.Record{ID: "i-1", State: fleet.Ready}}}
			replies = append(replies, r)
			handle(p, now, r, 1)
		}
	}
	qt.Assert(t, len(replies) > 3, qt.IsTrue)
	for _, r := range replies {
		qt.Check(t, handle(p, 2000, r, 1), qt.DeepEquals, poll.Accepted{})
	}
	qt.Check(t, handle(p, 2000, &msgs.FetchReply{RequestID: 1 << 40, Current: true}, 1), qt.DeepEquals, poll.Accepted{})
}

// TestLoadsOfAllDataCentresAreBoundedInBytes has 18 servers, whose loads are requested
// with each poll, and 5,800, whose loads of all data centres take 46 kB.
func TestLoadsOfAllDataCentresAreBoundedInBytes(t *testing.T) {
	for _, test := range []struct{ servers, least, most int }{{18, 60, 70}, {600, 15, 20}, {5800, 1, 3}} {
		p := newPoller(false, hostA)
		h := &fakeControlHost{runID: 1, current: true}
		all := 0
		for now := clock.Millis(1); now < 20_000; now += 100 {
			for _, request := range p.Tick(now, 1, nil) {
				r := h.reply(&request)
				r.Form = msgs.BlockForm
				if request.Fetch.AllLoads {
					all++
					for i := range 6 {
						r.Totals = append(r.Totals, msgs.CentreLoads{Centre: string(rune('a' + i)), Loads: make([]byte, 8*(test.servers/6))})
					}
				}
				handle(p, now, r, 1)
			}
		}
		qt.Check(t, all >= test.least && all <= test.most, qt.IsTrue, qt.Commentf("%d servers: %d times in 20 s", test.servers, all))
	}
}
