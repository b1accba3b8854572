package share_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/record"
	"monsooncleat.example/monsooncleat/internal/dir/share"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// TestEntryHostsLearnEarlierStarts guards against packets of open flows that are dropped because their token is that of the incarnation before.
func TestEntryHostsLearnEarlierStarts(t *testing.T) {
	c := qt.New(t)
	newList := func(runID uint64) *share.List {
		options := fleet.Options{SilentAfter: 3600, ForgetAfter: 90_000, ReuseAfter: 2000}
		return share.NewList(options, runID, 0, fourVoters{}, func(string) bool { return true }, func(raft.ID, *msgs.Envelope) {})
	}
	r := fleet.Record{
		ID: "s", Number: 1, Started: 1000, Seq: 1, Service: "s", Centre: "a", State: fleet.Ready, Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
	check := func(stage string, l *share.List, now, position uint64, age clock.Millis) {
		c.Helper()
		blocks, _, _ := share.NewBlocks(l).Part(clock.Millis(now), msgs.AllParts, "a", 1, position)
		servers, err := record.All(nil, blocks)
		c.Assert(err, qt.IsNil)
		c.Assert(servers, qt.HasLen, 1, qt.Commentf(stage))
		c.Check(servers[0].Aliases, qt.DeepEquals, []fleet.Alias{{Started: 1000, Age: age}}, qt.Commentf(stage))
	}
	first, second := newList(1), newList(1)
	first.Apply(1000, 1000, r, true)
	position := first.Fleet().Position()
	r.Started, r.Seq = 1500, 1
	first.Apply(1500, 1500, r, true)
	check("all servers", first, 1600, 0, 100)
	check("changes", first, 1600, position, 100)

	// The second host hears of the server, but not of the incarnation before.
	second.Apply(1600, 1600, r, true)
	position = second.Fleet().Position()
	reply := first.ReplyToSync(1600, &msgs.Sync{Form: msgs.BlockForm})
	c.Assert(second.HandleSyncReply(1600, reply), qt.IsNil)
	check("exchanged", second, 1700, position, 200)
	position = second.Fleet().Position()
	c.Assert(second.HandleSyncReply(1700, reply), qt.IsNil)
	c.Check(second.Fleet().Position(), qt.Equals, position)

	restarted := newList(1)
	c.Assert(restarted.Load(5000, second.Encode(1700)), qt.IsNil)
	check("saved", restarted, 5000, 0, 200)
}
