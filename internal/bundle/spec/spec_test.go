package spec_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/bundle/spec"
)

const validBundle = `version = 3
[[dataCentre]]
name = "oulu1"
[[service]]
name = "punnitus"
kind = "stream"
protocol = "tcp"
addresses = ["198.51.100.20:7001"]
[[service]]
name = "tickets"
kind = "request"
protocol = "udp"
addresses = ["198.51.100.20:7001"]
`

func TestParseReportsInvalidFields(t *testing.T) {
	tests := []struct{ name, old, replacement, wantErr string }{
		{"valid bundle", "", "", ""},
		{"missing version", "version = 3\n", "", `version: is missing`},
		{"unknown service kind", `"stream"`, `"strem"`, `b.toml:6: service\[0\].kind: want "stream" or "request"`},
		{"two services with one address", `protocol = "udp"`, `protocol = "tcp"`, `belongs to service "punnitus"`},
		{"request service over tcp", `protocol = "udp"`, `protocol = "tcp"`, `a request service uses "udp"`},
		{"unknown data centre", `protocol = "tcp"`, "protocol = \"tcp\"\ndataCentres = [\"turku\"]", `unknown data centre "turku"`},
		{"table size is not prime", `protocol = "tcp"`, "protocol = \"tcp\"\nbuckets = 100", `want a prime number`},
		{"two services with one name", `"tickets"`, `"punnitus"`, `service\[1\].name: "punnitus" stands twice`},
		{"data centre in no stage", "version = 3\n", "version = 3\n[roll]\nstages = [[]]\n", `data centre "oulu1" is in no stage`},
		{"idle timeout without a unit", `protocol = "tcp"`, "protocol = \"tcp\"\nidle = \"5\"", `want a time span with a unit`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b, err := spec.Parse("b.toml", strings.Replace(validBundle, test.old, test.replacement, 1))
			if test.wantErr == "" {
				c.Assert(err, qt.IsNil)
				c.Check(b.Services(), qt.HasLen, 2)
				return
			}
			c.Assert(err, qt.ErrorMatches, "(?s).*"+test.wantErr+".*")
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validBundle)
	f.Fuzz(func(t *testing.T, text string) {
		b, err := spec.Parse("b.toml", text)
		if err == nil && (b.Version() == 0 || len(b.Services()) == 0) {
			t.Fatal("Parse accepted a bundle without a version or without services")
		}
	})
}
