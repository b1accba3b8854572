// Command standin-caller stands in for callers and the fabric before them.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"monsooncleat.example/monsooncleat/internal/stand/caller"
)

func main() {
	o := caller.Options{}
	entries := flag.String("entries", "", "comma-separated fabric `ADDRESSES` of the entry hosts")
	request := flag.String("request-service", "198.51.100.10:7000", "`ADDRESS` of the request service")
	stream := flag.String("stream-service", "198.51.100.20:7001", "`ADDRESS` of the stream service")
	flag.StringVar(&o.Bind, "bind", "127.0.0.1:6081", "loopback `ADDRESS` of the caller's tunnel endpoint")
	flag.IntVar(&o.Requests, "requests", 1000, "requests to send")
	flag.Float64Var(&o.Rate, "rate", 400, "requests a second")
	flag.Float64Var(&o.Idempotent, "idempotent", 0.5, "share of requests that may run twice")
	flag.DurationVar(&o.Deadline, "deadline", 5*time.Second, "time for one try")
	flag.IntVar(&o.Tries, "tries", 8, "tries of a request that is refused")
	flag.IntVar(&o.Streams, "streams", 10, "streams to hold open")
	flag.DurationVar(&o.Hold, "hold", 10*time.Second, "time that the streams stay open")
	flag.Uint64Var(&o.Seed, "seed", 1, "seed of the random choices")
	flag.Float64Var(&o.Doubled, "doubled", 0.01, "share of packets that the fabric doubles")
	flag.Float64Var(&o.Lost, "lost", 0, "share of packets that the fabric loses")
	results := flag.String("results", "", "`FILE` for the ending of each request")
	flag.Parse()
	if err := run(&o, *entries, *request, *stream, *results); err != nil {
		fmt.Fprintln(os.Stderr, "standin-caller:", err)
		os.Exit(1)
	}
}

func run(o *caller.Options, entries, request, stream, results string) error {
	for _, e := range strings.Split(entries, ",") {
		addr, err := netip.ParseAddrPort(e)
		if err != nil {
			return fmt.Errorf("entries: %w", err)
		}
		o.Entries = append(o.Entries, addr)
	}
	var err error
	if o.RequestService, err = netip.ParseAddrPort(request); err != nil {
		return fmt.Errorf("request-service: %w", err)
	}
	if o.StreamService, err = netip.ParseAddrPort(stream); err != nil {
		return fmt.Errorf("stream-service: %w", err)
	}
	c, err := caller.New(*o)
	if err != nil {
		return err
	}
	report, endings := c.Run()
	if err := writeResults(results, endings); err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(report)
}

func writeResults(path string, endings []caller.Result) error {
	if path == "" {
		return nil
	}
	b, err := json.Marshal(endings)
	if err != nil {
		return err
	}
	return os.WriteFile(path, b, 0o600)
}
