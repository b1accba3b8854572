package monsooncleat_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"

	"monsooncleat.example/monsooncleat"
)

// A host that has not seen a flow routes a packet after the handshake by its token.
func ExampleNewFlows() {
	route := netip.MustParseAddrPort("198.51.100.1:443")
	newHost := func(seed uint64) *monsooncleat.Flows {
		f := monsooncleat.NewFlows(monsooncleat.FlowsOptions{
			Choice: monsooncleat.DefaultFlowChoice, MaxFlows: 100, DefaultIdleTimeout: 15_000,
		}, rand.New(rand.NewPCG(seed, 1)))
		update := monsooncleat.FlowUpdate{}
		for n := byte(1); n <= 9; n++ {
			update.Servers = append(update.Servers, monsooncleat.FlowServer{Record: monsooncleat.Announcement{
				ID: fmt.Sprint("s", n), Service: "tickets", Slots: 2, State: monsooncleat.ServerReady,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80),
			}})
		}
		f.Learn(1, &update)
		f.Configure(1, &monsooncleat.RouteTable{Version: 1, Routes: []monsooncleat.Route{{
			Address: route, Timeout: 2000, Targets: []monsooncleat.RouteTarget{{Service: "tickets", Weight: 1}},
		}}})
		return f
	}
	client := netip.MustParseAddrPort("192.0.2.7:4000")
	const upToDate = true // The host had contact with a quorum lately.
	first := newHost(1).HandlePacket(10, &monsooncleat.FlowPacket{From: client, To: route, Open: true}, upToDate)
	later := newHost(2).HandlePacket(900, &monsooncleat.FlowPacket{From: client, To: route, Token: first.Token, Ack: 7}, upToDate)
	fmt.Println(later.Verdict, later.ServerID == first.ServerID)
	// Output: forward true
}
