package poll_test

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/entry/poll"
)

func newPoller(addresses ...string) *poll.Poller {
	return poll.New(addresses, rand.New(rand.NewPCG(1, 1)))
}

func TestTurnsToTheNextHostAfterATimeout(t *testing.T) {
	p := newPoller("c1", "c2")
	qt.Check(t, p.Due(1000, true), qt.Equals, "c1")
	qt.Check(t, p.Due(1600, true), qt.Equals, "", qt.Commentf("a reply is awaited"))
	qt.Check(t, p.Due(2501, true), qt.Equals, "c2")
}

func TestTurnsToTheNextHostWithoutAQuorum(t *testing.T) {
	p := newPoller("c1", "c2", "c3")
	p.Due(1000, false)
	p.HandleReply(1010, false, "")
	qt.Check(t, p.Due(1300, false), qt.Equals, "")
	qt.Check(t, p.Due(1310, false), qt.Equals, "c2")
	qt.Check(t, p.UpToDateAt(), qt.Equals, clock.Millis(0))
	p.HandleReply(1320, true, "c3")
	qt.Check(t, p.UpToDateAt(), qt.Equals, clock.Millis(1320))
	p.Soon(1320)
	qt.Check(t, p.Due(1620, false), qt.Equals, "c3", qt.Commentf("the leader is polled"))
}

func TestOthersPollRarely(t *testing.T) {
	p := newPoller("c1")
	polls := 0
	for now := clock.Millis(0); now < 10*clock.Minute; now += 100 {
		if p.Due(now, false) != "" {
			polls++
			p.HandleReply(now, true, "c1")
		}
	}
	qt.Check(t, polls >= 15 && polls <= 30, qt.IsTrue, qt.Commentf("%d polls in 10 minutes", polls))
}

func TestNoControlHosts(t *testing.T) {
	p := newPoller()
	qt.Check(t, p.Due(1000, true), qt.Equals, "")
	p.HandleReply(1000, false, "")
}
