// Package daemon runs a control host of the directory: the decision machine of
// package core between a disk, the other hosts, and the calls of servers and
// operators.
package daemon

import (
	"context"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"monsooncleat.example/monsooncleat/internal/agree/disk"
	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/admin"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/logs"
	"monsooncleat.example/monsooncleat/internal/base/ring"
	"monsooncleat.example/monsooncleat/internal/base/super"
	"monsooncleat.example/monsooncleat/internal/conf/site"
	"monsooncleat.example/monsooncleat/internal/dir/core"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/wire/frame"
	"monsooncleat.example/monsooncleat/internal/wire/link"
)

const (
	eventRing = 4096
	diskRing  = 256
	tickSpan  = 50 * time.Millisecond
	// maxTokens bounds the connections whose reply is remembered.
	maxTokens = 8192
	// missedAnnouncements is how many announcements in a row a server may miss
	// before it takes no new flows.
	missedAnnouncements = 3
	// forgetAfter is how long an ended server is remembered: the longest life
	// of a flow and a margin for late announcements.
	forgetAfter = 90 * clock.Second
	// reopenPause is the span between two tries to use a disk that failed.
	reopenPause = 300 * time.Millisecond
	// heartbeat and election set the pace of the log. An election takes part of
	// the second that callers wait for an acknowledgement.
	heartbeat = 150 * clock.Millis(1)
	election  = 600 * clock.Millis(1)
)

// Key signs the frames between hosts. The platform gives processes no secret, so
// it guards against stray connections only.
var Key = frame.Key("monsooncleat directory")

// Handler returns the HTTP interface for the calls of d.
type Handler func(d *Daemon) http.Handler

// event is what reaches the decision goroutine. One of the fields is set.
type event struct {
	body      []byte
	from      link.Replier
	call      func(now clock.Millis, t core.Ticket)
	answer    chan<- core.Answer
	persisted *position
	failed    error
	reopened  *raft.Stored
	seeds     []string
	ask       chan<- any
}

type position struct{ index, term uint64 }

// batch is what the disk stores in one step.
type batch struct {
	core.Out
	life int
}

// Daemon is a running control host.
type Daemon struct {
	settings *site.Host
	clock    clock.Source
	log      *logs.Logger
	store    *disk.Store
	core     *core.Core
	events   *ring.Ring[event]
	// synced brings the disk's news, one item for each batch.
	synced  *ring.Ring[event]
	batches *ring.Ring[batch]
	// life counts how often the log was begun anew. Batches of an earlier life
	// are discarded.
	life        int
	peers       *link.Peers
	server      *link.Server
	api         *http.Server
	metrics     *admin.Metrics
	syncTime    *admin.Timing
	publishTime *admin.Timing
	budget      *logs.Budget

	// version, current and servers are what the metrics show of the core.
	version atomic.Uint64
	current atomic.Int64
	servers atomic.Int64

	// calls and tokens belong to the decision goroutine.
	calls     map[core.Ticket]chan<- core.Answer
	ticket    core.Ticket
	tokens    map[core.Token]link.Replier
	nextToken core.Token
}

// New opens the data folder and returns a Daemon that is ready to run.
func New(settings *site.Host, source clock.Source, factory *logs.Factory, handler Handler) (*Daemon, error) {
	if err := settings.CheckControl(); err != nil {
		return nil, err
	}
	log := factory.Part("directory")
	store, stored, err := open(settings.DataFolder, log)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: settings, clock: source, log: log, store: store,
		events: ring.New[event](eventRing), synced: ring.New[event](2 * diskRing), batches: ring.New[batch](diskRing),
		calls: map[core.Ticket]chan<- core.Answer{}, tokens: map[core.Token]link.Replier{},
		metrics: admin.NewMetrics(), budget: logs.NewBudget(linesPerSecond),
	}
	d.syncTime, d.publishTime = d.metrics.Timing("syncMicros"), d.metrics.Timing("publishMicros")
	id, err := d.identity()
	if err != nil {
		return nil, err
	}
	d.core = core.New(d.options(id), stored, source.Now(), rand.New(rand.NewPCG(rand.Uint64(), uint64(os.Getpid()))))
	d.recall()
	d.peers = link.NewPeers(Key, d.onFrame)
	d.server = link.NewServer(settings.Bind.String(), Key, d.onFrame, factory.Part("link"))
	d.api = &http.Server{Handler: handler(d), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	d.publish(factory)
	log.Info("Log opened.", "id", id, "term", stored.State.Term, "snapshot", stored.Snapshot.Index, "entries", len(stored.Entries))
	return d, nil
}

const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 20 * time.Second
	// linesPerSecond bounds the log lines about calls and servers.
	linesPerSecond = 50
)

// open opens the store. A damaged one is set aside like a lost disk: the host
// comes back under another identity, which has no vote that it could give twice.
func open(folder string, log *logs.Logger) (*disk.Store, raft.Stored, error) {
	store, stored, err := disk.Open(folder)
	if !errors.Is(err, disk.ErrDamaged) {
		return store, stored, err
	}
	log.Error("Log is damaged. It is discarded, and this host joins anew.", "err", err)
	names, gerr := filepath.Glob(filepath.Join(folder, "*"))
	if gerr != nil {
		return nil, stored, eris.Wrap(gerr, "list data folder")
	}
	for _, name := range names {
		if rerr := os.RemoveAll(name); rerr != nil {
			return nil, stored, eris.Wrap(rerr, "discard damaged log")
		}
	}
	return disk.Open(folder)
}

