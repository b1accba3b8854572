package core_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/entry/count"
	"monsooncleat.example/monsooncleat/internal/serve/roster"
	"monsooncleat.example/monsooncleat/internal/wire/envel"
	"monsooncleat.example/monsooncleat/internal/wire/geneve"
	"monsooncleat.example/monsooncleat/internal/wire/inner"
)

// TestNewOwnerAsksADrainingServerForTheOutcome guards against a request that ends as
// unknown without a question to its server: the owner sent it to a server of which the
// successor, which recorded it, already knew that it drains.
func TestNewOwnerAsksADrainingServerForTheOutcome(t *testing.T) {
	c := qt.New(t)
	text := strings.NewReplacer(`"stream"`, `"request"`, `"tcp"`, `"udp"`, "connections", "slots").Replace(bundleText(1))
	host := newSingleHostOf(t, text, 1, 1, 1000)
	host.HandleAnnouncement(3, &roster.Announcement{
		Name: "s0-0", Service: "service0", Address: serverAddr.String(), Start: 1, Weight: 1, Slots: 4, Draining: true,
	})
	client := clientAddr(0)
	recorded := inner.BuildUDP(fabricAddr, serviceAddr(0), envel.EncodeRequest(&envel.Request{
		ID: "r", Attempt: 7, Client: client.Addr().String(), Timeout: 5000,
	}))
	relay := geneve.Relay{Hops: 1, Flags: geneve.FlagReplicate, Origin: serverAddr}
	host.HandleDatagram(4, fabricAddr, geneve.Append(nil, recorded, &relay))
	c.Assert(host.Counters().Get(count.RequestsNoted), qt.Equals, uint64(1))

	resend := inner.BuildUDP(client, serviceAddr(0), envel.EncodeRequest(&envel.Request{ID: "r", Elapsed: 300, Timeout: 4700}))
	host.HandleDatagram(304, fabricAddr, geneve.Append(nil, resend, nil))
	c.Check(host.Counters().Get(count.RequestsJoined), qt.Equals, uint64(1))
	c.Check(host.Counters().Get(count.Cancels), qt.Equals, uint64(1))
}
