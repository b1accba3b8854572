package matrix_test

import (
	"flag"
	"os"
	"testing"

	"monsooncleat.example/monsooncleat/internal/proof/report"
)

var reportFile = flag.String("faults", "", "`FILE` for the table of pairs of faults")

var results = report.New(
	"Pairs of faults on entry hosts and servers",
	"go test ./internal/proof/matrix -run PairsOfFaults -faults FILE",
	caseNames(), caseNames())

func caseNames() []string {
	var names []string
	for _, fc := range faultCases {
		names = append(names, fc.name)
	}
	return names
}

func TestMain(m *testing.M) {
	// Runs use the same random sequences unless flags override these.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
	flag.Parse()
	os.Exit(results.Run(m, *reportFile))
}
