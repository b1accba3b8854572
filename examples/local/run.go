package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"monsooncleat.example/monsooncleat/internal/stand/client"
)

const (
	// loadDuration is the time over which the requests are spread.
	loadDuration = 32 * time.Second
	// streamHold is how long the streams stay open. It exceeds loadDuration, so
	// that they are open under all of the load.
	streamHold = 35 * time.Second
	// exitTimeout is the maximum wait for standin-caller to exit after its streams
	// closed.
	exitTimeout  = 20 * time.Second
	readyTimeout = 20 * time.Second
	stopTimeout  = 15 * time.Second
	pollInterval = 100 * time.Millisecond
	// Each run uses one of portBlocks blocks of portsPerRun ports, starting at
	// firstPort. The process ID selects the block, so that concurrent runs rarely
	// collide. All blocks are below 32768, where Linux starts its ephemeral ports.
	portsPerRun = 10
	firstPort   = 20000
	portBlocks  = 900
)

// runner holds the state of one run.
type runner struct {
	opts      *options
	folder    string
	basePort  int
	startedAt time.Time
	procs     []*process
	controls  []*process
	entries   []*process
	servers   map[int]*process
	// alwaysUp contains the names of the servers that are up during the whole run.
	alwaysUp map[string]bool
	// killedServers lists the names of killed servers, each followed by a space.
	killedServers string
}

func newRunner(o *options) (*runner, error) {
	folder := o.keep
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "monsooncleat-local-"); err != nil {
			return nil, err
		}
	} else if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	basePort := firstPort + portsPerRun*(os.Getpid()%portBlocks)
	return &runner{opts: o, folder: folder, basePort: basePort, startedAt: time.Now(), servers: map[int]*process{}, alwaysUp: map[string]bool{}}, nil
}

