package poll_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
)

// TestAcceptsEvacuationsLikeTables guards against the evacuations of a control host that is
// behind or has no quorum, and against losing them with accepted changes.
func TestAcceptsEvacuationsLikeTables(t *testing.T) {
	p, now, table := newPoller(false, hostA), clock.Millis(0), uint64(0)
	reply := func(version uint64, current bool, delta *routes.Delta) (accepted, known uint64) {
		now += 1600
		r := p.Tick(now, table, nil)[0]
		m := &msgs.FetchReply{RequestID: r.Fetch.RequestID, Current: current, RunID: 1, EvacuationsVersion: version}
		if delta != nil {
			m.Delta, m.Version = msgs.EncodeDelta(delta), delta.Version
		}
		if version > r.Fetch.EvacuationsVersion {
			m.Evacuations = []msgs.Evacuation{{Centre: "hall-a", Active: true, Changed: version}}
		}
		return handle(p, now+1, m, table).EvacuationsVersion, r.Fetch.EvacuationsVersion
	}
	first := &routes.Delta{Version: 1}
	for i, step := range []struct {
		version  uint64
		current  bool
		delta    *routes.Delta
		accepted uint64
	}{
		{5, false, nil, 0},
		{6, false, first, 6}, // with the first table
		{7, false, nil, 0},
		{8, true, nil, 8},
		{8, true, nil, 0},
		{4, true, nil, 0},
	} {
		accepted, _ := reply(step.version, step.current, step.delta)
		qt.Check(t, accepted, qt.Equals, step.accepted, qt.Commentf("reply %d", i))
		if step.delta != nil {
			table = 1
		}
	}
	p.RefetchAll()
	accepted, known := reply(8, true, nil)
	qt.Check(t, known, qt.Equals, uint64(0))
	qt.Check(t, accepted, qt.Equals, uint64(8))
}
