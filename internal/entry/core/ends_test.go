package core_test

import (
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/entry/batch"
	"monsooncleat.example/monsooncleat/internal/entry/core"
	"monsooncleat.example/monsooncleat/internal/entry/loss"
	"monsooncleat.example/monsooncleat/internal/flow/table"
	"monsooncleat.example/monsooncleat/internal/serve/roster"
	"monsooncleat.example/monsooncleat/internal/wire/codec"
	"monsooncleat.example/monsooncleat/internal/wire/geneve"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

var otherAddr = netip.MustParseAddrPort("127.0.0.1:6085")

func announcement(name, service string, addr netip.AddrPort, start clock.Millis) *roster.Announcement {
	return &roster.Announcement{Name: name, Service: service, Address: addr.String(), Start: start, Weight: 1, Connections: 1_000_000}
}

// claims say of the server s0-0, which was started at 1, that it has ended or is another one.
var claims = []struct {
	name      string
	announces bool
	record    *roster.Announcement
	// crosses is set if the record gives the address to a server of another service.
	crosses bool
}{
	{"no announcement arrives", false, nil, false},
	{"another address under the ID", true, announcement("s0-0", "service0", otherAddr, 1), false},
	{"another address under the ID, later start", true, announcement("s0-0", "service0", otherAddr, 2), false},
	{"another service under the ID", true, announcement("s0-0", "service1", otherAddr, 2), false},
	{"departure", false, &roster.Announcement{Name: "s0-0", Service: "service0", Address: serverAddr.String(), Start: 1, Leaving: true}, false},
	{"another service at the address", true, announcement("other", "service1", serverAddr, 2), true},
	{"another service under the ID at the address", true, announcement("s0-0", "service1", serverAddr, 2), true},
}

const claimedAt = 5 * clock.Second

// play opens a flow, passes the record of a claim to the host at claimedAt, again and again
// if the server of the flow doesn't announce itself, and calls send each 20 ms. It returns the number of datagrams after claimedAt to the address of the server,
// and to neither that nor the client.
func play(host *core.Core, record *roster.Announcement, announces bool, until clock.Millis, send func(now clock.Millis)) (atServer, elsewhere int) {
	host.HandleDatagram(3, fabricAddr, syn(0))
	for now := 20 * clock.Millis(1); now <= until; now += 20 {
		if announces && now%clock.Second == 0 {
			host.HandleAnnouncement(now, announcement("s0-0", "service0", serverAddr, 1))
		}
		if record != nil && (now == claimedAt || !announces && now > claimedAt && now%clock.Second == 0) {
			host.HandleAnnouncement(now, record)
		}
		host.Tick(now)
		send(now)
		for _, d := range host.PendingOutput().Datagrams {
			switch {
			case d.To == serverAddr && now > claimedAt:
				atServer++
			case d.To != serverAddr && d.To != fabricAddr:
				elsewhere++
			}
		}
	}
	return atServer, elsewhere
}

func segment(seq, ack uint32) []byte {
	return geneve.Append(nil, inner.BuildTCP(clientAddr(0), serviceAddr(0),
		inner.Segment{Flags: inner.ACK, Seq: seq, Ack: ack, Payload: []byte("feed")}), nil)
}

// TestNoClaimEndsAFlowThatItsServerAnswers guards against resets, and against packets at
// another server, while the server of an open flow answers.
func TestNoClaimEndsAFlowThatItsServerAnswers(t *testing.T) {
	for _, test := range claims {
		t.Run(test.name, func(t *testing.T) {
			host := newSingleHost(t, 1, 1)
			seq, sent, resets, last := uint32(2), 0, 0, 0
			_, elsewhere := play(host, test.record, test.announces, 40*clock.Second, func(now clock.Millis) {
				resets += len(host.PendingOutput().Losses.Resets())
				host.ClearOutput()
				if now%200 == 0 {
					host.HandleDatagram(now, fabricAddr, segment(seq, seq))
					seq, sent = seq+4, sent+1
					last = len(host.PendingOutput().Datagrams)
				}
			})
			qt.Check(t, resets, qt.Equals, 0)
			qt.Check(t, elsewhere, qt.Equals, 0)
			qt.Check(t, last, qt.Equals, 1, qt.Commentf("the last packet must be forwarded"))
			if !test.crosses {
				qt.Check(t, host.Counters().All()["packetsForwarded"], qt.Equals, uint64(sent+1))
			}
		})
	}
}

// TestClientOfAVanishedServerLearns guards against a client that waits for longer than 80 s,
// against a reset by a claim, and against packets at a server of another service. Each other
// packet must ask the server, or its successor, which resets a flow that it doesn't hold. Hosts
// can't tell that a flow by UDP has no answers.
func TestClientOfAVanishedServerLearns(t *testing.T) {
	for _, protocol := range []string{"tcp", "udp"} {
		for _, test := range claims {
			t.Run(protocol+", "+test.name, func(t *testing.T) {
				host := newSingleHostOf(t, strings.ReplaceAll(bundleText(1), `"tcp"`, `"`+protocol+`"`), 1, 1, 1000)
				client := &slowClient{protocol: protocol, answerIn: 60 * clock.Minute, seq: 2, ack: 1, dueAt: claimedAt + 20, pause: 200}
				var reset loss.ResetReason
				resetAt, sent := clock.Millis(0), 0
				atServer, _ := play(host, test.record, false, 90*clock.Second, func(now clock.Millis) {
					host.ClearOutput()
					if now == clock.Second {
						host.HandleDatagram(now, fabricAddr, client.packet(inner.Segment{Flags: inner.SYN, Seq: 1}))
					}
					if now >= client.dueAt && resetAt == 0 {
						client.step(host, now)
						sent++
					}
					if resets := host.PendingOutput().Losses.Resets(); len(resets) > 0 {
						resetAt, reset = now, resets[0].Reason
					}
				})
				if test.crosses {
					sent = 0
				}
				qt.Check(t, atServer, qt.Equals, sent)
				if protocol == "udp" && !test.crosses {
					qt.Check(t, resetAt, qt.Equals, clock.Millis(0))
					return
				}
				qt.Check(t, reset, qt.Equals, loss.NoProgress)
				qt.Check(t, resetAt >= claimedAt+clock.Minute, qt.IsTrue, qt.Commentf("reset at %d", resetAt))
				qt.Check(t, resetAt <= claimedAt+80*clock.Second, qt.IsTrue, qt.Commentf("reset at %d", resetAt))
			})
		}
	}
}

// TestPacketsThatWaitedOnTheHostEndNoFlow guards against the reset of a flow of a server
// that is said to have ended, by packets that waited for the server or on the host.
func TestPacketsThatWaitedOnTheHostEndNoFlow(t *testing.T) {
	for _, stalls := range []bool{true, false} {
		host := newSingleHost(t, 1, 1)
		play(host, nil, false, 20*clock.Second, func(clock.Millis) { host.ClearOutput() })
		resets, sent, atServer := 0, 0, 0
		for now := 20 * clock.Second; now <= 32*clock.Second; now += 20 {
			if !stalls {
				host.Tick(now)
			}
			if now%300 == 0 {
				host.HandleDatagram(now, fabricAddr, segment(2, 1))
				sent++
			}
			for _, d := range host.PendingOutput().Datagrams {
				if d.To == serverAddr {
					atServer++
				}
			}
			resets += len(host.PendingOutput().Losses.Resets())
			host.ClearOutput()
		}
		qt.Check(t, resets, qt.Equals, 0, qt.Commentf("stalls %t", stalls))
		qt.Check(t, atServer, qt.Equals, sent, qt.Commentf("stalls %t", stalls))
	}
}

// TestReplicaWithoutAddressIsNotReset guards against the reset of a flow that a host of the
// build before has replicated, without the address, while a record of its server's ID names
// another service: no packet has asked the server.
func TestReplicaWithoutAddressIsNotReset(t *testing.T) {
	host := newSingleHost(t, 1, 1)
	host.HandleAnnouncement(100, announcement("s0-0", "service1", otherAddr, 2))
	key := inner.NewKey(inner.TCP, clientAddr(0), serviceAddr(0))
	host.HandleFrame(200, codec.Encode(codec.Exceptions, batch.Frame{
		From: "e2", Names: []string{"service0", "s0-0"}, Items: []batch.Item{{Key: key.Append(nil), Server: 1, State: table.Open}},
	}))
	for now := 220 * clock.Millis(1); now <= 6*clock.Second; now += 20 {
		host.Tick(now)
		if now%300 == 0 {
			host.HandleDatagram(now, fabricAddr, segment(2, 1))
		}
		if now > 2*clock.Second && now%clock.Second == 0 {
			host.HandleAnnouncement(now, announcement("s0-0", "service0", serverAddr, 1))
		}
		qt.Assert(t, host.PendingOutput().Losses.Resets(), qt.HasLen, 0, qt.Commentf("at %d", now))
	}
	sent := host.PendingOutput().Datagrams
	qt.Assert(t, len(sent) > 0, qt.IsTrue)
	qt.Check(t, sent[len(sent)-1].To, qt.Equals, serverAddr)
}

// TestRestartedHostResetsNoFlow guards against the reset of an open flow by a host that was
// restarted, or by another server: the host has not heard of all servers yet.
func TestRestartedHostResetsNoFlow(t *testing.T) {
	host := newSingleHost(t, 1, 0)
	for _, step := range []struct {
		now       clock.Millis
		announced *roster.Announcement
	}{
		{3, nil},
		{400, announcement("other", "service0", otherAddr, 1)},
		{1200, announcement("s0-0", "service0", serverAddr, 1)},
	} {
		if step.announced != nil {
			host.HandleAnnouncement(step.now, step.announced)
		}
		host.ClearOutput()
		host.HandleDatagram(step.now, fabricAddr, segment(2, 1))
		qt.Check(t, host.PendingOutput().Datagrams, qt.HasLen, 0, qt.Commentf("at %d", step.now))
	}
	host.HandleDatagram(2*roster.HeartbeatInterval+10, fabricAddr, segment(2, 1))
	qt.Check(t, host.Counters().All()["packetsForwarded"], qt.Equals, uint64(1))
}

// TestFullTableResetsNoOpenFlow guards against the reset of a flow that was open before the
// host took it over, because the host has no room for its record.
func TestFullTableResetsNoOpenFlow(t *testing.T) {
	host := newSingleHostOf(t, bundleText(1), 1, 1, 1)
	host.HandleDatagram(3, fabricAddr, syn(1))
	host.ClearOutput()
	host.HandleDatagram(3000, fabricAddr, segment(2, 1))
	qt.Assert(t, host.PendingOutput().Datagrams, qt.HasLen, 1)
	qt.Check(t, host.PendingOutput().Datagrams[0].To, qt.Equals, serverAddr)
}

// TestHostWithAnOlderBundleResetsNoFlow guards against the reset of a flow whose service
// another host knows from a newer bundle.
func TestHostWithAnOlderBundleResetsNoFlow(t *testing.T) {
	host := newSingleHost(t, 1, 1)
	packet := inner.BuildTCP(clientAddr(0), serviceAddr(1), inner.Segment{Flags: inner.ACK, Seq: 2, Ack: 1, Payload: []byte("feed")})
	for version, resets := range map[uint32]int{1: 1, 2: 0} {
		relay := geneve.Relay{Hops: 1, Origin: fabricAddr, Version: version}
		host.HandleDatagram(3, otherAddr, geneve.Append(nil, packet, &relay))
		qt.Check(t, host.PendingOutput().Losses.Resets(), qt.HasLen, resets, qt.Commentf("version %d", version))
		host.ClearOutput()
	}
}

// TestOpeningForAnAddressOfAnotherServiceIsRefused guards against a client that sends openings
// until it gives up, none of which may reach the only server of its service.
func TestOpeningForAnAddressOfAnotherServiceIsRefused(t *testing.T) {
	for _, sinceClaim := range []clock.Millis{100, 4 * clock.Second, 40 * clock.Second} {
		host := newSingleHost(t, 1, 1)
		atServer, _ := play(host, announcement("other", "service1", serverAddr, 2), false, claimedAt+sinceClaim, func(clock.Millis) { host.ClearOutput() })
		host.ClearOutput()
		host.HandleDatagram(claimedAt+sinceClaim+1, fabricAddr, syn(1))
		resets := host.PendingOutput().Losses.Resets()
		qt.Assert(t, resets, qt.HasLen, 1, qt.Commentf("%d ms after the claim", sinceClaim))
		qt.Check(t, resets[0].Reason, qt.Equals, loss.NoServer)
		qt.Check(t, atServer, qt.Equals, 0)
		qt.Check(t, host.Flows(), qt.Equals, 1)
	}
}