// identity returns the ID of this host: its address and the identity of its
// disk. Founders share a known identity, since they name each other before they
// have met; any other new disk draws one.
func (d *Daemon) identity() (raft.ID, error) {
	id, err := d.store.Identity()
	if err != nil {
		return "", err
	}
	if id == "" {
		if id = founderIdentity; !d.founds() {
			var b [8]byte
			for i := range b {
				b[i] = byte(rand.Uint32())
			}
			id = hex.EncodeToString(b[:])
		}
		if err := d.store.SetIdentity(id); err != nil {
			return "", err
		}
	}
	return raft.ID(d.settings.Peer.String() + "/" + id), nil
}

// founderIdentity is the identity of the disk of each founder.
const founderIdentity = "founder"

// founds reports whether this host may found the log.
func (d *Daemon) founds() bool {
	return d.settings.Found && slices.Contains(d.settings.Seeds, d.settings.Peer)
}

func (d *Daemon) options(id raft.ID) core.Options {
	o := core.Options{
		ID: id, Seeds: d.settings.SeedAddresses(), Run: rand.Uint64(),
		Timing: raft.Timing{Heartbeat: heartbeat, Election: election},
		Fleet:  fleet.Options{SilentAfter: missedAnnouncements * d.settings.Announcements, ForgetAfter: forgetAfter, ReuseAfter: d.settings.AddressReuse},
	}
	if d.founds() {
		for _, seed := range o.Seeds {
			o.Founders = append(o.Founders, raft.ID(seed+"/"+founderIdentity))
		}
	}
	return o
}

// Run serves until ctx is done.
func (d *Daemon) Run(ctx context.Context) error {
	tree := super.New(ctx, "directory", d.log)
	tree.Start("listener", d.server.Run)
	tree.Start("disk", d.persist)
	tree.Start("decisions", d.decide)
	tree.Start("api", func(ctx context.Context) error { return admin.ServeHTTP(ctx, d.settings.API.String(), d.api) })
	tree.Start("admin", admin.New(d.settings.Admin.String(), d.metrics, d.dump, func() bool { return true }).Run)
	d.log.Info("Control host is up.", "name", d.settings.Name, "api", d.settings.API, "peer", d.settings.Peer)
	<-tree.Done()
	err := tree.Stop()
	d.peers.Close()
	d.log.Info("Control host is down.")
	return err
}

func (d *Daemon) onFrame(from link.Replier, body []byte) {
	d.events.Offer(event{body: body, from: from})
}

// Reseed takes seeds from changed settings.
func (d *Daemon) Reseed(seeds []string) { d.events.Offer(event{seeds: seeds}) }

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
			d.expose()
		case e := <-d.synced.Items():
			d.take(e)
		case e := <-d.events.Items():
			d.take(e)
		}
		d.perform(d.core.Take())
	}
}

// expose copies what the metrics show from the core.
func (d *Daemon) expose() {
	d.version.Store(d.core.Version())
	d.servers.Store(int64(d.core.Fleet().Len()))
	d.current.Store(0)
	if d.core.Current() {
		d.current.Store(1)
	}
}

func (d *Daemon) take(e event) {
	now := d.clock.Now()
	switch {
	case e.body != nil:
		m, err := msgs.Decode(e.body)
		if err != nil {
			d.log.Warn("Message cannot be read.", "err", err)
			return
		}
		d.core.Message(now, d.tokenOf(e), m)
	case e.call != nil:
		d.ticket++
		d.calls[d.ticket] = e.answer
		e.call(now, d.ticket)
	case e.persisted != nil:
		d.core.Persisted(now, e.persisted.index, e.persisted.term)
	case e.failed != nil:
		d.log.Error("Disk failed. This host leaves the log until it works.", "err", e.failed)
		d.core.Fail()
	case e.reopened != nil:
		d.log.Info("Disk works again.", "term", e.reopened.State.Term, "entries", len(e.reopened.Entries))
		d.life++
		d.core.Restart(now, *e.reopened)
	case e.seeds != nil:
		d.core.Reseed(e.seeds)
	case e.ask != nil:
		e.ask <- d.state()
	}
}

func (d *Daemon) tokenOf(e event) core.Token {
	d.nextToken++
	d.tokens[d.nextToken] = e.from
	delete(d.tokens, d.nextToken-maxTokens)
	return d.nextToken
}

// perform carries out what needs no disk and hands the rest to the disk.
func (d *Daemon) perform(out core.Out) {
	for _, n := range out.Notes {
		d.note(n)
	}
	for _, s := range out.Prompt {
		d.peers.Send(s.Address, s.Body)
	}
	for _, r := range out.Replies {
		if from := d.tokens[r.To]; from != nil {
			from.Reply(r.Body)
		}
		delete(d.tokens, r.To)
	}
	for _, a := range out.Answers {
		if to := d.calls[a.Ticket]; to != nil {
			to <- a
		}
		delete(d.calls, a.Ticket)
	}
	if out.Stores() && !d.core.Failed() && !d.batches.Offer(batch{out, d.life}) {
		d.log.Error("Disk is too slow. This host leaves the log.", "waiting", d.batches.Depth())
		d.core.Fail()
	}
}

func (d *Daemon) note(n core.Note) {
	omitted, ok := d.budget.Allow(d.clock.Now())
	if !ok {
		return
	}
	fields := n.Fields
	if omitted > 0 {
		fields = append(fields, "omitted", omitted)
	}
	d.log.Info(n.Text, fields...)
}
