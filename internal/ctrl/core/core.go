// Package core is the decision machine of a control host: the agreed log, the
// state of the bundle versions, the roll-out and the membership of the log.
package core

import (
	"math/rand/v2"
	"slices"
	"strings"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/sign"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/bundle/state"
	"monsooncleat.example/monsooncleat/internal/ctrl/msgs"
	"monsooncleat.example/monsooncleat/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
)

// helloSpan is the span between two greetings of a host that is no member.
const helloSpan = 500 * clock.Millis(1)

// maxWaiting is the most operator commands that wait for a quorum at once.
const maxWaiting = 1024

// Member is a control host named in the settings.
type Member struct {
	Name    string
	Address string
	// Initial says that the host is among the first voters.
	Initial bool
}

// Options are the settings of a Core.
type Options struct {
	Name    string
	Disk    string
	Members []Member
	Keys    sign.Ring
	Timing  raft.Timing
	// SnapshotEvery is how many entries a log grows before it is cut.
	SnapshotEvery uint64
}

// Token names the connection that a question came from. The daemon chooses it.
type Token uint64

// Reply is a body to send back on a connection.
type Reply struct {
	To   Token
	Body []byte
}

// Send is a body to send to the control host at an address.
type Send struct {
	Address string
	Body    []byte
}

// Out is what the daemon does after a step. Raft messages and the store come
// first, as raft.Output says; Snapshot is a new snapshot of the own state.
type Out struct {
	State    *raft.HardState
	Entries  []raft.Entry
	Install  *raft.Snapshot
	Snapshot *raft.Snapshot
	// After are the entries that stay behind Snapshot.
	After   []raft.Entry
	Sends   []Send
	Replies []Reply
}

// Empty reports whether there is nothing to do.
func (o *Out) Empty() bool {
	return o.State == nil && len(o.Entries) == 0 && o.Install == nil && o.Snapshot == nil &&
		len(o.Sends) == 0 && len(o.Replies) == 0
}

type waiting struct {
	token Token
	term  uint64
}

// report is the latest report of a data centre.
type report struct {
	msgs.Report
	at clock.Millis
}

// Core is the decision machine. It is not safe for concurrent use.
type Core struct {
	opts    Options
	id      raft.ID
	node    *raft.Node
	machine *state.Machine
	now     clock.Millis
	rand    *rand.Rand

	member  bool
	first   raft.Conf
	helloAt clock.Millis
	hellos  map[string]msgs.HelloReply

	waits   map[uint64]waiting
	reports map[string]report
	// stepAt is when the latest stage was put in force, as seen here.
	stepAt     clock.Millis
	stepOf     state.Rollout
	proposedAt clock.Millis
	failed     bool
	out        Out
}

// New returns the Core of a host that found stored on its disk.
func New(opts Options, stored raft.Stored, now clock.Millis, r *rand.Rand) (*Core, error) {
	c := &Core{
		opts: opts, id: raft.ID(opts.Name + "/" + opts.Disk), machine: state.New(opts.Keys),
		now: now, rand: r, hellos: map[string]msgs.HelloReply{},
		waits: map[uint64]waiting{}, reports: map[string]report{},
	}
	if err := c.machine.Restore(stored.Snapshot.Data); err != nil {
		return nil, err
	}
	c.node = raft.New(c.id, opts.Timing, stored, now, r)
	c.member = stored.Snapshot.Index > 0
	c.first = stored.Snapshot.Conf
	return c, nil
}

// Node returns the member of the agreed log.
func (c *Core) Node() *raft.Node { return c.node }

// Machine returns the state of the versions.
func (c *Core) Machine() *state.Machine { return c.machine }

// Failed reports whether the disk has failed and the host stands aside.
func (c *Core) Failed() bool { return c.failed }

// Fail makes the host stand aside for good after its disk has failed.
func (c *Core) Fail() {
	c.failed = true
	c.dropWaits("the disk of this host has failed")
}

// Tick tells the time.
func (c *Core) Tick(now clock.Millis) {
	c.now = now
	if c.failed {
		return
	}
	if !c.member {
		c.greet()
		return
	}
	if !c.node.Conf().Has(c.id) {
		c.greet()
	}
	c.node.Tick(now)
	c.lead()
	c.settle()
}

// Message takes a body that came from a connection.
func (c *Core) Message(now clock.Millis, from Token, body []byte) {
	c.now = now
	if c.failed {
		return
	}
	switch codec.KindOf(body) {
	case codec.Raft:
		if m, err := codec.Decode[raft.Message](body); err == nil && c.member {
			c.node.Step(now, *m)
		}
	case codec.Hello:
		if m, err := codec.Decode[msgs.Hello](body); err == nil {
			c.onHello(from, m)
		}
	case codec.HelloReply:
		if m, err := codec.Decode[msgs.HelloReply](body); err == nil {
			c.onHelloReply(m)
		}
	case codec.Command:
		if m, err := codec.Decode[state.Command](body); err == nil {
			c.onCommand(from, m)
		}
	case codec.Member:
		if m, err := codec.Decode[msgs.MemberChange](body); err == nil {
			c.onMemberChange(from, m)
		}
	case codec.Status:
		c.reply(from, codec.StatusReply, c.status())
	case codec.Poll:
		if m, err := codec.Decode[msgs.Poll](body); err == nil {
			c.onPoll(from, m)
		}
	case codec.Report:
		if m, err := codec.Decode[msgs.Report](body); err == nil {
			c.onReport(*m)
		}
	}
	c.settle()
}

