package core_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/core"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// TestServerThatLeftStaysAwayAfterARestart guards against a server that is offered again
// because the host lost power right after it had acknowledged that the server left.
func TestServerThatLeftStaysAwayAfterARestart(t *testing.T) {
	c := newControlHost(t, 12)
	var saved []byte
	take := func() (answered bool) {
		out := c.Take()
		if out.Lists.Servers != nil {
			saved = out.Lists.Servers
		}
		for _, a := range slices.Concat(out.Answers, out.Lists.AnswersAfterSave) {
			answered = answered || a.CallID == 99 && a.Code == core.Done
		}
		return answered
	}
	for now := clock.Millis(3200); now < 6000; now += 50 {
		c.Tick(now)
		take()
	}
	id, _ := serverID(5)
	c.Leave(6010, 99, id)
	for now := clock.Millis(6020); !take(); now += 10 {
		qt.Assert(t, now < 8000, qt.IsTrue, qt.Commentf("not acknowledged"))
		c.Tick(now)
	}
	restarted := core.New(core.Options{
		ID: "10.0.0.1:7000/founder", Seeds: []string{"10.0.0.1:7000"}, RunID: 8, Timing: raft.Timing{Heartbeat: 150, Election: 600},
		EvictAfter: clock.Minute, Fleet: fleet.Options{SilentAfter: 3600, ForgetAfter: 90_000, ReuseAfter: 2000},
	}, raft.Stored{}, 9000, rand.New(rand.NewPCG(1, 2)))
	qt.Assert(t, restarted.LoadServers(9000, saved), qt.IsNil)
	restarted.HandleMessage(9010, 1, &msgs.Envelope{Fetch: &msgs.Fetch{Name: "e"}})
	reply, err := msgs.Decode(restarted.Take().Replies[0].Body)
	qt.Assert(t, err, qt.IsNil)
	for _, s := range reply.FetchReply.Servers {
		if s.Record.ID == id {
			qt.Check(t, s.Record.State == fleet.Left || s.Ended, qt.IsTrue, qt.Commentf("%+v", s))
		}
	}
}
