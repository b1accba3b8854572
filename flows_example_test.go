package monsooncleat_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"

	"monsooncleat.example/monsooncleat"
)

// A packet after the handshake is routed by a host that has not seen the flow.
func ExampleNewFlows() {
	route := netip.MustParseAddrPort("198.51.100.1:443")
	host := func(seed uint64) *monsooncleat.Flows {
		f := monsooncleat.NewFlows(monsooncleat.FlowsOptions{
			Choice: monsooncleat.DefaultFlowChoice, MaxFlows: 100, DefaultIdle: 15_000,
		}, rand.New(rand.NewPCG(seed, 1)))
		u := monsooncleat.FlowUpdate{}
		for n := byte(1); n <= 9; n++ {
			u.Servers = append(u.Servers, monsooncleat.FlowServer{Record: monsooncleat.Announcement{
				ID: fmt.Sprint("s", n), Service: "tickets", Slots: 2, State: monsooncleat.ServerReady,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80),
			}})
		}
		f.Learn(1, &u)
		f.Configure(1, &monsooncleat.RouteTable{Version: 1, Routes: []monsooncleat.Route{{
			Address: route, Timeout: 2000, Targets: []monsooncleat.RouteTarget{{Service: "tickets", Weight: 1}},
		}}})
		return f
	}
	caller := netip.MustParseAddrPort("192.0.2.7:4000")
	first := host(1).Packet(10, &monsooncleat.FlowPacket{From: caller, To: route, Open: true}, true)
	later := host(2).Packet(900, &monsooncleat.FlowPacket{From: caller, To: route, Token: first.Token, Ack: 7}, true)
	fmt.Println(later.Verdict, later.ServerID == first.ServerID)
	// Output: forward true
}
