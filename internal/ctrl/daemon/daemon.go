// Package daemon runs a control host that distributes bundles. It connects the state
// machine of package core to the disk, the listener and the connections to other
// control hosts.
package daemon

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"monsooncleat.example/monsooncleat/internal/agree/disk"
	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/admin"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/logs"
	"monsooncleat.example/monsooncleat/internal/base/ring"
	"monsooncleat.example/monsooncleat/internal/base/super"
	"monsooncleat.example/monsooncleat/internal/conf/node"
	"monsooncleat.example/monsooncleat/internal/ctrl/core"
	"monsooncleat.example/monsooncleat/internal/wire/link"
)

const (
	// eventRingSize is the capacity of the queue of incoming messages and dump
	// requests.
	eventRingSize = 4096
	// diskRingSize is the capacity of the queue of batches for the disk.
	diskRingSize = 1024
	tickInterval = 50 * time.Millisecond
	// maxPendingReplies is how many of the latest incoming messages can still be
	// replied to.
	maxPendingReplies = 8192
)

// event is an input of the core goroutine: a message body with the connection it
// came from, or one of the other fields.
type event struct {
	body []byte
	from link.Replier
	// persisted is what the disk goroutine has synced.
	persisted *raft.Synced
	// diskErr is the error that stopped the disk goroutine.
	diskErr error
	// dumpReply is the channel to send a state dump to.
	dumpReply chan<- any
}

// Daemon is a running control host.
type Daemon struct {
	settings *node.Control
	clock    clock.Source
	log      *logs.Logger
	store    *disk.Store
	core     *core.Core
	events   *ring.Ring[event]
	// diskEvents carries the results of batches from the disk goroutine. It has
	// twice the capacity of batches, so that it doesn't fill up and lose a result.
	diskEvents *ring.Ring[event]
	// batches carries output from the core goroutine to the disk goroutine.
	batches *ring.Ring[core.Output]
	peers   *link.Peers
	server  *link.Server
	metrics *admin.Metrics
	// current is set while the host is up to date, see raft.Node.Current. It is
	// the readiness reported by the admin server.
	current atomic.Bool

	// repliers maps reply handles to the connections awaiting a reply. The core
	// goroutine adds them and drops expired ones, and the disk goroutine removes
	// those that it replies to.
	repliersMu      sync.Mutex
	repliers        map[core.ReplyHandle]link.Replier
	lastReplyHandle core.ReplyHandle
}

// New opens the data folder and returns a Daemon. Call Run to start it.
func New(settings *node.Control, source clock.Source, factory *logs.Factory) (*Daemon, error) {
	store, stored, err := disk.Open(filepath.Join(settings.DataFolder, "log"))
	if err != nil {
		return nil, err
	}
	id, err := diskIdentity(store)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: settings, clock: source, log: factory.Logger("control"), store: store,
		events: ring.New[event](eventRingSize), diskEvents: ring.New[event](2 * diskRingSize), batches: ring.New[core.Output](diskRingSize),
		repliers: map[core.ReplyHandle]link.Replier{}, metrics: admin.NewMetrics(),
	}
	r := rand.New(rand.NewPCG(uint64(clock.UnixMillis()), uint64(os.Getpid())))
	if d.core, err = core.New(options(settings, id), stored, source.Now(), r); err != nil {
		return nil, err
	}
	d.peers = link.NewPeers(settings.Key(), d.onFrame)
	d.server = link.NewServer(settings.ListenAddress(), settings.Key(), d.onFrame, factory.Logger("link"))
	d.registerGauges()
	d.log.Info("Replicated log opened.", "disk", id, "term", stored.State.Term, "snapshot", stored.Snapshot.Index, "entries", len(stored.Entries))
	return d, nil
}

// diskIdentity returns the identity of the disk. On a new disk it stores a random
// one.
func diskIdentity(store *disk.Store) (string, error) {
	id, err := store.Identity()
	if err != nil || id != "" {
		return id, err
	}
	var b [8]byte
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	id = hex.EncodeToString(b[:])
	return id, store.SetIdentity(id)
}

func options(s *node.Control, disk string) core.Options {
	o := core.Options{Name: s.Name, Disk: disk, Keys: s.OperatorKeys(), Timing: s.Timing(), SnapshotEvery: s.SnapshotEvery}
	for _, h := range s.Hosts {
		o.ControlHosts = append(o.ControlHosts, core.ControlHost{Name: h.Name, Address: h.Address.String(), Initial: h.Initial})
	}
	return o
}

func (d *Daemon) registerGauges() {
	d.metrics.Gauge("eventRingDepth", func() int64 { return int64(d.events.Depth()) })
	d.metrics.Gauge("eventRingRefused", func() int64 { return int64(d.events.Refused()) })
	d.metrics.Gauge("diskRingDepth", func() int64 { return int64(d.batches.Depth()) })
	d.metrics.Gauge("controlBytesIn", func() int64 { return int64(d.server.BytesIn() + d.peers.BytesIn()) })
	d.metrics.Gauge("controlBytesOut", func() int64 { return int64(d.server.BytesOut() + d.peers.BytesOut()) })
	d.metrics.Gauge("framesDropped", func() int64 { return int64(d.peers.Dropped()) })
}

