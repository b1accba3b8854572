package share_test

import (
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/record"
	"monsooncleat.example/monsooncleat/internal/dir/share"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/serve/tokens"
)

const runID = 7

func newList(servers int) *share.List {
	l := share.NewList(fleet.Options{SilentAfter: 3600, ForgetAfter: 90_000}, runID, 0, fourVoters{}, func(string) bool { return true }, func(raft.ID, *msgs.Envelope) {})
	for i := range servers {
		l.Fleet().Apply(1, 1, serverRecord(i, 1, fleet.Ready), true)
	}
	return l
}

func serverRecord(i int, seq uint64, state fleet.State) fleet.Record {
	return fleet.Record{
		ID: fmt.Sprint("i-", i+1), Number: uint64(i + 1), Seq: seq, Service: "x", Centre: fmt.Sprint("hall-", i%3), Slots: 2, State: state,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
	}
}

// received returns the states of the servers in some blocks by ID.
func received(t *testing.T, blocks []msgs.Block) map[string]fleet.State {
	out := map[string]fleet.State{}
	for _, b := range blocks {
		list, err := record.Decode(b.Data, b.Age)
		qt.Assert(t, err, qt.IsNil)
		for i := range list {
			out[list[i].Record.ID] = list[i].Record.State
		}
	}
	return out
}

// TestPartsAddUpToTheList has an entry host fetch the servers of its data centre, then
// the others, while a server changes between.
func TestPartsAddUpToTheList(t *testing.T) {
	l := newList(30)
	b := share.NewBlocks(l)
	local, part, position := b.Part(10, msgs.LocalPart, "hall-1", 0, 0)
	qt.Check(t, part, qt.Equals, msgs.LocalPart)
	got := received(t, local)
	qt.Check(t, got, qt.HasLen, 10)
	l.Fleet().Apply(20, 20, serverRecord(1, 2, fleet.Draining), true)
	rest, part, position := b.Part(30, msgs.RestPart, "hall-1", runID, position)
	qt.Check(t, part, qt.Equals, msgs.RestPart)
	for id, state := range received(t, rest) {
		got[id] = state
	}
	qt.Check(t, got, qt.HasLen, 30)
	qt.Check(t, got["i-2"], qt.Equals, fleet.Draining)
	none, _, _ := b.Part(40, msgs.AllParts, "hall-1", runID, position)
	qt.Check(t, none, qt.HasLen, 0)
	l.Fleet().Apply(50, 50, serverRecord(2, 2, fleet.Draining), true)
	changes, _, _ := b.Part(60, msgs.AllParts, "hall-1", runID, position)
	qt.Check(t, received(t, changes), qt.DeepEquals, map[string]fleet.State{"i-3": fleet.Draining})
	// The position belongs to another run, so that all servers are due.
	all, part, _ := b.Part(70, msgs.RestPart, "hall-1", runID+1, position)
	qt.Check(t, part, qt.Equals, msgs.AllParts)
	qt.Check(t, received(t, all), qt.HasLen, 30)
}

// TestPartsAreEncodedOncePerChange guards against work that grows with servers times
// entry hosts.
func TestPartsAreEncodedOncePerChange(t *testing.T) {
	l := newList(30)
	b := share.NewBlocks(l)
	first, _, position := b.Part(10, msgs.LocalPart, "hall-1", 0, 0)
	again, _, _ := b.Part(90, msgs.LocalPart, "hall-1", 0, 0)
	qt.Check(t, &first[0].Data[0], qt.Equals, &again[0].Data[0])
	qt.Check(t, again[0].Age, qt.Equals, clock.Millis(80))
	l.Fleet().Apply(100, 100, serverRecord(2, 2, fleet.Draining), true)
	one, _, _ := b.Part(110, msgs.AllParts, "hall-1", runID, position)
	other, _, _ := b.Part(120, msgs.AllParts, "hall-2", runID, position)
	qt.Check(t, &one[0].Data[0], qt.Equals, &other[0].Data[0])
	next, _, _ := b.Part(130, msgs.LocalPart, "hall-2", 0, 0)
	qt.Check(t, received(t, next)["i-3"], qt.Equals, fleet.Draining)
}

