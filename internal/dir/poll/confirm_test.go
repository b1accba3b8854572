package poll_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/poll"
)

// TestPartOfTheServersConfirmsNothing guards against resets for want of a server by a host that has just started and has the first part of the list.
func TestPartOfTheServersConfirmsNothing(t *testing.T) {
	h := &fakeControlHost{runID: 1, current: true, delta: &routes.Delta{Version: 1}}
	p := newPoller(false, hostA)
	for now := clock.Millis(1); now < 1000; now += 30 {
		for _, request := range p.Tick(now, 0, nil) {
			r := h.reply(&request)
			r.Part = request.Fetch.Part
			handle(p, now, r, 0)
			if r.Part == msgs.LocalPart {
				qt.Check(t, p.HasQuorum(now), qt.IsFalse)
				return
			}
		}
	}
	t.Fatal("no request for a part")
}

// TestReplyThatWaitedIsNoRecentNews guards against resets for want of a route or server that came while the host was paused.
func TestReplyThatWaitedIsNoRecentNews(t *testing.T) {
	h := &fakeControlHost{runID: 1, current: true}
	p := newPoller(false, hostA)
	simulate(p, 1, 2000, map[string]*fakeControlHost{hostA: h})
	requests := p.Tick(2300, 1, nil)
	qt.Assert(t, len(requests) > 0, qt.IsTrue)
	const paused clock.Millis = 10_000
	handle(p, paused, h.reply(&requests[0]), 1)
	qt.Check(t, p.HasQuorum(paused), qt.IsFalse)
}

// TestLostNewsAreNotPassedOver guards against a reply that was under way when news were lost: it confirms them, and its position follows on them.
func TestLostNewsAreNotPassedOver(t *testing.T) {
	h := &fakeControlHost{runID: 1, current: true}
	p := newPoller(false, hostA)
	simulate(p, 1, 2000, map[string]*fakeControlHost{hostA: h})
	requests := p.Tick(2300, 1, nil)
	qt.Assert(t, requests, qt.HasLen, 1)
	qt.Assert(t, requests[0].Fetch.Since, qt.Equals, uint64(1))
	p.RefetchAll()
	handle(p, 2310, h.reply(&requests[0]), 1)
	qt.Check(t, p.HasQuorum(2310), qt.IsFalse)
	requests = p.Tick(2700, 1, nil)
	qt.Assert(t, requests, qt.HasLen, 1)
	qt.Check(t, requests[0].Fetch.Since, qt.Equals, uint64(0))
	handle(p, 2710, h.reply(&requests[0]), 1)
	qt.Check(t, p.HasQuorum(2710), qt.IsTrue)
}

// TestUndisturbedHostStaysUpToDate guards against openings that are dropped instead of reset because replies come late on a slow link.
func TestUndisturbedHostStaysUpToDate(t *testing.T) {
	for _, roundTrip := range []clock.Millis{5, 250, 600} {
		p := newPoller(false, hostA)
		h := &fakeControlHost{runID: 1, current: true, delta: &routes.Delta{Version: 1}}
		replies := map[clock.Millis][]*msgs.FetchReply{}
		version, oldest := uint64(0), clock.Millis(0)
		for now := clock.Millis(1); now < 20_000; now++ {
			var requests []poll.Request
			if now%100 == 0 {
				requests = p.Tick(now, version, nil)
			}
			for _, r := range replies[now] {
				a := handle(p, now, r, version)
				if a.Delta != nil {
					version = a.Delta.Version
				}
				if a.Next {
					requests = append(requests, p.Tick(now, version, nil)...)
				}
			}
			for _, request := range requests {
				r := h.reply(&request)
				r.Part = request.Fetch.Part
				at := now + roundTrip
				if now < 1000 {
					at = now + 5
				}
				replies[at] = append(replies[at], r)
			}
			if now > 1000 {
				oldest = max(oldest, now-p.ConfirmedAt())
			}
		}
		qt.Check(t, oldest < 1500, qt.IsTrue, qt.Commentf("round trip %d: news of %d ago", roundTrip, oldest))
	}
}
