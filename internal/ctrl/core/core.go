// Package core is the state machine of a control host that distributes bundles. It
// handles the replicated log, its bootstrap and membership, operator commands, and
// the staged roll-out of bundle versions to data centres. It does no I/O: the daemon
// passes in events and carries out each Output.
package core

import (
	"math/rand/v2"
	"slices"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/agree/write"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/bundle/sign"
	"monsooncleat.example/monsooncleat/internal/bundle/spec"
	"monsooncleat.example/monsooncleat/internal/bundle/state"
	"monsooncleat.example/monsooncleat/internal/ctrl/msgs"
	"monsooncleat.example/monsooncleat/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
)

// joinInterval is the interval at which a host that is not in the membership sends a
// JoinRequest to the other control hosts.
const joinInterval = 500 * clock.Millis(1)

// maxPendingCommands is the maximum number of commands awaiting commit.
const maxPendingCommands = 1024

// ControlHost is a control host listed in the settings.
type ControlHost struct {
	Name    string
	Address string
	// Initial reports whether the host is one of the initial voters.
	Initial bool
}

// Options are the settings of a Core.
type Options struct {
	// Name is the name of this host.
	Name string
	// Disk is the identity of its disk.
	Disk string
	// ControlHosts are all control hosts listed in the settings.
	ControlHosts []ControlHost
	// Keys are the public keys of the operators.
	Keys   sign.Keyring
	Timing raft.Timing
	// SnapshotEvery is the number of log entries after which a snapshot is
	// taken and the log compacted.
	SnapshotEvery uint64
}

// ReplyHandle identifies a received message, so that a reply can be sent on its
// connection. The daemon assigns it. Zero means that no reply is expected.
type ReplyHandle uint64

// Reply is a reply to the received message identified by To.
type Reply struct {
	To   ReplyHandle
	Body []byte
}

// OutMessage is a message to send to the control host at Address.
type OutMessage struct {
	Address string
	Body    []byte
}

// Output is the work that the daemon must carry out. As with raft.Output, everything
// to be stored must be synced to disk before Sends and Replies are sent.
type Output struct {
	// Batch is what to store.
	write.Batch
	Sends   []OutMessage
	Replies []Reply
}

// Merge adds the work of a later step, so that one sync does for both. It reports false, and
// changes nothing, if that has to be stored on its own.
func (o *Output) Merge(later *Output) bool {
	if !o.Batch.Merge(&later.Batch) {
		return false
	}
	o.Sends = append(o.Sends, later.Sends...)
	o.Replies = append(o.Replies, later.Replies...)
	return true
}

// Empty reports whether o contains no work.
func (o *Output) Empty() bool {
	return o.Batch.Empty() && len(o.Sends) == 0 && len(o.Replies) == 0
}

// pendingCommand is a proposed command whose sender awaits the result.
type pendingCommand struct {
	handle ReplyHandle
	// term is the term of the proposed entry.
	term uint64
}

// receivedReport is the latest report of a data centre.
type receivedReport struct {
	msgs.Report
	receivedAt clock.Millis
}

// Core is the state machine of a control host. It is not safe for concurrent use.
type Core struct {
	opts    Options
	id      raft.ID
	node    *raft.Node
	machine *state.Machine
	now     clock.Millis
	rand    *rand.Rand

	// joined is set once the host has started a log or found one to join. It may
	// not be in the membership yet, and its own log may be empty.
	joined bool
	// initialConf is the membership in the snapshot that this host started with:
	// the initial membership of the log or, after a restart, that of the latest
	// stored snapshot.
	initialConf raft.Conf
	nextJoinAt  clock.Millis
	// joinReplies holds the latest reply of each host by name.
	joinReplies map[string]msgs.JoinReply

	// pending holds the commands awaiting commit by log index.
	pending map[uint64]pendingCommand
	// reports holds the latest report of each data centre by name.
	reports map[string]receivedReport
	// stageStartedAt is when this host, as leader, first saw the version and stage in
	// observedRollout. That stage is the next one to release: from stage 1 on, the
	// previous stage was released at about this time.
	stageStartedAt  clock.Millis
	observedRollout state.Rollout
	// rolloutProposedAt is when the leader last proposed a Step or Halt for
	// observedRollout, or 0 if it has not.
	rolloutProposedAt clock.Millis
	// failed is set by Fail.
	failed bool
	out    Output
}

