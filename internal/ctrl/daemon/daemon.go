// Package daemon runs a control host: the decision machine of package core
// between a disk, a listener and the connections to other control hosts.
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
	eventRing = 4096
	diskRing  = 1024
	tickSpan  = 50 * time.Millisecond
	maxTokens = 8192
)

// event is what reaches the decision goroutine. One of the fields is set.
type event struct {
	body      []byte
	from      link.Replier
	persisted *position
	failed    error
	ask       chan<- any
}

type position struct{ index, term uint64 }

// Daemon is a running control host.
type Daemon struct {
	settings *node.Control
	clock    clock.Source
	log      *logs.Logger
	store    *disk.Store
	core     *core.Core
	events   *ring.Ring[event]
	// synced brings the disk's news. It holds one item for each batch that the
	// disk ring can hold, and so is never full.
	synced  *ring.Ring[event]
	batches *ring.Ring[core.Out]
	peers   *link.Peers
	server  *link.Server
	metrics *admin.Metrics
	// current is set while the host is in touch with a quorum.
	current atomic.Bool

	// tokens names the connections that wait for a reply. The decision
	// goroutine gives them out, the disk goroutine takes them back.
	tokensMu  sync.Mutex
	tokens    map[core.Token]link.Replier
	nextToken core.Token
}

// New opens the data folder and returns a Daemon that is ready to run.
func New(settings *node.Control, source clock.Source, factory *logs.Factory) (*Daemon, error) {
	store, stored, err := disk.Open(filepath.Join(settings.DataFolder, "log"))
	if err != nil {
		return nil, err
	}
	id, err := identity(store)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: settings, clock: source, log: factory.Part("control"), store: store,
		events: ring.New[event](eventRing), synced: ring.New[event](2 * diskRing), batches: ring.New[core.Out](diskRing),
		tokens: map[core.Token]link.Replier{}, metrics: admin.NewMetrics(),
	}
	r := rand.New(rand.NewPCG(uint64(clock.Wall()), uint64(os.Getpid())))
	if d.core, err = core.New(options(settings, id), stored, source.Now(), r); err != nil {
		return nil, err
	}
	d.peers = link.NewPeers(settings.Key(), d.onFrame)
	d.server = link.NewServer(settings.Listen(), settings.Key(), d.onFrame, factory.Part("link"))
	d.publish()
	d.log.Info("Log opened.", "disk", id, "term", stored.State.Term, "snapshot", stored.Snapshot.Index, "entries", len(stored.Entries))
	return d, nil
}

// identity returns the identity of the disk, which is drawn on first use.
func identity(store *disk.Store) (string, error) {
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
	o := core.Options{Name: s.Name, Disk: disk, Keys: s.Ring(), Timing: s.Timing(), SnapshotEvery: s.SnapshotEvery}
	for _, h := range s.Hosts {
		o.Members = append(o.Members, core.Member{Name: h.Name, Address: h.Address.String(), Initial: h.Initial})
	}
	return o
}

func (d *Daemon) publish() {
	d.metrics.Gauge("eventRingDepth", func() int64 { return int64(d.events.Depth()) })
	d.metrics.Gauge("eventRingRefused", func() int64 { return int64(d.events.Refused()) })
	d.metrics.Gauge("diskRingDepth", func() int64 { return int64(d.batches.Depth()) })
	d.metrics.Gauge("controlBytesIn", func() int64 { return int64(d.server.BytesIn() + d.peers.BytesIn()) })
	d.metrics.Gauge("controlBytesOut", func() int64 { return int64(d.server.BytesOut() + d.peers.BytesOut()) })
	d.metrics.Gauge("framesDropped", func() int64 { return int64(d.peers.Dropped()) })
}

// Run serves until ctx is done.
func (d *Daemon) Run(ctx context.Context) error {
	tree := super.New(ctx, "control", d.log)
	tree.Start("listener", d.server.Run)
	tree.Start("disk", d.persist)
	tree.Start("decisions", d.decide)
	tree.Start("admin", admin.New(d.settings.Admin.String(), d.metrics, d.dump, d.current.Load).Run)
	d.log.Info("Control host is up.", "name", d.settings.Name, "listen", d.settings.Listen())
	<-tree.Done()
	err := tree.Stop()
	d.peers.Close()
	d.log.Info("Control host is down.")
	if cerr := d.store.Close(); err == nil {
		err = cerr
	}
	return err
}

