package core_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

// TestUnusedShareOpensDespiteReports guards against hosts that refuse all openings after a
// restart of all hosts, when the reports count many requests twice and flows as long.
func TestUnusedShareOpensDespiteReports(t *testing.T) {
	names, hashes := hostsOf("a", 8)
	h := newSharingCore(names[0], "a", 0, "a")
	h.Learn(2, &core.Update{Sharing: hashes})
	port := uint16(0)
	for range 20 {
		answered(h, 10, 3000+port)
		port++
	}
	report(h, 1000, choose.Load{InFlight: 24, Flows: 3}, 1, 4, choose.Loads{})
	p := opening(5000)
	p.To = routeX
	qt.Check(t, h.HandlePacket(1001, p, true).Verdict, qt.Equals, core.Forward)
}
