// Package core is the decision machine of a control host of the directory. The
// control hosts agree on one routing table through the replicated log, and
// exchange the announcements of backend servers without it: a later
// announcement replaces an earlier one wherever they meet.
//
// The package does no I/O. Its caller feeds it the time, messages and calls,
// and carries out each Out.
package core

import (
	"math/rand/v2"
	"slices"
	"strings"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/dir/tables"
	"monsooncleat.example/monsooncleat/internal/dir/tally"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

// Options are the settings of a Core.
type Options struct {
	// ID is "address/identity": the address for messages between control
	// hosts, and the identity of the disk.
	ID raft.ID
	// Founders are the first members, on a host that may found the log.
	Founders []raft.ID
	// Seeds are addresses of control hosts to ask first.
	Seeds  []string
	Timing raft.Timing
	Fleet  fleet.Options
	// Run names this process among those that ran under the ID.
	Run uint64
}

const (
	// helloSpan is the span between two requests to be taken into the log.
	helloSpan = 250 * clock.Millis(1)
	// syncSpan is the span between two exchanges of announcements.
	syncSpan = 300 * clock.Millis(1)
	// callSpan is how long a call waits for a quorum. The platform's callers
	// wait a second before they try another host.
	callSpan = 900 * clock.Millis(1)
	// retrySpan is the span after which an order is sent again.
	retrySpan = 150 * clock.Millis(1)
	// expireSpan is the span between two passes over the fleet.
	expireSpan = 500 * clock.Millis(1)
	// keepSpan is the least span between two writes of the list of servers.
	keepSpan = clock.Second
	// pauseSpan is a gap between ticks that shows that the process stood still.
	pauseSpan = clock.Second
	// resumeSpan is how long after such a pause servers may need to be heard
	// again: one announcement and one exchange.
	resumeSpan = 2 * clock.Second
)

// Core decides for one control host. It is not safe for concurrent use.
type Core struct {
	options Options
	rand    *rand.Rand
	node    *raft.Node
	now     clock.Millis
	failed  bool

	tables tables.Tables
	tally  *tally.Tally

	known   []string
	helloAt clock.Millis
	// grownAt is when this host, as leader, last added a voter.
	grownAt clock.Millis
	lastLed raft.ID
	wasUp   bool

	number    uint64
	orders    map[uint64]*order
	proposals map[uint64]proposal
	tells     map[uint64]*tell

	fleet    *fleet.Fleet
	syncAt   clock.Millis
	expireAt clock.Millis
	quietTo  clock.Millis
	// keptAt is when the list of servers was handed out last, and kept the
	// position of its latest change.
	keptAt clock.Millis
	kept   uint64
	peers  map[raft.ID]*peer

	out Out
}

// peer is how far the announcements of another control host are known.
type peer struct {
	run      uint64
	position uint64
}

// New returns a Core that continues from what the disk held.
func New(options Options, stored raft.Stored, now clock.Millis, r *rand.Rand) *Core {
	c := &Core{
		options: options, rand: r, now: now, fleet: fleet.New(options.Fleet),
		orders: map[uint64]*order{}, proposals: map[uint64]proposal{}, tells: map[uint64]*tell{},
		peers: map[raft.ID]*peer{}, tally: tally.New(), quietTo: now + resumeSpan,
	}
	c.learnAddresses(options.Seeds)
	c.Restart(now, stored)
	return c
}

// Restart begins the log anew from what the disk holds, at the start and after
// a failure of the disk.
func (c *Core) Restart(now clock.Millis, stored raft.Stored) {
	c.now, c.failed = now, false
	c.proposals = map[uint64]proposal{}
	empty := stored.Snapshot.Index == 0 && len(stored.Entries) == 0 && stored.State.Term == 0
	if empty && slices.Contains(c.options.Founders, c.options.ID) {
		stored = c.found()
	}
	c.node = raft.New(c.options.ID, c.options.Timing, stored, now, c.rand)
	c.install(stored.Snapshot.Data)
}

// found returns the first state of the log, which each founder makes alike.
func (c *Core) found() raft.Stored {
	founders := slices.Clone(c.options.Founders)
	slices.Sort(founders)
	snap := raft.Snapshot{Index: 1, Term: 1, Conf: raft.Conf{Voters: founders}}
	stored := raft.Stored{State: raft.HardState{Term: 1}, Snapshot: snap}
	c.out.State, c.out.Install = &stored.State, &snap
	c.note("Log founded.", "members", founders)
	return stored
}

// Fail takes the host out of the log until Restart, because its disk no longer
// works.
func (c *Core) Fail() { c.failed = true }

// Failed reports whether the disk has failed.
func (c *Core) Failed() bool { return c.failed }

// Node returns the member of the log, for reading.
func (c *Core) Node() *raft.Node { return c.node }

// Fleet returns the servers known, for reading.
func (c *Core) Fleet() *fleet.Fleet { return c.fleet }

// Version returns the version of the routing table in force, or 0.
func (c *Core) Version() uint64 { return c.tables.Version() }

// Current reports whether the host is in touch with a quorum and holds what the
// quorum holds.
func (c *Core) Current() bool {
	return !c.failed && c.node.Current(c.now) && c.node.Synced()
}

// Pending returns the count of calls that wait for a quorum.
func (c *Core) Pending() int { return len(c.orders) + len(c.tells) }

// Reseed adds addresses to ask when the log is not in touch.
func (c *Core) Reseed(addresses []string) { c.learnAddresses(addresses) }

func (c *Core) learnAddresses(addresses []string) {
	for _, a := range addresses {
		if a != "" && a != addressOf(c.options.ID) && !slices.Contains(c.known, a) {
			c.known = append(c.known, a)
		}
	}
}

// addressOf returns the address part of an ID.
func addressOf(id raft.ID) string {
	address, _, _ := strings.Cut(string(id), "/")
	return address
}

func (c *Core) note(text string, fields ...any) {
	c.out.Notes = append(c.out.Notes, Note{text, fields})
}

func (c *Core) prompt(address string, e *msgs.Envelope) {
	c.out.Prompt = append(c.out.Prompt, Send{address, msgs.Encode(e)})
}

func (c *Core) reply(to Token, e *msgs.Envelope) {
	c.out.Replies = append(c.out.Replies, Reply{to, msgs.Encode(e)})
}

func (c *Core) answer(t Ticket, code Code, data []byte) {
	c.out.Answers = append(c.out.Answers, Answer{t, code, data})
}

// Tick tells the time. Call it several times in a heartbeat span.
func (c *Core) Tick(now clock.Millis) {
	if now-c.now > pauseSpan {
		c.quietTo = now + resumeSpan
	}
	c.now = now
	if !c.failed {
		c.node.Tick(now)
		c.greet()
		c.reshape()
		c.followLeader()
	}
	c.retryOrders()
	c.expireTells()
	c.exchange()
}

func (c *Core) followLeader() {
	if leader := c.node.Leader(); leader != c.lastLed {
		c.lastLed = leader
		c.note("Leader changed.", "leader", leader, "term", c.node.Term(), "commit", c.node.Commit())
	}
	if up := c.Current(); up != c.wasUp {
		c.wasUp = up
		c.note("Contact with the quorum changed.", "current", up, "leader", c.node.Leader())
	}
}

// Message takes one message from another host.
func (c *Core) Message(now clock.Millis, from Token, e *msgs.Envelope) {
	c.now = now
	switch {
	case e.Raft != nil:
		if !c.failed {
			c.node.Step(now, *e.Raft)
		}
	case e.Hello != nil:
		c.onHello(e.Hello)
	case e.Welcome != nil:
		c.onWelcome(e.Welcome)
	case e.Order != nil:
		c.onOrder(e.Order)
	case e.OrderReply != nil:
		c.onOrderReply(e.OrderReply)
	case e.Tell != nil:
		c.onTell(e.Tell)
	case e.TellReply != nil:
		c.onTellReply(e.TellReply)
	case e.Sync != nil:
		c.onSync(e.Sync)
	case e.SyncReply != nil:
		c.onSyncReply(e.SyncReply)
	case e.Fetch != nil:
		c.onFetch(from, e.Fetch)
	}
}

// Persisted tells that the entries up to index are synced.
func (c *Core) Persisted(now clock.Millis, index, term uint64) {
	c.now = now
	if !c.failed {
		c.node.Persisted(index, term)
	}
}

// Take returns what has to be done and forgets it.
func (c *Core) Take() Out {
	if !c.failed {
		c.drain()
	}
	out := c.out
	c.out = Out{}
	return out
}
