package core_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/dir/core"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// TestGrantsFollowTheEndOfAnEvacuation evacuates a data centre and takes it back. It guards
// against control hosts that grant nothing for servers which entry hosts take to be cold,
// so that these would get no flows at all.
func TestGrantsFollowTheEndOfAnEvacuation(t *testing.T) {
	c := newControlHost(t, 12)
	c.Publish(3100, 90, &msgs.Publication{Table: routes.Table{
		Version: 2, Services: []string{"weigh-a7"}, Warmups: map[string]routes.Warmup{"weigh-a7": {Duration: 4000, Rate: 6}},
	}})
	persist(c, 3100)
	granted := func(now clock.Millis) int {
		c.Tick(now)
		c.Take()
		c.HandleMessage(now, 1, &msgs.Envelope{Fetch: &msgs.Fetch{Name: "e", Form: msgs.BlockForm, Instance: 5}})
		m, err := msgs.Decode(c.Take().Replies[0].Body)
		qt.Assert(t, err, qt.IsNil)
		return len(m.FetchReply.Grants)
	}
	qt.Check(t, granted(3200), qt.Equals, 0)
	qt.Assert(t, evacuate(t, c, 3300, true, c.EvacuationBase()), qt.Equals, core.Done)
	qt.Check(t, granted(3500), qt.Equals, 0)
	qt.Assert(t, evacuate(t, c, 3600, false, c.EvacuationBase()), qt.Equals, core.Done)
	inCentre := 0
	c.Fleet().Each(func(s *fleet.Server) {
		if s.Centre == centreName(0) {
			inCentre++
		}
	})
	qt.Check(t, granted(3800), qt.Equals, inCentre)
	qt.Check(t, granted(7500), qt.Equals, inCentre)
	qt.Check(t, granted(7700), qt.Equals, 0)
}

// TestGrantsAreForServicesWithARate has cold servers of a service with a rate, and of one
// without, which is served as before.
func TestGrantsAreForServicesWithARate(t *testing.T) {
	c := newControlHost(t, 0)
	table := routes.Table{Version: 2, Services: []string{"weigh-a7", "other"}, Warmups: map[string]routes.Warmup{"weigh-a7": {Duration: 4000, Rate: 6}}}
	c.Publish(3100, 90, &msgs.Publication{Table: table})
	out := c.Take()
	c.Persisted(3100, out.Synced())
	c.Take()
	qt.Assert(t, c.Version(), qt.Equals, uint64(2))
	for i, service := range []string{"weigh-a7", "other"} {
		c.Announce(3150, core.CallID(91+i), fleet.Record{
			ID: service, Seq: 1, Service: service, Centre: "hall-0", Slots: 2, State: fleet.Ready, Warmup: 4000,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	qt.Check(t, c.Fleet().Find("weigh-a7").Warmup, qt.Equals, clock.Millis(4000))
	qt.Check(t, c.Fleet().Find("other").Warmup, qt.Equals, clock.Millis(0))
	grants := func(now clock.Millis, f msgs.Fetch) []msgs.Grant {
		c.Tick(now)
		c.Take()
		f.Name, f.Form = "e", msgs.BlockForm
		c.HandleMessage(now, 1, &msgs.Envelope{Fetch: &f})
		m, err := msgs.Decode(c.Take().Replies[0].Body)
		qt.Assert(t, err, qt.IsNil)
		return m.FetchReply.Grants
	}
	got := grants(3200, msgs.Fetch{Instance: 5})
	qt.Assert(t, got, qt.HasLen, 1)
	qt.Check(t, got[0].Rate, qt.Equals, float32(6))
	qt.Check(t, grants(3250, msgs.Fetch{Instance: 5, Brief: true}), qt.HasLen, 0)
	qt.Check(t, grants(3300, msgs.Fetch{}), qt.HasLen, 0)
	qt.Check(t, grants(7200, msgs.Fetch{Instance: 5}), qt.HasLen, 0)
	c.EvacuationEnded("hall-0", 7200)
	qt.Check(t, grants(7400, msgs.Fetch{Instance: 5}), qt.HasLen, 1)
}
