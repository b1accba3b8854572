// Package daemon runs an entry host: the decision machine of package core
// between the fabric, the backend servers and the other hosts.
package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/agree/disk"
	"monsooncleat.example/monsooncleat/internal/base/admin"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/logs"
	"monsooncleat.example/monsooncleat/internal/base/ring"
	"monsooncleat.example/monsooncleat/internal/base/super"
	"monsooncleat.example/monsooncleat/internal/bundle/chain"
	"monsooncleat.example/monsooncleat/internal/conf/node"
	"monsooncleat.example/monsooncleat/internal/entry/core"
	"monsooncleat.example/monsooncleat/internal/host/member"
	"monsooncleat.example/monsooncleat/internal/serve/roster"
	"monsooncleat.example/monsooncleat/internal/wire/link"
)

const (
	packetRing  = 16384
	eventRing   = 4096
	releaseRing = 16
	tickSpan    = 20 * time.Millisecond
	releaseName = "release"
	folderMode  = 0o700
	departPause = 100 * time.Millisecond
)

// event is what reaches the decision goroutine besides datagrams. One of the
// fields is set.
type event struct {
	frame    []byte
	announce *roster.Announcement
	ask      chan<- any
	leave    bool
}

// Daemon is a running entry host.
type Daemon struct {
	settings *node.Entry
	clock    clock.Source
	log      *logs.Logger
	core     *core.Core
	packets  *ring.Ring[*link.Datagram]
	answers  *ring.Ring[*link.Datagram]
	events   *ring.Ring[event]
	releases *ring.Ring[*chain.Update]
	fabric   *link.DatagramServer
	replies  *link.DatagramServer
	server   *link.Server
	peers    *link.Peers
	socket   *net.UDPConn
	metrics  *admin.Metrics
	// left closes when a leaving host has nothing left to finish.
	left    chan struct{}
	hasLeft bool
	sendErr atomic.Uint64
	stats   stats
}

// New returns a Daemon that is ready to run.
func New(settings *node.Entry, source clock.Source, factory *logs.Factory) (*Daemon, error) {
	d := &Daemon{
		settings: settings, clock: source, log: factory.Part("entry"),
		packets: ring.New[*link.Datagram](packetRing), answers: ring.New[*link.Datagram](packetRing),
		events: ring.New[event](eventRing), releases: ring.New[*chain.Update](releaseRing),
		metrics: admin.NewMetrics(), left: make(chan struct{}),
	}
	boot := uint64(clock.Wall())
	r := rand.New(rand.NewPCG(boot, uint64(os.Getpid())))
	d.core = core.New(options(settings, boot), source.Now(), r)
	if err := d.restore(); err != nil {
		return nil, err
	}
	d.fabric = link.NewDatagramServer(settings.Fabric.String(), offerTo(d.packets))
	d.replies = link.NewDatagramServer(settings.Answers.String(), offerTo(d.answers))
	d.peers = link.NewPeers(settings.Key(), d.onFrame)
	d.server = link.NewServer(settings.Peer.String(), settings.Key(), d.onFrame, factory.Part("link"))
	d.publish()
	return d, nil
}

func options(s *node.Entry, boot uint64) core.Options {
	o := core.Options{
		Name: s.Name, Centre: s.DataCentre, Boot: boot, Fabric: s.Fabric.String(), Peer: s.Peer.String(),
		Answers: s.Answers.AddrPort, ReturnPort: s.ReturnPort, Keys: s.Ring(),
		MaxFlows: s.MaxFlows, MaxRequests: s.MaxRequests, Timing: member.DefaultTiming,
	}
	for _, e := range s.Seeds {
		o.Seeds = append(o.Seeds, e.String())
	}
	for _, e := range s.Controls {
		o.Controls = append(o.Controls, e.String())
	}
	return o
}

func offerTo(r *ring.Ring[*link.Datagram]) func(*link.Datagram) {
	return func(d *link.Datagram) {
		if !r.Offer(d) {
			d.Free()
		}
	}
}

// restore puts the release in force that was stored before a restart.
func (d *Daemon) restore() error {
	if d.settings.DataFolder == "" {
		return nil
	}
	if err := os.MkdirAll(d.settings.DataFolder, folderMode); err != nil {
		return eris.Wrap(err, "create data folder")
	}
	b, err := os.ReadFile(d.releasePath())
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "read stored release")
	}
	var u chain.Update
	if err := msgpack.Unmarshal(b, &u); err != nil {
		return eris.Wrap(err, "decode stored release")
	}
	return eris.Wrap(d.core.Restore(&u), "stored release")
}

