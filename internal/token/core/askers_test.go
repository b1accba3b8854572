package core_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

// newDisplacedHost returns a host with an open flow of a server whose address is said to belong to server 9 of its service.
func newDisplacedHost(c *qt.C) (*core.Core, core.Action) {
	h := newStartedCore(1)
	first, server := openFlow(c, h)
	h.HandlePacket(20, data(first.Token, 9000, 0), true)
	next := record(9, "x", 2000)
	next.Address = server.Address
	learn(h, 100, next, false)
	learn(h, 110, server, true)
	return h, first
}

// TestServerThatAnswersIsNotAskedForForEver guards against sending each packet of a sound flow twice for as long as a wrong claim lasts.
func TestServerThatAnswersIsNotAskedForForEver(t *testing.T) {
	c := qt.New(t)
	h, first := newDisplacedHost(c)
	asked := 0
	for i := range uint32(50) {
		p := data(first.Token, 9000+100*i, 50)
		p.Seq += 50 * i
		a := h.HandlePacket(clock.Millis(1000*(i+1)), p, true)
		c.Check(a.Number, qt.Equals, first.Number)
		if a.AskedNumber != 0 {
			asked++
		}
	}
	// The server has answered all requests but the last one, each after the claim.
	c.Check(asked <= 5, qt.IsTrue, qt.Commentf("%d of 50 packets were sent twice", asked))
}

// TestUploadDoesNotAskWithEachPacket guards against a window of data that is sent twice at one moment, where one packet would be answered.
func TestUploadDoesNotAskWithEachPacket(t *testing.T) {
	c := qt.New(t)
	h, first := newDisplacedHost(c)
	asked := 0
	for i := range uint32(16) {
		p := data(first.Token, 9000, 1200)
		p.Seq += 1200 * i
		if h.HandlePacket(1000, p, true).AskedNumber != 0 {
			asked++
		}
	}
	for i := range uint32(16) {
		p := data(first.Token, 9000, 1200)
		p.Seq += 1200 * i
		if h.HandlePacket(1200, p, true).AskedNumber != 0 {
			asked++
		}
	}
	c.Check(asked <= 2, qt.IsTrue, qt.Commentf("%d of 32 packets were sent twice", asked))
}

// TestSuccessorIsAskedAfterARivalHasLeft guards against a client that waits for its deadline because a second writer at the address came and went.
func TestSuccessorIsAskedAfterARivalHasLeft(t *testing.T) {
	c := qt.New(t)
	h, first := newDisplacedHost(c)
	rival := record(8, "x", 3000)
	rival.Address = first.Server
	learn(h, 120, rival, false)
	rival.Seq, rival.State = 2, fleet.Left
	learn(h, 130, rival, true)
	h.HandlePacket(200, data(first.Token, 9000, 50), true)
	c.Check(h.HandlePacket(400, data(first.Token, 9000, 50), true).AskedNumber, qt.Equals, uint64(9))
}

// TestSuccessorIsAskedBesideASilentRival guards against asking a server that is gone as well, in the place of the one that announces itself.
func TestSuccessorIsAskedBesideASilentRival(t *testing.T) {
	c := qt.New(t)
	h, first := newDisplacedHost(c)
	rival := record(8, "x", 3000)
	rival.Address = first.Server
	h.Learn(120, &core.Update{
		Servers: []core.ServerUpdate{{Record: rival}},
		Silence: func(id string) (bool, bool) { return id == rival.ID, true },
	})
	h.HandlePacket(200, data(first.Token, 9000, 50), true)
	c.Check(h.HandlePacket(400, data(first.Token, 9000, 50), true).AskedNumber, qt.Equals, uint64(9))
}

// TestSuccessorOfAnotherServerIsNotAsked guards against a reset, by the successor of a server whose answer to the opening came late, of a flow that another server holds.
func TestSuccessorOfAnotherServerIsNotAsked(t *testing.T) {
	c := qt.New(t)
	h, next := newStartedCore(1), newStartedCore(2)
	slow, quick := openMoved(c, h)
	h.HandlePacket(615, data(quick.Token, 9000, 50), true)
	// The slow server ends, and another one takes its address. The client still holds its token.
	successor := record(9, "x", 2000)
	successor.Address = slow.Server
	learn(next, 5000, startedRecord(int(slow.Number)), true)
	learn(next, 5000, successor, false)
	for _, now := range []clock.Millis{5100, 5300, 5700} {
		a := next.HandlePacket(now, data(slow.Token, 9100, 50), true)
		c.Check(a.AskedNumber, qt.Equals, uint64(0), qt.Commentf("%s at %d", a.Reason, now))
	}
}
