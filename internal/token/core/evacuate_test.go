package core_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/token/core"
)

// TestEvacuatedServersKeepTheirFlows guards against a reset of open flows, a new flow in an
// evacuated data centre, and an older state that replaces a newer one.
func TestEvacuatedServersKeepTheirFlows(t *testing.T) {
	c := newCore(1)
	opened := c.HandlePacket(10, syn(0), true)
	state := func(version uint64, active bool) *core.Update {
		return &core.Update{EvacuationsVersion: version, Evacuations: []core.EvacuationUpdate{{Centre: "a", Active: active}}}
	}
	c.Learn(20, state(5, true))
	c.Learn(21, state(4, false))
	qt.Check(t, c.EvacuatedServices(), qt.DeepEquals, []string{"x", "y"})
	qt.Check(t, c.HandlePacket(30, syn(1), true).ServerID, qt.Equals, opened.ServerID)
	qt.Check(t, c.HandlePacket(31, data(opened.Token, 200, 10), true).ServerID, qt.Equals, opened.ServerID)
	refused := c.HandlePacket(32, opening(7), true)
	qt.Check(t, []any{refused.Verdict, refused.Reason}, qt.DeepEquals, []any{core.Reset, core.NoServer})
	qt.Check(t, c.Stats().EvacuatedNoServer, qt.Equals, uint64(1))
	r := record(5, "x", 1)
	r.Centre = "b"
	c.Learn(40, &core.Update{Servers: []core.ServerUpdate{{Record: record(6, "x", 1)}, {Record: r}}})
	qt.Check(t, c.HandlePacket(41, opening(8), true).ServerID, qt.Equals, "i-5")
	c.Learn(50, state(6, false))
	qt.Check(t, c.Evacuated(), qt.HasLen, 0)
	seen := map[string]bool{}
	for port := range uint16(200) {
		seen[c.HandlePacket(51, opening(1000+port), true).ServerID] = true
	}
	qt.Check(t, seen, qt.HasLen, 5)
}