func (d *Daemon) releasePath() string {
	return filepath.Join(d.settings.DataFolder, releaseName)
}

// Run serves until ctx is done, and then leaves gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: d.settings.Fabric.Addr().AsSlice()})
	if err != nil {
		return eris.Wrap(err, "open sending socket")
	}
	d.socket = socket
	defer socket.Close()
	tree := super.New(context.WithoutCancel(ctx), "entry", d.log)
	tree.Start("fabric", d.fabric.Run)
	tree.Start("answers", d.replies.Run)
	tree.Start("peers", d.server.Run)
	tree.Start("decisions", d.decide)
	tree.Start("releases", d.store)
	tree.Start("announce", d.serveAnnounce)
	tree.Start("admin", admin.New(d.settings.Admin.String(), d.metrics, d.dump, d.stats.ready.Load).Run)
	d.log.Info("Entry host is up.", "name", d.settings.Name, "fabric", d.settings.Fabric)
	select {
	case <-tree.Done():
	case <-ctx.Done():
		d.leave(tree)
	}
	err = tree.Stop()
	d.peers.Close()
	d.log.Info("Entry host is down.")
	return err
}

// leave hands over and waits until nothing is left to finish, at most for the
// drain time of the settings.
func (d *Daemon) leave(tree *super.Tree) {
	d.log.Info("Entry host leaves.")
	d.events.Offer(event{leave: true})
	select {
	case <-d.left:
	case <-tree.Done():
	case <-time.After(d.settings.Drain.Millis().Duration()):
		d.log.Warn("Drain time is over.")
	}
	time.Sleep(departPause)
}

func (d *Daemon) onFrame(_ link.Replier, body []byte) {
	d.events.Offer(event{frame: body})
}

// decide is the goroutine that owns the decision machine.
func (d *Daemon) decide(ctx context.Context) error {
	ticker := time.NewTicker(tickSpan)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-d.packets.Items():
			d.core.Datagram(d.clock.Now(), p.From, p.Data)
			d.perform()
			p.Free()
			continue
		case p := <-d.answers.Items():
			d.core.Answer(d.clock.Now(), p.Data)
			p.Free()
		case e := <-d.events.Items():
			d.take(e)
		case <-ticker.C:
			d.tick()
		}
		d.perform()
	}
}

func (d *Daemon) tick() {
	d.core.Tick(d.clock.Now())
	d.stats.copy(d.core)
	if !d.hasLeft && d.core.Idle() {
		d.hasLeft = true
		d.core.Depart()
		close(d.left)
	}
}

func (d *Daemon) take(e event) {
	now := d.clock.Now()
	switch {
	case e.frame != nil:
		d.core.Frame(now, e.frame)
	case e.announce != nil:
		d.core.Announce(now, e.announce)
	case e.leave:
		d.core.Leave(now)
	case e.ask != nil:
		e.ask <- d.state(now)
	}
}

// perform sends what the decision machine wants sent.
func (d *Daemon) perform() {
	out := d.core.Take()
	for i := range out.Datagrams {
		g := &out.Datagrams[i]
		if _, err := d.socket.WriteToUDPAddrPort(g.Data, g.To); err != nil {
			d.sendErr.Add(1)
		}
	}
	for _, f := range out.Frames {
		d.peers.Send(f.To, f.Body)
	}
	if out.Release != nil {
		d.noteRelease(out.Release)
	}
	d.core.Sent()
}

func (d *Daemon) noteRelease(u *chain.Update) {
	last := u.Releases[len(u.Releases)-1]
	d.log.Info("Bundle is in force.", "version", last.Version, "seq", last.Seq)
	if d.settings.DataFolder != "" && !d.releases.Offer(u) {
		d.log.Warn("Release is not stored: the disk is too slow.", "seq", last.Seq)
	}
}

// store is the goroutine that writes the release in force to the disk.
func (d *Daemon) store(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-d.releases.Items():
			b, err := msgpack.Marshal(u)
			if err == nil {
				err = disk.Replace(d.releasePath(), b)
			}
			if err != nil {
				d.log.Error("Release is not stored.", "err", err)
			}
		}
	}
}
