// Command local runs the whole system on one machine, as separate processes on
// loopback addresses, reconfigures it under load, and verifies its invariants.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"
)

// options are the settings of a run, from the command line.
type options struct {
	bin      string
	keep     string // folder that is kept after the run, or "" for a temporary one
	seed     uint64
	requests int
	streams  int
	entries  int
	servers  int
	controls int // fixed; not a flag
	kill     string
	verbose  bool
}

func main() {
	var o options
	flag.StringVar(&o.bin, "bin", "", "`FOLDER` with the programs")
	flag.StringVar(&o.keep, "keep", "", "`FOLDER` for settings and logs, kept after the run (default: a temporary one)")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of the random number generators of clients and servers")
	flag.IntVar(&o.requests, "requests", 10000, "requests to send")
	flag.IntVar(&o.streams, "streams", 200, "streams to hold open")
	flag.IntVar(&o.entries, "entry-hosts", 4, "number of entry hosts")
	flag.IntVar(&o.servers, "servers", 6, "number of backend servers, split between two services")
	flag.StringVar(&o.kill, "kill", "", "halfway through, kill an entry host, a control host or one server of each service: `ROLE` is entry, control or server")
	flag.BoolVar(&o.verbose, "v", false, "print each step")
	flag.Parse()
	o.controls = 3 // a quorum survives the loss of one
	if o.kill != "" && o.kill != "entry" && o.kill != "server" && o.kill != "control" {
		fmt.Fprintf(os.Stderr, "local: unknown role %q, expected entry, server or control\n", o.kill)
		os.Exit(2)
	}
	if o.entries < 2 || o.servers < 4 {
		fmt.Fprintln(os.Stderr, "local: at least 2 entry hosts and 4 servers are required")
		os.Exit(2)
	}
	os.Exit(run(&o))
}

func run(o *options) int {
	startedAt := time.Now()
	r, err := newRunner(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "local:", err)
		return 1
	}
	defer r.close()
	result, err := r.execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "local:", err)
		r.printLogTails()
		return 1
	}
	for _, violation := range result.violations {
		fmt.Println("invariant violated:", violation)
	}
	fmt.Printf("The run took %.1f s.\n", time.Since(startedAt).Seconds())
	line, err := json.Marshal(result.summary)
	if err != nil {
		fmt.Fprintln(os.Stderr, "local:", err)
		return 1
	}
	fmt.Println(string(line))
	if len(result.violations) > 0 {
		return 1
	}
	return 0
}
