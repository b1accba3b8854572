package stage

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// Main runs a case on a deployment with the given numbers of directories and relays, and
// exits. The argument of the program is the folder of the case. Play gets whether the
// disruption is wanted, and returns an error if the case couldn't run. KEEP=1 keeps the
// logs of the project's programs.
func Main(directories, relays int, play func(s *Stage, trouble bool) error) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER")
		os.Exit(exitNotRun)
	}
	s, err := New(os.Args[1], directories, relays)
	if err == nil {
		err = play(s, os.Getenv("TROUBLE") != "0")
	}
	if s == nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	if err != nil {
		s.Record.Log("the case couldn't run: %v", err)
	}
	keep := os.Getenv("KEEP") != ""
	if folder := s.Close(keep); keep {
		fmt.Println("logs in", folder)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	case s.Record.Violations() > 0:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
