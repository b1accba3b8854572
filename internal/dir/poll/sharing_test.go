package poll_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
)

// TestSharingIsReportedAtOnce guards against slots that nobody uses because their entry
// host has stopped. One that moved to another control host tells both.
func TestSharingIsReportedAtOnce(t *testing.T) {
	p := newPoller(false, hostA, hostB)
	a, b := &fakeControlHost{runID: 1, current: true}, &fakeControlHost{runID: 2, current: true}
	simulate(p, 1, 2000, map[string]*fakeControlHost{hostA: a, hostB: b})
	first := p.Primary()
	p.SetSharing(true)
	requests := p.Tick(2010, 1, nil)
	qt.Assert(t, requests, qt.HasLen, 1)
	qt.Check(t, requests[0].Fetch.Sharing, qt.IsTrue)
	handle(p, 2010, a.reply(&requests[0]), 1)
	hosts := map[string]*fakeControlHost{hostA: a, hostB: b}
	hosts[first].down = true
	simulate(p, 2100, 3300, hosts)
	qt.Assert(t, p.Primary() != first, qt.IsTrue)
	p.SetSharing(false)
	told := map[string]bool{}
	for _, r := range p.Tick(3310, 1, nil) {
		qt.Check(t, r.Fetch.Sharing, qt.IsFalse)
		told[r.Address] = true
	}
	qt.Check(t, told, qt.DeepEquals, map[string]bool{hostA: true, hostB: true})
}

// TestListOfAMalformedReplyIsRequestedAgain guards against a list and servers that the
// control host takes to be known, while the caller never got them.
func TestListOfAMalformedReplyIsRequestedAgain(t *testing.T) {
	p := newPoller(false, hostA)
	simulate(p, 1, 2000, map[string]*fakeControlHost{hostA: {runID: 1, current: true}})
	requests := p.Tick(2400, 1, nil)
	_, err := p.HandleReply(2410, &msgs.FetchReply{
		RequestID: requests[0].Fetch.RequestID, Current: true, RunID: 1, Position: 9, Form: msgs.BlockForm,
		Sharing: []uint64{3, 4}, SharingVersion: 7, Totals: []msgs.CentreLoads{{Centre: "a", Loads: []byte{1}}},
	}, 1)
	qt.Assert(t, err, qt.IsNotNil)
	requests = p.Tick(2800, 1, nil)
	qt.Check(t, requests[0].Fetch.SharingVersion, qt.Equals, uint64(0))
	qt.Check(t, requests[0].Fetch.Since, qt.Equals, uint64(0))
}

// TestEmptyListIsNotTheAbsenceOfOne replies with a list, without one and with an empty
// one, which the encoding leaves out.
func TestEmptyListIsNotTheAbsenceOfOne(t *testing.T) {
	p := newPoller(false, hostA)
	a := &fakeControlHost{runID: 1, current: true}
	simulate(p, 1, 2000, map[string]*fakeControlHost{hostA: a})
	now, version := clock.Millis(2000), uint64(0)
	for _, test := range []struct {
		hosts   []uint64
		version uint64
		want    []uint64
	}{{[]uint64{3, 4}, 7, []uint64{3, 4}}, {nil, 0, nil}, {nil, 9, []uint64{}}, {[]uint64{3, 4}, 7, []uint64{3, 4}}} {
		now += 400
		requests := p.Tick(now, 1, nil)
		qt.Check(t, requests[0].Fetch.SharingVersion, qt.Equals, version)
		body := msgs.Encode(&msgs.Envelope{FetchReply: &msgs.FetchReply{
			RequestID: requests[0].Fetch.RequestID, Current: true, RunID: 1, Sharing: test.hosts, SharingVersion: test.version,
		}})
		m, err := msgs.Decode(body)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, handle(p, now, m.FetchReply, 1).Sharing, qt.DeepEquals, test.want)
		if test.version != 0 {
			version = test.version
		}
	}
}

// TestListsOfOtherDataCentresComeAndGo guards against places in other data centres that
// stay after an evacuation, and against lists that are lost on the way.
func TestListsOfOtherDataCentresComeAndGo(t *testing.T) {
	p := newPoller(false, hostA)
	a := &fakeControlHost{runID: 1, current: true}
	simulate(p, 1, 2000, map[string]*fakeControlHost{hostA: a})
	now := clock.Millis(2000)
	for version, elsewhere := range []map[string][]uint64{nil, {"b": {5, 6}, "c": {7}}, nil} {
		now += 400
		requests := p.Tick(now, 1, nil)
		body := msgs.Encode(&msgs.Envelope{FetchReply: &msgs.FetchReply{
			RequestID: requests[0].Fetch.RequestID, Current: true, RunID: 1,
			Sharing: []uint64{3}, SharingElsewhere: elsewhere, SharingVersion: uint64(version + 1),
		}})
		m, err := msgs.Decode(body)
		qt.Assert(t, err, qt.IsNil)
		accepted := handle(p, now, m.FetchReply, 1)
		qt.Check(t, accepted.Sharing, qt.DeepEquals, []uint64{3})
		qt.Check(t, accepted.SharingElsewhere, qt.DeepEquals, elsewhere)
	}
}
