package core_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/entry/core"
	"monsooncleat.example/monsooncleat/internal/serve/roster"
	"monsooncleat.example/monsooncleat/internal/wire/geneve"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// slowClient sends one request after another to a server that answers each after a time, and
// repeats a request at intervals that double.
type slowClient struct {
	protocol string
	answerIn clock.Millis
	// seq and ack are the numbers of the present request.
	seq, ack uint32
	// dueAt is when the request is sent next, and answeredAt when its answer arrives, or zero.
	dueAt, pause, answeredAt clock.Millis
	answers                  int
}

func (s *slowClient) packet(seg inner.Segment) []byte {
	if s.protocol == "udp" {
		return geneve.Append(nil, inner.BuildUDP(clientAddr(0), serviceAddr(0), []byte("feed")), nil)
	}
	return geneve.Append(nil, inner.BuildTCP(clientAddr(0), serviceAddr(0), seg), nil)
}

// step sends the request if it is due, and records whether it reached the server.
func (s *slowClient) step(host *core.Core, now clock.Millis) {
	if s.answeredAt != 0 && now >= s.answeredAt {
		s.answers++
		s.seq, s.ack = s.seq+4, s.ack+4
		s.answeredAt, s.dueAt, s.pause = 0, now+100, 200
	}
	if now < s.dueAt {
		return
	}
	sent := len(host.PendingOutput().Datagrams)
	host.HandleDatagram(now, fabricAddr, s.packet(inner.Segment{Flags: inner.ACK, Seq: s.seq, Ack: s.ack, Payload: []byte("feed")}))
	s.dueAt, s.pause = now+s.pause, min(2*s.pause, 1600)
	for _, d := range host.PendingOutput().Datagrams[sent:] {
		if d.To == serverAddr && s.answeredAt == 0 {
			s.answeredAt = now + s.answerIn
		}
	}
}

// slowServerCase is a server that answers slowly, while a claim says that it has ended.
type slowServerCase struct {
	client slowClient
	record *roster.Announcement
	// announces is set if the server's own announcements arrive during the claim.
	announces bool
}

const (
	withdrawnAt = 30 * clock.Second
	// settledAt is when all hosts must know that the claim is withdrawn.
	settledAt = withdrawnAt + roster.KeeperTimeout + 2*clock.Second
)

// play returns the number of resets, that of datagrams to others than the server, and whether
// the server has answered after settledAt.
func (s *slowServerCase) play(host *core.Core) (resets, elsewhere int, goesOn bool) {
	host.HandleDatagram(3, fabricAddr, s.client.packet(inner.Segment{Flags: inner.SYN, Seq: 1}))
	answers := 0
	for now := 20 * clock.Millis(1); now <= settledAt+10*clock.Second; now += 20 {
		claimed := now >= claimedAt && now < withdrawnAt
		if now%clock.Second == 0 && (s.announces || !claimed) {
			host.HandleAnnouncement(now, announcement("s0-0", "service0", serverAddr, 1))
		}
		if claimed && s.record != nil && now%clock.Second == 0 && (now == claimedAt || !s.announces) {
			host.HandleAnnouncement(now, s.record)
		}
		host.Tick(now)
		s.client.step(host, now)
		if now == settledAt {
			answers = s.client.answers
		}
		resets += len(host.PendingOutput().Losses.Resets())
		for _, d := range host.PendingOutput().Datagrams {
			if d.To != serverAddr {
				elsewhere++
			}
		}
		host.ClearOutput()
	}
	return resets, elsewhere, s.client.answers > answers
}

// TestSlowServerThatIsSaidToHaveEndedKeepsItsFlows guards against resets of flows whose server
// takes longer for an answer than its clients wait before they retransmit.
func TestSlowServerThatIsSaidToHaveEndedKeepsItsFlows(t *testing.T) {
	for _, protocol := range []string{"tcp", "udp"} {
		for _, answerIn := range []clock.Millis{700, 3000} {
			for _, claim := range claims {
				for _, announces := range []bool{true, false} {
					host := newSingleHostOf(t, strings.ReplaceAll(bundleText(1), `"tcp"`, `"`+protocol+`"`), 1, 1, 1000)
					client := slowClient{protocol: protocol, answerIn: answerIn, seq: 2, ack: 1, pause: 200}
					s := slowServerCase{client: client, record: claim.record, announces: announces}
					resets, elsewhere, goesOn := s.play(host)
					comment := qt.Commentf("%s, %s, answers after %d ms, announces %t", protocol, claim.name, answerIn, announces)
					qt.Check(t, resets, qt.Equals, 0, comment)
					qt.Check(t, elsewhere, qt.Equals, 0, comment)
					qt.Check(t, goesOn, qt.IsTrue, comment)
				}
			}
		}
	}
}
