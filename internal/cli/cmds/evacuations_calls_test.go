package cmds_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/cli/cmds"
)

// TestEvacuationsCommandCalls guards against an operator who takes an order for acknowledged, or
// a list for an order, and against names that are sent as a part of the path.
func TestEvacuationsCommandCalls(t *testing.T) {
	for _, test := range []struct {
		args         string
		status, code int
		call, want   string
		body         string
	}{
		{"start %s hall/a", 200, 0, "POST /evacuations/hall%2Fa", "hall/a: evacuated\nwarning: service x has 7 requests in flight and 4 slots left\n", `{"centre":"hall/a","evacuated":true,"short":[{"service":"x","inFlight":7,"slots":4}]}`},
		{"end %s hall-a", 200, 0, "DELETE /evacuations/hall-a", "hall-a: in service\n", `{"centre":"hall-a"}`},
		{"end %s hall-a", 503, 1, "DELETE /evacuations/hall-a", "repeat it", ""},
		{"start %s hall-x", 404, 1, "POST /evacuations/hall-x", "unknown data centre", "unknown data centre"},
		{"list %s", 200, 0, "GET /evacuations", "hall-a       evacuated  1m0s   3        1.5", `[{"centre":"hall-a","evacuated":true,"sinceMillis":60000,"servers":3,"inFlight":1.5}]`},
		{"list %s", 503, 1, "GET /evacuations", "no list", ""},
		{"list %s hall-a", 200, 2, "", "", ""},
		{"stop %s hall-a", 200, 2, "", "unknown action", ""},
	} {
		call := ""
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			call = r.Method + " " + r.URL.EscapedPath()
			w.WriteHeader(test.status)
			_, _ = w.Write([]byte(test.body))
		}))
		var out, errOut bytes.Buffer
		address := "-control=" + strings.TrimPrefix(s.URL, "http://")
		args := strings.Fields("evacuations " + strings.Replace(test.args, "%s", address, 1))
		qt.Check(t, cmds.Run(args, &out, &errOut), qt.Equals, test.code, qt.Commentf("%s", args))
		qt.Check(t, call, qt.Equals, test.call)
		qt.Check(t, out.String()+errOut.String(), qt.Contains, test.want)
		s.Close()
	}
}
