package stage

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports and bounds of the deployment, as in the settings of a small site.
const (
	apiPort   = 8166
	dataPort  = 8172
	readyPort = 8167
	peerPort  = 7720
	// HeartbeatInterval is heartbeat_ms.
	HeartbeatInterval = 1200 * time.Millisecond
	// DrainTime is drain_ms, ConfigApplyTime config_apply_ms, and ContactTime contact_ms.
	DrainTime       = 3 * time.Second
	ConfigApplyTime = 3 * time.Second
	ContactTime     = 4 * time.Second
	// probeInterval is the interval of the routers' readiness probes.
	probeInterval = 500 * time.Millisecond
	maxLogBytes   = 8 << 20
)

// zones are the data centres. Directories and servers are spread over them. The clients and
// relays are in the first one.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// Process is a directory or relay.
type Process struct {
	Name, IP string
	role     string
	settings string
	stage    *Stage
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	// asked is set before the stage ends the process.
	asked bool
	// in is the rotation of the routers, of a relay.
	in     bool
	misses int
}

// Stage is a running deployment.
type Stage struct {
	Record      *Record
	Directories []*Process
	Relays      []*Process
	folder      string
	subnet      int
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	http        *http.Client
	clients     int
	// lock keeps the addresses from other runs.
	lock net.Listener
}

// New starts a deployment with the given numbers of directories and relays. Folder is
// that of the case.
func New(folder string, directories, relays int) (*Stage, error) {
	rec, err := NewRecord(folder)
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &Stage{Record: rec, folder: temp, http: &http.Client{
		Timeout:       2 * time.Second,
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := s.pickSubnet(); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range directories {
		ip := s.IP(1, i+1)
		s.Directories = append(s.Directories, &Process{Name: fmt.Sprintf("core-%d", i+1), IP: ip, role: "directory", stage: s})
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip, apiPort)))
		}
	}
	for i := range relays {
		s.Relays = append(s.Relays, &Process{Name: fmt.Sprintf("front-%d", i+1), IP: s.IP(2, i+1), role: "relay", stage: s})
	}
	for i, p := range append(append([]*Process{}, s.Directories...), s.Relays...) {
		if err := p.writeSettings(p.zone(i), strings.Join(seeds, ","), true); err != nil {
			return nil, err
		}
		if err := p.Start(); err != nil {
			return nil, err
		}
	}
	// All have read their settings by then. A later start is not the first one.
	time.Sleep(time.Second)
	for i, p := range append(append([]*Process{}, s.Directories...), s.Relays...) {
		if err := p.writeSettings(p.zone(i), strings.Join(seeds, ","), false); err != nil {
			return nil, err
		}
	}
	s.wg.Add(1)
	go s.route()
	return s, nil
}

