package soak_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	controlCount = 3
	relayCount   = 3
	// firstSubnet and subnetCount are the range of testEnv.subnet.
	firstSubnet = 10
	subnetCount = 200
	// drainGrace is the time after which a draining server must get no new flow. It
	// is the setting grace_s.
	drainGrace = 3 * time.Second
	// addrReuseDelay is the time after which the address of a removed server can be
	// used again. It is the setting addr_reuse_s.
	addrReuseDelay = 2 * time.Second
	// heartbeatInterval is the interval between announcements of a server.
	heartbeatInterval = 300 * time.Millisecond
	// portX and portY are the ports of services x and y, portUpload that of uploads to
	// service x.
	portX      = 443
	portY      = 80
	portUpload = 8080
	// timeOfDay is the format of times in reports, those of the logs.
	timeOfDay = "15:04:05.000 "
)

// Groups of the addresses that testEnv.ip returns.
const (
	controlGroup = 1
	relayGroup   = 2
	serverGroup  = 5
	clientGroup  = 9
)

// process is a relay or a directory that runs as a process.
type process struct {
	env      *testEnv
	name, ip string
	args     []string
	// configVar is the environment variable that names the settings file.
	configVar string
	log       *os.File
	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	// logOffset is the size of the log in bytes before the last start.
	logOffset atomic.Int64
	// stopRequested is set before the test terminates the process. An exit without
	// it is a violation.
	stopRequested atomic.Bool
}

// testEnv is a small deployment on loopback addresses, with its clients and servers.
type testEnv struct {
	c      *qt.C
	folder string
	bin    string
	// subnet is the second byte of all addresses. It differs between test processes,
	// so that two can run the same seed at the same time.
	subnet int
	mode   mode
	// dataPort is the UDP port of clients and relays.
	dataPort int
	rand     *rand.Rand
	randMu   sync.Mutex
	procs    []*process
	proxies  []*proxy
	clients  []*client

	mu      sync.Mutex
	servers map[string]*server
	// extraRuns counts, by request ID, the executions after the first.
	extraRuns map[uint64]int
	// lastRuns holds, by request ID, the server and the flow of the last execution.
	lastRuns map[uint64]string
	// ready holds the addresses of the relays in rotation. It is guarded by readyMu.
	ready   map[string]bool
	readyMu sync.Mutex
	// acked is the highest version acknowledged.
	acked      uint64
	violations []string
	// events is the file that noteEvent writes, under eventsMu.
	events   *os.File
	eventsMu sync.Mutex
	// published holds the versions in the order of their first call.
	published []publication
	zones     map[string]*zoneState
	relays    map[string]*relayState
	// refused holds the keys of flows whose first opening packet was reset.
	refused map[string]bool
	// misdirected counts, by the key of a flow, the packets that reached other servers since
	// the last one that reached its own.
	misdirected map[string]int
	// latestFault holds the latest fault that acted on a server, by its ID.
	latestFault map[string]string
	// announcesBorn is set if servers announce the time of their start.
	announcesBorn bool
	rebirths      rebirthCounts
	// rebirthTasks are the faults that rebirths counts.
	rebirthTasks sync.WaitGroup
	load         loadCounts
	// stall is the longest stall of the machine in nanoseconds, since the last reset, and
	// longestStall that of the whole run.
	stall, longestStall atomic.Int64
	// calm is closed when no more faults are injected.
	calm chan struct{}
	// answered and failed count the requests with and without an answer. failed also
	// counts the flows that could not be opened.
	answered atomic.Int64
	failed   atomic.Int64
	// unansweredHeld counts the requests that timed out although the server still
	// held the flow open.
	unansweredHeld atomic.Int64
	nextID         atomic.Uint64
	stop           chan struct{}
	tasks          sync.WaitGroup
}

func (env *testEnv) randUint32() uint32 {
	env.randMu.Lock()
	defer env.randMu.Unlock()
	return env.rand.Uint32()
}

func (env *testEnv) randN(n int) int { return int(env.randUint32() % uint32(n)) }

func (env *testEnv) recordViolation(format string, args ...any) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.violations = append(env.violations, time.Now().Format(timeOfDay)+fmt.Sprintf(format, args...))
}

// noteEvent writes a line to the file of events, which is kept with the logs of a run that
// fails: the faults, the relays that are ready, and the requests without an answer.
func (env *testEnv) noteEvent(format string, args ...any) {
	env.eventsMu.Lock()
	defer env.eventsMu.Unlock()
	_, _ = fmt.Fprintf(env.events, time.Now().Format(timeOfDay)+format+"\n", args...)
}

