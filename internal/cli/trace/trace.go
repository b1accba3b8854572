// Package trace reads the logs of several processes, selects the lines that
// concern one flow and derives the likely cause of its failure.
package trace

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"monsooncleat.example/monsooncleat/internal/base/logs"
)

const (
	// contextBefore and contextAfter extend the time range of a flow's own lines.
	// Lines of its hosts and servers are selected within the extended range.
	contextBefore = 5 * time.Second
	contextAfter  = 3 * time.Second
	// maxLineLen is the limit of a line's length, in bytes. Reading a longer line
	// fails.
	maxLineLen = 1 << 20
)

// Line is a parsed log line.
type Line struct {
	Time time.Time
	// Source names the process: the last word before the time or, without one, the name
	// of the log.
	Source string
	// Part is the component that wrote the line (key "prefix"), Message the value
	// of "msg".
	Part    string
	Message string
	// Text is Part, a colon and the line from the message on.
	Text   string
	fields map[string]string
}

// Field returns the value of a key, or "" if the line lacks it.
func (l *Line) Field(key string) string { return l.fields[key] }

var (
	timePattern  = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}`)
	fieldPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)
)

// Read parses the log r. Lines without a time or a message are skipped.
func Read(name string, r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineLen)
	for scanner.Scan() {
		if l, ok := parseLine(name, scanner.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, eris.Wrapf(scanner.Err(), "read %s", name)
}

func parseLine(name, text string) (Line, bool) {
	timeAt := timePattern.FindStringIndex(text)
	if timeAt == nil {
		return Line{}, false
	}
	when, err := time.Parse(logs.TimeFormat, text[timeAt[0]:timeAt[1]])
	if err != nil {
		return Line{}, false
	}
	l := Line{Time: when, Source: name, fields: map[string]string{}}
	if prefix := strings.Fields(strings.TrimSuffix(text[:timeAt[0]], "time=")); len(prefix) > 0 {
		l.Source = prefix[len(prefix)-1]
	}
	rest := text[timeAt[1]:]
	for _, m := range fieldPattern.FindAllStringSubmatch(rest, -1) {
		l.fields[m[1]] = strings.Trim(m[2], `"`)
	}
	l.Part, l.Message = l.fields["prefix"], l.fields["msg"]
	if msgAt := strings.Index(rest, "msg="); msgAt >= 0 {
		l.Text = l.Part + ": " + strings.TrimSpace(rest[msgAt+len("msg="):])
	}
	return l, l.Message != ""
}

// Explanation holds the lines that concern a flow, ordered by time, and the
// likely cause of its failure.
type Explanation struct {
	Lines []Line
	Cause string
}

// hostMessages are the prefixes of messages about the state of a host: its
// routing table, its peers, its disk, and its start and stop.
var hostMessages = []string{
	"Routing table in force.", "Control host", "Ready.", "Stopping.", "Entry host is", "News were lost.",
	"Contact with the quorum changed.", "No leader is known.", "Disk", "Settings reloaded.",
}

// Explain selects the lines about a flow, which is given as the client's address
// or as "client>route", and about the hosts and servers that handled it. It
// returns an error if no line mentions the flow.
func Explain(flow string, lines []Line) (*Explanation, error) {
	var flowLines []Line
	hosts, servers := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		f := l.Field("flow")
		if f == "" || f != flow && !strings.HasPrefix(f, flow+">") {
			continue
		}
		flowLines = append(flowLines, l)
		hosts[l.Source] = true
		if s := l.Field("server"); s != "" {
			servers[s] = true
		}
	}
	if len(flowLines) == 0 {
		return nil, fmt.Errorf("no log line mentions flow %q", flow)
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(flowLines, byTime)
	from, to := flowLines[0].Time.Add(-contextBefore), flowLines[len(flowLines)-1].Time.Add(contextAfter)
	selected := slices.Clone(flowLines)
	for _, l := range lines {
		if l.Field("flow") != "" || l.Time.Before(from) || l.Time.After(to) {
			continue
		}
		if servers[l.Field("id")] || hosts[l.Source] && isHostMessage(&l) {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, byTime)
	return &Explanation{selected, likelyCause(flowLines, selected)}, nil
}

func isHostMessage(l *Line) bool {
	return slices.ContainsFunc(hostMessages, func(prefix string) bool { return strings.HasPrefix(l.Message, prefix) })
}

// reasonTexts describes the values of "why" in decisions that end a flow.
var reasonTexts = map[string]string{
	"noRoute":      "the routing table in force had no route for the address",
	"routeRemoved": "a newer version of the routing table removed its route",
	// Entry hosts of earlier versions reset flows for this reason.
	"serverEnded":  "the server process it was bound to was said to have ended: it left, restarted, or another server took its address (see claim and unanswered)",
	"noServer":     "no server of the service accepted new flows",
	"noConfig":     "the entry host had no routing table yet",
	"overloaded":   "its servers could not have answered in time",
	"linkFull":     "the link of its entry host had no room for a large flow",
	"coldServers":  "all its servers were cold, and the host had no grant left to open a flow on one",
	"stalled":      "the entry host was stalled when the opening packet arrived",
	"closedFlow":   "it is a copy of an opening packet whose flow was already closed",
	"outdated":     "its client had sent a copy of the opening packet, or had given up, while it waited on the entry host",
	"unknownFlow":  "the entry host had no record of the flow and could not find its server",
	"noProgress":   "its client kept retransmitting a segment that its server did not acknowledge",
	"clientSilent": "its client answered no probe",
	"unknownToken": "the entry host did not know the server that the packet's token names",
}

// likelyCause describes the last drop, reset or unanswered packet of the flow, or
// says that there is none.
func likelyCause(flowLines, selected []Line) string {
	for i := len(flowLines) - 1; i >= 0; i-- {
		l := &flowLines[i]
		if l.Message == "No answer seen." {
			return unansweredCause(l, selected)
		}
		if text := reasonTexts[l.Field("why")]; text != "" && l.Field("outcome") != "forward" {
			return fmt.Sprintf("outcome %s: %s.", l.Field("outcome"), text)
		}
	}
	return "these logs contain no drop, reset or unanswered packet of the flow: its packets were forwarded."
}

// unansweredCause describes the server of a packet without an answer, with what
// the other hosts logged about that server.
func unansweredCause(l *Line, selected []Line) string {
	server := l.Field("server")
	text := fmt.Sprintf("server %s did not answer within %s ms", server, l.Field("waited"))
	for i := range selected {
		other := &selected[i]
		switch {
		case other.Field("id") != server:
		case other.Message == "Server is silent.":
			return text + ", and had ceased to announce itself."
		case other.Field("ended") == "true" || other.Field("state") == "left":
			return text + ", and its process was known to have ended."
		}
	}
	return text + ". It still sent announcements: it was overloaded, or the network path to it was broken."
}
