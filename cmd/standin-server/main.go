// Command standin-server simulates a backend server, for tests.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"monsooncleat.example/monsooncleat/internal/stand/server"
)

func main() {
	o := server.Options{}
	var announce string
	var slots, connections, weight, port uint
	flag.StringVar(&o.Name, "name", "server", "the server's `NAME`")
	flag.StringVar(&o.Service, "service", "", "the `SERVICE` that the server belongs to")
	flag.StringVar(&o.ListenAddr, "listen", "127.0.0.1:6081", "loopback `ADDRESS` for tunneled packets")
	flag.StringVar(&announce, "announce", "", "comma-separated `ADDRESSES` of the entry hosts' announce listeners")
	flag.StringVar(&o.HealthAddr, "health", "", "loopback `ADDRESS` of the health and load endpoints")
	flag.StringVar(&o.JournalPath, "journal", "", "`FILE` to which a line is appended each time a request runs")
	flag.UintVar(&port, "return-port", 6081, "`PORT` at which clients receive the packets of direct server return")
	flag.UintVar(&weight, "weight", 1, "announced weight")
	flag.UintVar(&slots, "slots", 16, "maximum number of requests that run concurrently")
	flag.UintVar(&connections, "connections", 10000, "announced limit on flows")
	flag.DurationVar(&o.MeanServiceTime, "work", 10*time.Millisecond, "mean service time of a request")
	flag.Float64Var(&o.ColdStartFactor, "cold", 1, "factor applied to -work in the first ten seconds")
	flag.Float64Var(&o.RefuseRate, "shed", 0, "fraction of requests that the server refuses")
	flag.Float64Var(&o.NoAnswerRate, "mute", 0, "fraction of requests that the server runs but does not answer")
	flag.DurationVar(&o.LoadDelay, "lag", 0, "delay of each reply of the load endpoint; the reply reports the load at the start of the delay")
	flag.BoolVar(&o.FalseLoad, "lie", false, "report an idle server from the load endpoint, whatever the load")
	flag.DurationVar(&o.DrainTimeout, "drain", 30*time.Second, "maximum wait for requests in flight and open streams on shutdown")
	flag.Uint64Var(&o.Seed, "seed", 1, "seed of the random number generator")
	limit := flag.Duration("limit", 10*time.Minute, "exit after this time at the latest")
	flag.Parse()
	o.AnnounceAddrs = strings.Split(announce, ",")
	o.Slots, o.Connections, o.Weight, o.ReturnPort = uint32(slots), uint32(connections), uint32(weight), uint16(port)
	os.Exit(run(o, *limit))
}

func run(o server.Options, limit time.Duration) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s, err := server.New(o)
	if err == nil {
		err = s.Run(ctx)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-server:", err)
		return 1
	}
	return 0
}
