// Package daemon runs an entry host: it connects the core to the sockets, the
// HTTP listeners and the disk.
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
	"monsooncleat.example/monsooncleat/internal/entry/loss"
	"monsooncleat.example/monsooncleat/internal/host/member"
	"monsooncleat.example/monsooncleat/internal/serve/roster"
	"monsooncleat.example/monsooncleat/internal/wire/link"
)

const (
	packetRingSize  = 16384
	eventRingSize   = 4096
	releaseRingSize = 16
	tickInterval    = 20 * time.Millisecond
	releaseFileName = "release"
	dataFolderMode  = 0o700
	departDelay     = 100 * time.Millisecond
	// lossLinesPerSecond is the rate limit for log lines about resets, and for those
	// about unknown outcomes.
	lossLinesPerSecond = 25
)

// event is an event for the goroutine that owns the core, other than a
// datagram. Exactly one field is set.
type event struct {
	frame        []byte
	announcement *roster.Announcement
	dumpReply    chan<- any
	leave        bool
}

// Daemon is a running entry host.
type Daemon struct {
	settings       *node.Entry
	clock          clock.Source
	log            *logs.Logger
	core           *core.Core
	packets        *ring.Ring[*link.Datagram]
	answers        *ring.Ring[*link.Datagram]
	events         *ring.Ring[event]
	releases       *ring.Ring[*chain.Update]
	fabricListener *link.DatagramServer
	answerListener *link.DatagramServer
	frameListener  *link.Server
	// peers holds the outgoing connections for frames.
	peers      *link.Peers
	sendSocket *net.UDPConn
	metrics    *admin.Metrics
	// drained is closed when a leaving host has finished its work.
	drained    chan struct{}
	departed   bool
	sendErrors atomic.Uint64
	// resetLimiter limits the rate of log lines about resets.
	resetLimiter *logs.Limiter
	// unknownLimiter does the same for lines about unknown outcomes.
	unknownLimiter *logs.Limiter
	stats          stats
}

// New returns a Daemon with the release stored before a restart, if any.
func New(settings *node.Entry, source clock.Source, factory *logs.Factory) (*Daemon, error) {
	d := &Daemon{
		settings: settings, clock: source, log: factory.Logger("entry"),
		packets: ring.New[*link.Datagram](packetRingSize), answers: ring.New[*link.Datagram](packetRingSize),
		events: ring.New[event](eventRingSize), releases: ring.New[*chain.Update](releaseRingSize),
		metrics: admin.NewMetrics(), drained: make(chan struct{}), resetLimiter: logs.NewLimiter(lossLinesPerSecond),
		unknownLimiter: logs.NewLimiter(lossLinesPerSecond),
	}
	boot := uint64(clock.UnixMillis())
	r := rand.New(rand.NewPCG(boot, uint64(os.Getpid())))
	d.core = core.New(coreOptions(settings, boot), source.Now(), r)
	if err := d.restore(); err != nil {
		return nil, err
	}
	d.fabricListener = link.NewDatagramServer(settings.Fabric.String(), enqueueTo(d.packets))
	d.answerListener = link.NewDatagramServer(settings.Answers.String(), enqueueTo(d.answers))
	d.peers = link.NewPeers(settings.Key(), d.onFrame)
	d.frameListener = link.NewServer(settings.Peer.String(), settings.Key(), d.onFrame, factory.Logger("link"))
	d.publishMetrics()
	return d, nil
}

