// Package strict decodes TOML files and reports each fault with its file, line
// and field.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// Fault is one thing wrong in a file.
type Fault struct {
	File  string
	Line  int
	Field string
	Text  string
}

// Error returns the fault as "file:line: field: text".
func (f Fault) Error() string {
	if f.Field == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Text)
}

// Faults is the error returned for a file with at least one fault.
type Faults []Fault

// Error returns one fault a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Span is a time span that is written with its unit, such as "250ms" or "5s".
type Span clock.Millis

// UnmarshalText parses a span. It refuses one without a unit, a negative one,
// and one that is not a whole number of milliseconds.
func (s *Span) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil || d < 0 || d%time.Millisecond != 0 {
		return fmt.Errorf("want a time span with a unit, such as \"250ms\", not %q", b)
	}
	*s = Span(clock.Of(d))
	return nil
}

// Millis returns the span.
func (s Span) Millis() clock.Millis { return clock.Millis(s) }

// Endpoint is an IP address with a port. Host names are not accepted.
type Endpoint struct{ netip.AddrPort }

// UnmarshalText parses an endpoint.
func (e *Endpoint) UnmarshalText(b []byte) error {
	addr, err := netip.ParseAddrPort(string(b))
	if err != nil || addr.Port() == 0 {
		return fmt.Errorf("want an IP address with a port, such as \"127.0.0.1:6081\", not %q", b)
	}
	e.AddrPort = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
	return nil
}

// Checker collects the faults that the fields of a decoded file have.
type Checker struct {
	file   string
	lines  map[string]int
	faults Faults
}

// Check records a fault of field unless ok. Field is a path such as
// "service[1].kind", with the index of an array of tables in brackets.
func (c *Checker) Check(ok bool, field, format string, args ...any) {
	if ok {
		return
	}
	c.faults = append(c.faults, Fault{File: c.file, Line: c.lineOf(field), Field: field, Text: fmt.Sprintf(format, args...)})
}

// lineOf returns the line of field, or of the nearest table that holds it.
func (c *Checker) lineOf(field string) int {
	for field != "" {
		if line, ok := c.lines[field]; ok {
			return line
		}
		field = parent(field)
	}
	return 1
}

func parent(field string) string {
	return field[:max(0, strings.LastIndexAny(field, ".["))]
}

// Checked is a file type that can check its own fields after decoding.
type Checked interface {
	Check(c *Checker)
}

// Load reads the file at path into v. The error is a Faults when the file can
// be read but is wrong.
func Load(path string, v Checked) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	return Decode(path, b, v)
}

// Decode parses b into v. Name stands for the file in faults.
func Decode(name string, b []byte, v Checked) error {
	dec := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeFaults(name, err)
	}
	c := &Checker{file: name, lines: fieldLines(b)}
	v.Check(c)
	if len(c.faults) == 0 {
		return nil
	}
	sort.SliceStable(c.faults, func(i, j int) bool { return c.faults[i].Line < c.faults[j].Line })
	return c.faults
}

func decodeFaults(name string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var faults Faults
		for i := range unknown.Errors {
			faults = append(faults, decodeFault(name, &unknown.Errors[i], "unknown key"))
		}
		return faults
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		return Faults{decodeFault(name, wrong, strings.TrimPrefix(wrong.Error(), "toml: "))}
	}
	return Faults{{File: name, Line: 1, Text: err.Error()}}
}

func decodeFault(name string, e *toml.DecodeError, text string) Fault {
	line, _ := e.Position()
	return Fault{File: name, Line: line, Field: strings.Join(e.Key(), "."), Text: text}
}

// fieldLines maps the path of each table and key of a valid file to its line.
func fieldLines(b []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	table := ""
	for i, raw := range strings.Split(string(b), "\n") {
		line := strings.TrimSpace(raw)
		switch {
		case strings.HasPrefix(line, "[["):
			name := qualify(strings.Trim(cutComment(line), "[] "), counts)
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			lines[table] = i + 1
		case strings.HasPrefix(line, "["):
			table = qualify(strings.Trim(cutComment(line), "[] "), counts)
			lines[table] = i + 1
		default:
			if key, _, ok := strings.Cut(line, "="); ok && !strings.HasPrefix(line, "#") {
				lines[join(table, strings.TrimSpace(key))] = i + 1
			}
		}
	}
	return lines
}

func cutComment(line string) string {
	head, _, _ := strings.Cut(line, "#")
	return strings.TrimSpace(head)
}

// qualify puts the index of the latest array element behind the first part of
// a dotted table name.
func qualify(name string, counts map[string]int) string {
	head, rest, ok := strings.Cut(name, ".")
	if !ok || counts[head] == 0 {
		return name
	}
	return fmt.Sprintf("%s[%d].%s", head, counts[head]-1, rest)
}

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}
