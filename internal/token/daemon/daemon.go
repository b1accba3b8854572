// Package daemon runs an entry host that routes flows by token. It connects the
// routing logic of package core with the routers, the backend servers and the
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

	"monsooncleat.example/monsooncleat/internal/agree/attest"
	"monsooncleat.example/monsooncleat/internal/base/admin"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/logs"
	"monsooncleat.example/monsooncleat/internal/base/ring"
	"monsooncleat.example/monsooncleat/internal/base/super"
	"monsooncleat.example/monsooncleat/internal/bundle/routes"
	"monsooncleat.example/monsooncleat/internal/conf/site"
	"monsooncleat.example/monsooncleat/internal/conf/tune"
	directory "monsooncleat.example/monsooncleat/internal/dir/daemon"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/poll"
	"monsooncleat.example/monsooncleat/internal/serve/choose"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/token/core"
	"monsooncleat.example/monsooncleat/internal/wire/link"
)

const (
	updateQueueSize = 64
	replyQueueSize  = 256
	advertQueueSize = 16
	// fetchCheckInterval is the time between checks for fetches that are due, and
	// startCheckInterval the same while the host has no routing table.
	fetchCheckInterval = 100 * time.Millisecond
	startCheckInterval = 30 * time.Millisecond
	// drainTimeout is how long a stopping host continues to forward. It covers two
	// failed readiness probes and the packets that routers send until they react.
	drainTimeout = 2500 * clock.Millis(1)
	// killMargin is the time left between the end of the drain and the end of the
	// grace period, when the process is killed.
	killMargin = 1500 * clock.Millis(1)

	// defaultIdleTimeout is the idle timeout of flows if the routing table sets none.
	defaultIdleTimeout = 15 * clock.Second
	// maxFlows bounds the flow table, which takes about 200 bytes per flow.
	maxFlows = 100_000
	// forgetAfter is how long the record of an ended or silent server is kept: the
	// maximum lifetime of a flow plus a margin.
	forgetAfter = 90 * clock.Second
	// noTimeout exceeds the lifetime of any process. It disables the local
	// detection of silent servers, since control hosts report them.
	noTimeout = clock.Millis(1) << 60
)

// Codec decodes and encodes the packets of the clients' protocol. Package platform
// implements it.
type Codec interface {
	// Decode parses a client's packet into p. It reports false if the datagram is
	// not one.
	Decode(datagram []byte, p *core.Packet) bool
	// Forward appends the datagram that forwards a client's packet to a server.
	Forward(dst, datagram []byte, a *core.Action) []byte
	// Reset appends the datagram that tells the client of p that its flow is reset.
	Reset(dst []byte, p *core.Packet) []byte
}

// update is an item for the forwarder: changes received from a control host, or a
// request to dump the state.
type update struct {
	changes core.Update
	delta   *routes.Delta
	// confirmedAt is Poller.ConfirmedAt once the changes are applied.
	confirmedAt clock.Millis
	// dump receives the state if it is not nil.
	dump chan<- any
}

// Daemon is a running entry host.
type Daemon struct {
	settings *site.Settings
	clock    clock.Source
	log      *logs.Logger
	codec    Codec
	core     *core.Core
	updates  *ring.Ring[update]
	replies  *ring.Ring[[]byte]
	peers    *link.Peers
	poller   *poll.Poller
	metrics  *admin.Metrics
	forward  *forwarder
	// adverts carries the addresses of control hosts that have advertised themselves.
	adverts *ring.Ring[string]
	// witness belongs to the goroutine that receives datagrams.
	witness *attest.Witness
	// witnessing is set while that goroutine runs.
	witnessing atomic.Bool
	// witnessReplies counts the replies of the witness.
	witnessReplies atomic.Int64
	// seeds carries the seed addresses of reloaded settings to the fetch goroutine.
	seeds chan []string

	handshakes *admin.Histogram
	responses  *admin.Histogram
	// inputWait and openingWait hold, for each tick, the longest wait of a packet of an
	// open flow and of an opening packet on this host.
	inputWait         *admin.Histogram
	openingWait       *admin.Histogram
	openingsDiscarded atomic.Int64
	// waitProbesSent and waitProbesRead count the datagrams that measure waits.
	waitProbesSent, waitProbesRead atomic.Int64
	// evacuations is the number of evacuated data centres.
	evacuations atomic.Int64
	coldServers atomic.Int64
	// malformedReplies counts replies of control hosts that could not be decoded.
	malformedReplies atomic.Int64
	// sharingHosts is the number of entry hosts in the latest list of those that take new
	// flows.
	sharingHosts atomic.Int64
	// reasons counts decisions by reason, opened counts new flows by service.
	reasons *expvar.Map
	opened  *expvar.Map

	stats    atomic.Pointer[core.Stats]
	version  atomic.Uint64
	loads    atomic.Pointer[choose.Loads]
	ready    atomic.Bool
	stopping atomic.Bool
}

