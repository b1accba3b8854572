package core_test

import (
	"net/netip"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/dir/core"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// TestUnconfiguredServiceTakesNothingOver has another writer announce the address or the ID
// of a running server for a service that is not configured, with a later start.
func TestUnconfiguredServiceTakesNothingOver(t *testing.T) {
	running := fleet.Record{
		ID: "i-1", Number: 1, Started: 100, Seq: 9, Service: "weigh-a7", Centre: "hall-0", Slots: 2, State: fleet.Ready,
		Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
	byAddress := fleet.Record{
		ID: "i-2", Number: 2, Started: 5000, Seq: 1, Service: "another", Centre: "hall-0", Slots: 2, State: fleet.Ready,
		Address: running.Address,
	}
	byID, leaving := byAddress, byAddress
	byID.ID, byID.Number, byID.Address = running.ID, running.Number, netip.MustParseAddrPort("10.0.0.9:80")
	leaving.ID, leaving.State = running.ID, fleet.Draining
	for name, foreign := range map[string]fleet.Record{"address": byAddress, "ID": byID, "drain": leaving} {
		for _, way := range []string{"announced", "replicated", "exchanged"} {
			c := newControlHost(t, 0)
			c.Publish(3100, 90, &msgs.Publication{Table: routes.Table{Version: 2, Services: []string{"weigh-a7"}}})
			persist(c, 3100)
			c.Announce(3150, 91, running)
			announceAs(c, way, foreign)
			s := c.Fleet().Find(running.ID)
			qt.Check(t, s.Usable() && s.Record.Service == "weigh-a7" && s.Started == 100, qt.IsTrue, qt.Commentf("%s %s", name, way))
		}
	}
}

// announceAs passes a record to a control host as a server does, or as another control
// host does.
func announceAs(c *core.Core, way string, r fleet.Record) {
	const now = clock.Millis(3200)
	switch way {
	case "announced":
		c.Announce(now, 92, r)
	case "replicated":
		c.HandleMessage(now, 1, &msgs.Envelope{ReplicateRequest: &msgs.ReplicateRequest{From: "other/1", RequestID: 1, Record: r}})
	case "exchanged":
		c.HandleMessage(now, 1, &msgs.Envelope{SyncReply: &msgs.SyncReply{From: "other/1", RunID: 7, Position: 1, Servers: []msgs.ServerStatus{{Record: r}}}})
	}
}

// TestServiceIsKnownOnceItIsConfigured announces a server before its service is published.
func TestServiceIsKnownOnceItIsConfigured(t *testing.T) {
	c := newControlHost(t, 0)
	r := fleet.Record{
		ID: "i-1", Number: 1, Seq: 1, Service: "later", Centre: "hall-0", Slots: 2, State: fleet.Ready,
		Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
	c.Announce(3050, 91, r)
	c.Publish(3100, 90, &msgs.Publication{Table: routes.Table{Version: 2, Services: []string{"later"}}})
	persist(c, 3100)
	r.Seq++
	c.Announce(3150, 92, r)
	qt.Check(t, c.Fleet().Find("i-1").Usable(), qt.IsTrue)
}

// TestDrainWithoutEffectIsNotAcknowledged guards against new flows on a server that was told
// that its drain is known, while a record of another writer under its ID is believed.
func TestDrainWithoutEffectIsNotAcknowledged(t *testing.T) {
	own := fleet.Record{
		ID: "i-1", Number: 1, Started: 100, Seq: 9, Service: "weigh-a7", Centre: "hall-0", Slots: 2, State: fleet.Ready,
		Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
	higher, later, lower := own, own, own
	higher.Seq, later.Started, lower.Seq = 4000, 5000, 5
	for name, test := range map[string]struct {
		held fleet.Record
		want core.Code
	}{
		"higher seq":  {higher, core.Unavailable},
		"later start": {later, core.Unavailable},
		"own":         {lower, core.Done},
	} {
		for _, way := range []string{"announced", "replicated"} {
			c := newControlHost(t, 0)
			c.Announce(3100, 91, test.held)
			c.Take()
			drain := own
			drain.State = fleet.Draining
			announceAs(c, way, drain)
			c.Tick(3300)
			out := c.Take()
			acknowledged := len(out.SendAfterSync)+len(out.Lists.SendAfterSave) > 0
			for _, a := range slices.Concat(out.Answers, out.Lists.AnswersAfterSave) {
				qt.Check(t, a.Code, qt.Equals, test.want, qt.Commentf(name))
				acknowledged = a.Code == core.Done
			}
			qt.Check(t, acknowledged, qt.Equals, test.want == core.Done, qt.Commentf("%s %s", name, way))
			qt.Check(t, c.Fleet().Find("i-1").Usable(), qt.Equals, test.want != core.Done, qt.Commentf("%s %s", name, way))
		}
	}
}

// TestServerIsOfferedAgainAfterADelayedRemoval removes a server that goes on announcing itself.
func TestServerIsOfferedAgainAfterADelayedRemoval(t *testing.T) {
	r := fleet.Record{
		ID: "i-1", Number: 1, Seq: 9, Service: "weigh-a7", Centre: "hall-0", Slots: 2, State: fleet.Ready,
		Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
	left, onlyID := r, fleet.Record{ID: r.ID, State: fleet.Left}
	left.State = fleet.Left
	for _, started := range []clock.Millis{0, 100} {
		for _, removal := range []*fleet.Record{nil, &onlyID, &left} {
			for _, way := range []string{"announced", "exchanged"} {
				c := newControlHost(t, 0)
				r.Started, left.Started, r.Seq = started, started, 9
				c.Announce(3100, 91, r)
				if removal == nil {
					c.Leave(3150, 92, r.ID)
				} else {
					announceAs(c, "replicated", *removal)
				}
				s := c.Fleet().Find(r.ID)
				qt.Check(t, s.Usable(), qt.IsFalse)
				// An announcement from before the removal changes nothing.
				announceAs(c, way, r)
				qt.Check(t, s.Usable(), qt.IsFalse)
				r.Seq++
				announceAs(c, way, r)
				qt.Check(t, s.Usable(), qt.IsTrue, qt.Commentf("started %d, %+v, %s", started, removal, way))
			}
		}
	}
}
