// Command 5 changes the service of routes while links lose packets, and checks that no
// relay sends a flow to the service of an older version.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"monsooncleat.example/monsooncleat/review/rig"
)

const (
	directories      = 3
	relays           = 4
	serversOfService = 5
	clients          = 4
	firstPort        = 1001
	routes           = 100
	// routeTime is how long each route carries the load. Its service changes halfway.
	routeTime = 800 * time.Millisecond
	// playTime bounds the changes on a slow machine.
	playTime = 90 * time.Second
	// changeGap is the time between the version that removes a route and the one that adds
	// it again.
	changeGap = 60 * time.Millisecond
	// flowsPerSecond is the rate of new flows.
	flowsPerSecond = 1000
	// lossShare is the share of packets that the links of relays in lossZone lose, for
	// lossTime in each lossCycle.
	lossZone  = "zone-a"
	lossShare = 0.025
	lossTime  = 5500 * time.Millisecond
	lossCycle = 6 * time.Second
)

func main() {
	code, err := run(os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// play is what is known of a run.
type play struct {
	d      *rig.Deployment
	record *rig.Record
	lossy  atomic.Bool

	mu       sync.Mutex
	openings []rig.Opening
	// flows are those that opened, by their names.
	flows            map[string]*rig.Flow
	outcomes         map[rig.Outcome]int
	changed          map[int]time.Time
	packets, dropped int
}

// lost reports whether the link of a relay loses a packet.
func (p *play) lost(relay string) bool {
	inZone := func(e *rig.Process) bool { return e.IP == relay && e.Zone == lossZone }
	if !p.lossy.Load() || !slices.ContainsFunc(p.d.Entries, inZone) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.packets++
	if rand.Float64() < lossShare {
		p.dropped++
		return true
	}
	return false
}

func (p *play) opened(o rig.Opening) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openings = append(p.openings, o)
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
	p := &play{d: d, record: record, flows: map[string]*rig.Flow{}, outcomes: map[rig.Outcome]int{}, changed: map[int]time.Time{}}
	hooks := rig.Hooks{Opened: p.opened, Lost: func(_ *rig.Server, relay string) bool { return p.lost(relay) }}
	for i := range 2 * serversOfService {
		if _, err := d.AddServer(i, []string{"old", "new"}[i%2], hooks); err != nil {
			return rig.NotRun, err
		}
	}
	var callers []*rig.Client
	for i := range clients {
		c, err := d.AddClient(i)
		if err != nil {
			return rig.NotRun, err
		}
		c.Lost = p.lost
		callers = append(callers, c)
	}
	if d.Put(config(1, 0, false), 20*time.Second).IsZero() || !d.Router.AwaitReady(10*time.Second) {
		return rig.NotRun, fmt.Errorf("the deployment did not start")
	}
	d.Sleep(rig.ContactTime + time.Second)
	var current atomic.Int64
	d.Go(func() { p.load(callers, &current) })
	if trouble {
		d.Go(p.losePackets)
	}
	end := time.Now().Add(playTime)
	for k := 0; k < routes && time.Now().Before(end); k++ {
		current.Store(int64(k))
		d.Sleep(routeTime / 2)
		if p.change(k) {
			d.Sleep(routeTime/2 - changeGap)
		}
	}
	d.Sleep(2 * time.Second)
	return p.judge(), nil
}

// config returns the configuration in which the first changed routes lead to the new
// service. If removed is set, the route after them is missing.
func config(version, changed int, removed bool) rig.Config {
	var list []rig.Route
	for k := range routes {
		switch {
		case k < changed:
			list = append(list, rig.NewRoute(firstPort+k, "idempotent", "new"))
		case k > changed || !removed:
			list = append(list, rig.NewRoute(firstPort+k, "idempotent", "old"))
		}
	}
	return rig.NewConfig(version, []string{"old", "new"}, list...)
}

// change removes a route and adds it again with the other service.
func (p *play) change(k int) bool {
	if p.d.Put(config(10*k+11, k, true), rig.AckTime).IsZero() {
		return false
	}
	p.d.Sleep(changeGap)
	p.mu.Lock()
	p.changed[firstPort+k] = time.Now()
	p.mu.Unlock()
	return !p.d.Put(config(10*k+16, k+1, false), rig.AckTime).IsZero()
}

// losePackets makes all links lose packets for a part of each cycle.
func (p *play) losePackets() {
	for {
		p.record.Printf("network: the links of relays in %s lose %.1f%% of the packets for %v", lossZone, 100*lossShare, lossTime)
		p.lossy.Store(true)
		ok := p.d.Sleep(lossTime)
		p.lossy.Store(false)
		if !ok || !p.d.Sleep(lossCycle-lossTime) {
			return
		}
	}
}

// load opens a flow for each request.
func (p *play) load(callers []*rig.Client, current *atomic.Int64) {
	began := time.Now()
	for sent := 0; p.d.Sleep(2 * time.Millisecond); {
		for ; float64(sent) < flowsPerSecond*time.Since(began).Seconds(); sent++ {
			c, port, id := callers[sent%len(callers)], firstPort+int(current.Load()), fmt.Sprint("q", sent)
			p.d.Go(func() { p.request(c, port, id) })
		}
	}
}

func (p *play) request(c *rig.Client, port int, id string) {
	f, outcome := c.Open(port)
	if outcome == rig.OK {
		outcome = f.Request(id, 2*time.Second)
		f.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes[outcome]++
	if len(f.SentAt) > 0 {
		p.flows[f.Key()] = f
	}
}

// judge looks for flows that a relay sent to the old service of a route although a server
// of the new one had taken a flow of that route from the same relay, by more than the
// bound before the client sent the opening packet.
func (p *play) judge() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	type place struct {
		port  int
		relay string
	}
	seen := map[place]time.Time{}
	for _, o := range p.openings {
		at := place{o.Port, o.Relay}
		if first, known := seen[at]; o.Server.Service == "new" && (!known || o.At.Before(first)) {
			seen[at] = o.At
		}
	}
	broken := 0
	for _, o := range p.openings {
		effect, known := seen[place{o.Port, o.Relay}]
		f := p.flows[o.Key]
		if o.Server.Service != "old" || !known || f == nil || o.Copy >= len(f.SentAt) {
			continue
		}
		if late := f.SentAt[o.Copy].Sub(effect); late > rig.DowngradeTime {
			broken++
			p.record.Printf("BROKEN: flow %s of route port %d was opened by server %s of service %q through relay %s, by transmission %d, sent %d ms after a server of service \"new\" had taken a flow of that route from that relay",
				o.Key, o.Port, o.Server.ID, o.Server.Service, o.Relay, o.Copy+1, late.Milliseconds())
		}
	}
	p.record.Printf("flows opened %d, outcomes %v, packets on lossy links %d, lost %d, routes changed %d, flows sent to the old service %d",
		len(p.openings), p.outcomes, p.packets, p.dropped, len(p.changed), broken)
	if len(p.openings) == 0 || len(p.changed) < routes/2 {
		return rig.NotRun
	}
	if broken > 0 {
		return rig.Broken
	}
	return rig.Held
}
