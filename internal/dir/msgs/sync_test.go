package msgs_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

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
