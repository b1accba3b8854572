// Package core is the state machine of a control host of the directory. The
// control hosts agree on one routing table through the replicated log. They
// exchange the announcements of backend servers outside the log: a later
// announcement overrides an earlier one on every host.
//
// The package does no I/O. The caller passes in the time, messages and calls,
// and performs the output of each step.
package core

import (
	"math/rand/v2"
	"slices"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/advert"
	"monsooncleat.example/monsooncleat/internal/dir/evac"
	"monsooncleat.example/monsooncleat/internal/dir/grant"
	"monsooncleat.example/monsooncleat/internal/dir/loads"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/panel"
	"monsooncleat.example/monsooncleat/internal/dir/peers"
	"monsooncleat.example/monsooncleat/internal/dir/share"
	"monsooncleat.example/monsooncleat/internal/dir/tables"
	"monsooncleat.example/monsooncleat/internal/dir/watch"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
	"monsooncleat.example/monsooncleat/internal/serve/warm"
)

// Options are the settings of a Core.
type Options struct {
	// ID is "address/identity": the address for messages between control
	// hosts, and the identity of the disk.
	ID raft.ID
	// Founders are the initial voters. It is set only on a host that may
	// bootstrap the log.
	Founders []raft.ID
	// Seeds are the addresses of the control hosts to contact first.
	Seeds []string
	// Centre is the data centre of the host.
	Centre string
	Timing raft.Timing
	Fleet  fleet.Options
	// MaxLosses is the number of control hosts that may be lost at once.
	MaxLosses int
	// EvictAfter is the silence after which a voter is removed from the log.
	EvictAfter clock.Millis
	// RunID is a random number that identifies this run of the process. Positions
	// in the list of server changes, and request IDs, are valid within one run only.
	RunID uint64
	// Centres are the names of all data centres. If it is empty, those of the known
	// servers and control hosts count.
	Centres []string
	// RepeatWindow is how long a caller may repeat an order to evacuate a data centre or
	// to end that.
	RepeatWindow clock.Millis
}

const (
	// joinInterval is the time between two join requests.
	joinInterval = 250 * clock.Millis(1)
	// callTimeout is how long a call waits for a quorum. Operators wait one second
	// before they try another host.
	callTimeout = 900 * clock.Millis(1)
	// retryInterval is the time after which a request is resent to the leader.
	retryInterval = 300 * clock.Millis(1)
	// stallThreshold is the time since the previous tick, message, call or
	// completed disk write above which the process is taken to have been suspended.
	stallThreshold = clock.Second
)

// Core is the state machine of one control host. It is not safe for concurrent
// use.
type Core struct {
	options Options
	rand    *rand.Rand
	node    *raft.Node
	now     clock.Millis
	// diskFailed is set while the Raft node is stopped because the disk failed or is
	// too slow.
	diskFailed bool

	tables tables.Tables
	loads  *loads.Aggregator
	// peers are the entry hosts that take new flows.
	peers *peers.Peers
	// evacuations belongs to the log, like tables. TickedAt is when Tick was last called,
	// and shortOfRoom counts the starts of evacuations that left too few slots.
	evacuations *evac.State
	tickedAt    clock.Millis
	shortOfRoom int

	// knownAddresses are the control hosts to send join requests to.
	knownAddresses []string
	nextJoinAt     clock.Millis
	// formerIDs are the IDs of this host with disks that it lost.
	formerIDs []raft.ID
	// contacts holds when the control hosts were last heard from.
	contacts *watch.Tracker
	// answers decides when to dial a control host again.
	answers *watch.Answers
	// resigning is set after Resign, and resigned once the others have removed the
	// vote of this host.
	resigning, resigned bool
	status              status

	lastRequestID uint64
	requests      map[uint64]*request
	// proposals holds the origins of the entries that this host proposed, by log
	// index.
	proposals map[uint64]proposal

	list       *share.List
	departures departures
	blocks     *share.Blocks
	// entryHosts are the entry hosts to advertise this host to after a start.
	entryHosts *advert.Hosts
	// panel holds the entry hosts that can be witnesses of the log.
	panel *panel.Panel
	// nextWitnessesAt is when the leader may propose other witnesses again.
	nextWitnessesAt clock.Millis
	// centres holds the data centres of the control hosts by address.
	centres    map[string]string
	replicator *share.Replicator

	grants *grant.Keeper
	// centreEnds holds when the evacuations of data centres ended.
	centreEnds *warm.Centres

	out Output
}

