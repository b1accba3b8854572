package core_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/hash"
	"monsooncleat.example/monsooncleat/internal/dir/core"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
)

// pollSharing has an entry host of data centre "hall-0" that takes new flows poll a
// control host. It returns the reply and its length.
func pollSharing(t *testing.T, c *core.Core, now clock.Millis, host int, version uint64) (r *msgs.FetchReply, size int) {
	t.Helper()
	c.HandleMessage(now, 1, &msgs.Envelope{Fetch: &msgs.Fetch{
		Name: fmt.Sprint("e", host), Centre: centreName(0), Form: msgs.BlockForm, RequestID: 1, RunID: 7, Since: 12,
		Version: 1, Sharing: true, SharingVersion: version,
	}})
	body := c.Take().Replies[0].Body
	m, err := msgs.Decode(body)
	qt.Assert(t, err, qt.IsNil)
	return m.FetchReply, len(body)
}

// TestUnchangedListAddsNoBytes has 300 entry hosts poll a control host. Replies to those
// that have the list must be as long as those without any list.
func TestUnchangedListAddsNoBytes(t *testing.T) {
	c := newControlHost(t, 12)
	for host := range 300 {
		pollSharing(t, c, 3000, host, 0)
	}
	r, _ := pollSharing(t, c, 3100, 1, 0)
	qt.Assert(t, r.Sharing, qt.HasLen, 300)
	same, with := pollSharing(t, c, 3100, 1, r.SharingVersion)
	qt.Check(t, same.Sharing, qt.IsNil)
	// A control host has no list in the first 2 s.
	_, without := pollSharing(t, newControlHost(t, 12), 1900, 1, 0)
	qt.Check(t, with, qt.Equals, without)
}

// TestNoListAfterAPause has a control host that was suspended handle a poll before a tick.
// It guards against a list of one entry host, which would take the slots of all.
func TestNoListAfterAPause(t *testing.T) {
	c := newControlHost(t, 12)
	for host := range 3 {
		pollSharing(t, c, 3000, host, 0)
	}
	r, _ := pollSharing(t, c, 3100, 0, 0)
	qt.Assert(t, r.Sharing, qt.HasLen, 3)
	r, _ = pollSharing(t, c, 8000, 0, 0)
	qt.Check(t, r.Sharing, qt.IsNil)
	c.Tick(8010)
	for now := clock.Millis(8300); now < 10_300; now += 300 {
		for host := range 3 {
			c.Tick(now)
			r, _ = pollSharing(t, c, now, host, 0)
		}
	}
	qt.Check(t, r.Sharing, qt.HasLen, 3)
}

// TestControlHostsExchangeLists guards against lists that hold only the entry hosts of
// one control host, which would give each slot to several entry hosts.
func TestControlHostsExchangeLists(t *testing.T) {
	a, b := newControlHost(t, 12), newControlHost(t, 12)
	pollSharing(t, a, 3000, 1, 0)
	pollSharing(t, b, 3000, 2, 0)
	a.HandleMessage(3050, 1, &msgs.Envelope{Sync: &msgs.Sync{From: "10.0.0.2:7000/b"}})
	reply, err := msgs.Decode(a.Take().SendNow[0].Body)
	qt.Assert(t, err, qt.IsNil)
	b.HandleMessage(3060, 1, reply)
	r, _ := pollSharing(t, b, 3070, 2, 0)
	qt.Check(t, r.Sharing, qt.HasLen, 2)
	qt.Check(t, b.SharingHosts(), qt.Equals, 2)
}

// TestEvacuationListsAllEntryHosts guards against entry hosts of an evacuated data centre
// that own no places, and against a change on the wire without an evacuation.
func TestEvacuationListsAllEntryHosts(t *testing.T) {
	c := newControlHost(t, 12)
	pollSharing(t, c, 3000, 1, 0)
	c.HandleMessage(3010, 1, &msgs.Envelope{Fetch: &msgs.Fetch{
		Name: "other", Centre: centreName(1), Form: msgs.BlockForm, RequestID: 1, RunID: 7, Since: 12, Version: 1, Sharing: true,
	}})
	c.Take()
	before, _ := pollSharing(t, c, 3020, 1, 0)
	qt.Check(t, before.Sharing, qt.HasLen, 1)
	qt.Check(t, before.SharingElsewhere, qt.IsNil)
	order := func(now clock.Millis, start bool) {
		c.Evacuate(now, core.CallID(now), centreName(1), start, c.EvacuationBase())
		for range 3 {
			now += 20
			if out := c.Take(); len(out.Entries) > 0 {
				c.Persisted(now, out.Synced())
			}
			c.Tick(now)
		}
	}
	order(3100, true)
	qt.Assert(t, c.Evacuated(), qt.Equals, 1)
	during, _ := pollSharing(t, c, 3200, 1, before.SharingVersion)
	qt.Check(t, during.Sharing, qt.DeepEquals, before.Sharing)
	qt.Check(t, during.SharingElsewhere, qt.DeepEquals, map[string][]uint64{centreName(1): {hash.String("other")}})
	same, _ := pollSharing(t, c, 3300, 1, during.SharingVersion)
	qt.Check(t, same.SharingVersion, qt.Equals, uint64(0))
	order(3400, false)
	qt.Assert(t, c.Evacuated(), qt.Equals, 0)
	after, _ := pollSharing(t, c, 3500, 1, during.SharingVersion)
	qt.Check(t, after.SharingVersion, qt.Equals, before.SharingVersion)
	qt.Check(t, after.SharingElsewhere, qt.IsNil)
}