// New returns a Daemon. It returns an error if the settings are not valid for an
// entry host.
func New(settings *site.Settings, source clock.Source, factory *logs.Factory, codec Codec) (*Daemon, error) {
	if err := settings.CheckEntry(); err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: settings, clock: source, log: factory.Logger("entry"), codec: codec,
		updates: ring.New[update](updateQueueSize), replies: ring.New[[]byte](replyQueueSize),
		adverts: ring.New[string](advertQueueSize), metrics: admin.NewMetrics(), seeds: make(chan []string, 1),
	}
	d.core = core.New(core.Options{
		Name: settings.Name, Centre: settings.Centre, Choice: choose.DefaultSettings, DefaultIdleTimeout: defaultIdleTimeout, MaxFlows: maxFlows,
		Off:   settings.Off,
		Fleet: fleet.Options{SilentAfter: noTimeout, ForgetAfter: forgetAfter, Follower: true},
	}, rand.New(rand.NewPCG(rand.Uint64(), uint64(os.Getpid()))))
	d.poller = poll.New(poll.Options{
		Name: settings.Name, Centre: settings.Centre, Seeds: settings.SeedAddresses(), Adverts: datagramAddress(settings),
		AwaitQuorum: settings.Off.Has(tune.FirstTable), Instance: newInstance(settings.Off),
	}, source.Now())
	d.witness = attest.New(newWitnessID(settings), directory.ElectionTimeout)
	d.peers = link.NewPeers(directory.Key, d.onReply)
	d.forward = newForwarder(d)
	d.registerMetrics(factory)
	return d, nil
}

// Run serves until ctx is done. It then reports not ready and continues to forward
// for a while, so that the routers can stop sending packets to this host.
func (d *Daemon) Run(ctx context.Context) error {
	tree := super.New(context.WithoutCancel(ctx), "entry", d.log)
	tree.Start("forward", d.forward.run)
	tree.Start("fetch", d.fetch)
	tree.Start("ready", d.serveReadiness)
	if d.settings.Peer.IsValid() {
		tree.Start("datagrams", d.receiveDatagrams)
	}
	tree.Start("admin", admin.New(d.settings.Admin.String(), d.metrics, d.dump, d.ready.Load).Run)
	d.log.Info("Entry host is up.", "name", d.settings.Name, "packets", d.settings.Packets, "centre", d.settings.Centre,
		"off", d.settings.Off.String())
	select {
	case <-tree.Done():
	case <-ctx.Done():
		d.stopping.Store(true)
		d.ready.Store(false)
		drain := min(drainTimeout, max(d.settings.GracePeriod-killMargin, 0))
		d.log.Info("Stopping. Packets are forwarded on for a while.", "linger", int64(drain))
		select {
		case <-tree.Done():
		case <-time.After(drain.Duration()):
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

// UpdateSeeds replaces the seed addresses of the control hosts with those of
// reloaded settings.
func (d *Daemon) UpdateSeeds(seeds []string) {
	select {
	case d.seeds <- seeds:
	default:
	}
}

func (d *Daemon) onReply(_ link.Replier, body []byte) { d.replies.Offer(body) }

// fetch polls the control hosts.
func (d *Daemon) fetch(ctx context.Context) error {
	ticker := time.NewTicker(startCheckInterval)
	defer ticker.Stop()
	starting := true
	d.sendFetches()
	for {
		select {
		case <-ctx.Done():
			return nil
		case seeds := <-d.seeds:
			d.poller.SetSeeds(seeds)
		case <-ticker.C:
			if starting && d.version.Load() > 0 {
				starting = false
				ticker.Reset(fetchCheckInterval)
			}
			d.sendFetches()
		case address := <-d.adverts.Items():
			d.poller.HandleAdvert(d.clock.Now(), address)
			d.sendFetches()
		case body := <-d.replies.Items():
			d.handleReply(body)
		}
	}
}

// sendFetches sends the fetches that are due.
func (d *Daemon) sendFetches() {
	d.poller.SetSharing(d.ready.Load() && !d.stopping.Load())
	d.poller.SetWitness(d.witnessID())
	var loads choose.Loads
	if l := d.loads.Load(); l != nil {
		loads = *l
	}
	for _, r := range d.poller.Tick(d.clock.Now(), d.version.Load(), loads) {
		if r.Reconnect {
			d.log.Warn("Control host does not reply.", "address", r.Address)
			d.peers.Reset(r.Address)
		}
		d.peers.Send(r.Address, msgs.Encode(&msgs.Envelope{Fetch: &r.Fetch}))
	}
}

// handleReply queues the changes in a control host's reply for the forwarder.
func (d *Daemon) handleReply(body []byte) {
	m, err := msgs.Decode(body)
	if err != nil || m.FetchReply == nil {
		d.malformedReplies.Add(1)
		d.log.Warn("Received an invalid reply from a control host.", "err", err)
		return
	}
	now, previous := d.clock.Now(), d.poller.Primary()
	a, err := d.poller.HandleReply(now, m.FetchReply, d.version.Load())
	if err != nil {
		d.malformedReplies.Add(1)
		d.log.Warn("Received a malformed reply. All servers are requested again.", "err", err)
		return
	}
	if p := d.poller.Primary(); p != previous {
		d.log.Info("Control host chosen.", "address", p, "before", previous, "current", m.FetchReply.Current)
	}
	if a.Next {
		d.sendFetches()
	}
	d.noteSharing(a.Sharing)
	u := update{delta: a.Delta, changes: core.Update{Loads: a.Loads, LoadCentres: a.LoadCentres, Silence: d.poller.Silence(now), Sharing: a.Sharing, SharingElsewhere: a.SharingElsewhere}, confirmedAt: d.poller.ConfirmedAt()}
	addEvacuations(&u.changes, &a)
	addGrants(&u.changes, &a)
	for _, s := range a.Servers {
		u.changes.Servers = append(u.changes.Servers, core.ServerUpdate{
			Record: s.Record, Age: s.Age, Ended: s.Ended, Aliases: s.Aliases,
		})
	}
	if !d.updates.Offer(u) {
		d.log.Warn("News were lost. They are asked for again.", "waiting", d.updates.Depth())
		d.poller.RefetchAll()
	}
}