// New returns a Core that continues from the state stored on disk.
func New(options Options, stored raft.Stored, now clock.Millis, r *rand.Rand) *Core {
	c := &Core{
		options: options, rand: r, now: now, evacuations: evac.New(), tickedAt: now,
		requests: map[uint64]*request{}, proposals: map[uint64]proposal{}, loads: loads.New(), contacts: watch.New(now), answers: watch.NewAnswers(), status: status{leaderSeenAt: now},
		peers: peers.New(now), panel: panel.New(now),
	}
	send := func(to raft.ID, e *msgs.Envelope) { c.sendNow(addressOf(to), e) }
	c.lastRequestID = firstRequestID(options.RunID)
	options.Fleet.Report = c.logDecision
	c.list = share.NewList(options.Fleet, options.RunID, now, group{c}, func(service string) bool { return c.tables.Allows(service) }, send)
	c.blocks, c.entryHosts = share.NewBlocks(c.list), advert.New(now)
	c.centres = map[string]string{addressOf(options.ID): options.Centre}
	c.replicator = share.NewReplicator(group{c}, send, firstRequestID(options.RunID))
	c.grants, c.centreEnds = grant.New(now, options.EvictAfter), warm.NewCentres()
	c.addAddresses(options.Seeds)
	c.Restart(now, options.ID, stored)
	return c
}

// firstRequestID returns the ID that the requests of a run of the process follow. A
// late reply to a request of an earlier run must not match one of this run.
func firstRequestID(runID uint64) uint64 { return runID << 32 }

// Restart creates the Raft node anew from the state stored on disk, at the
// start and after a disk failure. The ID differs from the one before if the content
// of the disk was lost.
func (c *Core) Restart(now clock.Millis, id raft.ID, stored raft.Stored) {
	c.now, c.diskFailed, c.options.ID = now, false, id
	c.proposals = map[uint64]proposal{}
	empty := stored.Snapshot.Index == 0 && len(stored.Entries) == 0 && stored.State.Term == 0
	if empty && slices.Contains(c.options.Founders, c.options.ID) {
		stored = c.bootstrap()
	}
	c.node = raft.New(c.options.ID, c.options.Timing, stored, now, c.rand)
	c.applySnapshot(stored.Snapshot.Data)
	c.takeLogOutput()
}

// bootstrap returns the initial state of the log. It is identical on every
// founder, so founders need not communicate first.
func (c *Core) bootstrap() raft.Stored {
	founders := slices.Clone(c.options.Founders)
	slices.Sort(founders)
	snap := raft.Snapshot{Index: 1, Term: 1, Conf: raft.Conf{Voters: founders}}
	stored := raft.Stored{State: raft.HardState{Term: 1}, Snapshot: snap}
	c.out.State, c.out.Install = &stored.State, &snap
	c.logLine("Replicated log bootstrapped.", "members", founders)
	return stored
}

// Fail stops the Raft node until Restart, because the disk failed or cannot keep
// up.
func (c *Core) Fail() { c.diskFailed = true }

// Failed reports whether the Raft node is stopped because of the disk.
func (c *Core) Failed() bool { return c.diskFailed }

// Node returns the Raft node. Callers must only read from it.
func (c *Core) Node() *raft.Node { return c.node }

// Fleet returns the known servers. Callers must only read from it.
func (c *Core) Fleet() *fleet.Fleet { return c.list.Fleet() }

// Version returns the version of the routing table in force, or 0.
func (c *Core) Version() uint64 { return c.tables.Version() }

// Current reports whether the host is in contact with a quorum and has applied
// all that the leader is known to have committed.
func (c *Core) Current() bool {
	return !c.diskFailed && c.node.Current(c.now) && c.node.CaughtUp()
}

// EntryHosts returns the number of entry hosts that poll this host.
func (c *Core) EntryHosts() int { return c.loads.Hosts() }

// Pending returns the number of calls that wait for a quorum.
func (c *Core) Pending() int { return len(c.requests) + c.replicator.Len() }

