package layout_test

import (
	"os/exec"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const module = "monsooncleat.example/monsooncleat"

// pure lists the packages that do no I/O: they import neither a network or file
// package, nor a daemon.
var pure = []string{
	"", "/internal/agree/raft", "/internal/ask/ledger", "/internal/bundle/chain", "/internal/bundle/patch",
	"/internal/bundle/state", "/internal/ctrl/core", "/internal/entry/core", "/internal/flow/table",
	"/internal/host/homes", "/internal/host/member", "/internal/host/rumor", "/internal/serve/lease",
	"/internal/serve/place", "/internal/serve/roster", "/internal/serve/fleet", "/internal/serve/choose",
	"/internal/bundle/routes", "/internal/dir/core", "/internal/dir/poll", "/internal/dir/seats", "/internal/dir/tables", "/internal/dir/tally",
	"/internal/token/mint", "/internal/token/core", "/internal/lab/yard",
}

var forbidden = []string{
	"net", "net/http", "os/exec", "github.com/panjf2000/gnet/v2",
	module + "/internal/dir/daemon", module + "/internal/token/daemon", module + "/platform",
	module + "/internal/entry/daemon", module + "/internal/ctrl/daemon", module + "/internal/wire/link", module + "/internal/agree/disk",
}

// levels orders the areas: a package imports none of a later area.
var levels = []string{"base", "wire", "conf", "host", "serve", "flow", "ask", "agree", "bundle", "ctrl", "entry", "dir", "token", "lab", "cli"}

func imports(c *qt.C, pkg string) []string {
	out, err := exec.Command("go", "list", "-f", `{{join .Imports "\n"}}`, pkg).CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return strings.Fields(string(out))
}

func TestPurePackages(t *testing.T) {
	c := qt.New(t)
	for _, p := range pure {
		for _, i := range imports(c, module+p) {
			for _, f := range forbidden {
				c.Check(i, qt.Not(qt.Equals), f, qt.Commentf("%s imports it", p))
			}
		}
	}
}

// exceptions are imports across the order that the rules allow.
var exceptions = map[string]string{
	"conf/node": "agree/raft bundle/sign",
}

func level(pkg string) (area string, n int) {
	path := strings.TrimPrefix(pkg, module+"/internal/")
	area, _, _ = strings.Cut(path, "/")
	for i, l := range levels {
		if l == area {
			return path, i
		}
	}
	return path, -1
}

func TestLayers(t *testing.T) {
	c := qt.New(t)
	out, err := exec.Command("go", "list", module+"/internal/...").Output()
	c.Assert(err, qt.IsNil)
	for _, pkg := range strings.Fields(string(out)) {
		path, n := level(pkg)
		if n < 0 {
			continue
		}
		for _, i := range imports(c, pkg) {
			to, m := level(i)
			if !strings.HasPrefix(i, module+"/internal/") || m < 0 || strings.Contains(exceptions[path], to) {
				continue
			}
			c.Check(m <= n, qt.IsTrue, qt.Commentf("%s imports %s", path, to))
		}
	}
}
