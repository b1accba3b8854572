// Package strict decodes TOML files, rejects unknown keys and reports each error
// with its file, line and field.
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

// FieldError is one error in a file.
type FieldError struct {
	File    string
	Line    int
	Field   string
	Message string
}

// Error returns the error as "file:line: field: message".
func (e FieldError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Message)
}

// FieldErrors is the error returned for an invalid file. It is never empty.
type FieldErrors []FieldError

// Error returns the errors, one per line.
func (es FieldErrors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Span is a duration in whole milliseconds. It is written with its unit in the
// file, such as "250ms" or "5s".
type Span clock.Millis

// UnmarshalText parses a duration. It must have a unit, must not be negative and
// must be a whole number of milliseconds.
func (s *Span) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil || d < 0 || d%time.Millisecond != 0 {
		return fmt.Errorf("want a time span with a unit, such as \"250ms\", not %q", b)
	}
	*s = Span(clock.FromDuration(d))
	return nil
}

// Millis returns the duration as clock.Millis.
func (s Span) Millis() clock.Millis { return clock.Millis(s) }

// Endpoint is an IP address with a port. It does not accept host names.
type Endpoint struct{ netip.AddrPort }

// UnmarshalText parses an endpoint. The port must not be 0.
func (e *Endpoint) UnmarshalText(b []byte) error {
	addr, err := netip.ParseAddrPort(string(b))
	if err != nil || addr.Port() == 0 {
		return fmt.Errorf("want an IP address with a port, such as \"127.0.0.1:6081\", not %q", b)
	}
	e.AddrPort = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
	return nil
}

// Checker collects the errors found while a decoded file is validated.
type Checker struct {
	file string
	// lines maps the path of a field to its line.
	lines map[string]int
	errs  FieldErrors
}

// Check records an error in field unless ok is true. The field is a path such as
// "service[1].kind", with the index into an array of tables in brackets.
func (c *Checker) Check(ok bool, field, format string, args ...any) {
	if ok {
		return
	}
	c.errs = append(c.errs, FieldError{File: c.file, Line: c.lineOf(field), Field: field, Message: fmt.Sprintf(format, args...)})
}

// lineOf returns the line of field. If the field is missing, it returns the line
// of the innermost enclosing table, or 1.
func (c *Checker) lineOf(field string) int {
	for field != "" {
		if line, ok := c.lines[field]; ok {
			return line
		}
		field = parent(field)
	}
	return 1
}

// parent returns the path of the table that holds field, or "".
func parent(field string) string {
	return field[:max(0, strings.LastIndexAny(field, ".["))]
}

// Validator is a file type that validates its own fields after decoding.
type Validator interface {
	Validate(c *Checker)
}

// Load reads and decodes the file at path into v and validates it. If the file
// can be read but is invalid, the error gives the line and field of each problem
// found.
func Load(path string, v Validator) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	return Decode(path, b, v)
}

// Decode decodes b into v and validates it. Errors contain name as the name of the
// file.
func Decode(name string, b []byte, v Validator) error {
	dec := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return convertDecodeError(name, err)
	}
	c := &Checker{file: name, lines: fieldLines(b)}
	v.Validate(c)
	if len(c.errs) == 0 {
		return nil
	}
	sort.SliceStable(c.errs, func(i, j int) bool { return c.errs[i].Line < c.errs[j].Line })
	return c.errs
}

// convertDecodeError converts an error of the TOML decoder to FieldErrors.
func convertDecodeError(name string, err error) error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		var errs FieldErrors
		for i := range unknownKeys.Errors {
			errs = append(errs, newFieldError(name, &unknownKeys.Errors[i], "unknown key"))
		}
		return errs
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		return FieldErrors{newFieldError(name, invalid, strings.TrimPrefix(invalid.Error(), "toml: "))}
	}
	return FieldErrors{{File: name, Line: 1, Message: err.Error()}}
}

func newFieldError(name string, e *toml.DecodeError, message string) FieldError {
	line, _ := e.Position()
	return FieldError{File: name, Line: line, Field: strings.Join(e.Key(), "."), Message: message}
}

// fieldLines maps the path of each table and key to its line. The file must be
// valid TOML.
func fieldLines(b []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	table := ""
	for i, raw := range strings.Split(string(b), "\n") {
		line := strings.TrimSpace(raw)
		switch {
		case strings.HasPrefix(line, "[["):
			name := indexFirst(strings.Trim(trimComment(line), "[] "), counts)
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			lines[table] = i + 1
		case strings.HasPrefix(line, "["):
			table = indexFirst(strings.Trim(trimComment(line), "[] "), counts)
			lines[table] = i + 1
		default:
			if key, _, ok := strings.Cut(line, "="); ok && !strings.HasPrefix(line, "#") {
				lines[joinPath(table, strings.TrimSpace(key))] = i + 1
			}
		}
	}
	return lines
}

func trimComment(line string) string {
	code, _, _ := strings.Cut(line, "#")
	return strings.TrimSpace(code)
}

// indexFirst adds the index of the latest element to the first part of a dotted
// table name, if that part is an array of tables: "service.limits" becomes
// "service[1].limits". Counts holds the number of elements of each array so far.
func indexFirst(name string, counts map[string]int) string {
	first, rest, ok := strings.Cut(name, ".")
	if !ok || counts[first] == 0 {
		return name
	}
	return fmt.Sprintf("%s[%d].%s", first, counts[first]-1, rest)
}

func joinPath(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}