func (d *Daemon) onFrame(from link.Replier, body []byte) {
	d.events.Offer(event{body: body, from: from})
}

// decide is the goroutine that owns the decision machine.
func (d *Daemon) decide(ctx context.Context) error {
	ticker := time.NewTicker(tickSpan)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.core.Tick(d.clock.Now())
		case e := <-d.synced.Items():
			d.take(e)
		case e := <-d.events.Items():
			d.take(e)
		}
		d.current.Store(d.core.Node().Current(d.clock.Now()))
		out := d.core.Take()
		if !out.Empty() && !d.batches.Offer(out) {
			d.log.Error("Disk is too slow. This host stands aside.")
			d.core.Fail()
		}
	}
}

func (d *Daemon) take(e event) {
	now := d.clock.Now()
	switch {
	case e.body != nil:
		d.core.Message(now, d.tokenOf(e.from), e.body)
	case e.persisted != nil:
		d.core.Persisted(now, e.persisted.index, e.persisted.term)
	case e.failed != nil:
		d.log.Error("Disk has failed. This host stands aside.", "err", e.failed)
		d.core.Fail()
	case e.ask != nil:
		e.ask <- d.state()
	}
}

func (d *Daemon) tokenOf(from link.Replier) core.Token {
	d.tokensMu.Lock()
	defer d.tokensMu.Unlock()
	d.nextToken++
	d.tokens[d.nextToken] = from
	delete(d.tokens, d.nextToken-maxTokens)
	return d.nextToken
}

func (d *Daemon) replier(t core.Token) link.Replier {
	d.tokensMu.Lock()
	defer d.tokensMu.Unlock()
	from := d.tokens[t]
	delete(d.tokens, t)
	return from
}

// persist is the goroutine that owns the disk. What a step says goes out only
// after what it stored is synced.
func (d *Daemon) persist(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case out := <-d.batches.Items():
			at, err := d.save(&out)
			if err != nil {
				d.synced.Offer(event{failed: err})
				<-ctx.Done()
				return nil
			}
			d.release(&out)
			if at != nil {
				d.synced.Offer(event{persisted: at})
			}
		}
	}
}

func (d *Daemon) save(out *core.Out) (*position, error) {
	var at *position
	if out.Install != nil {
		if err := d.store.Save(out.State, nil); err != nil {
			return nil, err
		}
		if err := d.store.SaveSnapshot(out.Install, nil); err != nil {
			return nil, err
		}
		at = &position{out.Install.Index, out.Install.Term}
	}
	if err := d.store.Save(out.State, out.Entries); err != nil {
		return nil, err
	}
	if n := len(out.Entries); n > 0 {
		at = &position{out.Entries[n-1].Index, out.Entries[n-1].Term}
	}
	if out.Snapshot != nil {
		if err := d.store.SaveSnapshot(out.Snapshot, out.After); err != nil {
			return nil, err
		}
	}
	return at, nil
}

func (d *Daemon) release(out *core.Out) {
	for _, s := range out.Sends {
		d.peers.Send(s.Address, s.Body)
	}
	for _, r := range out.Replies {
		if from := d.replier(r.To); from != nil {
			from.Reply(r.Body)
		}
	}
}

// Dump is the state of a control host.
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

// state runs on the decision goroutine.
func (d *Daemon) state() Dump {
	n, now := d.core.Node(), d.clock.Now()
	versions := map[string]any{"highest": d.core.Machine().Highest(), "rollout": d.core.Machine().Rollout()}
	released := map[string]any{}
	for _, centre := range d.core.Machine().Centres() {
		released[centre] = d.core.InForce(centre)
	}
	versions["released"] = released
	conf := n.Conf()
	return Dump{
		Role: "control", Name: d.settings.Name, DataCentre: d.settings.DataCentre, ID: n.ID(),
		LogRole: n.Role().String(), Leads: n.Leads(now), Current: n.Current(now), Failed: d.core.Failed(),
		Leader: n.Leader(), Term: n.Term(), Commit: n.Commit(), Last: n.Last(), Snapshot: n.Base(),
		Voters: conf.Voters, Learners: conf.Learners, Versions: versions, Counters: d.metrics.Values(),
	}
}

func (d *Daemon) dump(ctx context.Context) (any, error) {
	return admin.Ask(ctx, func(answer chan<- any) bool {
		return d.events.Offer(event{ask: answer})
	})
}
