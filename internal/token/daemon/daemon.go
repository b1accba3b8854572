// Package daemon runs an entry host that routes flows by token: the decision
// machine of package core between the routers, the backend servers and the
// control hosts.
package daemon

import (
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"monsooncleat.example/monsooncleat/internal/base/admin"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/logs"
	"monsooncleat.example/monsooncleat/internal/base/ring"
	"monsooncleat.example/monsooncleat/internal/base/super"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/conf/site"
	directory "monsooncleat.example/monsooncleat/internal/dir/daemon"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/poll"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/token/core"
	"monsooncleat.example/monsooncleat/internal/wire/link"
)

const (
	newsRing  = 64
	replyRing = 256
	// fetchTick is the span between two looks at what is to be asked.
	fetchTick = 100 * time.Millisecond
	// lingerSpan is how long a stopping host forwards on: two missed probes of
	// its readiness and the packets sent before the routers have noticed.
	lingerSpan = 2500 * clock.Millis(1)
	// stopMargin is kept between the end of that span and the kill.
	stopMargin = 1500 * clock.Millis(1)

	// defaultIdle is how long an idle flow is remembered without a setting.
	defaultIdle = 15 * clock.Second
	// maxFlows bounds the flows remembered, at about 200 bytes each.
	maxFlows = 100_000
	// forgetAfter is how long an ended server is remembered: the longest life
	// of a flow and a margin.
	forgetAfter = 90 * clock.Second
	// never is longer than any run. Control hosts say which servers are silent.
	never = clock.Millis(1) << 60
)

// Codec reads and writes the packets of the platform.
type Codec interface {
	// Decode reads a caller's packet and reports whether it is one.
	Decode(datagram []byte, p *core.Packet) bool
	// Forward appends the datagram that carries a packet to a server.
	Forward(dst, datagram []byte, a *core.Action) []byte
	// Reset appends the datagram that resets the flow of a packet.
	Reset(dst []byte, p *core.Packet) []byte
}

// news is what the control hosts bring to the forwarding goroutine.
type news struct {
	update  core.Update
	delta   *routes.Delta
	settled clock.Millis
	ask     chan<- any
}

// Daemon is a running entry host.
type Daemon struct {
	settings *site.Host
	clock    clock.Source
	log      *logs.Logger
	codec    Codec
	core     *core.Core
	news     *ring.Ring[news]
	replies  *ring.Ring[[]byte]
	peers    *link.Peers
	poller   *poll.Poller
	metrics  *admin.Metrics
	forward  *forwarder
	seeds    chan []string
	// servers holds the IDs of the servers known to the fetching goroutine, and
	// when it heard of them last.
	servers map[string]clock.Millis

	handshakes *admin.Timing
	responses  *admin.Timing
	// reasons counts decisions by their reason, opened new flows by service.
	reasons *expvar.Map
	opened  *expvar.Map

	stats    atomic.Pointer[core.Stats]
	version  atomic.Uint64
	loads    atomic.Pointer[choose.Shares]
	ready    atomic.Bool
	stopping atomic.Bool
}

// New returns a Daemon that is ready to run.
func New(settings *site.Host, source clock.Source, factory *logs.Factory, codec Codec) (*Daemon, error) {
	if err := settings.CheckEntry(); err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: settings, clock: source, log: factory.Part("entry"), codec: codec,
		news: ring.New[news](newsRing), replies: ring.New[[]byte](replyRing),
		metrics: admin.NewMetrics(), seeds: make(chan []string, 1), servers: map[string]clock.Millis{},
	}
	d.core = core.New(core.Options{
		Centre: settings.Centre, Choice: choose.DefaultSettings, DefaultIdle: defaultIdle, MaxFlows: maxFlows,
		Fleet: fleet.Options{SilentAfter: never, ForgetAfter: forgetAfter, Follower: true},
	}, rand.New(rand.NewPCG(rand.Uint64(), uint64(os.Getpid()))))
	d.poller = poll.New(settings.Name, settings.SeedAddresses(), source.Now())
	d.peers = link.NewPeers(directory.Key, d.onReply)
	d.forward = newForwarder(d)
	d.publish(factory)
	return d, nil
}

