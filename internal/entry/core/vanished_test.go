package core_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/entry/core"
	"monsooncleat.example/monsooncleat/internal/wire/geneve"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// TestRepeatedOpeningOfAnEndedServerIsToldOrMoved guards against a client that repeats its opening until it gives up, though the server of that opening is gone and another one of the service runs: the flow isn't open.
func TestRepeatedOpeningOfAnEndedServerIsToldOrMoved(t *testing.T) {
	for _, test := range claims {
		host := newSingleHost(t, 1, 1)
		openings := map[clock.Millis]bool{}
		for at, pause := claimedAt, clock.Second; at < 130*clock.Second; at, pause = at+pause, 2*pause {
			openings[at+20] = true
		}
		resets := 0
		_, elsewhere := play(host, test.record, false, 130*clock.Second, func(now clock.Millis) {
			resets += len(host.PendingOutput().Losses.Resets())
			host.ClearOutput()
			if now > claimedAt && now%clock.Second == 0 {
				host.HandleAnnouncement(now, announcement("sound", "service0", otherAddr, 2))
			}
			if openings[now] {
				host.HandleDatagram(now, fabricAddr, syn(0))
			}
		})
		qt.Check(t, resets+elsewhere > 0, qt.IsTrue, qt.Commentf("%s: %d openings", test.name, len(openings)))
	}
}

// TestClientThatOnlyListensLearnsOfAnotherServiceAtTheAddress guards against a flow that never ends: its client has nothing to send but answers to the probes of the host, and those are dropped.
func TestClientThatOnlyListensLearnsOfAnotherServiceAtTheAddress(t *testing.T) {
	for _, test := range claims {
		if !test.crosses {
			continue
		}
		host := newSingleHost(t, 1, 1)
		resetAt, probes := clock.Millis(0), 0
		acknowledge := func(now clock.Millis) {
			host.HandleDatagram(now, fabricAddr, geneve.Append(nil, inner.BuildTCP(clientAddr(0), serviceAddr(0), inner.Segment{Flags: inner.ACK, Seq: 6, Ack: 9}), nil))
		}
		play(host, test.record, false, 20*clock.Minute, func(now clock.Millis) {
			probed := probesToClient(host)
			if len(host.PendingOutput().Losses.Resets()) > 0 && resetAt == 0 {
				resetAt = now
			}
			host.ClearOutput()
			if now == clock.Second {
				host.HandleDatagram(now, fabricAddr, segment(2, 1))
			}
			if now == 2*clock.Second || probed && resetAt == 0 {
				probes++
				acknowledge(now)
			}
		})
		qt.Check(t, resetAt > 0, qt.IsTrue, qt.Commentf("%s: open after 20 min, %d probes answered, flows %d", test.name, probes-1, host.Flows()))
	}
}

func probesToClient(host *core.Core) bool {
	for _, d := range host.PendingOutput().Datagrams {
		if d.To == fabricAddr {
			return true
		}
	}
	return false
}

// TestFullTableCrossesNoService guards against a packet of an open flow without a record at a server of another service, which has the address by now.
func TestFullTableCrossesNoService(t *testing.T) {
	host := newSingleHostOf(t, bundleText(1), 1, 1, 1)
	host.HandleDatagram(3, fabricAddr, syn(1))
	host.HandleAnnouncement(3000, announcement("other", "service1", serverAddr, 2))
	host.Tick(3020)
	host.ClearOutput()
	host.HandleDatagram(3040, fabricAddr, segment(2, 1))
	for _, d := range host.PendingOutput().Datagrams {
		qt.Check(t, d.To, qt.Not(qt.Equals), serverAddr)
	}
}
