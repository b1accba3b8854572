package core_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/token/core"
)

var thirdClient = netip.MustParseAddrPort("100.64.0.9:1")

// TestSilenceOlderThanTheClaimEndsNoFlow guards against resets on packets that went unanswered while the server was cut off.
func TestSilenceOlderThanTheClaimEndsNoFlow(t *testing.T) {
	type packet struct {
		at   clock.Millis
		from netip.AddrPort
	}
	cut := []packet{{1000, client}, {1200, client}, {1600, client}, {2400, client}}
	claimedCut := []packet{{1000, client}, {1200, client}, {1600, client}, {1800, otherClient}, {2000, otherClient}}
	tests := []struct {
		name string
		// claims are the times at which the claim begins and is withdrawn in turn.
		claims  []clock.Millis
		packets []packet
		last    packet
	}{
		{"no claim during the cut, then another flow", []clock.Millis{9000}, cut, packet{9500, otherClient}},
		{"no claim during the cut, then another flow at once", []clock.Millis{2450}, cut, packet{2500, otherClient}},
		{"no claim during the cut, then the same flow", []clock.Millis{2450}, cut, packet{4000, client}},
		{"claim before the cut, then another flow", []clock.Millis{900}, claimedCut, packet{5500, thirdClient}},
		{"claim during the cut", []clock.Millis{1300}, cut[:2], packet{1600, client}},
		{"claim withdrawn and made again", []clock.Millis{900, 1250, 1300}, cut[:2], packet{1600, client}},
	}
	for _, test := range tests {
		c := qt.New(t)
		h := newStartedCore(1)
		first, server := openFlow(c, h)
		send := func(p packet, n int) core.Verdict {
			d := data(first.Token, 9000, n)
			d.From = p.from
			return h.HandlePacket(p.at, d, true).Verdict
		}
		send(packet{20, client}, 0)
		send(packet{20, otherClient}, 0)
		send(packet{20, thirdClient}, 0)
		for i, p := range append(test.packets, test.last) {
			for len(test.claims) > 0 && test.claims[0] < p.at {
				learn(h, test.claims[0], server, len(test.claims)%2 == 1)
				test.claims = test.claims[1:]
			}
			if verdict := send(p, 50); i == len(test.packets) {
				c.Check(verdict, qt.Equals, core.Forward, qt.Commentf(test.name))
			}
		}
	}
}
