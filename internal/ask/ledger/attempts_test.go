package ledger_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/ask/ledger"
)

// TestUnansweredNamesTheServerThatMayHaveRunTheRequest guards against a log line that
// blames a server that has refused the request.
func TestUnansweredNamesTheServerThatMayHaveRunTheRequest(t *testing.T) {
	c := qt.New(t)
	e := &ledger.Entry{Attempts: []ledger.Attempt{{Server: "s1", NotRun: true}}}
	c.Check(e.Unanswered(), qt.Equals, "")
	e.Attempts = append(e.Attempts, ledger.Attempt{Server: "s2"}, ledger.Attempt{Server: "s3"})
	c.Check(e.Unanswered(), qt.Equals, "s2")
}
