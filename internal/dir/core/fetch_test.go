package core_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/dir/core"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/poll"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

// earlierFetch and earlierReply are the messages of the build before BlockForm.
type earlierFetch struct {
	Name      string       `msgpack:"name"`
	RequestID uint64       `msgpack:"number"`
	RunID     uint64       `msgpack:"run"`
	Since     uint64       `msgpack:"since"`
	Version   uint64       `msgpack:"version"`
	Brief     bool         `msgpack:"brief"`
	Loads     choose.Loads `msgpack:"loads"`
}

type earlierReply struct {
	RequestID     uint64              `msgpack:"number"`
	Current       bool                `msgpack:"current"`
	RunID         uint64              `msgpack:"run"`
	Position      uint64              `msgpack:"position"`
	Servers       []msgs.ServerStatus `msgpack:"news"`
	SilentServers []string            `msgpack:"silent"`
	Delta         *routes.Delta       `msgpack:"delta,omitempty"`
	Version       uint64              `msgpack:"version"`
	Loads         choose.Loads        `msgpack:"loads"`
	ControlHosts  []string            `msgpack:"controls"`
}

// exchange encodes a fetch, has a control host handle it and decodes the reply into out.
func exchange(t *testing.T, c *core.Core, fetch, out any) {
	t.Helper()
	body, err := msgpack.Marshal(map[string]any{"fetch": fetch})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, msgs.IsFetch(body), qt.IsTrue)
	m, err := msgs.Decode(body)
	qt.Assert(t, err, qt.IsNil)
	c.HandleMessage(3200, 1, m)
	var reply map[string]msgpack.RawMessage
	qt.Assert(t, msgpack.Unmarshal(c.Take().Replies[0].Body, &reply), qt.IsNil)
	qt.Assert(t, msgpack.Unmarshal(reply["fetchReply"], out), qt.IsNil)
}

// TestEntryHostOfEarlierBuildIsServed has a control host of this build answer an entry
// host that does not know blocks.
func TestEntryHostOfEarlierBuildIsServed(t *testing.T) {
	c := newControlHost(t, 12)
	var reply, next earlierReply
	exchange(t, c, earlierFetch{Name: "e1", RequestID: 5, Loads: hostLoads(1, 12)}, &reply)
	qt.Check(t, reply.RequestID, qt.Equals, uint64(5))
	qt.Check(t, reply.Servers, qt.HasLen, 12)
	qt.Check(t, reply.Delta.Changed, qt.HasLen, 43)
	qt.Check(t, reply.ControlHosts, qt.DeepEquals, []string{"10.0.0.1:7000"})
	for token, load := range reply.Loads {
		qt.Check(t, load, qt.Equals, choose.Load{}, qt.Commentf("own load on %d", token))
	}
	exchange(t, c, earlierFetch{Name: "e1", RequestID: 6, RunID: reply.RunID, Since: reply.Position, Version: reply.Version}, &next)
	qt.Check(t, next.Servers, qt.HasLen, 0)
	qt.Check(t, next.Delta, qt.IsNil)
	qt.Check(t, next.Position, qt.Equals, reply.Position)
}

// TestControlHostOfEarlierBuildIsPolled has an entry host of this build poll a control
// host that ignores the fields for blocks.
func TestControlHostOfEarlierBuildIsPolled(t *testing.T) {
	c := newControlHost(t, 12)
	p := poll.New(poll.Options{Name: "e1", Centre: centreName(0), Seeds: []string{"10.0.0.1:7000"}}, 3000)
	version, servers := uint64(0), 0
	for range 4 {
		for _, request := range p.Tick(3200, version, hostLoads(1, 12)) {
			f := request.Fetch
			var reply earlierReply
			exchange(t, c, earlierFetch{Name: f.Name, RequestID: f.RequestID, RunID: f.RunID, Since: f.Since, Version: f.Version, Brief: f.Brief, Loads: f.Loads}, &reply)
			body, err := msgpack.Marshal(reply)
			qt.Assert(t, err, qt.IsNil)
			var decoded msgs.FetchReply
			qt.Assert(t, msgpack.Unmarshal(body, &decoded), qt.IsNil)
			a, err := p.HandleReply(3200, &decoded, version)
			qt.Assert(t, err, qt.IsNil)
			servers += len(a.Servers)
			if a.Delta != nil {
				version = a.Delta.Version
			}
		}
	}
	qt.Check(t, version, qt.Equals, uint64(1))
	qt.Check(t, servers, qt.Equals, 12)
}

// TestFirstReplyIsSmall bounds what an entry host receives before it is ready, on a link
// that carries 250 bytes in a millisecond.
func TestFirstReplyIsSmall(t *testing.T) {
	c := newControlHost(t, 600)
	m, err := msgs.Decode(msgs.Encode(&msgs.Envelope{Fetch: &msgs.Fetch{Name: "e", Centre: centreName(0), Form: msgs.BlockForm, Part: msgs.LocalPart}}))
	qt.Assert(t, err, qt.IsNil)
	c.HandleMessage(3200, 1, m)
	size := len(c.Take().Replies[0].Body)
	qt.Check(t, size <= 12_000, qt.IsTrue, qt.Commentf("%d bytes", size))
}
