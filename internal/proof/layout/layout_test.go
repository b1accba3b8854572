package layout_test

import (
	"os/exec"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const module = "monsooncleat.example/monsooncleat"

// pure lists the packages that do no I/O. They must not import any of
// ioPackages.
var pure = []string{
	"", "/internal/agree/attest", "/internal/agree/quorum", "/internal/agree/raft", "/internal/agree/write", "/internal/ask/ledger", "/internal/bundle/chain", "/internal/bundle/patch",
	"/internal/bundle/state", "/internal/ctrl/core", "/internal/entry/core", "/internal/flow/table",
	"/internal/host/homes", "/internal/host/member", "/internal/host/rumor", "/internal/serve/lease",
	"/internal/serve/maglev", "/internal/serve/roster", "/internal/serve/fleet", "/internal/serve/choose",
	"/internal/bundle/routes", "/internal/dir/core", "/internal/dir/poll", "/internal/dir/evict", "/internal/dir/evac", "/internal/dir/tables", "/internal/dir/loads", "/internal/dir/peers",
	"/internal/entry/batch", "/internal/entry/loss", "/internal/entry/meter", "/internal/entry/place", "/internal/entry/poll", "/internal/dir/share", "/internal/dir/watch", "/internal/dir/record", "/internal/dir/advert", "/internal/dir/order", "/internal/serve/admit", "/internal/serve/subset",
	"/internal/serve/tokens", "/internal/token/core", "/internal/token/intake", "/internal/token/shape", "/internal/lab/simnet",
	"/internal/dir/grant", "/internal/dir/panel", "/internal/serve/warm",
}

// ioPackages lists the packages of the standard library, of dependencies and of
// this module that open sockets or files or start processes.
var ioPackages = []string{
	"net", "net/http", "os/exec", "github.com/panjf2000/gnet/v2",
	module + "/internal/dir/daemon", module + "/internal/token/daemon", module + "/platform",
	module + "/internal/entry/daemon", module + "/internal/ctrl/daemon", module + "/internal/wire/link", module + "/internal/agree/disk",
}

// layers lists the directories below internal/ from the lowest layer to the highest.
// A package must not import a package of a higher layer. Directories that are not
// listed are not checked.
var layers = []string{"base", "wire", "conf", "host", "serve", "flow", "ask", "agree", "bundle", "ctrl", "entry", "dir", "token", "lab", "cli"}

// directImports returns the import paths of the direct imports of a package.
func directImports(c *qt.C, pkg string) []string {
	out, err := exec.Command("go", "list", "-f", `{{join .Imports "\n"}}`, pkg).CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return strings.Fields(string(out))
}

func TestPurePackagesImportNoIO(t *testing.T) {
	c := qt.New(t)
	for _, p := range pure {
		for _, imported := range directImports(c, module+p) {
			for _, forbidden := range ioPackages {
				c.Check(imported, qt.Not(qt.Equals), forbidden, qt.Commentf("pure package %q imports an I/O package", p))
			}
		}
	}
}

// allowedUpward maps a package to a space-separated list of the packages of higher
// layers that it may import.
var allowedUpward = map[string]string{
	"conf/node": "agree/raft bundle/sign",
}

// layerOf returns the path of a package below internal/ and the index of its
// layer, or -1 if layers does not list its directory.
func layerOf(pkg string) (path string, index int) {
	path = strings.TrimPrefix(pkg, module+"/internal/")
	dir, _, _ := strings.Cut(path, "/")
	for i, l := range layers {
		if l == dir {
			return path, i
		}
	}
	return path, -1
}

func TestNoImportOfHigherLayer(t *testing.T) {
	c := qt.New(t)
	out, err := exec.Command("go", "list", module+"/internal/...").Output()
	c.Assert(err, qt.IsNil)
	for _, pkg := range strings.Fields(string(out)) {
		path, layer := layerOf(pkg)
		if layer < 0 {
			continue
		}
		for _, imported := range directImports(c, pkg) {
			importedPath, importedLayer := layerOf(imported)
			if !strings.HasPrefix(imported, module+"/internal/") || importedLayer < 0 || strings.Contains(allowedUpward[path], importedPath) {
				continue
			}
			c.Check(importedLayer <= layer, qt.IsTrue, qt.Commentf("%s imports %s of a higher layer", path, importedPath))
		}
	}
}
