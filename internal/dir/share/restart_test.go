package share_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/share"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

const restartedAt = 30_000 * clock.Millis(1)

func loneList(runID uint64) *share.List {
	options := fleet.Options{SilentAfter: 3600, ForgetAfter: 90_000, ReuseAfter: 2000, Interval: announceInterval}
	return share.NewList(options, runID, 0, fourVoters{}, func(string) bool { return true }, func(raft.ID, *msgs.Envelope) {})
}

func incarnation(started clock.Millis, seq uint64, state fleet.State) fleet.Record {
	return fleet.Record{
		ID: "s", Number: 1, Started: started, Seq: seq, Service: "x", State: state, Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
}

// restartedList returns the list of a host that was restarted with a ready record of the incarnation
// before the running one, whose clock was set back.
func restartedList(t *testing.T) *share.List {
	before, l := loneList(1), loneList(2)
	before.Apply(1000, 1000, incarnation(2, 7, fleet.Ready), true)
	qt.Assert(t, l.Load(restartedAt, before.Encode(1100)), qt.IsNil)
	return l
}

func exchange(t *testing.T, now clock.Millis, from, to *share.List) {
	qt.Assert(t, to.HandleSyncReply(now, from.ReplyToSync(now, &msgs.Sync{Form: msgs.BlockForm})), qt.IsNil)
}

// TestLoadedRecordOutranksNoDrainThatOthersHold guards against new flows on a draining server after a restart of a control host.
func TestLoadedRecordOutranksNoDrainThatOthersHold(t *testing.T) {
	drain := incarnation(1, 3, fleet.Draining)
	other := loneList(3)
	other.Apply(restartedAt-300, restartedAt-300, drain, true)
	exchanged, replicated := restartedList(t), restartedList(t)
	exchange(t, restartedAt+50, other, exchanged)
	replicated.HandleReplication(restartedAt+50, drain)
	for _, l := range []*share.List{exchanged, replicated} {
		qt.Check(t, l.Fleet().Find("s").Record, qt.Equals, drain)
	}
}

// TestLoadedRecordReplacesNoneOnOtherHosts guards against a running server that loses its ID on all hosts to what one of them loaded.
func TestLoadedRecordReplacesNoneOnOtherHosts(t *testing.T) {
	running := incarnation(1, 3, fleet.Ready)
	other := loneList(3)
	other.Apply(restartedAt-2100, restartedAt-2100, running, true)
	exchange(t, restartedAt+50, restartedList(t), other)
	qt.Check(t, other.Fleet().Find("s").Record, qt.Equals, running)
}
