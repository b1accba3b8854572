package msgs_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// earlierStatus is ServerStatus in the build before aliases.
type earlierStatus struct {
	Record fleet.Record `msgpack:"record"`
	Age    clock.Millis `msgpack:"age"`
	Silent bool         `msgpack:"silent"`
	Ended  bool         `msgpack:"ended"`
}

// TestStatusWithAliasesIsReadByEitherBuild guards against a rolling release in which control hosts can't read each other.
func TestStatusWithAliasesIsReadByEitherBuild(t *testing.T) {
	c := qt.New(t)
	r := fleet.Record{ID: "s", Started: 7, State: fleet.Ready}
	with, err := msgpack.Marshal(msgs.ServerStatus{Record: r, Age: 3, Aliases: []fleet.Alias{{Started: 5, Age: 2}}})
	c.Assert(err, qt.IsNil)
	var earlier earlierStatus
	c.Assert(msgs.Unmarshal(with, &earlier), qt.IsNil)
	c.Check(earlier.Record.Started, qt.Equals, clock.Millis(7))
	without, err := msgpack.Marshal(earlier)
	c.Assert(err, qt.IsNil)
	var status msgs.ServerStatus
	c.Assert(msgs.Unmarshal(without, &status), qt.IsNil)
	c.Check(status.Age, qt.Equals, clock.Millis(3))
	c.Check(status.Aliases, qt.HasLen, 0)
	plain, err := msgpack.Marshal(msgs.ServerStatus{Record: r, Age: 3})
	c.Assert(err, qt.IsNil)
	c.Check(plain, qt.DeepEquals, without)
}

// TestNumberedSyncIsReadByEitherBuild guards against a rolling release in which control hosts can't read each other.
func TestNumberedSyncIsReadByEitherBuild(t *testing.T) {
	c := qt.New(t)
	type earlierSync struct {
		From  raft.ID `msgpack:"from"`
		Since uint64  `msgpack:"since"`
	}
	type earlierReply struct {
		From     raft.ID `msgpack:"from"`
		Position uint64  `msgpack:"position"`
	}
	body, err := msgpack.Marshal(msgs.Sync{From: "a", Since: 4, Number: 9})
	c.Assert(err, qt.IsNil)
	var request earlierSync
	c.Assert(msgs.Unmarshal(body, &request), qt.IsNil)
	c.Check(request, qt.Equals, earlierSync{"a", 4})
	body, err = msgpack.Marshal(msgs.SyncReply{From: "b", Position: 5, Number: 9})
	c.Assert(err, qt.IsNil)
	var reply earlierReply
	c.Assert(msgs.Unmarshal(body, &reply), qt.IsNil)
	c.Check(reply, qt.Equals, earlierReply{"b", 5})

	body, err = msgpack.Marshal(earlierSync{"a", 4})
	c.Assert(err, qt.IsNil)
	var m msgs.Sync
	c.Assert(msgs.Unmarshal(body, &m), qt.IsNil)
	c.Check(m.Number, qt.Equals, uint64(0))
	body, err = msgpack.Marshal(earlierReply{"b", 5})
	c.Assert(err, qt.IsNil)
	var r msgs.SyncReply
	c.Assert(msgs.Unmarshal(body, &r), qt.IsNil)
	c.Check(r.Number, qt.Equals, uint64(0))
	c.Check(r.Position, qt.Equals, uint64(5))
}