func TestSilentServersAreNumbered(t *testing.T) {
	l := newList(4)
	b := share.NewBlocks(l)
	ids, none := b.Silent()
	qt.Check(t, ids, qt.HasLen, 0)
	l.Fleet().SetSilent(10, "i-2", true)
	ids, one := b.Silent()
	qt.Check(t, ids, qt.DeepEquals, []string{"i-2"})
	qt.Check(t, one > none, qt.IsTrue)
	l.Fleet().Apply(20, 20, serverRecord(3, 2, fleet.Draining), true)
	_, same := b.Silent()
	qt.Check(t, same, qt.Equals, one)
	l.Fleet().Apply(30, 30, serverRecord(1, 2, fleet.Ready), true)
	ids, back := b.Silent()
	qt.Check(t, ids, qt.HasLen, 0)
	qt.Check(t, back > one, qt.IsTrue)
}

func TestDataCentreOfATokenIsKnown(t *testing.T) {
	l := newList(4)
	b := share.NewBlocks(l)
	qt.Check(t, b.CentreOf(uint32(tokens.Candidate("i-2", 0, 1))), qt.Equals, "hall-1")
	qt.Check(t, b.CentreOf(1), qt.Equals, "")
}

// TestAnnouncementsAreExchangedInEitherForm has a control host of the build before, which
// knows lists only, and one of this build ask for announcements.
func TestAnnouncementsAreExchangedInEitherForm(t *testing.T) {
	l := newList(30)
	for _, form := range []msgs.Form{msgs.ListForm, msgs.BlockForm} {
		reply := l.ReplyToSync(20, &msgs.Sync{From: "b", Form: form})
		qt.Check(t, len(reply.Servers) > 0, qt.Equals, form == msgs.ListForm)
		receiver := newList(0)
		qt.Assert(t, receiver.HandleSyncReply(20, reply), qt.IsNil)
		qt.Check(t, receiver.Fleet().Len(), qt.Equals, 30)
		qt.Check(t, receiver.Fleet().Find("i-7").LastAnnounced(), qt.Equals, clock.Millis(1))
	}
	damaged := l.ReplyToSync(20, &msgs.Sync{From: "b", Form: msgs.BlockForm})
	damaged.Blocks[0].Data = damaged.Blocks[0].Data[:40]
	receiver := newList(0)
	qt.Check(t, receiver.HandleSyncReply(20, damaged), qt.IsNotNil)
	qt.Check(t, receiver.Fleet().Len(), qt.Equals, 0)
	qt.Check(t, receiver.HandleSyncReply(20, l.ReplyToSync(20, &msgs.Sync{From: "b"})), qt.IsNil)
	qt.Check(t, receiver.Fleet().Len(), qt.Equals, 30)
}

// TestSavedListOfEarlierBuildIsLoaded loads the list that the build before saved as
// msgpack, and that of this build.
func TestSavedListOfEarlierBuildIsLoaded(t *testing.T) {
	l := newList(9)
	l.Fleet().SetSilent(5, "i-4", true)
	l.Fleet().Leave(5, "i-5")
	var list []msgs.ServerStatus
	l.Fleet().Each(func(s *fleet.Server) { list = append(list, share.StatusOf(10, s)) })
	earlier, err := msgpack.Marshal(list)
	qt.Assert(t, err, qt.IsNil)
	for _, saved := range [][]byte{earlier, l.Encode(10)} {
		loaded := newList(0)
		qt.Assert(t, loaded.Load(20, saved), qt.IsNil)
		qt.Check(t, loaded.Fleet().Len(), qt.Equals, 9)
		qt.Check(t, loaded.Fleet().Find("i-4").Silent(), qt.IsTrue)
		qt.Check(t, loaded.Fleet().Find("i-5").State, qt.Equals, fleet.Left)
	}
	qt.Check(t, newList(0).Load(20, []byte{0xc1}), qt.IsNotNil)
}
