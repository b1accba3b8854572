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
	controls = 3
	relays   = 3
	// drainSpan is the time after which a server that drains gets no new flow.
	drainSpan = 3 * time.Second
	// heartbeat is the span between announcements.
	heartbeat = 300 * time.Millisecond
	routeX    = 443
	routeY    = 80
)

// process is one process of the product.
type process struct {
	name, ip string
	args     []string
	env      string
	log      *os.File
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	// logged is the size of the log in bytes before the last start.
	logged atomic.Int64
	// wanted is set before a signal of ours may end the process.
	wanted atomic.Bool
}

// world is a small deployment on loopback addresses.
type world struct {
	c      *qt.C
	folder string
	bin    string
	// net is the second byte of all addresses. It differs between test processes,
	// so that two can play one seed at once.
	net     int
	packets int
	rand    *rand.Rand
	randMu  sync.Mutex
	procs   []*process
	proxies []*proxy
	callers []*caller

	mu      sync.Mutex
	servers map[string]*server
	runs    map[uint64]int
	// runKeys holds the server and flow on which a request ran last.
	runKeys map[uint64]string
	// ready holds the addresses of the relays in rotation.
	ready  atomic.Value
	acked  uint64
	faults []string
	served atomic.Int64
	failed atomic.Int64
	// deserted counts the requests without an answer on a flow that its server
	// still held.
	deserted atomic.Int64
	nextID   atomic.Uint64
	stop     chan struct{}
	done     sync.WaitGroup
}

func (w *world) draw() uint32 {
	w.randMu.Lock()
	defer w.randMu.Unlock()
	return w.rand.Uint32()
}

func (w *world) number(n int) int { return int(w.draw() % uint32(n)) }

func (w *world) fault(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// opened checks a flow that a server takes.
func (w *world) opened(s *server, h *head) {
	if !s.drained.IsZero() && time.Since(s.drained) > drainSpan {
		w.fault("%s took a flow %v after its drain was acknowledged", s.id, time.Since(s.drained))
	}
	if want := map[uint16]string{routeX: "x", routeY: "y"}[h.dport]; s.service != want {
		w.fault("%s of service %s took a flow to port %d", s.id, s.service, h.dport)
	}
}

// ran counts a request that a server works on. A copy on the same flow is the
// same request.
func (w *world) ran(s *server, h *head) {
	id := uint64(h.data[0])<<56 | uint64(h.data[1])<<48 | uint64(h.data[2])<<40 | uint64(h.data[3])<<32 |
		uint64(h.data[4])<<24 | uint64(h.data[5])<<16 | uint64(h.data[6])<<8 | uint64(h.data[7])
	key := s.id + h.key()
	w.mu.Lock()
	defer w.mu.Unlock()
	if before, seen := w.runKeys[id]; seen && before != key {
		w.runs[id]++
	}
	w.runKeys[id] = key
}

func newWorld(t *testing.T, seed uint64, bin string) *world {
	c := qt.New(t)
	w := &world{
		c: c, folder: c.TempDir(), bin: bin, net: 10 + int((seed+uint64(os.Getpid()))%200), packets: 8172, rand: rand.New(rand.NewPCG(seed, 5)),
		servers: map[string]*server{}, runs: map[uint64]int{}, runKeys: map[uint64]string{}, stop: make(chan struct{}),
	}
	for i := range controls {
		ip := w.ip(1, i)
		p, err := newProxy(ip+":7000", ip+":7001")
		c.Assert(err, qt.IsNil)
		w.proxies = append(w.proxies, p)
		w.add("control", i, ip, "directory", "-bind", ip+":7001")
	}
	for i := range relays {
		w.add("entry", i, w.ip(2, i), "relay")
	}
	for i := range 3 {
		w.addCaller(i)
	}
	t.Cleanup(w.close)
	return w
}

func (w *world) ip(group, i int) string { return fmt.Sprintf("127.%d.%d.%d", w.net, group, i+1) }

// add writes the settings of a process and starts it.
func (w *world) add(role string, i int, ip string, args ...string) {
	name := fmt.Sprintf("%s-%d", role, i)
	data := filepath.Join(w.folder, name)
	w.c.Assert(os.MkdirAll(data, 0o700), qt.IsNil)
	var seeds []string
	for j := range controls {
		seeds = append(seeds, fmt.Sprintf("%q", w.ip(1, j)+":8100"))
	}
	text := fmt.Sprintf(`node_name = %q
ip = %q
zone = "a"
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
addr_reuse_s = 2
max_flow_s = 60
`, name, ip, strings.Join(seeds, ","), data, heartbeat.Milliseconds(), ip, w.packets, ip, ip)
	settings := filepath.Join(w.folder, name+".toml")
	w.c.Assert(os.WriteFile(settings, []byte(text), 0o600), qt.IsNil)
	log, err := os.Create(filepath.Join(w.folder, name+".log"))
	w.c.Assert(err, qt.IsNil)
	p := &process{name: name, ip: ip, args: args, env: "MONSOONCLEAT_CONFIG=" + settings, log: log}
	w.procs = append(w.procs, p)
	w.start(p)
}

func (w *world) start(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted.Store(false)
	p.cmd = exec.Command(w.bin, p.args...)
	p.cmd.Env = append(os.Environ(), p.env)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	info, err := p.log.Stat()
	w.c.Assert(err, qt.IsNil)
	p.logged.Store(info.Size())
	w.c.Assert(p.cmd.Start(), qt.IsNil)
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		if !p.wanted.Load() {
			w.fault("%s ended by itself: %v", p.name, err)
		}
		close(exited)
	}(p.cmd, p.exited)
}

