package tune_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/conf/strict"
	"monsooncleat.example/monsooncleat/internal/conf/tune"
)

func load(c *qt.C, text string) (tune.Off, error) {
	path := filepath.Join(c.TempDir(), "policy.toml")
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return tune.Load(path)
}

func TestLoadsMechanismsThatAreOff(t *testing.T) {
	c := qt.New(t)
	off, err := load(c, "[policy]\noff = [\"admission\", \"sampling\"]\n")
	c.Assert(err, qt.IsNil)
	c.Check(off.Has(tune.Admission), qt.IsTrue)
	c.Check(off.Has(tune.Backoff), qt.IsFalse)
	c.Check(off.String(), qt.Equals, "sampling,admission")
	empty, err := load(c, "")
	c.Assert(err, qt.IsNil)
	c.Check(empty, qt.Equals, tune.Off(0))
}

func TestRejectsUnknownNames(t *testing.T) {
	c := qt.New(t)
	_, err := load(c, "[policy]\noff = [\"admision\"]\n")
	var errs strict.FieldErrors
	c.Assert(err, qt.ErrorAs, &errs)
	c.Check(errs[0].Line, qt.Equals, 2)
	c.Check(errs[0].Message, qt.Matches, `unknown mechanism "admision", want some of sampling, .*`)
	_, err = load(c, "[policy]\non = []\n")
	c.Check(err, qt.ErrorAs, &errs)
}

func TestEachMechanismHasAName(t *testing.T) {
	seen := map[string]bool{}
	for _, m := range tune.All() {
		qt.Check(t, m.String(), qt.Not(qt.Equals), "")
		qt.Check(t, seen[m.String()], qt.IsFalse)
		seen[m.String()] = true
	}
}
