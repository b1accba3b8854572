package place_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/entry/place"
	"monsooncleat.example/monsooncleat/internal/flow/table"
	"monsooncleat.example/monsooncleat/internal/serve/maglev"
)

const (
	tableSize = 251
	handover  = 3000
	idle      = 10_000
)

// set puts a placement over servers in force. The ID of a server is its first letter.
func set(h *place.History, now clock.Millis, servers ...string) {
	var backends []maglev.Backend
	for _, s := range servers {
		backends = append(backends, maglev.Backend{Name: s, Weight: 1})
	}
	h.Set(now, tableSize, backends, func(name string) table.NameID { return table.NameID(name[0]) })
}

func TestHistoryReturnsPlacementOfATime(t *testing.T) {
	var h place.History
	qt.Assert(t, h.Current(), qt.IsNil)
	set(&h, 100, "a")
	set(&h, 200, "b")
	set(&h, 250, "b")
	set(&h, 300)
	set(&h, 400, "d")
	for at, want := range map[clock.Millis]string{150: "a", 200: "b", 299: "b", 350: "d", 450: "d", 50: "d"} {
		qt.Check(t, h.At(at).Server(7), qt.Equals, table.NameID(want[0]), qt.Commentf("at %d", at))
	}
	h.Clear()
	qt.Check(t, h.At(150).Server(7), qt.Equals, table.NameID('d'))
}

func TestHistoryKeepsTheOldestOfMany(t *testing.T) {
	var h place.History
	for i := range 10 {
		set(&h, clock.Millis(100*i), string(rune('a'+i)))
	}
	qt.Check(t, h.At(10).Server(7), qt.Equals, table.NameID('f'), qt.Commentf("the oldest one kept"))
	qt.Check(t, h.Current().Server(7), qt.Equals, table.NameID('j'))
}

// TestUnknownFlowUsesPlacementOfPreviousOwner changes the servers after the owner of a
// bucket changed. A flow that was idle meanwhile is on the server of before.
func TestUnknownFlowUsesPlacementOfPreviousOwner(t *testing.T) {
	var h place.History
	var owners place.Owners
	set(&h, 0, "a")
	owners.Changed(1, 0, handover)
	owners.Changed(20_000, 19_500, handover)
	set(&h, 20_100, "b")
	qt.Check(t, owners.ForUnknownFlow(20_200, idle, &h, 7), qt.Equals, table.NameID('a'))
	qt.Check(t, owners.NextDefault(20_200, handover, &h, 7), qt.Equals, table.NameID('a'))
	// An owner that held the bucket only briefly has no records of idle flows.
	owners.Changed(20_300, 20_250, handover)
	qt.Check(t, owners.ForUnknownFlow(20_400, idle, &h, 7), qt.Equals, table.NameID('a'))
	qt.Check(t, owners.NextDefault(23_000, handover, &h, 7), qt.Equals, table.NameID('b'))
	qt.Check(t, owners.ForUnknownFlow(30_000, idle, &h, 7), qt.Equals, table.NameID('b'))
}