func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// end ends a process by a signal and waits for it.
func (p *process) end(s os.Signal) {
	p.wanted.Store(true)
	p.signal(syscall.SIGCONT)
	p.signal(s)
	<-p.exited
}

func (w *world) close() {
	close(w.stop)
	for _, p := range w.procs {
		p.end(os.Kill)
		_ = p.log.Close()
	}
	for _, p := range w.proxies {
		_ = p.ln.Close()
		p.reset()
	}
	for _, c := range w.callers {
		_ = c.conn.Close()
	}
	w.mu.Lock()
	for _, s := range w.servers {
		_ = s.conn.Close()
	}
	w.mu.Unlock()
	w.done.Wait()
}

func (w *world) addCaller(i int) {
	addr := &net.UDPAddr{IP: net.ParseIP(w.ip(9, i)), Port: w.packets}
	conn, err := net.ListenUDP("udp4", addr)
	w.c.Assert(err, qt.IsNil)
	c := &caller{w: w, ip: [4]byte(addr.IP.To4()), conn: conn, ends: map[uint16]chan head{}}
	w.callers = append(w.callers, c)
	go c.listen()
}

// route sends a packet to the relay that its flow maps to among those that are
// ready, as the platform's routers do.
func (w *world) route(c *caller, h *head) {
	ready, _ := w.ready.Load().([]string)
	if len(ready) == 0 {
		return
	}
	n := uint32(h.sport)*2654435761 + uint32(h.src[3])
	to := &net.UDPAddr{IP: net.ParseIP(ready[n%uint32(len(ready))]), Port: w.packets}
	_, _ = c.conn.WriteToUDP(h.bytes(), to)
}

var client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func call(method, url string, body any) (int, []byte) {
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
	resp, err := client.Do(req)
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

// api calls control hosts in turn until one answers with 200.
func (w *world) api(method, path string, body any, tries int) bool {
	first := w.number(controls)
	for i := range tries {
		url := fmt.Sprintf("http://%s:8100%s", w.ip(1, (first+i)%controls), path)
		if code, _ := call(method, url, body); code == http.StatusOK {
			return true
		}
		select {
		case <-w.stop:
			return false
		case <-time.After(50 * time.Millisecond):
		}
	}
	return false
}

// holder returns the server that holds a flow, or nil. One that took a copy of
// the flow's opening packet and was not chosen holds another flow of its key.
func (w *world) holder(f *flow) *server {
	// A server that takes a packet locks itself before the world.
	w.mu.Lock()
	servers := slices.Collect(maps.Values(w.servers))
	w.mu.Unlock()
	for _, s := range servers {
		s.mu.Lock()
		own, holds := s.flows[f.key()]
		s.mu.Unlock()
		if holds && f.ack-own < 1<<20 {
			return s
		}
	}
	return nil
}