// Run runs the control host until ctx is done or one of its goroutines keeps failing.
func (d *Daemon) Run(ctx context.Context) error {
	tree := super.New(ctx, "control", d.log)
	tree.Start("listener", d.server.Run)
	tree.Start("disk", d.runDisk)
	tree.Start("decisions", d.runCore)
	tree.Start("admin", admin.New(d.settings.Admin.String(), d.metrics, d.dump, d.current.Load).Run)
	d.log.Info("Control host is up.", "name", d.settings.Name, "listen", d.settings.ListenAddress())
	<-tree.Done()
	err := tree.Stop()
	d.peers.Close()
	d.log.Info("Control host is down.")
	if closeErr := d.store.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (d *Daemon) onFrame(from link.Replier, body []byte) {
	d.events.Offer(event{body: body, from: from})
}

// runCore runs the core goroutine, the only one that uses core. It processes ticks
// and events and passes the output to the disk goroutine.
func (d *Daemon) runCore(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.core.Tick(d.clock.Now())
		case e := <-d.diskEvents.Items():
			d.handleEvent(e)
		case e := <-d.events.Items():
			d.handleEvent(e)
		}
		d.current.Store(d.core.Node().Current(d.clock.Now()))
		out := d.core.Take()
		if !out.Empty() && !d.batches.Offer(out) {
			d.log.Error("Disk is too slow. This host leaves the log until it is restarted.")
			d.core.Fail()
		}
	}
}

func (d *Daemon) handleEvent(e event) {
	now := d.clock.Now()
	switch {
	case e.body != nil:
		d.core.HandleMessage(now, d.newHandle(e.from), e.body)
	case e.persisted != nil:
		d.core.Persisted(now, *e.persisted)
	case e.diskErr != nil:
		d.log.Error("Disk has failed. This host leaves the log until it is restarted.", "err", e.diskErr)
		d.core.Fail()
	case e.dumpReply != nil:
		e.dumpReply <- d.newDump()
	}
}

// newHandle returns a handle for a reply to from. It expires after
// maxPendingReplies further messages, so that messages that are never replied to
// don't accumulate.
func (d *Daemon) newHandle(from link.Replier) core.ReplyHandle {
	d.repliersMu.Lock()
	defer d.repliersMu.Unlock()
	d.lastReplyHandle++
	d.repliers[d.lastReplyHandle] = from
	delete(d.repliers, d.lastReplyHandle-maxPendingReplies)
	return d.lastReplyHandle
}

// takeReplier removes handle h and returns its connection, or nil if h has expired.
func (d *Daemon) takeReplier(h core.ReplyHandle) link.Replier {
	d.repliersMu.Lock()
	defer d.repliersMu.Unlock()
	from := d.repliers[h]
	delete(d.repliers, h)
	return from
}

// runDisk runs the disk goroutine, the only one that uses store once the daemon runs.
// It sends the messages of a batch only after the state of the batch is synced. After
// an error it processes no further batches.
func (d *Daemon) runDisk(ctx context.Context) error {
	// Batches that wait are merged, so that a slow disk makes no queue of syncs.
	batches := ring.NewBatcher(d.batches, (*core.Output).Merge)
	for {
		out, ok := batches.Next(ctx)
		if !ok {
			return nil
		}
		if err := d.store.SaveBatch(&out.Batch); err != nil {
			d.diskEvents.Offer(event{diskErr: err})
			<-ctx.Done()
			return nil
		}
		d.send(&out)
		if synced := out.Synced(); !synced.Empty() {
			d.diskEvents.Offer(event{persisted: &synced})
		}
	}
}

func (d *Daemon) send(out *core.Output) {
	for _, s := range out.Sends {
		d.peers.Send(s.Address, s.Body)
	}
	for _, r := range out.Replies {
		if from := d.takeReplier(r.To); from != nil {
			from.Reply(r.Body)
		}
	}
}

// Dump is the state of a control host that the admin server shows.
type Dump struct {
	Role       string    `json:"role"`
	Name       string    `json:"name"`
	DataCentre string    `json:"dataCentre"`
	ID         raft.ID   `json:"id"`
	LogRole    string    `json:"logRole"`
	Leads      bool      `json:"leads"`
	Current    bool      `json:"current"`
	Failed     bool      `json:"failed"`
	Leader     raft.ID   `json:"leader"`
	Term       uint64    `json:"term"`
	Commit     uint64    `json:"commit"`
	Last       uint64    `json:"last"`
	Snapshot   uint64    `json:"snapshot"`
	Voters     []raft.ID `json:"voters"`
	Learners   []raft.ID `json:"learners"`
	Versions   any       `json:"versions"`
	Counters   any       `json:"counters"`
}

// newDump returns the current state. It must be called on the core goroutine.
func (d *Daemon) newDump() Dump {
	n, now := d.core.Node(), d.clock.Now()
	versions := map[string]any{"highest": d.core.Machine().Highest(), "rollout": d.core.Machine().Rollout()}
	released := map[string]any{}
	for _, centre := range d.core.Machine().Centres() {
		released[centre] = d.core.ReleasedVersion(centre)
	}
	versions["released"] = released
	conf := n.Conf()
	return Dump{
		Role: "control", Name: d.settings.Name, DataCentre: d.settings.DataCentre, ID: n.ID(),
		LogRole: n.Role().String(), Leads: n.Leads(now), Current: n.Current(now), Failed: d.core.Failed(),
		Leader: n.Leader(), Term: n.Term(), Commit: n.Commit(), Last: n.Last(), Snapshot: n.SnapshotIndex(),
		Voters: conf.Voters, Learners: conf.Learners, Versions: versions, Counters: d.metrics.Values(),
	}
}

func (d *Daemon) dump(ctx context.Context) (any, error) {
	return admin.Query(ctx, func(reply chan<- any) bool {
		return d.events.Offer(event{dumpReply: reply})
	})
}
