package strict_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/conf/strict"
)

type file struct {
	Name string          `toml:"name"`
	Wait strict.Span     `toml:"wait"`
	At   strict.Endpoint `toml:"at"`
	Rows []row           `toml:"row"`
}

type row struct {
	Size int `toml:"size"`
}

func (f *file) Validate(c *strict.Checker) {
	c.Check(f.Name != "", "name", "is missing")
	for i, r := range f.Rows {
		field := "row[" + string(rune('0'+i)) + "].size"
		c.Check(r.Size > 0, field, "must be above 0")
	}
}

func TestDecodeReportsFileLineAndField(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"valid", "name = \"a\"\nwait = \"5s\"\nat = \"127.0.0.1:1\"\n", ""},
		{"unknown key", "name = \"a\"\n\ncolour = 3\n", "f.toml:3: colour: unknown key"},
		{"duration without a unit", "name = \"a\"\nwait = \"5\"\n", "f.toml:2: .*want a time span with a unit.*"},
		{"endpoint with a host name", "name = \"a\"\nat = \"localhost:1\"\n", "f.toml:2: .*want an IP address with a port.*"},
		{"endpoint without a port", "name = \"a\"\nat = \"127.0.0.1\"\n", "f.toml:2: .*want an IP address with a port.*"},
		{"wrong type", "name = 5\n", "f.toml:1: .*"},
		{"required field missing", "wait = \"5s\"\n", "f.toml:1: name: is missing"},
		{"invalid field in the second row", "name = \"a\"\n[[row]]\nsize = 1\n[[row]]\nsize = 0\n", "f.toml:5: row\\[1\\].size: must be above 0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			err := strict.Decode("f.toml", []byte(test.text), &file{})
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, "(?s)"+test.want)
		})
	}
}

// FuzzDecode checks that Decode and the formatting of its errors do not panic.
func FuzzDecode(f *testing.F) {
	f.Add("name = \"a\"\n[[row]]\nsize = 1\n")
	f.Add("[a.b]\n[[a.c]]\nd = [1, 2]\n")
	f.Fuzz(func(_ *testing.T, text string) {
		err := strict.Decode("f.toml", []byte(text), &file{})
		if err != nil {
			_ = strings.ToUpper(err.Error())
		}
	})
}