// New returns a Core with the state that was read from disk.
func New(opts Options, stored raft.Stored, now clock.Millis, r *rand.Rand) (*Core, error) {
	c := &Core{
		opts: opts, id: raft.ID(opts.Name + "/" + opts.Disk), machine: state.New(opts.Keys),
		now: now, rand: r, joinReplies: map[string]msgs.JoinReply{},
		pending: map[uint64]pendingCommand{}, reports: map[string]receivedReport{},
	}
	if err := c.machine.Restore(stored.Snapshot.Data); err != nil {
		return nil, err
	}
	c.node = raft.New(c.id, opts.Timing, stored, now, r)
	c.joined = stored.Snapshot.Index > 0
	c.initialConf = stored.Snapshot.Conf
	return c, nil
}

// Node returns the Raft node of this host.
func (c *Core) Node() *raft.Node { return c.node }

// Machine returns the replicated state machine of the bundle versions.
func (c *Core) Machine() *state.Machine { return c.machine }

// Failed reports whether Fail was called.
func (c *Core) Failed() bool { return c.failed }

// Fail stops the Raft node of this host until the host is restarted, and rejects all
// pending commands. It is called when the disk fails or is too slow, or when a
// snapshot cannot be restored or encoded.
func (c *Core) Fail() {
	c.failed = true
	c.failPending("the disk of this host has failed")
}

// Tick advances the clock to now and runs periodic tasks.
func (c *Core) Tick(now clock.Millis) {
	c.now = now
	if c.failed {
		return
	}
	if !c.joined {
		c.sendJoinRequests()
		return
	}
	if !c.node.Conf().Has(c.id) {
		c.sendJoinRequests()
	}
	c.node.Tick(now)
	c.runLeaderTasks()
	c.processOutput()
}

