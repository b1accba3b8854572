package stage

import (
	"fmt"
	"net/netip"
)

// Addresses of the routes of Config. No process has them: they only stand in packets.
var (
	AlphaRoute = netip.MustParseAddrPort("127.198.0.1:443")
	BetaRoute  = netip.MustParseAddrPort("127.198.0.2:443")
)

// Config returns version n of a configuration with the service alpha at AlphaRoute and the
// service beta at BetaRoute.
func Config(n int) []byte {
	route := func(name string, address netip.AddrPort, service string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":"/%d/","route_kind":"idempotent","timeout_ms":3000,"latency_goal_ms":200,"priority":1,"service":%q,"attempts":2}`,
			name, address.Addr().String(), address.Port(), service)
	}
	service := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"health_path":"/health","max_conns":2000,"proto":"h1","tls":false}`, name)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s],"services":[%s,%s],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		n, route("r1", AlphaRoute, "alpha"), route("r2", BetaRoute, "beta"), service("alpha"), service("beta"))
}
