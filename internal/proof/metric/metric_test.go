package metric_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/admin"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/logs"
	"monsooncleat.example/monsooncleat/internal/conf/site"
	directory "monsooncleat.example/monsooncleat/internal/dir/daemon"
	relay "monsooncleat.example/monsooncleat/internal/token/daemon"
	"monsooncleat.example/monsooncleat/platform"
)

// tableRow matches a row of a metrics table: its metric names, then its role.
var tableRow = regexp.MustCompile(`(?m)^\| ([\w, ]+) \| (relay|directory|both) \|`)

// documentedMetrics returns the names of the metrics that docs/OPERATIONS.md lists
// for a role.
func documentedMetrics(c *qt.C, role string) map[string]bool {
	b, err := os.ReadFile("../../../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	names := map[string]bool{}
	for _, match := range tableRow.FindAllStringSubmatch(string(b), -1) {
		if match[2] == role || match[2] == "both" {
			for _, name := range strings.Split(match[1], ", ") {
				names[name] = true
			}
		}
	}
	return names
}

// publishedMetrics returns the names of the metrics in m.
func publishedMetrics(c *qt.C, m *admin.Metrics) map[string]bool {
	var values map[string]any
	c.Assert(json.Unmarshal(m.Values(), &values), qt.IsNil)
	names := map[string]bool{}
	for name := range values {
		names[name] = true
	}
	return names
}

func TestDocumentedMetricsMatchPublished(t *testing.T) {
	c := qt.New(t)
	address := netip.MustParseAddrPort("127.0.0.1:9")
	settings := &site.Settings{
		Name: "a", Packets: address, Ready: address, API: address, Peer: address, Bind: address, Admin: address,
		DataFolder: c.TempDir(), AnnounceInterval: 1000, GracePeriod: 5000, RecoveryTime: 4000,
	}
	factory, err := logs.New(io.Discard, logs.Options{Level: "error"})
	c.Assert(err, qt.IsNil)
	relayDaemon, err := relay.New(settings, clock.New(), factory, platform.Codec{})
	c.Assert(err, qt.IsNil)
	c.Check(publishedMetrics(c, relayDaemon.Metrics()), qt.DeepEquals, documentedMetrics(c, "relay"))
	directoryDaemon, err := directory.New(settings, clock.New(), factory, func(*directory.Daemon) http.Handler { return http.NotFoundHandler() })
	c.Assert(err, qt.IsNil)
	c.Check(publishedMetrics(c, directoryDaemon.Metrics()), qt.DeepEquals, documentedMetrics(c, "directory"))
}
