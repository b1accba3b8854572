package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"monsooncleat.example/monsooncleat/internal/stand/caller"
)

const (
	// loadSpan is the time over which the requests are spread.
	loadSpan = 32 * time.Second
	// holdSpan is how long the streams stay open.
	holdSpan   = 35 * time.Second
	readyLimit = 20 * time.Second
	stopLimit  = 15 * time.Second
	pollPause  = 100 * time.Millisecond
	portBlock  = 10
	firstBase  = 20000
	bases      = 900
)

// runner is one run of the example.
type runner struct {
	opts     *options
	folder   string
	base     int
	began    time.Time
	procs    []*process
	controls []*process
	entries  []*process
	servers  map[int]*process
	// steady are the servers that were up all the time.
	steady map[string]bool
	killed string
}

func newRun(o *options) (*runner, error) {
	folder := o.keep
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "monsooncleat-local-"); err != nil {
			return nil, err
		}
	} else if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	base := firstBase + portBlock*(os.Getpid()%bases)
	return &runner{opts: o, folder: folder, base: base, began: time.Now(), servers: map[int]*process{}, steady: map[string]bool{}}, nil
}

func (r *runner) say(format string, args ...any) {
	if r.opts.verbose {
		fmt.Printf("%5.1f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// whole starts everything, changes it under load, and judges what came of it.
func (r *runner) whole() (*verdict, error) {
	if err := r.settings(); err != nil {
		return nil, err
	}
	if err := r.startAll(); err != nil {
		return nil, err
	}
	if err := r.rollOut(1); err != nil {
		return nil, err
	}
	if err := r.waitServers(); err != nil {
		return nil, err
	}
	r.say("load starts")
	load, err := r.startCaller()
	if err != nil {
		return nil, err
	}
	if err := r.changes(); err != nil {
		return nil, err
	}
	select {
	case <-load.done:
	case <-time.After(holdSpan + 20*time.Second):
		return nil, fmt.Errorf("the caller did not end")
	}
	report, results, err := r.readLoad()
	if err != nil {
		return nil, err
	}
	r.keepDumps()
	r.stopAll()
	return r.judge(report, results)
}

func (r *runner) startAll() error {
	for i := range r.opts.controls {
		p, err := r.start(fmt.Sprintf("c%d", i+1), "monsooncleat", "control", "-settings", r.path(fmt.Sprintf("c%d.toml", i+1)))
		if err != nil {
			return err
		}
		r.controls = append(r.controls, p)
	}
	for i := range r.opts.entries {
		p, err := r.startEntry(i)
		if err != nil {
			return err
		}
		r.entries = append(r.entries, p)
	}
	for i := range r.opts.servers {
		if err := r.startServer(i); err != nil {
			return err
		}
		r.steady[serverName(i)] = true
	}
	return nil
}

func (r *runner) startEntry(i int) (*process, error) {
	return r.start(fmt.Sprintf("e%d", i+1), "monsooncleat", "entry", "-settings", r.path(fmt.Sprintf("e%d.toml", i+1)))
}

func serverName(i int) string { return fmt.Sprintf("s%d", i+1) }

// serviceOf shares the servers between the two services in turn.
func serviceOf(i int) string {
	if i%2 == 0 {
		return requestService
	}
	return streamService
}

func (r *runner) startServer(i int) error {
	announce := each(r.opts.entries, func(j int) string { return r.entry((i+j)%r.opts.entries, portAnnounce) })
	p, err := r.start(serverName(i), "standin-server",
		"-name", serverName(i), "-service", serviceOf(i), "-listen", r.server(i),
		"-announce", strings.Join(announce, ","), "-journal", r.path("journal"),
		"-return-port", fmt.Sprint(r.base), "-slots", fmt.Sprint(serverSlots), "-work", "10ms",
		"-drain", "60s", "-limit", "2m", "-seed", fmt.Sprint(r.opts.seed+uint64(i)))
	r.servers[i] = p
	return err
}

// rollOut publishes, approves and rolls a bundle, and waits until it is in
// force on all entry hosts.
func (r *runner) rollOut(version int) error {
	file, err := r.bundle(version)
	if err != nil {
		return err
	}
	settings := r.path("operator.toml")
	out, err := r.tool("bundle", "publish", "-settings", settings, file)
	if err != nil {
		return err
	}
	words := strings.Fields(out)
	digest := words[len(words)-1]
	for _, step := range []string{"approve", "roll"} {
		if _, err := r.tool("bundle", step, "-settings", settings, fmt.Sprint(version), digest); err != nil {
			return err
		}
	}
	began := time.Now()
	err = r.waitEntries(func(d *entryDump) bool { return d.Version >= version && d.Serving })
	r.say("version %d is in force everywhere %.2f s after the roll", version, time.Since(began).Seconds())
	return err
}

// entryDump is what the example reads of an entry host's dump.
type entryDump struct {
	Version int  `json:"version"`
	Serving bool `json:"serving"`
	Waits   int  `json:"leaseWaits"`
	Members []struct {
		State string `json:"state"`
		Phase string `json:"phase"`
	} `json:"members"`
	Servers []struct {
		Name  string `json:"name"`
		State string `json:"state"`
	} `json:"servers"`
}

func (d *entryDump) serving() int {
	n := 0
	for _, m := range d.Members {
		if m.State == "alive" && m.Phase == "serving" {
			n++
		}
	}
	return n
}

func (d *entryDump) up() int {
	n := 0
	for _, s := range d.Servers {
		if s.State == "up" {
			n++
		}
	}
	return n
}

// waitEntries waits until each running entry host's dump satisfies ok.
func (r *runner) waitEntries(ok func(*entryDump) bool) error {
	for i, p := range r.entries {
		if !p.running() {
			continue
		}
		if err := r.waitEntry(i, ok); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) waitEntry(i int, ok func(*entryDump) bool) error {
	last := ""
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(pollPause) {
		out, err := r.tool("dump", r.entry(i, portAdmin))
		if err != nil {
			last = err.Error()
			continue
		}
		var d entryDump
		if err := json.Unmarshal([]byte(out), &d); err == nil && ok(&d) {
			return nil
		}
		last = out
	}
	return fmt.Errorf("entry host e%d is not ready in %s: %s", i+1, readyLimit, last)
}

// waitServers waits until all entry hosts know each other and all servers.
func (r *runner) waitServers() error {
	return r.waitEntries(func(d *entryDump) bool {
		return d.serving() == r.opts.entries && d.up() == r.opts.servers && d.Waits == 0
	})
}

func (r *runner) startCaller() (*process, error) {
	entries := each(r.opts.entries, func(i int) string { return r.entry(i, portFabric) })
	rate := float64(r.opts.requests) / loadSpan.Seconds()
	return r.start("caller", "standin-caller",
		"-bind", r.caller(), "-entries", strings.Join(entries, ","),
		"-requests", fmt.Sprint(r.opts.requests), "-rate", fmt.Sprint(rate),
		"-streams", fmt.Sprint(r.opts.streams), "-hold", holdSpan.String(),
		"-request-service", requestVIP, "-stream-service", streamVIP,
		"-seed", fmt.Sprint(r.opts.seed), "-results", r.path("results.json"))
}

// changes replaces a server of each service, rolls a new bundle, restarts each
// entry host in turn, and kills one process when asked to.
func (r *runner) changes() error {
	time.Sleep(2 * time.Second)
	for i := range 2 {
		if err := r.startServer(r.opts.servers + i); err != nil {
			return err
		}
		r.say("server %s drains, %s joins", serverName(i), serverName(r.opts.servers+i))
		delete(r.steady, serverName(i))
		go func(p *process) { _ = p.stop(2 * time.Minute) }(r.servers[i])
	}
	if err := r.rollOut(2); err != nil {
		return err
	}
	for i := range r.entries {
		if i == r.opts.entries/2 {
			r.killOne()
		}
		if err := r.restartEntry(i); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) restartEntry(i int) error {
	if !r.entries[i].running() {
		return nil
	}
	r.say("entry host e%d restarts", i+1)
	if err := r.entries[i].stop(stopLimit); err != nil {
		return err
	}
	p, err := r.startEntry(i)
	if err != nil {
		return err
	}
	r.entries[i] = p
	return r.waitEntry(i, func(d *entryDump) bool { return d.Serving && d.serving() >= r.runningEntries() })
}

func (r *runner) runningEntries() int {
	n := 0
	for _, p := range r.entries {
		if p.running() {
			n++
		}
	}
	return n
}

func (r *runner) killOne() {
	switch r.opts.kill {
	case "entry":
		p := r.entries[r.opts.entries-1]
		r.say("entry host %s is killed", p.name)
		p.kill()
	case "control":
		r.say("control host %s is killed", r.controls[0].name)
		r.controls[0].kill()
	case "server":
		for _, i := range []int{2, 3} {
			name := serverName(i)
			r.say("server %s is killed", name)
			r.servers[i].kill()
			delete(r.steady, name)
			r.killed += name + " "
		}
	}
}

func (r *runner) readLoad() (*caller.Report, []caller.Result, error) {
	log, err := os.ReadFile(r.path("caller.log"))
	if err != nil {
		return nil, nil, err
	}
	var report caller.Report
	if err := json.Unmarshal(log, &report); err != nil {
		return nil, nil, fmt.Errorf("caller: %w: %s", err, log)
	}
	b, err := os.ReadFile(r.path("results.json"))
	if err != nil {
		return nil, nil, err
	}
	var results []caller.Result
	return &report, results, json.Unmarshal(b, &results)
}

// keepDumps stores the state of each entry host beside its log.
func (r *runner) keepDumps() {
	for i := range r.entries {
		if out, err := r.tool("dump", r.entry(i, portAdmin)); err == nil {
			_ = r.write(fmt.Sprintf("e%d.json", i+1), out)
		}
	}
}

// stopAll ends the hosts gracefully, all at once. The stand-ins are killed: the
// callers' last packets may be lost with a killed host, and a server would wait
// for them.
func (r *runner) stopAll() {
	for _, p := range r.servers {
		p.kill()
	}
	for _, p := range r.procs {
		if p.running() {
			_ = p.cmd.Process.Signal(os.Interrupt)
		}
	}
	for _, p := range r.procs {
		_ = p.stop(stopLimit)
	}
}
