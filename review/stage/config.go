package stage

import "fmt"

// Config returns version n of a configuration with the service alpha at 198.18.0.1:443 and
// the service beta at 198.18.0.2:443.
func Config(n int) []byte {
	route := func(name, host, service string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"path_prefix":"/443/","route_kind":"idempotent","timeout_ms":3000,"latency_goal_ms":200,"priority":1,"service":%q,"attempts":2}`,
			name, host, service)
	}
	service := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"health_path":"/health","max_conns":2000,"proto":"h1","tls":false}`, name)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s],"services":[%s,%s],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		n, route("r1", "198.18.0.1", "alpha"), route("r2", "198.18.0.2", "beta"), service("alpha"), service("beta"))
}
