package node_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/conf/node"
)

const operator = "\n[[operator]]\nname = \"matti\"\nkey = \"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\"\n"

const entry = `name = "e1"
dataCentre = "oulu1"
fabric = "127.0.0.1:6081"
answers = "127.0.0.1:6082"
peer = "127.0.0.1:6083"
announce = "127.0.0.1:6084"
admin = "127.0.0.1:6085"
keyFile = "shared.key"
controls = ["127.0.0.1:7000"]
` + operator

const control = `name = "c1"
dataCentre = "oulu1"
admin = "127.0.0.1:7001"
dataFolder = "data"
keyFile = "shared.key"
[[control]]
name = "c1"
address = "127.0.0.1:7000"
initial = true
` + operator

// testCase replaces old by replacement in a valid file. want is the expected error
// as a regular expression, or "" if the file stays valid.
type testCase struct{ name, old, replacement, want string }

// writeSettings writes a settings file beside a shared key and returns its path.
func writeSettings(c *qt.C, text string) string {
	folder := c.TempDir()
	c.Assert(os.WriteFile(filepath.Join(folder, "shared.key"), []byte(strings.Repeat("ab", 32)), 0o600), qt.IsNil)
	path := filepath.Join(folder, "settings.toml")
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

func testLoad(t *testing.T, valid string, tests []testCase, load func(path string) error) {
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(strings.Contains(valid, test.old), qt.IsTrue)
			err := load(writeSettings(c, strings.Replace(valid, test.old, test.replacement, 1)))
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, "(?s).*"+test.want+".*")
		})
	}
}

func TestLoadEntryReportsInvalidSettings(t *testing.T) {
	testLoad(t, entry, []testCase{
		{"valid file", "", "", ""},
		{"unknown key", "name = \"e1\"", "name = \"e1\"\nextra = \"x\"", `settings.toml:2: extra: unknown key`},
		{"name missing", "name = \"e1\"\n", "", `name: is missing`},
		{"fabric address missing", "fabric = \"127.0.0.1:6081\"\n", "", `fabric: is missing`},
		{"address with a host name", "127.0.0.1:6081", "oulu:6081", `settings.toml:3: .*want an IP address`},
		{"two listeners at one address", "127.0.0.1:6082", "127.0.0.1:6081", `uses the same address`},
		{"invalid operator key", "key = \"0011", "key = \"zz11", `operator\[0\].key: want 64 hexadecimal digits`},
		{"duration without a unit", "controls", "drain = \"9\"\ncontrols", `want a time span with a unit`},
		{"control hosts missing", "controls = [\"127.0.0.1:7000\"]\n", "", `controls: is missing`},
		{"key file does not exist", "shared.key", "other.key", `read shared key`},
	}, func(path string) error {
		_, err := node.LoadEntry(path)
		return err
	})
}

func TestLoadControlReportsInvalidSettings(t *testing.T) {
	testLoad(t, control, []testCase{
		{"valid file", "", "", ""},
		{"data folder missing", "dataFolder = \"data\"\n", "", `dataFolder: is missing`},
		{"host not among the control hosts", "name = \"c1\"\naddress", "name = \"c9\"\naddress", `must include this host`},
		{"election timeout too short", "admin", "election = \"100ms\"\nadmin", `election: must be at least three heartbeat intervals`},
		{"unknown key", "initial", "inital", `unknown key`},
	}, func(path string) error {
		_, err := node.LoadControl(path)
		return err
	})
}
