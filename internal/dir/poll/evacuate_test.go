package poll_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/poll"
)

// TestEvacuationsAreAcceptedAsRoutingTables guards against evacuations from a host without
// a quorum, except with the first routing table, and against a reply without them that
// counts as their end after RefetchAll.
func TestEvacuationsAreAcceptedAsRoutingTables(t *testing.T) {
	p := poll.New(poll.Options{Name: "e", Centre: "a", Seeds: []string{"10.0.0.1:7000"}}, 1)
	state, table := []msgs.Evacuation{{Centre: "b", Active: true}}, msgs.EncodeDelta(routes.Diff(nil, &routes.Table{Version: 1}))
	for i, step := range []struct {
		reply    msgs.FetchReply
		version  uint64
		accepted uint64
	}{
		{msgs.FetchReply{EvacuationsVersion: 5, Evacuations: state}, 0, 0},
		{msgs.FetchReply{EvacuationsVersion: 5, Evacuations: state, Delta: table, Version: 1}, 0, 5},
		{msgs.FetchReply{EvacuationsVersion: 7, Evacuations: state}, 1, 0},
		{msgs.FetchReply{EvacuationsVersion: 7, Evacuations: state, Current: true}, 1, 7},
		{msgs.FetchReply{EvacuationsVersion: 6, Evacuations: state, Current: true}, 1, 0},
		{msgs.FetchReply{EvacuationsVersion: 7, Current: true}, 1, 0},
		{msgs.FetchReply{EvacuationsVersion: 7, Evacuations: state, Current: true}, 1, 7},
	} {
		requests := p.Tick(clock.Millis(2000*(i+1)), step.version, nil)
		qt.Assert(t, len(requests) > 0, qt.IsTrue)
		if i == 5 {
			p.RefetchAll()
		}
		step.reply.RequestID = requests[0].Fetch.RequestID
		a, err := p.HandleReply(clock.Millis(2000*(i+1)+5), &step.reply, step.version)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, a.EvacuationsVersion, qt.Equals, step.accepted, qt.Commentf("step %d", i))
	}
}
