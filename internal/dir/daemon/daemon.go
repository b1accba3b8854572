// Package daemon runs a control host of the directory. It connects the state
// machine of package core to the disk, to the other hosts, and to the HTTP calls
// of servers and operators.
package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"sync/atomic"
	"time"

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
	"monsooncleat.example/monsooncleat/internal/dir/order"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/wire/frame"
	"monsooncleat.example/monsooncleat/internal/wire/link"
)

const (
	// eventRingSize is the capacity of the queue of events other than messages and
	// calls.
	eventRingSize = 256
	// consensusLimit, callLimit and fetchLimit are the capacities of the queue of
	// messages and calls. A fetch takes the place of one that waits on the same
	// connection, so fetchLimit bounds the number of entry hosts that wait.
	consensusLimit = 2048
	callLimit      = 2048
	fetchLimit     = 2048
	// fetchRetryDelay is when an entry host whose fetch found no room may ask again.
	fetchRetryDelay = clock.Second
	// diskRingSize is the capacity of the queues of batches and of lists for the disk.
	diskRingSize = 256
	tickInterval = 50 * time.Millisecond
	// maxPendingReplies is how many of the latest received messages can still be replied to.
	maxPendingReplies = 8192
	// missedAnnouncements is how many announcements in a row a server may miss
	// before it takes no new flows.
	missedAnnouncements = 3
	// forgetAfter is how long the record of an ended server is kept: the longest
	// lifetime of a flow plus a margin for late announcements.
	forgetAfter = 90 * clock.Second
	// reopenInterval is the time between two attempts to reopen a failed store.
	reopenInterval = 300 * time.Millisecond
	// heartbeatInterval and ElectionTimeout are the timing of the log. An election
	// must complete within the second that servers and operators wait for an
	// acknowledgement.
	heartbeatInterval = 150 * clock.Millis(1)
	// ElectionTimeout is known to the witnesses of the log, too.
	ElectionTimeout = 600 * clock.Millis(1)
	// resignTimeout is how long a stopping host waits for the others to take its
	// vote. It covers an election and the commit of the new membership.
	resignTimeout = 1200 * clock.Millis(1)
)

// Key authenticates the frames between hosts. It is not a secret, since the
// platform provides none to processes, so it only keeps out stray connections.
var Key = frame.Key("monsooncleat directory")

// Handler returns the HTTP handler for the calls of servers and operators to d.
type Handler func(d *Daemon) http.Handler

// event is an input of the core goroutine. Either body and from, or call and
// answer, or one of the other fields is set.
type event struct {
	// body is a message, and from the connection to reply on.
	body []byte
	from link.Replier
	// call starts a call, whose result goes to answer.
	call   func(now clock.Millis, callID core.CallID)
	answer chan<- core.Answer
	// persisted, diskErr and reopened report the state of the store.
	persisted *raft.Synced
	// answers are those that waited for the disk.
	answers []core.Answer
	// listsLost is set if the server list could not be saved.
	listsLost bool
	diskErr   error
	reopened  *reopenedStore
	seeds     []string
	// resigned is closed once the host has given up its vote, or cannot.
	resigned chan<- struct{}
	// dump receives the state of the control host.
	dump chan<- any
}

// reopenedStore is the content of a store that was opened again, and the Raft ID
// that belongs to it.
type reopenedStore struct {
	id     raft.ID
	stored raft.Stored
}

// batch is the output of one step that the disk goroutine handles.
type batch struct {
	core.Output
	generation int
	// reopen is set on a batch without output, after which the store is opened again.
	reopen bool
}

// merge adds a later batch, unless that is for another store or has to be written on its own.
func (b *batch) merge(later *batch) bool {
	return !b.reopen && !later.reopen && b.generation == later.generation && b.Merge(&later.Output)
}