// logStep prints a step with the time since the start, in verbose mode.
func (r *runner) logStep(format string, args ...any) {
	if r.opts.verbose {
		fmt.Printf("%5.1f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
	}
}

// execute starts all processes, reconfigures the system under load, stops it and
// verifies the results.
func (r *runner) execute() (*verification, error) {
	if err := r.writeSettings(); err != nil {
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
	r.logStep("load starts")
	clients, err := r.startClients()
	if err != nil {
		return nil, err
	}
	if err := r.applyChanges(); err != nil {
		return nil, err
	}
	select {
	case <-clients.exited:
	case <-time.After(streamHold + exitTimeout):
		return nil, fmt.Errorf("standin-caller did not exit in time")
	}
	report, results, err := r.readResults()
	if err != nil {
		return nil, err
	}
	r.saveDumps()
	r.stopAll()
	return r.verify(report, results)
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
		r.alwaysUp[serverName(i)] = true
	}
	return nil
}

func (r *runner) startEntry(i int) (*process, error) {
	return r.start(fmt.Sprintf("e%d", i+1), "monsooncleat", "entry", "-settings", r.path(fmt.Sprintf("e%d.toml", i+1)))
}

func serverName(i int) string { return fmt.Sprintf("s%d", i+1) }

// serviceOf assigns the servers to the two services in turn.
func serviceOf(i int) string {
	if i%2 == 0 {
		return requestService
	}
	return streamService
}

func (r *runner) startServer(i int) error {
	announce := generate(r.opts.entries, func(j int) string { return r.entryAddr((i+j)%r.opts.entries, portAnnounce) })
	p, err := r.start(serverName(i), "standin-server",
		"-name", serverName(i), "-service", serviceOf(i), "-listen", r.serverAddr(i),
		"-announce", strings.Join(announce, ","), "-journal", r.path("journal"),
		"-return-port", fmt.Sprint(r.basePort), "-slots", fmt.Sprint(serverSlots), "-work", "10ms",
		"-drain", "60s", "-limit", "2m", "-seed", fmt.Sprint(r.opts.seed+uint64(i)))
	r.servers[i] = p
	return err
}

// rollOut publishes, approves and rolls out a bundle, and waits until it is in
// force on all entry hosts.
func (r *runner) rollOut(version int) error {
	file, err := r.writeBundle(version)
	if err != nil {
		return err
	}
	settings := r.path("operator.toml")
	out, err := r.runTool("bundle", "publish", "-settings", settings, file)
	if err != nil {
		return err
	}
	words := strings.Fields(out)
	digest := words[len(words)-1]
	for _, command := range []string{"approve", "roll"} {
		if _, err := r.runTool("bundle", command, "-settings", settings, fmt.Sprint(version), digest); err != nil {
			return err
		}
	}
	rolledAt := time.Now()
	err = r.waitEntries(func(d *entryDump) bool { return d.Version >= version && d.Serving })
	r.logStep("version %d is in force on all entry hosts %.2f s after the roll command", version, time.Since(rolledAt).Seconds())
	return err
}

// entryDump holds the fields of an entry host's state dump that a run needs.
type entryDump struct {
	Version    int  `json:"version"`
	Serving    bool `json:"serving"`
	LeaseWaits int  `json:"leaseWaits"`
	Members    []struct {
		State string `json:"state"`
		Phase string `json:"phase"`
	} `json:"members"`
	Servers []struct {
		Name  string `json:"name"`
		State string `json:"state"`
	} `json:"servers"`
}

// servingHosts returns the number of entry hosts that the dump lists as alive
// and serving.
func (d *entryDump) servingHosts() int {
	n := 0
	for _, m := range d.Members {
		if m.State == "alive" && m.Phase == "serving" {
			n++
		}
	}
	return n
}

// serversUp returns the number of servers that the dump lists as up.
func (d *entryDump) serversUp() int {
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

// waitEntry waits until the dump of entry host i satisfies ok.
func (r *runner) waitEntry(i int, ok func(*entryDump) bool) error {
	lastState := ""
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		out, err := r.runTool("dump", r.entryAddr(i, portAdmin))
		if err != nil {
			lastState = err.Error()
			continue
		}
		var d entryDump
		if err := json.Unmarshal([]byte(out), &d); err == nil && ok(&d) {
			return nil
		}
		lastState = out
	}
	return fmt.Errorf("entry host e%d is not ready after %s, last state: %s", i+1, readyTimeout, lastState)
}

// waitServers waits until each entry host lists all entry hosts as serving and all
// servers as up, and waits for no lease.
func (r *runner) waitServers() error {
	return r.waitEntries(func(d *entryDump) bool {
		return d.servingHosts() == r.opts.entries && d.serversUp() == r.opts.servers && d.LeaseWaits == 0
	})
}

// startClients starts standin-caller, which simulates all clients.
func (r *runner) startClients() (*process, error) {
	entries := generate(r.opts.entries, func(i int) string { return r.entryAddr(i, portFabric) })
	rate := float64(r.opts.requests) / loadDuration.Seconds()
	return r.start("caller", "standin-caller",
		"-bind", r.clientAddr(), "-entries", strings.Join(entries, ","),
		"-requests", fmt.Sprint(r.opts.requests), "-rate", fmt.Sprint(rate),
		"-streams", fmt.Sprint(r.opts.streams), "-hold", streamHold.String(),
		"-request-service", requestVIP, "-stream-service", streamVIP,
		"-seed", fmt.Sprint(r.opts.seed), "-results", r.path("results.json"))
}

// applyChanges replaces a server of each service, rolls out a new bundle and
// restarts the entry hosts in turn. Halfway through the restarts it applies the
// -kill flag.
func (r *runner) applyChanges() error {
	time.Sleep(2 * time.Second)
	for i := range 2 {
		if err := r.startServer(r.opts.servers + i); err != nil {
			return err
		}
		r.logStep("server %s starts to drain, its replacement %s starts", serverName(i), serverName(r.opts.servers+i))
		delete(r.alwaysUp, serverName(i))
		go func(p *process) { _ = p.stop(2 * time.Minute) }(r.servers[i])
	}
	if err := r.rollOut(2); err != nil {
		return err
	}
	for i := range r.entries {
		if i == r.opts.entries/2 {
			r.killRole()
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
	r.logStep("entry host e%d restarts", i+1)
	if err := r.entries[i].stop(stopTimeout); err != nil {
		return err
	}
	p, err := r.startEntry(i)
	if err != nil {
		return err
	}
	r.entries[i] = p
	return r.waitEntry(i, func(d *entryDump) bool { return d.Serving && d.servingHosts() >= r.runningEntries() })
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

// killRole kills the processes that the -kill flag asks for.
func (r *runner) killRole() {
	switch r.opts.kill {
	case "entry":
		p := r.entries[r.opts.entries-1]
		r.logStep("entry host %s is killed", p.name)
		p.kill()
	case "control":
		r.logStep("control host %s is killed", r.controls[0].name)
		r.controls[0].kill()
	case "server":
		// One server of each service. Servers 0 and 1 are draining already.
		for _, i := range []int{2, 3} {
			name := serverName(i)
			r.logStep("server %s is killed", name)
			r.servers[i].kill()
			delete(r.alwaysUp, name)
			r.killedServers += name + " "
		}
	}
}

// readResults returns the report of standin-caller and the outcome of each request.
func (r *runner) readResults() (*client.Report, []client.Result, error) {
	log, err := os.ReadFile(r.path("caller.log"))
	if err != nil {
		return nil, nil, err
	}
	var report client.Report
	if err := json.Unmarshal(log, &report); err != nil {
		return nil, nil, fmt.Errorf("parse the report of standin-caller: %w: %s", err, log)
	}
	b, err := os.ReadFile(r.path("results.json"))
	if err != nil {
		return nil, nil, err
	}
	var results []client.Result
	return &report, results, json.Unmarshal(b, &results)
}

// saveDumps writes the state dump of each entry host to the folder with the logs.
func (r *runner) saveDumps() {
	for i := range r.entries {
		if out, err := r.runTool("dump", r.entryAddr(i, portAdmin)); err == nil {
			_ = r.writeFile(fmt.Sprintf("e%d.json", i+1), out)
		}
	}
}

// stopAll kills the backend servers, stops the hosts all at once and waits for
// them. A draining server would wait for streams whose closing packets may have
// been lost with a killed entry host.
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
		_ = p.stop(stopTimeout)
	}
}
