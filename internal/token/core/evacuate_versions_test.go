package core_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/serve/tokens"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

func evacuation(version uint64, active bool) *core.Update {
	return &core.Update{EvacuationsVersion: version, Evacuations: []core.EvacuationUpdate{{Centre: "a", Active: active, Changed: version}}}
}

// TestEvacuatedServersGetNoNewFlows guards against flows that are opened on, or moved to,
// servers of an evacuated data centre, and against open ones that are refused there.
func TestEvacuatedServersGetNoNewFlows(t *testing.T) {
	c := newCore(1)
	before := c.HandlePacket(10, opening(1), true)
	other := record(5, "x", 1)
	other.Centre = "b"
	c.Learn(20, &core.Update{Servers: []core.ServerUpdate{{Record: other}}})
	c.Learn(30, evacuation(7, true))
	qt.Check(t, c.Evacuated(), qt.DeepEquals, []string{"a"})
	for port := range uint16(20) {
		qt.Check(t, c.HandlePacket(40, opening(100+port), true).Number, qt.Equals, uint64(5))
	}
	// The copy of an opening that waited on this host stays, since the server may have
	// answered the first one. If the server seems to have failed, the next copy moves.
	again := opening(1)
	again.Ack, again.Waited = 1, 300
	qt.Check(t, c.HandlePacket(330, again, true).Number, qt.Equals, before.Number)
	again.Ack, again.Waited = 2, 0
	moved := c.HandlePacket(900, again, true)
	qt.Check(t, moved.Reason, qt.Equals, core.MovedFlow)
	qt.Check(t, moved.Number, qt.Equals, uint64(5))
	qt.Check(t, c.HandlePacket(950, data(tokens.Candidate("i-1", 1, 0), 100, 10), true).Number, qt.Equals, uint64(1))
	// A server that starts there, or is announced anew, doesn't count either.
	c.Learn(1000, &core.Update{Servers: []core.ServerUpdate{{Record: record(1, "x", 2)}, {Record: record(6, "x", 1)}}})
	qt.Check(t, c.UsableServers(), qt.Equals, 6)
	for port := range uint16(20) {
		qt.Check(t, c.HandlePacket(1010, opening(200+port), true).Number, qt.Equals, uint64(5))
	}
}

// TestNeverGoesBackToOlderEvacuations guards against control hosts that are behind.
func TestNeverGoesBackToOlderEvacuations(t *testing.T) {
	c := newCore(1)
	c.Learn(10, evacuation(7, true))
	c.Learn(20, evacuation(6, false))
	c.Learn(30, evacuation(7, false))
	c.Learn(40, &core.Update{})
	qt.Check(t, c.Evacuated(), qt.DeepEquals, []string{"a"})
	qt.Check(t, c.HandlePacket(50, opening(1), true).Reason, qt.Equals, core.NoServer)
	c.Learn(60, evacuation(8, false))
	qt.Check(t, c.HandlePacket(70, opening(2), true).Verdict, qt.Equals, core.Forward)
}
