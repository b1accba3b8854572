package panel_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/panel"
)

// start is when the control hosts have been up for long enough to select witnesses.
const start = 10 * clock.Second

var voters = []raft.ID{"1", "2", "3", "4"}

func entryHost(i, run int) msgs.Witness {
	return msgs.Witness{ID: raft.ID(fmt.Sprintf("h%d/%d", i, run)), Centre: fmt.Sprint("c", i%3), Sharing: true}
}

// newPanel returns the Panel of control host 1, polled by n entry hosts at start.
func newPanel(n int) *panel.Panel {
	p := panel.New(0)
	for _, id := range voters[1:] {
		p.Told(id, true)
	}
	for i := range n {
		p.Polled(start, entryHost(i, 1))
	}
	return p
}

func TestSelectsAnOddNumberFromAllDataCentres(t *testing.T) {
	for n, want := range [][]raft.ID{
		nil,
		{"h0/1"},
		{"h0/1"},
		{"h0/1", "h1/1", "h2/1"},
		{"h0/1", "h1/1", "h2/1"},
		{"h0/1", "h1/1", "h2/1", "h3/1", "h4/1"},
		{"h0/1", "h1/1", "h2/1", "h3/1", "h4/1"},
	} {
		qt.Check(t, newPanel(n).Select(start, "1", voters, nil), qt.DeepEquals, want, qt.Commentf("%d entry hosts", n))
	}
}

func TestOddNumberOfVotersHasNoWitnesses(t *testing.T) {
	qt.Check(t, newPanel(5).Select(start, "1", voters[:3], []raft.ID{"h0/1"}), qt.HasLen, 0)
}

// TestMixedBuildsCountNoWitnesses guards against a group in which some count halves of the
// voters otherwise than others.
func TestMixedBuildsCountNoWitnesses(t *testing.T) {
	present := []raft.ID{"h7/1"}
	p := newPanel(5)
	p.Told("3", false)
	qt.Check(t, p.Select(start, "1", voters, present), qt.HasLen, 0)
	p.Told("3", true)
	qt.Check(t, p.Select(start, "1", voters, nil), qt.HasLen, 5)
	unheard := append([]raft.ID{"5", "6"}, voters...)
	qt.Check(t, p.Select(start, "1", unheard, nil), qt.HasLen, 0)
	qt.Check(t, p.Select(start, "1", unheard, present), qt.DeepEquals, present)
}

// TestPresentWitnessesStay guards against a change of the membership for each entry host
// that comes, and against one for a host that has just started and knows few of them.
func TestPresentWitnessesStay(t *testing.T) {
	p := newPanel(9)
	present := []raft.ID{"h3/1", "h4/1", "h5/1", "h6/1", "h7/1"}
	qt.Check(t, p.Select(start, "1", voters, present), qt.DeepEquals, present)
	qt.Check(t, p.Select(start+6*clock.Second, "1", voters, present), qt.DeepEquals, present)
	young := panel.New(start)
	young.Polled(start, entryHost(0, 1))
	qt.Check(t, young.Select(start, "1", voters[:2], present), qt.DeepEquals, present)
}

// TestEndedWitnessIsReplaced has a witness that runs again, one that stops and one that is
// silent.
func TestEndedWitnessIsReplaced(t *testing.T) {
	p := newPanel(9)
	present := p.Select(start, "1", voters, nil)
	qt.Assert(t, present, qt.DeepEquals, []raft.ID{"h0/1", "h1/1", "h2/1", "h3/1", "h4/1"})
	for i := 3; i < 9; i++ {
		p.Learned(start+6*clock.Second, []msgs.Witness{entryHost(i, 1)})
	}
	p.Polled(start+6*clock.Second, entryHost(0, 2))
	p.Polled(start+6*clock.Second, entryHost(0, 1))
	stops := entryHost(1, 1)
	stops.Sharing = false
	p.Polled(start+6*clock.Second, stops)
	// It polled another control host before.
	p.Learned(start+6*clock.Second, []msgs.Witness{{ID: "h1/1", Centre: "c1", Sharing: true, Age: clock.Second}})
	qt.Check(t, p.Ended(present), qt.DeepEquals, []raft.ID{"h0/1"})
	qt.Check(t, p.Select(start+6*clock.Second, "1", voters, present), qt.DeepEquals, []raft.ID{"h0/2", "h3/1", "h4/1", "h5/1", "h7/1"})
}

// TestTellsOthersOfOwnEntryHosts has entry hosts that poll another control host, and
// witnesses, which come first.
func TestTellsOthersOfOwnEntryHosts(t *testing.T) {
	p := newPanel(20)
	p.Learned(start, []msgs.Witness{entryHost(30, 1)})
	list := p.Shared(start, false, []raft.ID{"h19/0", "h18/1", "h17/1"})
	qt.Assert(t, list, qt.HasLen, 8)
	qt.Check(t, []raft.ID{list[0].ID, list[1].ID, list[2].ID}, qt.DeepEquals, []raft.ID{"h18/1", "h19/1", "h17/1"})
	qt.Check(t, p.Shared(start+500, false, nil), qt.HasLen, 0)
	qt.Check(t, p.Shared(start+500, true, nil), qt.HasLen, 8)
}