// Persisted tells that the entries up to index are synced.
func (c *Core) Persisted(now clock.Millis, index, term uint64) {
	c.now = now
	if c.failed {
		return
	}
	c.node.Persisted(index, term)
	c.settle()
}

// Take returns what has to be done and forgets it.
func (c *Core) Take() Out {
	out := c.out
	c.out = Out{}
	return out
}

// settle moves what the log decided into the state and the output.
func (c *Core) settle() {
	o := c.node.Take()
	if o.State != nil {
		c.out.State = o.State
	}
	if o.Snapshot != nil {
		c.out.Install = o.Snapshot
		c.out.Entries = nil
		if err := c.machine.Restore(o.Snapshot.Data); err != nil {
			c.Fail()
			return
		}
	}
	c.out.Entries = append(c.out.Entries, o.Entries...)
	for _, m := range o.Messages {
		c.send(nameOf(m.To), codec.Raft, m)
	}
	for _, e := range o.Committed {
		c.apply(e)
	}
	if c.node.Role() != raft.Leader && len(c.waits) > 0 {
		c.dropWaits("this host no longer leads; resend with the same command id")
	}
	c.compact()
}

func (c *Core) apply(e raft.Entry) {
	if e.Kind != raft.EntryCommand {
		return
	}
	var cmd state.Command
	result := state.Result{Code: state.Invalid}
	if msgpack.Unmarshal(e.Data, &cmd) == nil {
		result = c.machine.Apply(&cmd)
	}
	w, ok := c.waits[e.Index]
	if !ok {
		return
	}
	delete(c.waits, e.Index)
	if w.term != e.Term {
		result = state.Result{Code: state.Unavailable, Text: "another command took the place; resend"}
	}
	c.reply(w.token, codec.CommandReply, msgs.CommandReply{Result: result})
}

func (c *Core) dropWaits(text string) {
	for index, w := range c.waits {
		c.refuse(w.token, text)
		delete(c.waits, index)
	}
}

func (c *Core) refuse(to Token, text string) {
	r := state.Result{Code: state.Unavailable, Text: text}
	c.reply(to, codec.CommandReply, msgs.CommandReply{Result: r, Leader: c.leaderAddress()})
}

func (c *Core) compact() {
	if c.node.Commit() < c.node.Base()+c.opts.SnapshotEvery || c.out.Install != nil {
		return
	}
	data, err := c.machine.Snapshot()
	if err != nil {
		c.Fail()
		return
	}
	if snap := c.node.Compact(c.node.Commit(), data); snap != nil {
		c.out.Snapshot, c.out.After = snap, c.node.Entries()
	}
}

func (c *Core) reply(to Token, kind codec.Kind, v any) {
	c.out.Replies = append(c.out.Replies, Reply{to, codec.Encode(kind, v)})
}

func (c *Core) send(name string, kind codec.Kind, v any) {
	if addr := c.addressOf(name); addr != "" {
		c.out.Sends = append(c.out.Sends, Send{addr, codec.Encode(kind, v)})
	}
}

func (c *Core) addressOf(name string) string {
	i := slices.IndexFunc(c.opts.Members, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return ""
	}
	return c.opts.Members[i].Address
}

func (c *Core) leaderAddress() string { return c.addressOf(nameOf(c.node.Leader())) }

func nameOf(id raft.ID) string {
	name, _, _ := strings.Cut(string(id), "/")
	return name
}

func (c *Core) onCommand(from Token, cmd *state.Command) {
	if r, ok := c.machine.Result(cmd.ID); ok && c.node.Current(c.now) {
		c.reply(from, codec.CommandReply, msgs.CommandReply{Result: r})
		return
	}
	if cmd.ID == "" || cmd.Kind == state.Step || cmd.Kind == state.Halt {
		r := state.Result{Code: state.Invalid, Text: "not an operator's command"}
		c.reply(from, codec.CommandReply, msgs.CommandReply{Result: r})
		return
	}
	if len(c.waits) >= maxWaiting {
		c.refuse(from, "too many commands wait")
		return
	}
	c.propose(from, cmd)
}

func (c *Core) propose(from Token, cmd *state.Command) {
	data, err := msgpack.Marshal(cmd)
	if err != nil {
		c.refuse(from, err.Error())
		return
	}
	index, term, err := c.node.Propose(c.now, data)
	if err != nil {
		c.refuse(from, err.Error())
		return
	}
	if from != 0 {
		c.waits[index] = waiting{from, term}
	}
}

func (c *Core) status() msgs.StatusReply {
	conf := c.node.Conf()
	s := msgs.StatusReply{
		Leads: c.node.Leads(c.now), Current: c.node.Current(c.now), Leader: c.leaderAddress(),
		Term: c.node.Term(), Commit: c.node.Commit(), Voters: conf.Voters, Learners: conf.Learners,
		Highest: c.machine.Highest(), Rollout: c.machine.Rollout(),
	}
	for _, name := range c.machine.Centres() {
		s.Centres = append(s.Centres, c.centre(name))
	}
	return s
}

func (c *Core) centre(name string) msgs.Centre {
	rs := c.machine.Releases(name)
	last := rs[len(rs)-1]
	out := msgs.Centre{Name: name, Released: last.Version, Seq: last.Seq, SilentFor: -1}
	if r, ok := c.reports[name]; ok {
		out.InForce, out.Hosts, out.Healthy = r.InForce, r.Hosts, r.Healthy
		out.SilentFor = int64(c.now - r.at)
	}
	return out
}

// InForce returns the version that the control hosts want in a data centre.
func (c *Core) InForce(centre string) spec.Version {
	rs := c.machine.Releases(centre)
	if len(rs) == 0 {
		return 0
	}
	return rs[len(rs)-1].Version
}
