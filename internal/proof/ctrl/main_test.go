package ctrl_test

import (
	"flag"
	"os"
	"testing"

	"monsooncleat.example/monsooncleat/internal/proof/report"
)

var reportFile = flag.String("faults", "", "`FILE` for the table of faults and steps")

var results = report.New(
	"Faults of control hosts at the steps of a roll-out",
	"go test ./internal/proof/ctrl -run EachFaultAtEachStep -faults FILE",
	faultNames(), stepNames())

func faultNames() []string {
	var names []string
	for _, f := range faults {
		names = append(names, f.name)
	}
	return names
}

func stepNames() []string {
	var names []string
	for _, s := range steps {
		for _, role := range []string{"leader", "follower"} {
			names = append(names, s.name+", "+role)
		}
	}
	return names
}

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(results.Run(m, *reportFile))
}
