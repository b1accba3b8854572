package rig

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as in the settings of a small one.
const (
	ContactTime    = 4 * time.Second
	AckTime        = 5 * time.Second
	DrainTime      = 3 * time.Second
	ConfigTime     = 3 * time.Second
	DowngradeTime  = 250 * time.Millisecond
	HeartbeatEvery = 1200 * time.Millisecond
)

// Ports, the same on all hosts.
const (
	apiPort   = 8166
	readyPort = 8167
	dataPort  = 8172
	peerPort  = 7720
	// boundPort is where a directory behind a proxy listens for other hosts.
	boundPort = 7730
)

// Groups of addresses.
const (
	directoryGroup = 1
	relayGroup     = 2
	serverGroup    = 5
	clientGroup    = 9
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// Options describe a deployment.
type Options struct {
	Directories, Relays int
	// Proxied puts a proxy before the port at which each directory is reached by other
	// hosts.
	Proxied bool
	Record  *Record
}

// Deployment is a running system.
type Deployment struct {
	Options
	// Dirs and Entries are the directories and the relays.
	Dirs, Entries []*Process
	// Proxies are those of the directories.
	Proxies []*Proxy
	Router  *Router
	subnet  int
	root    string
	folder  string
	// seeds are the directories that settings name. Started is set once the whole system
	// has been started.
	seeds   []int
	started bool
	servers []*Server
	clients []*Client
	done    chan struct{}
	tasks   sync.WaitGroup
}

// Process is a relay or a directory.
type Process struct {
	Name, IP, Zone string
	args           []string
	settings       string
	log            *os.File
	mu             sync.Mutex
	cmd            *exec.Cmd
	exited         chan struct{}
	// wanted is cleared before the process is ended on purpose.
	wanted bool
	deploy *Deployment
}

// ErrNoSubnet is returned if no loopback addresses are free.
var ErrNoSubnet = errors.New("no free loopback addresses")

// New starts a deployment. The current folder is the root of the repository.
func New(o Options) (*Deployment, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Options: o, root: root, folder: folder, done: make(chan struct{})}
	go d.endOnSignal()
	if err := d.claimSubnet(); err != nil {
		return nil, err
	}
	for i := range min(o.Directories, 3) {
		d.seeds = append(d.seeds, i)
	}
	for i := range o.Directories {
		ip := d.ip(directoryGroup, i)
		args := []string{"directory"}
		if o.Proxied {
			p, err := newProxy(fmt.Sprintf("%s:%d", ip, peerPort), fmt.Sprintf("%s:%d", ip, boundPort))
			if err != nil {
				return nil, errors.Join(err, d.Close())
			}
			d.Proxies = append(d.Proxies, p)
			args = append(args, "-bind", fmt.Sprintf("%s:%d", ip, boundPort))
		}
		p, err := d.add("directory", i, ip, args)
		if err != nil {
			return nil, errors.Join(err, d.Close())
		}
		d.Dirs = append(d.Dirs, p)
	}
	for i := range o.Relays {
		p, err := d.add("relay", i, d.ip(relayGroup, i), []string{"relay"})
		if err != nil {
			return nil, errors.Join(err, d.Close())
		}
		d.Entries = append(d.Entries, p)
	}
	d.started = true
	d.Router = newRouter(d)
	return d, nil
}

// AddDirectory starts another directory, with an empty disk. Its settings name the given
// directories as seeds, counted from 0. It can only be called while nothing else calls the
// directories.
func (d *Deployment) AddDirectory(seeds ...int) (*Process, error) {
	d.seeds = seeds
	p, err := d.add("directory", d.Directories, d.ip(directoryGroup, d.Directories), []string{"directory"})
	if err != nil {
		return nil, err
	}
	d.Directories++
	d.Dirs = append(d.Dirs, p)
	return p, nil
}

func (d *Deployment) ip(group, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.subnet, group, i+1)
}

// claimSubnet selects addresses that no other process uses.
func (d *Deployment) claimSubnet() error {
	for n := range 200 {
		d.subnet = 20 + (os.Getpid()+n)%200
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.ip(directoryGroup, 0), apiPort))
		if err == nil {
			return ln.Close()
		}
	}
	return ErrNoSubnet
}