// AddSeeds adds addresses of control hosts to contact while this host is no
// member of the log or has no contact with a leader.
func (c *Core) AddSeeds(addresses []string) { c.addAddresses(addresses) }

func (c *Core) addAddresses(addresses []string) {
	for _, a := range addresses {
		if a != "" && a != addressOf(c.options.ID) && !slices.Contains(c.knownAddresses, a) {
			c.knownAddresses = append(c.knownAddresses, a)
		}
	}
}

// addressOf returns the address part of an ID.
func addressOf(id raft.ID) string {
	address, _ := id.Split()
	return address
}

func (c *Core) logLine(text string, fields ...any) {
	c.out.LogLines = append(c.out.LogLines, LogLine{text, fields})
}

// sendNow sends a message that does not depend on a write to disk.
func (c *Core) sendNow(address string, e *msgs.Envelope) {
	c.awaitAnswer(address, e)
	c.out.SendNow = append(c.out.SendNow, OutMessage{address, msgs.Encode(e)})
}

func (c *Core) reply(to ReplyHandle, e *msgs.Envelope) {
	c.out.Replies = append(c.out.Replies, Reply{to, msgs.Encode(e)})
}

func (c *Core) answer(callID CallID, code Code, data []byte) {
	c.out.Answers = append(c.out.Answers, Answer{CallID: callID, Code: code, Data: data})
}

// advance sets the time. The first step after the process was suspended must not expire
// what was renewed meanwhile: the messages that tell of it wait to be handled.
func (c *Core) advance(now clock.Millis) {
	if now-c.now > stallThreshold {
		c.list.Resume(now)
		c.peers.Resume(now)
		c.answers.Resume(now)
	}
	c.now = now
}

// Tick advances the time. Call it several times per heartbeat interval.
func (c *Core) Tick(now clock.Millis) {
	c.resumeEvacuations(now)
	c.tickedAt = now
	c.advance(now)
	if !c.diskFailed {
		c.node.Tick(now)
		c.requestJoin()
		c.requestResignation()
		c.noteEndedWitnesses()
		c.updateMembership()
		c.logStatus()
	}
	c.retryRequests()
	c.replicator.Tick(now)
	c.observeContact()
	c.maintainServers()
	c.advertise()
}

// HandleMessage handles one message from another host.
func (c *Core) HandleMessage(now clock.Millis, from ReplyHandle, e *msgs.Envelope) {
	c.advance(now)
	if sender := e.Sender(); sender != "" {
		c.contacts.Heard(now, sender)
	}
	switch {
	case e.Raft != nil:
		if !c.diskFailed {
			c.node.Step(now, *e.Raft)
		}
	case e.JoinRequest != nil:
		c.onJoinRequest(e.JoinRequest)
	case e.JoinReply != nil:
		c.onJoinReply(e.JoinReply)
	case e.ResignRequest != nil:
		c.onResignRequest(e.ResignRequest)
	case e.ResignReply != nil:
		c.onResignReply(e.ResignReply)
	case e.ProposeRequest != nil:
		c.onProposeRequest(e.ProposeRequest)
	case e.ProposeReply != nil:
		c.onProposeReply(e.ProposeReply)
	case e.ReplicateRequest != nil:
		c.onReplicateRequest(e.ReplicateRequest)
	case e.ReplicateReply != nil:
		c.replicator.HandleReply(e.ReplicateReply)
	case e.Sync != nil:
		c.onSync(e.Sync)
	case e.SyncReply != nil:
		c.answers.Answered(addressOf(e.SyncReply.From))
		c.onSyncReply(e.SyncReply)
	case e.Fetch != nil:
		c.onFetch(from, e.Fetch)
	}
}

// Persisted records what of the log is synced to disk.
func (c *Core) Persisted(now clock.Millis, synced raft.Synced) {
	c.advance(now)
	if !c.diskFailed {
		c.node.Persisted(synced)
	}
}

// Take returns the pending output and clears it.
func (c *Core) Take() Output {
	c.saveDepartures()
	if !c.diskFailed {
		c.takeLogOutput()
	}
	c.observeReturn()
	out := c.out
	c.out = Output{}
	return out
}