// HandleMessage processes a message that arrived on a connection. Malformed messages are
// ignored, and so are all messages after Fail.
func (c *Core) HandleMessage(now clock.Millis, from ReplyHandle, body []byte) {
	c.now = now
	if c.failed {
		return
	}
	switch codec.KindOf(body) {
	case codec.Raft:
		if m, err := codec.Decode[raft.Message](body); err == nil && c.joined {
			c.node.Step(now, *m)
		}
	case codec.JoinRequest:
		if m, err := codec.Decode[msgs.JoinRequest](body); err == nil {
			c.onJoinRequest(from, m)
		}
	case codec.JoinReply:
		if m, err := codec.Decode[msgs.JoinReply](body); err == nil {
			c.onJoinReply(m)
		}
	case codec.Command:
		if m, err := codec.Decode[state.Command](body); err == nil {
			c.onCommand(from, m)
		}
	case codec.MemberChange:
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
	c.processOutput()
}

// Persisted records what of the log is synced to disk.
func (c *Core) Persisted(now clock.Millis, synced raft.Synced) {
	c.now = now
	if c.failed {
		return
	}
	c.node.Persisted(synced)
	c.processOutput()
}

// Take returns the pending output and clears it.
func (c *Core) Take() Output {
	out := c.out
	c.out = Output{}
	return out
}

// processOutput applies newly committed entries and adds the output of the Raft node
// to the output of c.
func (c *Core) processOutput() {
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
	for _, m := range slices.Concat(o.Messages, o.Urgent) {
		c.send(hostName(m.To), codec.Raft, m)
	}
	for _, e := range o.Committed {
		c.apply(e)
	}
	if c.node.Role() != raft.Leader && len(c.pending) > 0 {
		c.failPending("this host no longer leads; resend with the same command id")
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
	p, ok := c.pending[e.Index]
	if !ok {
		return
	}
	delete(c.pending, e.Index)
	if p.term != e.Term {
		result = state.Result{Code: state.Unavailable, Text: "another command took the place; resend"}
	}
	c.reply(p.handle, codec.CommandReply, msgs.CommandReply{Result: result})
}

// failPending answers all pending commands with state.Unavailable.
func (c *Core) failPending(text string) {
	for index, p := range c.pending {
		c.replyUnavailable(p.handle, text)
		delete(c.pending, index)
	}
}

func (c *Core) replyUnavailable(to ReplyHandle, text string) {
	r := state.Result{Code: state.Unavailable, Text: text}
	c.reply(to, codec.CommandReply, msgs.CommandReply{Result: r, Leader: c.leaderAddress()})
}

// compact takes a snapshot once the log has grown by SnapshotEvery entries.
func (c *Core) compact() {
	if c.node.Commit() < c.node.SnapshotIndex()+c.opts.SnapshotEvery || c.out.Install != nil {
		return
	}
	data, err := c.machine.Snapshot()
	if err != nil {
		c.Fail()
		return
	}
	if snap := c.node.Compact(c.node.Commit(), data); snap != nil {
		c.out.Snapshot, c.out.Retained = snap, c.node.Entries()
	}
}

func (c *Core) reply(to ReplyHandle, kind codec.Kind, v any) {
	c.out.Replies = append(c.out.Replies, Reply{to, codec.Encode(kind, v)})
}

// send queues a message to the control host called name. Messages to hosts that are
// not in the settings are dropped.
func (c *Core) send(name string, kind codec.Kind, v any) {
	if addr := c.addressOf(name); addr != "" {
		c.out.Sends = append(c.out.Sends, OutMessage{addr, codec.Encode(kind, v)})
	}
}

func (c *Core) addressOf(name string) string {
	i := slices.IndexFunc(c.opts.ControlHosts, func(h ControlHost) bool { return h.Name == name })
	if i < 0 {
		return ""
	}
	return c.opts.ControlHosts[i].Address
}

func (c *Core) leaderAddress() string { return c.addressOf(hostName(c.node.Leader())) }

// hostName returns the host name part of id, which has the form host/disk.
func hostName(id raft.ID) string {
	name, _ := id.Split()
	return name
}

// onCommand proposes an operator's command. A command that was already applied is
// not proposed again; its stored result is returned.
func (c *Core) onCommand(from ReplyHandle, cmd *state.Command) {
	if r, ok := c.machine.Result(cmd.ID); ok && c.node.Current(c.now) {
		c.reply(from, codec.CommandReply, msgs.CommandReply{Result: r})
		return
	}
	if cmd.ID == "" || cmd.Kind == state.Step || cmd.Kind == state.Halt {
		r := state.Result{Code: state.Invalid, Text: "not an operator's command"}
		c.reply(from, codec.CommandReply, msgs.CommandReply{Result: r})
		return
	}
	if len(c.pending) >= maxPendingCommands {
		c.replyUnavailable(from, "too many commands wait")
		return
	}
	c.propose(from, cmd)
}

// propose appends cmd to the log. The sender gets its reply once the entry commits;
// from is zero for commands of the leader itself.
func (c *Core) propose(from ReplyHandle, cmd *state.Command) {
	data, err := msgpack.Marshal(cmd)
	if err != nil {
		c.replyUnavailable(from, err.Error())
		return
	}
	index, term, err := c.node.Propose(c.now, data)
	if err != nil {
		c.replyUnavailable(from, err.Error())
		return
	}
	if from != 0 {
		c.pending[index] = pendingCommand{from, term}
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
		s.Centres = append(s.Centres, c.centreStatus(name))
	}
	return s
}

func (c *Core) centreStatus(name string) msgs.CentreStatus {
	rs := c.machine.Releases(name)
	last := rs[len(rs)-1]
	out := msgs.CentreStatus{Name: name, Released: last.Version, Seq: last.Seq, SilentFor: -1}
	if r, ok := c.reports[name]; ok {
		out.InForce, out.Hosts, out.Healthy = r.InForce, r.Hosts, r.Healthy
		out.SilentFor = int64(c.now - r.receivedAt)
	}
	return out
}

// ReleasedVersion returns the version last released to a data centre, or 0 if
// there is none. It may not be in force on the entry hosts yet.
func (c *Core) ReleasedVersion(centre string) spec.Version {
	rs := c.machine.Releases(centre)
	if len(rs) == 0 {
		return 0
	}
	return rs[len(rs)-1].Version
}