// verifyNewFlow checks that a server may accept a new flow.
func (env *testEnv) verifyNewFlow(s *server, pkt *packet, relay string) {
	if !s.drainAckedAt.IsZero() && time.Since(s.drainAckedAt) > drainGrace {
		env.recordViolation("server %s accepted a flow %v after its drain was acknowledged", s.id, time.Since(s.drainAckedAt))
	}
	if want := map[uint16]string{portX: "x", portY: "y", portUpload: "x"}[pkt.dport]; s.service != want {
		env.recordViolation("server %s of service %s accepted a flow to port %d", s.id, s.service, pkt.dport)
	}
	env.verifyEvacuated(s, relay)
	env.verifyCold(s, relay)
	env.verifyNotRefused(s, pkt)
}

// recordRun records the execution of a request. A retransmission on the same flow is
// no new execution.
func (env *testEnv) recordRun(s *server, pkt *packet) {
	id := uint64(pkt.data[0])<<56 | uint64(pkt.data[1])<<48 | uint64(pkt.data[2])<<40 | uint64(pkt.data[3])<<32 |
		uint64(pkt.data[4])<<24 | uint64(pkt.data[5])<<16 | uint64(pkt.data[6])<<8 | uint64(pkt.data[7])
	key := s.id + pkt.key()
	env.mu.Lock()
	defer env.mu.Unlock()
	if previous, seen := env.lastRuns[id]; seen && previous != key {
		env.extraRuns[id]++
	}
	env.lastRuns[id] = key
}

// newTestEnv starts the processes, proxies and clients, without servers.
func newTestEnv(t *testing.T, seed uint64, bin string, mode mode) *testEnv {
	c := qt.New(t)
	env := &testEnv{
		c: c, folder: c.TempDir(), bin: bin, subnet: firstSubnet + int((seed+uint64(os.Getpid()))%subnetCount), dataPort: 8172, rand: rand.New(rand.NewPCG(seed, 5)),
		servers: map[string]*server{}, extraRuns: map[uint64]int{}, lastRuns: map[uint64]string{}, stop: make(chan struct{}),
		mode: mode, zones: map[string]*zoneState{"a": {}, "b": {}}, relays: map[string]*relayState{}, ready: map[string]bool{}, refused: map[string]bool{}, misdirected: map[string]int{}, latestFault: map[string]string{}, calm: make(chan struct{}),
	}
	events, err := os.Create(filepath.Join(env.folder, "events"))
	c.Assert(err, qt.IsNil)
	env.events = events
	env.proxies = []*proxy{env.claimSubnet()}
	for i := range controlCount {
		ip := env.ip(controlGroup, i)
		if i > 0 {
			p, err := newProxy(ip+":7000", ip+":7001")
			c.Assert(err, qt.IsNil)
			env.proxies = append(env.proxies, p)
		}
		env.add("control", i, ip, "directory", "-bind", ip+":7001")
	}
	for i := range relayCount {
		env.relays[env.ip(relayGroup, i)] = &relayState{}
		env.add("relay", i, env.ip(relayGroup, i), "relay")
	}
	for i := range 3 {
		env.addClient(i)
	}
	t.Cleanup(env.close)
	return env
}

// claimSubnet starts the proxy of the first control host, in the next subnet that no other
// test process uses.
func (env *testEnv) claimSubnet() *proxy {
	for range subnetCount {
		ip := env.ip(controlGroup, 0)
		if p, err := newProxy(ip+":7000", ip+":7001"); err == nil {
			return p
		}
		env.subnet = firstSubnet + (env.subnet-firstSubnet+1)%subnetCount
	}
	env.c.Fatal("no subnet is free")
	return nil
}

// ip returns the address of host i, counted from 0, in a group of the subnet.
func (env *testEnv) ip(group, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", env.subnet, group, i+1)
}

// add writes the settings of a process and starts the process.
func (env *testEnv) add(role string, i int, ip string, args ...string) {
	name := fmt.Sprintf("%s-%d", role, i)
	data := filepath.Join(env.folder, name)
	env.c.Assert(os.MkdirAll(data, 0o700), qt.IsNil)
	var seeds []string
	for j := range controlCount {
		seeds = append(seeds, fmt.Sprintf("%q", env.ip(controlGroup, j)+":8100"))
	}
	text := fmt.Sprintf(`node_name = %q
ip = %q
zone = %q
zones = {a = "r", b = "r"}
internal_ports = [7000,7010]
seeds = [%s]
bootstrap = true
data_dir = %q
heartbeat_ms = %d
[listen]
data_addr = "%s:%d"
ready = "%s:8101"
control = "%s:8100"
[bounds]
grace_s = 3
sync_s = 4
addr_reuse_s = 2
max_flow_s = 60
ack_ms = %d
%s`, name, ip, zoneOf(i), strings.Join(seeds, ","), data, env.mode.heartbeat().Milliseconds(), ip, env.dataPort, ip, ip, repeatWindow.Milliseconds(), env.mode.limits())
	settings := filepath.Join(env.folder, name+".toml")
	env.c.Assert(os.WriteFile(settings, []byte(text), 0o600), qt.IsNil)
	log, err := os.Create(filepath.Join(env.folder, name+".log"))
	env.c.Assert(err, qt.IsNil)
	p := &process{env: env, name: name, ip: ip, args: args, configVar: "MONSOONCLEAT_CONFIG=" + settings, log: log}
	env.procs = append(env.procs, p)
	env.start(p)
}