// pickSubnet selects a part of the loopback range that no other run uses.
func (s *Stage) pickSubnet() error {
	for range 50 {
		s.subnet = 220 + rand.IntN(34)
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.IP(250, 1), apiPort))
		if err == nil {
			s.lock = ln
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

// IP returns the loopback address of a member of a group.
func (s *Stage) IP(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", s.subnet, group, n) }

// zone returns the zone of the n-th process. The relays are in that of the clients.
func (p *Process) zone(n int) string {
	if p.role == "relay" {
		return zones[0]
	}
	return zones[n%len(zones)]
}

func (p *Process) writeSettings(zone, seeds string, bootstrap bool) error {
	dir := filepath.Join(p.stage.folder, p.Name)
	if err := os.MkdirAll(filepath.Join(dir, "data"), 0o700); err != nil {
		return err
	}
	class, serves, listen, data := "front", "front", fmt.Sprintf("data_addr = \"%s:%d\"\nready = \"%s:%d\"", p.IP, dataPort, p.IP, readyPort), ""
	if p.role == "directory" {
		class, serves, listen = "core", "control", fmt.Sprintf("control = \"%s:%d\"", p.IP, apiPort)
		data = fmt.Sprintf("data_dir = %q\n", filepath.Join(dir, "data"))
	}
	text := fmt.Sprintf(`node_name = %q
role = %q
machine_class = %q
serves = [%q]
ip = %q
zone = %q
region = "north"
internal_ports = [%d,%d]
seeds = [%s]
bootstrap = %v
loss_counts = %v
%sdiscovery = "registry"
entry = "announce"
heartbeat_ms = %d
contracts = ["base","drain","config","cost","recover","flows"]
config_mode = "highest"
flow_hash = "mod"
forwarding_mode = "echo"
[zones]
zone-a = "north"
zone-b = "north"
zone-c = "north"
[listen]
%s
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 128
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 4000
ack_ms = 5000
sync_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
downgrade_ms = 250
max_skew_ms = 12000
recovery_s = 12
reorder_ms = 2000
max_flow_s = 60
`, p.Name, p.role, class, serves, p.IP, zone, peerPort, peerPort+15, seeds, bootstrap, class == "core", data,
		HeartbeatInterval.Milliseconds(), listen)
	p.settings = filepath.Join(dir, "local.toml")
	temp := p.settings + ".new"
	if err := os.WriteFile(temp, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temp, p.settings)
}

// Start starts the process with the command of the deploy file.
func (p *Process) Start() error {
	log, err := os.OpenFile(filepath.Join(p.stage.folder, p.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/monsooncleat", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.stage.folder, "LANG=C", "MONSOONCLEAT_CONFIG=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	p.mu.Lock()
	p.cmd, p.done, p.asked = cmd, make(chan struct{}), false
	done := p.done
	p.mu.Unlock()
	p.stage.Record.Log("start %s at %s", p.Name, p.IP)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		if !p.asked {
			p.stage.Record.Log("%s ended by itself: %v", p.Name, err)
		}
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// Wait waits for the end of the process.
func (p *Process) Wait() { <-p.done }

// Alive reports whether the process runs.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal.
func (p *Process) Signal(sig syscall.Signal) {
	p.stage.Record.Log("signal %s: %s", p.Name, sig)
	p.mu.Lock()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		p.asked = true
	}
	p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig)
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// API returns the URL of the directory's API with a path.
func (p *Process) API(path string) string { return fmt.Sprintf("http://%s:%d%s", p.IP, apiPort, path) }

// Log returns the last part of the process's own log.
func (p *Process) Log() string {
	b, _ := os.ReadFile(filepath.Join(p.stage.folder, p.Name+".log"))
	return string(b[max(len(b)-maxLogBytes, 0):])
}

// AddDirectory starts another directory with an empty disk at a new address. Its seeds are
// directories that run.
func (s *Stage) AddDirectory() (*Process, error) {
	n := len(s.Directories) + 1
	p := &Process{Name: fmt.Sprintf("core-%d", n), IP: s.IP(1, n), role: "directory", stage: s}
	var seeds []string
	for _, d := range s.Directories {
		if d.Alive() && len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", d.IP, apiPort)))
		}
	}
	if err := p.writeSettings(zones[(n-1)%len(zones)], strings.Join(seeds, ","), false); err != nil {
		return nil, err
	}
	if err := p.Start(); err != nil {
		return nil, err
	}
	s.Directories = append(s.Directories, p)
	return p, nil
}

// RemoveForGood kills a directory and deletes its disk. It never comes back.
func (p *Process) RemoveForGood() error {
	p.Kill()
	p.stage.Record.Log("%s is removed for good", p.Name)
	return os.RemoveAll(filepath.Join(p.stage.folder, p.Name, "data"))
}

// Leader returns the directory that leads according to the directories' logs, or nil.
func (s *Stage) Leader() *Process {
	for _, d := range s.Directories {
		if !d.Alive() {
			continue
		}
		_, last, found := cutLast(d.Log(), `msg="Leader changed." leader=`)
		if !found {
			continue
		}
		ip, _, _ := strings.Cut(last, ":")
		for _, l := range s.Directories {
			if l.IP == strings.Trim(ip, `"`) && l.Alive() {
				return l
			}
		}
	}
	return nil
}

func cutLast(text, sep string) (before, after string, found bool) {
	i := strings.LastIndex(text, sep)
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+len(sep):], true
}

// Alive returns the directories that run.
func (s *Stage) Alive() []*Process {
	var out []*Process
	for _, d := range s.Directories {
		if d.Alive() {
			out = append(out, d)
		}
	}
	return out
}

// Call sends a request and returns the status, or 0 without an answer within limit.
func (s *Stage) Call(method, url string, body []byte, limit time.Duration) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// Configure sends a configuration until it is acknowledged, and returns when it was.
func (s *Stage) Configure(body []byte) (time.Time, error) {
	for i := range 100 {
		live := s.Alive()
		d := live[i%len(live)]
		status, _ := s.Call(http.MethodPut, d.API("/config"), body, time.Second)
		if status/100 == 2 {
			s.Record.Log("configuration acknowledged by %s", d.Name)
			return time.Now(), nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, errors.New("configuration was not acknowledged")
}

// route probes the relays as the platform's routers do.
func (s *Stage) route() {
	defer s.wg.Done()
	for {
		for _, p := range s.Relays {
			status, _ := s.Call(http.MethodGet, fmt.Sprintf("http://%s:%d/readiness", p.IP, readyPort), nil, 400*time.Millisecond)
			p.mu.Lock()
			switch {
			case status == http.StatusOK:
				p.in, p.misses = true, 0
			default:
				if p.misses++; p.misses >= 2 {
					p.in = false
				}
			}
			p.mu.Unlock()
		}
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(probeInterval):
		}
	}
}

func (p *Process) inRotation() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.in
}

// relayFor returns the relay to which the routers send a packet: by a hash over those in
// rotation, or over all if fewer than half are.
func (s *Stage) relayFor(hash uint64) *Process {
	var in []*Process
	for _, p := range s.Relays {
		if p.inRotation() {
			in = append(in, p)
		}
	}
	if 2*len(in) < len(s.Relays) {
		in = s.Relays
	}
	return in[hash%uint64(len(in))]
}

// Ready waits until all relays are in rotation.
func (s *Stage) Ready() error {
	for range 150 {
		ready := true
		for _, p := range s.Relays {
			ready = ready && p.inRotation()
		}
		if ready {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("relays did not become ready")
}

// Close ends all processes and stand-ins and closes the record. The logs of the processes
// are kept if keep is set, and the folder is returned.
func (s *Stage) Close(keep bool) string {
	s.cancel()
	for _, p := range append(append([]*Process{}, s.Directories...), s.Relays...) {
		if p.cmd == nil {
			continue
		}
		p.mu.Lock()
		p.asked = true
		p.mu.Unlock()
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	s.wg.Wait()
	_ = s.lock.Close()
	s.Record.Close()
	if !keep {
		_ = os.RemoveAll(s.folder)
	}
	return s.folder
}
