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

var row = regexp.MustCompile(`(?m)^\| ([\w, ]+) \| (relay|directory|both) \|`)

// documented returns the metrics of a role that docs/OPERATIONS.md names.
func documented(c *qt.C, role string) map[string]bool {
	b, err := os.ReadFile("../../../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	names := map[string]bool{}
	for _, m := range row.FindAllStringSubmatch(string(b), -1) {
		if m[2] == role || m[2] == "both" {
			for _, name := range strings.Split(m[1], ", ") {
				names[name] = true
			}
		}
	}
	return names
}

func published(c *qt.C, m *admin.Metrics) map[string]bool {
	var values map[string]any
	c.Assert(json.Unmarshal(m.Values(), &values), qt.IsNil)
	names := map[string]bool{}
	for name := range values {
		names[name] = true
	}
	return names
}

func TestTableOfMetrics(t *testing.T) {
	c := qt.New(t)
	address := netip.MustParseAddrPort("127.0.0.1:9")
	settings := &site.Host{
		Name: "a", Packets: address, Ready: address, API: address, Peer: address, Bind: address, Admin: address,
		DataFolder: c.TempDir(), Announcements: 1000, Grace: 5000,
	}
	factory, err := logs.New(io.Discard, logs.Options{Level: "error"})
	c.Assert(err, qt.IsNil)
	r, err := relay.New(settings, clock.New(), factory, platform.Codec{})
	c.Assert(err, qt.IsNil)
	c.Check(published(c, r.Metrics()), qt.DeepEquals, documented(c, "relay"))
	d, err := directory.New(settings, clock.New(), factory, func(*directory.Daemon) http.Handler { return http.NotFoundHandler() })
	c.Assert(err, qt.IsNil)
	c.Check(published(c, d.Metrics()), qt.DeepEquals, documented(c, "directory"))
}