// Run serves until ctx is done, and then forwards on until the routers have
// noticed.
func (d *Daemon) Run(ctx context.Context) error {
	tree := super.New(context.WithoutCancel(ctx), "entry", d.log)
	tree.Start("forward", d.forward.run)
	tree.Start("fetch", d.fetch)
	tree.Start("ready", d.serveReadiness)
	tree.Start("admin", admin.New(d.settings.Admin.String(), d.metrics, d.dump, d.ready.Load).Run)
	d.log.Info("Entry host is up.", "name", d.settings.Name, "packets", d.settings.Packets, "centre", d.settings.Centre)
	select {
	case <-tree.Done():
	case <-ctx.Done():
		d.stopping.Store(true)
		d.ready.Store(false)
		linger := min(lingerSpan, max(d.settings.Grace-stopMargin, 0))
		d.log.Info("Stopping. Packets are forwarded on for a while.", "linger", int64(linger))
		select {
		case <-tree.Done():
		case <-time.After(linger.Duration()):
		}
	}
	err := tree.Stop()
	d.peers.Close()
	d.log.Info("Entry host is down.")
	return err
}

func (d *Daemon) serveReadiness(ctx context.Context) error {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !d.ready.Load() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	if err := admin.ServeHTTP(ctx, d.settings.Ready.String(), server); err != nil {
		return fmt.Errorf("readiness: %w", err)
	}
	return nil
}

// Reseed takes seeds from changed settings.
func (d *Daemon) Reseed(seeds []string) {
	select {
	case d.seeds <- seeds:
	default:
	}
}

func (d *Daemon) onReply(_ link.Replier, body []byte) { d.replies.Offer(body) }

// fetch is the goroutine that asks the control hosts.
func (d *Daemon) fetch(ctx context.Context) error {
	ticker := time.NewTicker(fetchTick)
	defer ticker.Stop()
	d.askAll()
	for {
		select {
		case <-ctx.Done():
			return nil
		case seeds := <-d.seeds:
			d.poller.Reseed(seeds)
		case <-ticker.C:
			d.askAll()
		case body := <-d.replies.Items():
			d.take(body)
		}
	}
}

func (d *Daemon) askAll() {
	var loads choose.Shares
	if l := d.loads.Load(); l != nil {
		loads = *l
	}
	for _, a := range d.poller.Tick(d.clock.Now(), d.version.Load(), loads) {
		if a.Fresh {
			d.log.Warn("Control host does not reply.", "address", a.Address)
			d.peers.Reset(a.Address)
		}
		d.peers.Send(a.Address, msgs.Encode(&msgs.Envelope{Fetch: &a.Fetch}))
	}
}

func (d *Daemon) take(body []byte) {
	m, err := msgs.Decode(body)
	if err != nil || m.FetchReply == nil {
		d.log.Warn("Reply of a control host cannot be read.", "err", err)
		return
	}
	now, before := d.clock.Now(), d.poller.Primary()
	a := d.poller.Reply(now, m.FetchReply, d.version.Load())
	if p := d.poller.Primary(); p != before {
		d.log.Info("Control host chosen.", "address", p, "before", before, "current", m.FetchReply.Current)
		d.askAll()
	}
	silent := d.silence(now, a.News)
	n := news{delta: a.Delta, update: core.Update{Loads: a.Loads, Silence: func(id string) (bool, bool) {
		s, known := silent[id]
		return s, known
	}}}
	if d.poller.Settled(now) {
		n.settled = now
	}
	for _, s := range a.News {
		n.update.Servers = append(n.update.Servers, core.ServerNews{
			Record: s.Record, Age: s.Age, Ended: s.Ended,
		})
	}
	if !d.news.Offer(n) {
		d.log.Warn("News were lost. They are asked for again.", "waiting", d.news.Depth())
		d.poller.Restart()
	}
}

// silence returns which servers are silent. The forwarding goroutine gets a map
// of its own, since the poller belongs to this one.
func (d *Daemon) silence(now clock.Millis, fresh []msgs.News) map[string]bool {
	for i := range fresh {
		d.servers[fresh[i].Record.ID] = now
	}
	out := make(map[string]bool, len(d.servers))
	for id, at := range d.servers {
		if silent, known := d.poller.Silent(now, id); known {
			out[id] = silent
			if silent && now-at > forgetAfter {
				delete(d.servers, id)
			}
		}
	}
	return out
}
