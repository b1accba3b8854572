package core_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
)

// TestUnchangedListAddsNoBytes has 300 entry hosts poll a control host. Replies to those
// that have the list must be as long as those to hosts that take no flows.
func TestUnchangedListAddsNoBytes(t *testing.T) {
	c := newControlHost(t, 12)
	poll := func(now clock.Millis, host int, sharing bool, version uint64) (size int, r *msgs.FetchReply) {
		m, err := msgs.Decode(msgs.Encode(&msgs.Envelope{Fetch: &msgs.Fetch{
			Name: fmt.Sprint("e", host), Centre: centreName(host), Form: msgs.BlockForm, RequestID: 1, RunID: 7, Since: 12,
			Version: 1, Sharing: sharing, SharingVersion: version,
		}}))
		qt.Assert(t, err, qt.IsNil)
		c.HandleMessage(now, 1, m)
		body := c.Take().Replies[0].Body
		reply, err := msgs.Decode(body)
		qt.Assert(t, err, qt.IsNil)
		return len(body), reply.FetchReply
	}
	for host := range 300 {
		poll(3000, host, true, 0)
	}
	_, r := poll(3100, 1, true, 0)
	qt.Assert(t, r.Sharing, qt.HasLen, 50)
	with, same := poll(3100, 1, true, r.SharingVersion)
	qt.Check(t, same.Sharing, qt.IsNil)
	qt.Check(t, c.SharingHosts(), qt.Equals, 300)
	// A host that has just started has no version, and the list is not known for 2 s
	// after the start of the control host.
	fresh := newControlHost(t, 12)
	c = fresh
	without, r := poll(1900, 1, true, 0)
	qt.Check(t, r.SharingVersion, qt.Equals, uint64(0))
	qt.Check(t, with, qt.Equals, without)
}