func coreOptions(s *node.Entry, boot uint64) core.Options {
	o := core.Options{
		Name: s.Name, Centre: s.DataCentre, Boot: boot, Fabric: s.Fabric.String(), Peer: s.Peer.String(),
		Answers: s.Answers.AddrPort, ReturnPort: s.ReturnPort, Keys: s.OperatorKeys(),
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

// enqueueTo returns a handler that puts datagrams into r, and frees them if r is
// full.
func enqueueTo(r *ring.Ring[*link.Datagram]) func(*link.Datagram) {
	return func(d *link.Datagram) {
		if !r.Offer(d) {
			d.Free()
		}
	}
}

// restore activates the release that was stored before a restart, if any.
func (d *Daemon) restore() error {
	if d.settings.DataFolder == "" {
		return nil
	}
	if err := os.MkdirAll(d.settings.DataFolder, dataFolderMode); err != nil {
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
	return eris.Wrap(d.core.Restore(&u), "activate stored release")
}

func (d *Daemon) releasePath() string {
	return filepath.Join(d.settings.DataFolder, releaseFileName)
}

// Run serves until ctx is done, and then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: d.settings.Fabric.Addr().AsSlice()})
	if err != nil {
		return eris.Wrap(err, "open sending socket")
	}
	d.sendSocket = socket
	defer socket.Close()
	supervisor := super.New(context.WithoutCancel(ctx), "entry", d.log)
	supervisor.Start("fabric", d.fabricListener.Run)
	supervisor.Start("answers", d.answerListener.Run)
	supervisor.Start("peers", d.frameListener.Run)
	supervisor.Start("decisions", d.runCore)
	supervisor.Start("releases", d.writeReleases)
	supervisor.Start("announce", d.serveAnnounce)
	supervisor.Start("admin", admin.New(d.settings.Admin.String(), d.metrics, d.requestDump, d.stats.ready.Load).Run)
	d.log.Info("Entry host is up.", "name", d.settings.Name, "fabric", d.settings.Fabric)
	select {
	case <-supervisor.Done():
	case <-ctx.Done():
		d.drain(supervisor)
	}
	err = supervisor.Stop()
	d.peers.Close()
	d.log.Info("Entry host is down.", d.stats.brokenFlowCounters()...)
	return err
}

// drain hands the work over to the other hosts and waits until it is finished,
// at most for the drain time of the settings.
func (d *Daemon) drain(supervisor *super.Tree) {
	d.log.Info("Draining entry host.")
	d.events.Offer(event{leave: true})
	select {
	case <-d.drained:
	case <-supervisor.Done():
	case <-time.After(d.settings.Drain.Millis().Duration()):
		d.log.Warn("Drain time expired before the entry host was drained.")
	}
	// Gives the departure message time to be sent.
	time.Sleep(departDelay)
}

func (d *Daemon) onFrame(_ link.Replier, body []byte) {
	d.events.Offer(event{frame: body})
}

// runCore passes datagrams, events and ticks to the core. Its goroutine is the
// only one that uses the core.
func (d *Daemon) runCore(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-d.packets.Items():
			d.core.HandleDatagram(d.clock.Now(), p.From, p.Data)
			d.sendOutput()
			p.Free()
			continue
		case p := <-d.answers.Items():
			d.core.HandleAnswer(d.clock.Now(), p.Data)
			p.Free()
		case e := <-d.events.Items():
			d.handleEvent(e)
		case <-ticker.C:
			d.tick()
		}
		d.sendOutput()
	}
}

// tick runs the periodic work, and announces the departure once a leaving host
// is drained.
func (d *Daemon) tick() {
	d.core.Tick(d.clock.Now())
	d.stats.update(d.core)
	if !d.departed && d.core.Drained() {
		d.departed = true
		d.core.Depart()
		close(d.drained)
	}
}

func (d *Daemon) handleEvent(e event) {
	now := d.clock.Now()
	switch {
	case e.frame != nil:
		d.core.HandleFrame(now, e.frame)
	case e.announcement != nil:
		d.core.HandleAnnouncement(now, e.announcement)
	case e.leave:
		d.core.Leave(now)
	case e.dumpReply != nil:
		e.dumpReply <- d.dumpState(now)
	}
}

// sendOutput sends the output of the core.
func (d *Daemon) sendOutput() {
	out := d.core.PendingOutput()
	for i := range out.Datagrams {
		datagram := &out.Datagrams[i]
		if _, err := d.sendSocket.WriteToUDPAddrPort(datagram.Data, datagram.To); err != nil {
			d.sendErrors.Add(1)
		}
	}
	for _, frame := range out.Frames {
		d.peers.Send(frame.To, frame.Body)
	}
	d.logResets(out.Losses.Resets())
	d.logUnknowns(out.Losses.Unknowns())
	if out.Release != nil {
		d.storeRelease(out.Release)
	}
	d.core.ClearOutput()
}

// logResets logs the flows that the core has reset, within the rate limit.
func (d *Daemon) logResets(resets []loss.Reset) {
	for i := range resets {
		r := &resets[i]
		if omitted, ok := d.resetLimiter.Allow(d.clock.Now()); ok {
			d.log.Info("Flow decided.", "flow", r.Client.String()+">"+r.Service.String(), "outcome", "reset", "why", r.Reason.String(),
				"server", r.Server, "omitted", omitted)
		}
	}
}

// logUnknowns logs the requests that the core has answered as unknown, within the rate
// limit.
func (d *Daemon) logUnknowns(unknowns []loss.Unknown) {
	for _, u := range unknowns {
		if omitted, ok := d.unknownLimiter.Allow(d.clock.Now()); ok {
			d.log.Info("Request decided.", "request", u.ID, "outcome", "unknown", "why", u.Reason.String(),
				"server", u.Server, "omitted", omitted)
		}
	}
}

// storeRelease logs a newly activated release and queues it for writing.
func (d *Daemon) storeRelease(update *chain.Update) {
	last := update.Releases[len(update.Releases)-1]
	d.log.Info("Bundle activated.", "version", last.Version, "seq", last.Seq)
	if d.settings.DataFolder != "" && !d.releases.Offer(update) {
		d.log.Warn("Release not stored: write queue is full.", "seq", last.Seq)
	}
}

// writeReleases writes the queued releases to disk.
func (d *Daemon) writeReleases(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case update := <-d.releases.Items():
			b, err := msgpack.Marshal(update)
			if err == nil {
				err = disk.Replace(d.releasePath(), b)
			}
			if err != nil {
				d.log.Error("Release not stored: write failed.", "err", err)
			}
		}
	}
}