// Daemon is a running control host.
type Daemon struct {
	settings *site.Settings
	clock    clock.Source
	log      *logs.Logger
	store    *disk.Store
	core     *core.Core
	// inbox holds the messages and calls.
	inbox  *order.Queue[event]
	events *ring.Ring[event]
	// diskEvents carries the events of the goroutines that write to the disk, at most three
	// for each batch and two for the lists of a step.
	diskEvents *ring.Ring[event]
	batches    *ring.Ring[batch]
	// lists are to be saved for the next start.
	lists *ring.Ring[core.Lists]
	// generation counts how often the store was reopened. It belongs to the core
	// goroutine; runDisk keeps its own count and discards batches of another
	// generation.
	generation int
	// overflowed is set from the loss of a batch, for which the queue had no room, until
	// the batch that opens the store again is queued. It belongs to the core goroutine.
	overflowed     bool
	peers          *link.Peers
	datagrams      datagrams
	server         *link.Server
	api            *http.Server
	metrics        *admin.Metrics
	syncTime       *admin.Histogram
	publishTime    *admin.Histogram
	evacuationTime *admin.Histogram
	// waits and works are how long messages and calls wait and take, by class.
	waits, works [order.Classes]*admin.Histogram
	logLimiter   *logs.Limiter

	// The fields below are copies of the core's state for the metrics.
	version      atomic.Uint64
	current      atomic.Int64
	voters       atomic.Int64
	silentVoters atomic.Int64
	servers      atomic.Int64
	entryHosts   atomic.Int64
	sharingHosts atomic.Int64
	evacuated    atomic.Int64
	shortOfRoom  atomic.Int64
	coldServers  atomic.Int64
	grants       atomic.Int64
	witnesses    atomic.Int64
	// witnessMessages counts the messages to witnesses.
	witnessMessages atomic.Int64
	// evacuationBase is core.EvacuationBase as of the latest step, for calls that come in.
	evacuationBase atomic.Uint64

	// The fields below belong to the core goroutine. The map calls holds the
	// channels for the results of pending calls, and the map repliers the
	// connections for the replies to received messages.
	calls           map[core.CallID]chan<- core.Answer
	lastCallID      core.CallID
	repliers        map[core.ReplyHandle]link.Replier
	lastReplyHandle core.ReplyHandle
	// resigned is set from the request to resign until it is closed.
	resigned chan<- struct{}
}

// New opens the data folder and returns a Daemon that is ready to run.
func New(settings *site.Settings, source clock.Source, factory *logs.Factory, handler Handler) (*Daemon, error) {
	if err := settings.CheckControl(); err != nil {
		return nil, err
	}
	log := factory.Logger("directory")
	store, stored, discarded, err := open(settings.DataFolder, log)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: settings, clock: source, log: log, store: store,
		inbox:  order.New[event]([order.Classes]int{consensusLimit, callLimit, fetchLimit}),
		events: ring.New[event](eventRingSize), diskEvents: ring.New[event](5 * diskRingSize), batches: ring.New[batch](diskRingSize), lists: ring.New[core.Lists](diskRingSize),
		calls: map[core.CallID]chan<- core.Answer{}, repliers: map[core.ReplyHandle]link.Replier{},
		metrics: admin.NewMetrics(), logLimiter: logs.NewLimiter(linesPerSecond),
	}
	d.syncTime, d.publishTime = d.metrics.Histogram("syncMicros"), d.metrics.Histogram("publishMicros")
	d.evacuationTime = d.metrics.Histogram("evacuationMicros")
	id, err := d.raftID(store, !discarded && d.canBootstrap())
	if err != nil {
		return nil, err
	}
	d.core = core.New(d.options(id), stored, source.Now(), rand.New(rand.NewPCG(rand.Uint64(), uint64(os.Getpid()))))
	d.loadServers()
	d.loadEntryHosts()
	d.peers = link.NewPeers(Key, d.onFrame)
	d.datagrams.bind = settings.Bind.Addr()
	d.server = link.NewServer(settings.Bind.String(), Key, d.onFrame, factory.Logger("link"))
	d.api = &http.Server{Handler: handler(d), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	d.registerMetrics(factory)
	log.Info("Replicated log opened.", "id", id, "term", stored.State.Term, "snapshot", stored.Snapshot.Index, "entries", len(stored.Entries))
	return d, nil
}

const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 20 * time.Second
	// linesPerSecond bounds the log lines that package core outputs.
	linesPerSecond = 50
)

