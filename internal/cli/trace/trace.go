// Package trace reads the logs of many processes and picks the lines that tell
// what became of one flow.
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
	// before and after are how long around a flow the beliefs of its hosts and
	// the news of its servers are shown.
	before = 5 * time.Second
	after  = 3 * time.Second
	// maxLine is the length of the longest line read, in bytes.
	maxLine = 1 << 20
)

// Line is one line of a log.
type Line struct {
	Time time.Time
	// Source is the process: what stands before the time, or the log's name.
	Source string
	// Part is the part of the process that wrote the line, Message its sentence.
	Part    string
	Message string
	// Text is the line without its time and level.
	Text   string
	fields map[string]string
}

// Field returns the value of a key, or "".
func (l *Line) Field(key string) string { return l.fields[key] }

var (
	timePattern  = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}`)
	fieldPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)
)

// Read returns the lines of a log. Lines without a time are passed over.
func Read(name string, r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if l, ok := parse(name, scanner.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, eris.Wrapf(scanner.Err(), "read %s", name)
}

func parse(name, text string) (Line, bool) {
	at := timePattern.FindStringIndex(text)
	if at == nil {
		return Line{}, false
	}
	when, err := time.Parse(logs.TimeFormat, text[at[0]:at[1]])
	if err != nil {
		return Line{}, false
	}
	l := Line{Time: when, Source: name, fields: map[string]string{}}
	if prefix := strings.Fields(strings.TrimSuffix(text[:at[0]], "time=")); len(prefix) > 0 {
		l.Source = prefix[len(prefix)-1]
	}
	rest := text[at[1]:]
	for _, m := range fieldPattern.FindAllStringSubmatch(rest, -1) {
		l.fields[m[1]] = strings.Trim(m[2], `"`)
	}
	l.Part, l.Message = l.fields["prefix"], l.fields["msg"]
	if at := strings.Index(rest, "msg="); at >= 0 {
		l.Text = l.Part + ": " + strings.TrimSpace(rest[at+len("msg="):])
	}
	return l, l.Message != ""
}

// Story is what the logs tell of a flow.
type Story struct {
	Lines []Line
	Cause string
}

// beliefs are the beginnings of the messages that tell what a host believes, does
// or depends on.
var beliefs = []string{
	"Routing table in force.", "Control host", "Ready.", "Stopping.", "Entry host is", "News were lost.",
	"Contact with the quorum changed.", "Disk", "Settings reloaded.",
}

// Explain picks the lines about a flow, which is given as a caller's address or
// as "caller>route", and about the hosts and servers that it met.
func Explain(flow string, lines []Line) (*Story, error) {
	var own []Line
	hosts, servers := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		f := l.Field("flow")
		if f == "" || f != flow && !strings.HasPrefix(f, flow+">") {
			continue
		}
		own = append(own, l)
		hosts[l.Source] = true
		if s := l.Field("server"); s != "" {
			servers[s] = true
		}
	}
	if len(own) == 0 {
		return nil, fmt.Errorf("no line tells of the flow %q", flow)
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(own, byTime)
	from, to := own[0].Time.Add(-before), own[len(own)-1].Time.Add(after)
	around := slices.Clone(own)
	for _, l := range lines {
		if l.Field("flow") != "" || l.Time.Before(from) || l.Time.After(to) {
			continue
		}
		if servers[l.Field("id")] || hosts[l.Source] && believes(&l) {
			around = append(around, l)
		}
	}
	slices.SortStableFunc(around, byTime)
	return &Story{around, cause(own, around)}, nil
}

func believes(l *Line) bool {
	return slices.ContainsFunc(beliefs, func(b string) bool { return strings.HasPrefix(l.Message, b) })
}

// causes explain the reasons of decisions that end a flow.
var causes = map[string]string{
	"noRoute":      "the address had no route in the version in force",
	"routeRemoved": "its route was removed by a newer version",
	"serverEnded":  "its server had ended: it left, started again, or another one took its address",
	"noServer":     "no server of the service took new flows",
	"noConfig":     "the entry host had no routing table yet",
	"unknownToken": "the entry host did not know the server that the packet named",
}

// cause names the likeliest cause: the last decision against the flow, or what
// is known of a server that did not answer.
func cause(own, around []Line) string {
	for i := len(own) - 1; i >= 0; i-- {
		l := &own[i]
		if l.Message == "No answer seen." {
			return unanswered(l, around)
		}
		if text := causes[l.Field("why")]; text != "" && l.Field("outcome") != "forward" {
			return fmt.Sprintf("%s the flow: %s.", l.Field("outcome"), text)
		}
	}
	return "no decision against the flow is in these logs: its packets were forwarded."
}

func unanswered(l *Line, around []Line) string {
	server := l.Field("server")
	text := fmt.Sprintf("server %s did not answer within %s ms", server, l.Field("waited"))
	for i := range around {
		a := &around[i]
		switch {
		case a.Field("id") != server:
		case a.Message == "Server is silent.":
			return text + ", and had ceased to announce itself."
		case a.Field("ended") == "true" || a.Field("state") == "left":
			return text + ", and was found to have ended."
		}
	}
	return text + ". It still announced itself: it was overloaded, or the way to it was cut."
}