// start starts a process and watches for an exit that the test did not request.
func (env *testEnv) start(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopRequested.Store(false)
	env.forgetContact(p.ip)
	p.cmd = exec.Command(env.bin, p.args...)
	p.cmd.Env = append(os.Environ(), p.configVar)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	info, err := p.log.Stat()
	env.c.Assert(err, qt.IsNil)
	p.logOffset.Store(info.Size())
	env.c.Assert(p.cmd.Start(), qt.IsNil)
	env.noteEvent("%s: started", p.name)
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		if !p.stopRequested.Load() {
			env.recordViolation("%s exited unexpectedly: %v", p.name, err)
		}
		close(exited)
	}(p.cmd, p.exited)
}

func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
	p.env.noteEvent("%s: %v", p.name, s)
}

// terminate sends a signal that ends the process and waits for its exit. A stopped
// process is continued first.
func (p *process) terminate(s os.Signal) {
	p.stopRequested.Store(true)
	p.signal(syscall.SIGCONT)
	p.signal(s)
	<-p.exited
}

func (env *testEnv) close() {
	close(env.stop)
	for _, p := range env.procs {
		p.terminate(os.Kill)
		_ = p.log.Close()
	}
	for _, p := range env.proxies {
		_ = p.ln.Close()
		p.reset()
	}
	for _, c := range env.clients {
		_ = c.conn.Close()
	}
	env.mu.Lock()
	for _, s := range env.servers {
		_ = s.conn.Close()
	}
	env.mu.Unlock()
	env.rebirthTasks.Wait()
	env.tasks.Wait()
	_ = env.events.Close()
}

func (env *testEnv) addClient(i int) {
	addr := &net.UDPAddr{IP: net.ParseIP(env.ip(clientGroup, i)), Port: env.dataPort}
	conn, err := net.ListenUDP("udp4", addr)
	env.c.Assert(err, qt.IsNil)
	c := &client{env: env, ip: [4]byte(addr.IP.To4()), conn: conn, inbound: map[uint16]chan packet{}}
	env.clients = append(env.clients, c)
	go c.listen()
}

var httpClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// callHTTP sends a request with a JSON body, if there is one. It returns status 0 if
// no complete response was received.
func callHTTP(method, url string, body any) (int, []byte) {
	var reader io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}
		reader = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, url, reader)
	if err != nil {
		return 0, nil
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

// callControl calls the control hosts in turn until one answers with status 200. It
// reports whether one did within the number of attempts.
func (env *testEnv) callControl(method, path string, body any, attempts int) bool {
	first := env.randN(controlCount)
	for i := range attempts {
		url := fmt.Sprintf("http://%s:8100%s", env.ip(controlGroup, (first+i)%controlCount), path)
		if code, _ := callHTTP(method, url, body); code == http.StatusOK {
			return true
		}
		select {
		case <-env.stop:
			return false
		case <-time.After(50 * time.Millisecond):
		}
	}
	return false
}

// serverOf returns the server that holds a flow open, or nil. Another server may have
// accepted a retransmission of the opening packet without being chosen: it holds a
// flow of the same key, but with another initial sequence number.
func (env *testEnv) serverOf(f *flow) *server {
	for _, s := range env.allServers() {
		s.mu.Lock()
		isn, holds := s.flows[f.key()]
		s.mu.Unlock()
		if holds && sameFlow(f.ack, isn) {
			return s
		}
	}
	return nil
}

// sameFlow reports whether a client that acknowledges ack has the flow of an initial sequence
// number: it acknowledges bytes shortly after that. No flow carries 1 MiB.
func sameFlow(ack, isn uint32) bool { return ack-isn < 1<<20 }

// allServers returns the servers that run. The lock of a server is always taken before
// env.mu, so env.mu must not be held while that of a server is taken.
func (env *testEnv) allServers() []*server {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Collect(maps.Values(env.servers))
}
