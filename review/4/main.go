// Command 4 has another writer announce the address of a running server under a service
// that is not configured, and checks that the open flows of that server stay.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"monsooncleat.example/monsooncleat/review/rig"
)

const (
	directories = 3
	relays      = 3
	servers     = 4
	clients     = 2
	flows       = 40
	watchTime   = 15 * time.Second
)

func main() {
	code, err := run(os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func run(trouble bool) (int, error) {
	record, err := rig.NewRecord(os.Args[1])
	if err != nil {
		return rig.NotRun, err
	}
	defer record.Close()
	d, err := rig.New(rig.Options{Directories: directories, Relays: relays, Record: record})
	if err != nil {
		return rig.NotRun, err
	}
	defer d.Close()
	var list []*rig.Server
	for i := range servers {
		s, err := d.AddServer(i, "svc", rig.Hooks{})
		if err != nil {
			return rig.NotRun, err
		}
		list = append(list, s)
	}
	var callers []*rig.Client
	for i := range clients {
		c, err := d.AddClient(i)
		if err != nil {
			return rig.NotRun, err
		}
		callers = append(callers, c)
	}
	config := rig.NewConfig(1, []string{"svc"}, rig.NewRoute(443, "idempotent", "svc"))
	if d.Put(config, 20*time.Second).IsZero() || !d.Router.AwaitReady(10*time.Second) {
		return rig.NotRun, fmt.Errorf("the deployment did not start")
	}
	// All machines are in touch from here on.
	d.Sleep(rig.ContactTime + time.Second)
	w := &watch{record: record, servers: list}
	for i := range flows {
		d.Go(func() { w.stream(d, callers[i%clients], i) })
	}
	d.Sleep(3 * time.Second)
	if trouble {
		s := list[0]
		warmup := 0
		beat := rig.Beat{Service: "another", Addr: s.Addr, Zone: s.Zone, Version: "v1", Capacity: 3, State: "ready", Warmup: &warmup, Seq: 1, Born: time.Now().UnixMilli()}
		status := d.Call(http.MethodPut, "/instances/i-00c0ffee", beat)
		record.Printf("another writer: announced %s, the address of server %s with %d open flows, for service %q: status %d", s.Addr, s.ID, s.OpenFlows(), beat.Service, status)
	}
	d.Sleep(watchTime)
	return w.judge(), nil
}

// watch counts what the clients get on open flows.
type watch struct {
	record  *rig.Record
	servers []*rig.Server

	mu               sync.Mutex
	answered, opened int
	broken           int
}

// stream sends requests on one flow until it ends.
func (w *watch) stream(d *rig.Deployment, c *rig.Client, n int) {
	f, outcome := c.Open(443)
	if outcome != rig.OK {
		w.record.Printf("client: flow %d did not open: %v", n, outcome)
		return
	}
	w.mu.Lock()
	w.opened++
	w.mu.Unlock()
	for i := 0; d.Sleep(500 * time.Millisecond); i++ {
		outcome := f.Request(fmt.Sprintf("f%d-%d", n, i), 2*time.Second)
		w.mu.Lock()
		if outcome == rig.OK {
			w.answered++
		}
		if outcome == rig.ResetBySystem {
			for _, s := range w.servers {
				if s.Holds(f.Key()) {
					w.broken++
					w.record.Printf("BROKEN: flow %s was reset by the system although server %s runs and holds it open", f.Key(), s.ID)
				}
			}
		}
		w.mu.Unlock()
		if outcome != rig.OK {
			return
		}
	}
}

func (w *watch) judge() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Printf("flows opened %d, requests answered %d, flows reset by the system while their servers hold them open %d", w.opened, w.answered, w.broken)
	switch {
	case w.opened < flows/2:
		return rig.NotRun
	case w.broken > 0:
		return rig.Broken
	default:
		return rig.Held
	}
}