func (d *Daemon) options(id raft.ID) core.Options {
	o := core.Options{
		ID: id, Seeds: d.settings.SeedAddresses(), Centre: d.settings.Centre, RunID: rand.Uint64(),
		Timing:  raft.Timing{Heartbeat: heartbeatInterval, Election: ElectionTimeout},
		Centres: d.settings.Centres, RepeatWindow: d.settings.RepeatWindow,
		MaxLosses: d.settings.MaxLosses, EvictAfter: d.settings.RecoveryTime / 2,
		Fleet: fleet.Options{
			SilentAfter: missedAnnouncements * d.settings.AnnounceInterval, ForgetAfter: forgetAfter,
			Interval: d.settings.AnnounceInterval, ReuseAfter: d.settings.AddressReuseDelay,
		},
	}
	if d.canBootstrap() {
		for _, seed := range o.Seeds {
			o.Founders = append(o.Founders, raft.ID(seed+"/"+founderIdentity))
		}
	}
	return o
}

// Run runs the control host until ctx is done or one of its goroutines keeps
// failing. When ctx is done, the host first gives up its vote.
func (d *Daemon) Run(ctx context.Context) error {
	tree := super.New(context.WithoutCancel(ctx), "directory", d.log)
	tree.Start("listener", d.server.Run)
	tree.Start("disk", d.runDisk)
	tree.Start("lists", d.runLists)
	tree.Start("decisions", d.runCore)
	tree.Start("api", func(ctx context.Context) error { return admin.ServeHTTP(ctx, d.settings.API.String(), d.api) })
	adminServer := admin.New(d.settings.Admin.String(), d.metrics, d.dump, func() bool { return true })
	d.handleEvacuations(adminServer)
	tree.Start("admin", adminServer.Run)
	d.log.Info("Control host is up.", "name", d.settings.Name, "api", d.settings.API, "peer", d.settings.Peer)
	select {
	case <-tree.Done():
	case <-ctx.Done():
		d.resign(tree)
	}
	err := tree.Stop()
	d.peers.Close()
	d.datagrams.close()
	d.log.Info("Control host is down.")
	return err
}

// resign gives up the vote of this host and waits for that, for a limited time.
func (d *Daemon) resign(tree *super.Tree) {
	resigned := make(chan struct{})
	if !d.events.Offer(event{resigned: resigned}) {
		return
	}
	select {
	case <-tree.Done():
	case <-resigned:
	case <-time.After(min(resignTimeout, d.settings.GracePeriod/2).Duration()):
		d.log.Warn("Could not give up the vote in the log. The other hosts will remove it later.")
	}
}

func (d *Daemon) onFrame(from link.Replier, body []byte) {
	e := event{body: body, from: from}
	if !msgs.IsFetch(body) {
		d.inbox.Offer(d.clock.Now(), order.Consensus, nil, e)
		return
	}
	if !d.inbox.Offer(d.clock.Now(), order.Fetch, from, e) {
		d.refuseFetch(e)
	}
}

// refuseFetch tells an entry host when to ask again.
func (d *Daemon) refuseFetch(e event) {
	if m, err := msgs.Decode(e.body); err == nil && m.Fetch != nil {
		e.from.Reply(msgs.Encode(&msgs.Envelope{FetchReply: &msgs.FetchReply{RequestID: m.Fetch.RequestID, Form: m.Fetch.Form, RetryAfter: fetchRetryDelay}}))
	}
}

// UpdateSeeds adds the seed addresses from changed settings. Addresses that were
// removed from the settings stay.
func (d *Daemon) UpdateSeeds(seeds []string) { d.events.Offer(event{seeds: seeds}) }

// runCore is the goroutine that owns the core.
func (d *Daemon) runCore(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.core.Tick(d.clock.Now())
			d.updateMetrics()
		case e := <-d.diskEvents.Items():
			d.handle(e)
		case e := <-d.events.Items():
			d.handle(e)
		case <-d.inbox.Ready():
			d.handleNext()
		}
		out := d.core.Take()
		// Callers that are answered next may call again at once.
		d.evacuationBase.Store(d.core.EvacuationBase())
		d.execute(out)
		if d.resigned != nil && d.core.Resigned() {
			close(d.resigned)
			d.resigned = nil
		}
	}
}

// handleNext handles the most urgent of the messages and calls.
func (d *Daemon) handleNext() {
	e, class, waited, ok := d.inbox.Take(d.clock.Now())
	if !ok {
		return
	}
	start := time.Now()
	d.handle(e)
	d.waits[class].Record(waited.Duration())
	d.works[class].Record(time.Since(start))
}

