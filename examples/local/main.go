// Command local runs the whole system on one machine, as separate processes on
// loopback addresses, changes it under load, and checks the promises.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"
)

// options are the flags of the example.
type options struct {
	bin      string
	keep     string
	seed     uint64
	requests int
	streams  int
	entries  int
	servers  int
	controls int
	kill     string
	verbose  bool
}

func main() {
	var o options
	flag.StringVar(&o.bin, "bin", "", "`FOLDER` of the programs")
	flag.StringVar(&o.keep, "keep", "", "`FOLDER` for settings and logs, which is kept (default: a temporary one)")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of the stand-ins' random choices")
	flag.IntVar(&o.requests, "requests", 10000, "requests to send")
	flag.IntVar(&o.streams, "streams", 200, "streams to hold open")
	flag.IntVar(&o.entries, "entry-hosts", 4, "entry hosts")
	flag.IntVar(&o.servers, "servers", 6, "backend servers, shared by two services")
	flag.StringVar(&o.kill, "kill", "", "kill one `ROLE` without warning halfway: entry, server or control")
	flag.BoolVar(&o.verbose, "v", false, "tell each step")
	flag.Parse()
	o.controls = 3
	if o.kill != "" && o.kill != "entry" && o.kill != "server" && o.kill != "control" {
		fmt.Fprintf(os.Stderr, "local: unknown role %q\n", o.kill)
		os.Exit(2)
	}
	if o.entries < 2 || o.servers < 4 {
		fmt.Fprintln(os.Stderr, "local: want at least 2 entry hosts and 4 servers")
		os.Exit(2)
	}
	os.Exit(run(&o))
}

func run(o *options) int {
	began := time.Now()
	r, err := newRun(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "local:", err)
		return 1
	}
	defer r.close()
	verdict, err := r.whole()
	if err != nil {
		fmt.Fprintln(os.Stderr, "local:", err)
		r.tellLogs()
		return 1
	}
	for _, fault := range verdict.faults {
		fmt.Println("broken promise:", fault)
	}
	fmt.Printf("The run took %.1f s.\n", time.Since(began).Seconds())
	line, err := json.Marshal(verdict.line)
	if err != nil {
		fmt.Fprintln(os.Stderr, "local:", err)
		return 1
	}
	fmt.Println(string(line))
	if len(verdict.faults) > 0 {
		return 1
	}
	return 0
}