// settings returns the settings file of a host, as the platform writes it.
func (d *Deployment) settings(name, role, class, ip, data string, zone int) string {
	var seeds []string
	for _, i := range d.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", d.ip(directoryGroup, i), apiPort)))
	}
	counts, serves, listen := false, "front", fmt.Sprintf("data_addr = \"%s:%d\"\nready = \"%s:%d\"\n", ip, dataPort, ip, readyPort)
	if class == "core" {
		counts, serves, listen = true, "control", fmt.Sprintf("control = \"%s:%d\"\n", ip, apiPort)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\nrole = %q\nmachine_class = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = \"r\"\n", name, role, class, serves, ip, zones[zone])
	fmt.Fprintf(&b, "internal_ports = [%d,%d]\nseeds = [%s]\nbootstrap = %t\nloss_counts = %t\n", peerPort, peerPort+15, strings.Join(seeds, ","), !d.started, counts)
	if data != "" {
		fmt.Fprintf(&b, "data_dir = %q\n", data)
	}
	fmt.Fprintf(&b, "discovery = \"registry\"\nentry = \"announce\"\nheartbeat_ms = %d\n", HeartbeatEvery.Milliseconds())
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"health\",\"flows\"]\nconfig_mode = \"highest\"\nflow_hash = \"mod\"\nforwarding_mode = \"echo\"\n")
	b.WriteString("[zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = \"r\"\n", z)
	}
	fmt.Fprintf(&b, "[listen]\n%s", listen)
	b.WriteString("[limits]\ncpu_share = 0.4\ncores = 1\nmemory_mb = 284\nmax_fds = 4096\nlink_mbps = 1000.0\ndisk_mb = 128\n")
	b.WriteString("[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n")
	b.WriteString("[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 4000\nack_ms = 5000\nsync_s = 4\ndrain_ms = 3000\ngrace_s = 6\n")
	b.WriteString("loss_slack_ms = 200\nconfig_apply_ms = 3000\ndowngrade_ms = 250\nmax_skew_ms = 12000\nrecovery_s = 12\nreorder_ms = 2000\nmax_flow_s = 60\n")
	return b.String()
}

func (d *Deployment) add(role string, i int, ip string, args []string) (*Process, error) {
	class, data := "front", ""
	name := fmt.Sprintf("%s-%d", role, i+1)
	if role == "directory" {
		class, data = "core", filepath.Join(d.folder, name+".data")
		if err := os.MkdirAll(data, 0o700); err != nil {
			return nil, err
		}
	}
	p := &Process{Name: name, IP: ip, Zone: zones[i%len(zones)], args: args, settings: filepath.Join(d.folder, name+".toml"), deploy: d}
	text := d.settings(name, role, class, ip, data, i%len(zones))
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	if p.log, err = os.Create(filepath.Join(d.folder, name+".log")); err != nil {
		return nil, err
	}
	return p, p.Start()
}

// Start starts the process with the program of the deploy file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(filepath.Join(p.deploy.root, "target", "monsooncleat"), p.args...)
	p.cmd.Dir = p.deploy.root
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MONSOONCLEAT_CONFIG=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		p.cmd = nil
		return err
	}
	p.wanted, p.exited = true, make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		p.mu.Lock()
		unexpected := p.wanted
		p.mu.Unlock()
		if unexpected {
			p.deploy.Record.Printf("%s ended by itself: %v", p.Name, err)
		}
		close(exited)
	}(p.cmd, p.exited)
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// End sends a signal that ends the process, and waits until it has ended.
func (p *Process) End(s syscall.Signal) {
	p.mu.Lock()
	p.wanted = false
	started := p.cmd != nil
	p.mu.Unlock()
	if !started {
		return
	}
	p.Signal(syscall.SIGCONT)
	p.Signal(s)
	<-p.exited
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Go runs a task that ends after Close has closed Done.
func (d *Deployment) Go(task func()) { d.tasks.Go(task) }

// Sleep returns false if the deployment was closed before the time has passed.
func (d *Deployment) Sleep(t time.Duration) bool {
	select {
	case <-d.done:
		return false
	case <-time.After(t):
		return true
	}
}

// endOnSignal ends all processes when this one is told to end.
func (d *Deployment) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-d.done:
	case <-signals:
		_ = d.Close()
		os.Exit(NotRun)
	}
}

// keepLogs copies the logs of the processes to a folder if REVIEW_LOGS names one.
func (d *Deployment) keepLogs() error {
	if to := os.Getenv("REVIEW_LOGS"); to != "" {
		return os.CopyFS(to, os.DirFS(d.folder))
	}
	return nil
}

// Close ends all processes and stand-ins and removes the folder.
func (d *Deployment) Close() error {
	close(d.done)
	for _, s := range d.servers {
		s.Stop()
	}
	for _, c := range d.clients {
		_ = c.conn.Close()
	}
	for _, p := range append(d.Entries, d.Dirs...) {
		p.End(syscall.SIGKILL)
		_ = p.log.Close()
	}
	for _, p := range d.Proxies {
		p.close()
	}
	d.tasks.Wait()
	return errors.Join(d.keepLogs(), os.RemoveAll(d.folder))
}
