// Command standin-server stands in for a backend server.
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
	var slots, conns, weight, port uint
	flag.StringVar(&o.Name, "name", "server", "the server's `NAME`")
	flag.StringVar(&o.Service, "service", "", "the `SERVICE` that it belongs to")
	flag.StringVar(&o.Listen, "listen", "127.0.0.1:6081", "loopback `ADDRESS` for tunneled packets")
	flag.StringVar(&announce, "announce", "", "comma-separated `ADDRESSES` of the entry hosts' announce listeners")
	flag.StringVar(&o.Health, "health", "", "loopback `ADDRESS` of the health and load endpoints")
	flag.StringVar(&o.Journal, "journal", "", "`FILE` to which each run of a request is appended")
	flag.UintVar(&port, "return-port", 6081, "`PORT` at which callers take direct answers")
	flag.UintVar(&weight, "weight", 1, "announced weight")
	flag.UintVar(&slots, "slots", 16, "requests that run at once")
	flag.UintVar(&conns, "connections", 10000, "announced limit of flows")
	flag.DurationVar(&o.Work, "work", 10*time.Millisecond, "mean time of a request")
	flag.Float64Var(&o.Cold, "cold", 1, "factor on -work in the first ten seconds")
	flag.Float64Var(&o.Shed, "shed", 0, "share of requests that it sheds")
	flag.Float64Var(&o.Mute, "mute", 0, "share of requests that it runs but does not answer")
	flag.DurationVar(&o.Lag, "lag", 0, "delay of the load endpoint")
	flag.BoolVar(&o.Lie, "lie", false, "the load endpoint always tells of an idle server")
	flag.DurationVar(&o.Drain, "drain", 30*time.Second, "longest wait for open streams at the end")
	flag.Uint64Var(&o.Seed, "seed", 1, "seed of its random choices")
	limit := flag.Duration("limit", 10*time.Minute, "end after this time at the latest")
	flag.Parse()
	o.Announce = strings.Split(announce, ",")
	o.Slots, o.Connections, o.Weight, o.ReturnPort = uint32(slots), uint32(conns), uint32(weight), uint16(port)
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
