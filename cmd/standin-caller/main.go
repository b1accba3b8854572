// Command standin-caller simulates clients and the network fabric between them
// and the entry hosts, for tests.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"monsooncleat.example/monsooncleat/internal/stand/client"
)

func main() {
	o := client.Options{}
	entries := flag.String("entries", "", "comma-separated fabric `ADDRESSES` of the entry hosts")
	request := flag.String("request-service", "198.51.100.10:7000", "`ADDRESS` of the request service")
	stream := flag.String("stream-service", "198.51.100.20:7001", "`ADDRESS` of the stream service")
	flag.StringVar(&o.BindAddr, "bind", "127.0.0.1:6081", "loopback `ADDRESS` of the clients' tunnel endpoint")
	flag.IntVar(&o.Requests, "requests", 1000, "requests to send")
	flag.Float64Var(&o.RequestRate, "rate", 400, "requests per second")
	flag.Float64Var(&o.IdempotentRate, "idempotent", 0.5, "fraction of requests that are idempotent")
	flag.DurationVar(&o.TryTimeout, "deadline", 5*time.Second, "timeout of one try")
	flag.IntVar(&o.MaxTries, "tries", 8, "maximum tries of a request that is refused")
	flag.IntVar(&o.Streams, "streams", 10, "streams to hold open")
	flag.DurationVar(&o.HoldTime, "hold", 10*time.Second, "how long the streams stay open")
	flag.Uint64Var(&o.Seed, "seed", 1, "seed of the random number generator")
	flag.Float64Var(&o.DuplicateRate, "doubled", 0.01, "fraction of packets that the fabric duplicates")
	flag.Float64Var(&o.LossRate, "lost", 0, "fraction of packets that the fabric loses")
	resultsPath := flag.String("results", "", "`FILE` for the outcome of each request")
	flag.Parse()
	if err := run(&o, *entries, *request, *stream, *resultsPath); err != nil {
		fmt.Fprintln(os.Stderr, "standin-caller:", err)
		os.Exit(1)
	}
}

func run(o *client.Options, entries, request, stream, resultsPath string) error {
	for _, e := range strings.Split(entries, ",") {
		addr, err := netip.ParseAddrPort(e)
		if err != nil {
			return fmt.Errorf("entries: %w", err)
		}
		o.EntryHosts = append(o.EntryHosts, addr)
	}
	var err error
	if o.RequestService, err = netip.ParseAddrPort(request); err != nil {
		return fmt.Errorf("request-service: %w", err)
	}
	if o.StreamService, err = netip.ParseAddrPort(stream); err != nil {
		return fmt.Errorf("stream-service: %w", err)
	}
	c, err := client.New(*o)
	if err != nil {
		return err
	}
	report, results := c.Run()
	if err := writeResults(resultsPath, results); err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(report)
}

func writeResults(path string, results []client.Result) error {
	if path == "" {
		return nil
	}
	b, err := json.Marshal(results)
	if err != nil {
		return err
	}
	return os.WriteFile(path, b, 0o600)
}
