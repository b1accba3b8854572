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

// change replaces one part of a good file and tells what error comes of it.
type change struct{ name, old, with, want string }

func write(c *qt.C, text string) string {
	folder := c.TempDir()
	c.Assert(os.WriteFile(filepath.Join(folder, "shared.key"), []byte(strings.Repeat("ab", 32)), 0o600), qt.IsNil)
	path := filepath.Join(folder, "s.toml")
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

func check(t *testing.T, good string, changes []change, load func(path string) error) {
	for _, ch := range changes {
		t.Run(ch.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(strings.Contains(good, ch.old), qt.IsTrue)
			err := load(write(c, strings.Replace(good, ch.old, ch.with, 1)))
			if ch.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, "(?s).*"+ch.want+".*")
		})
	}
}

func TestLoadEntry(t *testing.T) {
	check(t, entry, []change{
		{"good", "", "", ""},
		{"unknown key", "name = \"e1\"", "name = \"e1\"\nnickname = \"x\"", `s.toml:2: nickname: unknown key`},
		{"no name", "name = \"e1\"\n", "", `name: is missing`},
		{"no fabric", "fabric = \"127.0.0.1:6081\"\n", "", `fabric: is missing`},
		{"wrong address", "127.0.0.1:6081", "oulu:6081", `s.toml:3: .*want an IP address`},
		{"same address twice", "127.0.0.1:6082", "127.0.0.1:6081", `uses the same address`},
		{"no operator key", "key = \"0011", "key = \"zz11", `operator\[0\].key: want 64 hexadecimal digits`},
		{"unit missing", "controls", "drain = \"9\"\ncontrols", `want a time span with a unit`},
		{"no controls", "controls = [\"127.0.0.1:7000\"]\n", "", `controls: is missing`},
		{"no key file", "shared.key", "other.key", `read shared key`},
	}, func(path string) error {
		_, err := node.LoadEntry(path)
		return err
	})
}

func TestLoadControl(t *testing.T) {
	check(t, control, []change{
		{"good", "", "", ""},
		{"no data folder", "dataFolder = \"data\"\n", "", `dataFolder: is missing`},
		{"not among the hosts", "name = \"c1\"\naddress", "name = \"c9\"\naddress", `must name this host`},
		{"election too short", "admin", "election = \"100ms\"\nadmin", `election: must be at least three heartbeats`},
		{"unknown key", "initial", "inital", `unknown key`},
	}, func(path string) error {
		_, err := node.LoadControl(path)
		return err
	})
}
