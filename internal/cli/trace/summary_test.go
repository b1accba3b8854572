package trace_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/cli/trace"
)

const relayLog = `time=2026-12-04T10:00:00.000 level=info prefix=entry msg="Entry host is up." name=e1 centre=a
time=2026-12-04T10:00:00.100 level=info prefix=entry msg="Server known." id=s1 service=feed
time=2026-12-04T10:00:01.100 level=info prefix=entry msg="Flow decided." flow=100.64.0.1:1>198.18.0.1:443 outcome=forward why=newFlow server=s1 omitted=40
time=2026-12-04T10:00:01.200 level=info prefix=entry msg="Flow decided." flow=100.64.0.1:2>198.18.0.1:443 outcome=reset why=overloaded server=s1 omitted=0
time=2026-12-04T10:00:02.200 level=info prefix=entry msg="Flow decided." flow=100.64.0.1:3>198.18.0.1:443 outcome=reset why=overloaded server=s1 omitted=9
time=2026-12-04T10:00:02.300 level=info prefix=entry msg="Flow decided." flow=100.64.0.1:4>198.18.0.2:443 outcome=reset why=noRoute omitted=0
time=2026-12-04T10:00:05.300 level=info prefix=entry msg="No answer seen." flow=100.64.0.1:5>198.18.0.1:443 server=s1 opened=false waited=1400 omitted=0
`

func summarize(c *qt.C) *trace.Summary {
	lines, err := trace.Read("e1", strings.NewReader(relayLog))
	c.Assert(err, qt.IsNil)
	return trace.Summarize(lines)
}

func TestSummaryGroupsLosses(t *testing.T) {
	c := qt.New(t)
	s := summarize(c)
	var got []string
	for _, l := range s.Losses {
		got = append(got, strings.Join([]string{l.Cause, l.Service, l.Centre}, " "))
	}
	c.Check(got, qt.DeepEquals, []string{"overloaded feed a", "noAnswer feed a", "noRoute 198.18.0.2:443 a"})
	c.Check(s.Losses[0].Count, qt.Equals, 11, qt.Commentf("omitted lines count"))
	c.Check(s.Losses[0].Peak.Format("15:04:05"), qt.Equals, "10:00:02")
	c.Check(s.From.Format("15:04:05"), qt.Equals, "10:00:01")
	c.Check(s.To.Format("15:04:05"), qt.Equals, "10:00:05")
	c.Check(s.Causes()[0].Count, qt.Equals, 11)
}

func TestPlotIsSVG(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	c.Assert(summarize(c).Plot(&b), qt.IsNil)
	c.Check(b.String(), qt.Contains, "</svg>")
	c.Check(b.String(), qt.Contains, "overloaded (11)")
	b.Reset()
	c.Assert(trace.Summarize(nil).Plot(&b), qt.IsNil)
	c.Check(b.String(), qt.Contains, "</svg>")
}
