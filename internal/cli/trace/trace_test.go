package trace_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/cli/trace"
)

const entryLog = `
time=2026-05-24T20:31:10.000 level=info prefix=entry msg="Ready." version=3 servers=18
time=2026-05-24T20:31:16.100 level=info prefix=entry msg="Flow decided." flow=100.64.0.7:4000>198.18.0.1:443 outcome=forward why=newFlow server=i-1 load=0.5 version=3
time=2026-05-24T20:31:16.200 level=info prefix=entry msg="Flow decided." flow=100.64.0.8:4000>198.18.0.1:443 outcome=reset why=noRoute server="" version=3
time=2026-05-24T20:31:19.000 level=info prefix=entry msg="Server known." id=i-1 state=ready ended=true
time=2026-05-24T20:31:19.500 level=info prefix=entry msg="No answer seen." flow=100.64.0.7:4000>198.18.0.1:443 server=i-1 opened=true waited=1500
line of another program, without a time
`

const controlLog = `
   3.5 core-a-1 time=2026-05-24T20:31:18.000 level=info prefix=directory msg="Server is silent." id=i-1 service=x silentFor=3600
   3.6 core-a-1 time=2026-05-24T20:31:18.100 level=info prefix=directory msg="Server is silent." id=i-2 service=x silentFor=3600
`

func readLogs(c *qt.C) []trace.Line {
	var all []trace.Line
	for name, text := range map[string]string{"entry-1": entryLog, "control.log": controlLog} {
		lines, err := trace.Read(name, strings.NewReader(text))
		c.Assert(err, qt.IsNil)
		all = append(all, lines...)
	}
	return all
}

func TestExplainNamesLikelyCause(t *testing.T) {
	tests := []struct {
		flow  string
		lines int
		cause string
	}{
		{"100.64.0.7:4000", 4, "server i-1 did not answer within 1500 ms, and had ceased to announce itself."},
		{"100.64.0.8:4000>198.18.0.1:443", 1, "outcome reset: the routing table in force had no route for the address."},
	}
	for _, test := range tests {
		c := qt.New(t)
		explanation, err := trace.Explain(test.flow, readLogs(c))
		c.Assert(err, qt.IsNil)
		c.Check(explanation.Cause, qt.Equals, test.cause)
		c.Check(explanation.Lines, qt.HasLen, test.lines)
		for i := 1; i < len(explanation.Lines); i++ {
			c.Check(explanation.Lines[i].Time.Before(explanation.Lines[i-1].Time), qt.IsFalse)
		}
	}
}

func TestExplainOfUnknownFlowFails(t *testing.T) {
	c := qt.New(t)
	_, err := trace.Explain("1.2.3.4:5", readLogs(c))
	c.Check(err, qt.ErrorMatches, "no log line mentions flow .*")
}

func TestReadTakesSourceFromWordBeforeTime(t *testing.T) {
	c := qt.New(t)
	lines, err := trace.Read("control.log", strings.NewReader(controlLog))
	c.Assert(err, qt.IsNil)
	c.Check(lines[0].Source, qt.Equals, "core-a-1")
	c.Check(lines[0].Field("silentFor"), qt.Equals, "3600")
}
