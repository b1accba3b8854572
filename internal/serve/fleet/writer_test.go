package fleet_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// TestWriterThatGoesOnMovesNoServer guards against an address that a second writer under the ID of a server which announces itself all the while names instead of the server's.
func TestWriterThatGoesOnMovesNoServer(t *testing.T) {
	for _, wrong := range []string{"10.0.0.1:80", "10.0.0.9:80"} {
		for _, service := range []string{"x", "w", "y"} {
			f := fleet.New(fleet.Options{SilentAfter: 5000, ForgetAfter: 90_000, ReuseAfter: 3000, Interval: 1200})
			right := fleet.Record{ID: "i-5", Number: 5, Seq: 1, Service: "x", Centre: "a", Slots: 2, State: fleet.Ready, Address: netip.MustParseAddrPort("10.0.0.5:80")}
			other := right
			other.Service, other.Address = service, netip.MustParseAddrPort(wrong)
			for now := clock.Millis(0); now < 20_000; now += 1200 {
				f.Apply(now, now, right, true)
				right.Seq++
				if now > 3000 {
					f.Apply(now+600, now+600, other, true)
					other.Seq++
				}
			}
			qt.Check(t, f.Find("i-5").Address, qt.Equals, right.Address, qt.Commentf("the writer names %s, service %s", wrong, service))
		}
	}
}