// updateMetrics copies the state of the core that the metrics show.
func (d *Daemon) updateMetrics() {
	d.version.Store(d.core.Version())
	d.servers.Store(int64(d.core.Fleet().Len()))
	d.entryHosts.Store(int64(d.core.EntryHosts()))
	d.sharingHosts.Store(int64(d.core.SharingHosts()))
	d.evacuated.Store(int64(d.core.Evacuated()))
	d.shortOfRoom.Store(int64(d.core.ShortOfRoom()))
	d.voters.Store(int64(len(d.core.Node().Conf().Voters)))
	d.silentVoters.Store(int64(d.core.SilentVoters()))
	d.witnesses.Store(int64(d.core.Witnesses()))
	cold, granted := d.core.ColdServers()
	d.coldServers.Store(int64(cold))
	d.grants.Store(int64(granted))
	d.current.Store(0)
	if d.core.Current() {
		d.current.Store(1)
	}
}

func (d *Daemon) handle(e event) {
	now := d.clock.Now()
	switch {
	case e.body != nil:
		m, err := msgs.Decode(e.body)
		if err != nil {
			d.log.Warn("Cannot decode a message from another host.", "err", err)
			return
		}
		d.core.HandleMessage(now, d.addReplier(e), m)
	case e.call != nil:
		d.lastCallID++
		d.calls[d.lastCallID] = e.answer
		e.call(now, d.lastCallID)
	case e.answers != nil:
		d.deliver(e.answers)
	case e.listsLost:
		d.core.ListsLost()
	case e.persisted != nil:
		d.core.Persisted(now, *e.persisted)
	case e.diskErr != nil:
		d.log.Error("Disk failed. This host leaves the log until it works.", "err", e.diskErr)
		d.core.Fail()
	case e.reopened != nil:
		d.log.Info("Disk works again.", "id", e.reopened.id, "term", e.reopened.stored.State.Term, "entries", len(e.reopened.stored.Entries))
		d.generation++
		d.overflowed = false
		d.core.Restart(now, e.reopened.id, e.reopened.stored)
	case e.resigned != nil:
		d.resigned = e.resigned
		d.core.Resign(now)
	case e.seeds != nil:
		d.core.AddSeeds(e.seeds)
	case e.dump != nil:
		e.dump <- d.newDump()
	}
}

// addReplier stores the connection of a message under a new handle and drops the
// oldest one.
func (d *Daemon) addReplier(e event) core.ReplyHandle {
	d.lastReplyHandle++
	d.repliers[d.lastReplyHandle] = e.from
	delete(d.repliers, d.lastReplyHandle-maxPendingReplies)
	return d.lastReplyHandle
}

// execute performs the output that does not wait for the disk, and queues the
// rest for the disk goroutine.
func (d *Daemon) execute(out core.Output) {
	for _, l := range out.LogLines {
		d.writeLog(l)
	}
	for _, address := range out.Redials {
		d.peers.Reset(address)
	}
	for _, s := range out.SendNow {
		d.peers.Send(s.Address, s.Body)
	}
	for _, r := range out.Replies {
		if from := d.repliers[r.To]; from != nil {
			from.Reply(r.Body)
		}
		delete(d.repliers, r.To)
	}
	d.sendAdverts(&out)
	d.deliver(out.Answers)
	d.queueLists(out.Lists)
	if out.NeedsSync() && !d.core.Failed() && !d.batches.Offer(batch{Output: out, generation: d.generation}) {
		d.log.Error("Disk is too slow. This host leaves the log.", "waiting", d.batches.Depth())
		d.core.Fail()
		d.overflowed = true
	}
	// The Raft node is ahead of the disk by the lost batch, so it starts again from the
	// state on disk.
	if d.overflowed && d.batches.Offer(batch{generation: d.generation, reopen: true}) {
		d.overflowed = false
	}
}

// deliver passes the answers to the callers that wait for them.
func (d *Daemon) deliver(answers []core.Answer) {
	for _, a := range answers {
		if to := d.calls[a.CallID]; to != nil {
			to <- a
		}
		delete(d.calls, a.CallID)
	}
}

// writeLog writes a line to the process log unless the rate limit is reached.
// The next line that is written gives the number of omitted ones.
func (d *Daemon) writeLog(l core.LogLine) {
	omitted, ok := d.logLimiter.Allow(d.clock.Now())
	if !ok {
		return
	}
	fields := l.Fields
	if omitted > 0 {
		fields = append(fields, "omitted", omitted)
	}
	d.log.Info(l.Text, fields...)
}
