package raft_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/agree/attest"
	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
)

var safetySeeds = flag.Int("safety.seeds", 1500, "number of random schedules")

// member is a node and what is on its disk. Each member has a clock of its own.
type member struct {
	node   *raft.Node
	now    clock.Millis
	stored raft.Stored
	lost   bool
	// earlier is set on a member of the build before raft.KindContact, all of whose messages wait
	// for the disk.
	earlier bool
	// waiting holds what is not on the disk yet, and unreported what is, but not reported.
	waiting    []write
	unreported []raft.Synced
	// acknowledged is the index of the last entry that the member acknowledged in
	// acknowledgedTerm.
	acknowledged, acknowledgedTerm uint64
}

// write is an output to store, or else a snapshot that replaces entries of the log.
type write struct {
	raft.Output
	compacted *raft.Snapshot
}

// schedule delivers messages in any order and any number of times, changes the
// membership, erases disks and, if there are witnesses, restarts these. It checks what
// must hold whatever is lost: one leader a term, and one entry committed at each index.
type schedule struct {
	rand    *rand.Rand
	members map[raft.ID]*member
	ids     []raft.ID
	// witnesses have no election timeout, so that they decide at once for any half.
	witnesses map[raft.ID]*attest.Witness
	// running are the IDs of those witnesses whose processes run.
	running []raft.ID
	started int
	// left are the members on one side of a cut, which the witnesses reach as they do the
	// others.
	left map[raft.ID]bool
	// slowDisks has writes wait until a later step, and a restart lose those that wait.
	slowDisks bool
	network   []raft.Message
	leaders   map[uint64]raft.ID
	committed map[uint64]uint64
	failure   string
}

func newSchedule(seed uint64) *schedule {
	s := &schedule{
		rand: rand.New(rand.NewPCG(seed, 5)), members: map[raft.ID]*member{},
		leaders: map[uint64]raft.ID{}, committed: map[uint64]uint64{},
	}
	var voters []raft.ID
	for i := range 3 + s.rand.IntN(2) {
		voters = append(voters, raft.ID(fmt.Sprint("n", i)))
	}
	founded := raft.Stored{
		State:    raft.HardState{Term: 1},
		Snapshot: raft.Snapshot{Index: 1, Term: 1, Conf: raft.Conf{Voters: voters}},
	}
	for _, id := range voters {
		s.add(id, founded)
	}
	return s
}

// newScheduleWithWitnesses returns a schedule with four voters and three witnesses.
func newScheduleWithWitnesses(seed uint64) *schedule {
	s := &schedule{
		rand: rand.New(rand.NewPCG(seed, 7)), members: map[raft.ID]*member{}, witnesses: map[raft.ID]*attest.Witness{},
		leaders: map[uint64]raft.ID{}, committed: map[uint64]uint64{},
	}
	conf := raft.Conf{Voters: []raft.ID{"n0", "n1", "n2", "n3"}}
	for range 3 {
		conf.Witnesses = append(conf.Witnesses, s.startWitness())
	}
	founded := raft.Stored{State: raft.HardState{Term: 1}, Snapshot: raft.Snapshot{Index: 1, Term: 1, Conf: conf}}
	for _, id := range conf.Voters {
		s.add(id, founded)
	}
	return s
}

// newScheduleOnSlowDisks returns a schedule in which messages that don't wait for the disk are
// delivered before it is written. In a third of them, two members are of an earlier build.
func newScheduleOnSlowDisks(seed uint64) *schedule {
	s := newSchedule(seed)
	if seed%2 == 0 {
		s = newScheduleWithWitnesses(seed)
	}
	s.slowDisks = true
	if seed%3 == 0 {
		s.members["n0"].earlier, s.members["n1"].earlier = true, true
	}
	return s
}

// startWitness starts a process that is a witness.
func (s *schedule) startWitness() raft.ID {
	id := raft.ID(fmt.Sprint("w", s.started))
	s.started++
	s.witnesses[id] = attest.New(id, 0)
	s.running = append(s.running, id)
	return id
}

// restartWitness ends the process of a random witness and starts another one.
func (s *schedule) restartWitness() {
	if len(s.running) == 0 {
		return
	}
	i := s.rand.IntN(len(s.running))
	delete(s.witnesses, s.running[i])
	s.running = slices.Delete(s.running, i, i+1)
	s.startWitness()
}

func (s *schedule) add(id raft.ID, stored raft.Stored) {
	s.members[id] = &member{stored: stored}
	s.ids = append(s.ids, id)
	s.restart(s.members[id], id)
}

func (s *schedule) restart(m *member, id raft.ID) {
	m.waiting, m.unreported = nil, nil
	stored := m.stored
	stored.Entries = slices.Clone(stored.Entries)
	timing := raft.Timing{Heartbeat: 100, Election: 400}
	m.node = raft.New(id, timing, stored, m.now, rand.New(rand.NewPCG(s.rand.Uint64(), 6)))
}

// take has the output of a member stored and puts its messages on the network.
func (s *schedule) take(m *member) {
	for out := m.node.Take(); !out.Empty(); out = m.node.Take() {
		if m.earlier {
			out.Messages = append(out.Messages, slices.DeleteFunc(out.Urgent, isContact)...)
			out.Urgent = nil
		}
		s.network = append(s.network, out.Urgent...)
		s.checkAcknowledged(m, out.Urgent)
		s.checkStored(m, out.Urgent)
		for _, e := range out.Committed {
			if term, known := s.committed[e.Index]; known && term != e.Term {
				s.failure = fmt.Sprintf("entry %d committed in terms %d and %d", e.Index, term, e.Term)
			}
			s.committed[e.Index] = e.Term
		}
		s.write(m, write{Output: out})
	}
	if m.node.Role() != raft.Leader {
		return
	}
	term := m.node.Term()
	if other, known := s.leaders[term]; known && other != m.node.ID() {
		s.failure = fmt.Sprintf("term %d has the leaders %s and %s", term, other, m.node.ID())
	}
	s.leaders[term] = m.node.ID()
}

func isContact(m raft.Message) bool { return m.Kind == raft.KindContact }

// write stores an output or a snapshot, after those before it.
func (s *schedule) write(m *member, w write) {
	m.waiting = append(m.waiting, w)
	if !s.slowDisks {
		s.sync(m)
		s.report(m)
	}
}

// sync stores the first write that waits, and sends the messages that wait for it.
func (s *schedule) sync(m *member) {
	if len(m.waiting) == 0 {
		return
	}
	w := m.waiting[0]
	m.waiting = m.waiting[1:]
	var synced raft.Synced
	if w.State != nil {
		m.stored.State, synced.State = *w.State, w.State
	}
	if w.Snapshot != nil {
		m.stored.Snapshot, m.stored.Entries = *w.Snapshot, nil
		synced.Last = raft.Position{Index: w.Snapshot.Index, Term: w.Snapshot.Term}
	}
	for _, e := range w.Entries {
		m.stored.Entries = append(m.stored.Entries[:e.Index-m.stored.Snapshot.Index-1], e)
	}
	if n := len(w.Entries); n > 0 {
		synced.Last = raft.Position{Index: w.Entries[n-1].Index, Term: w.Entries[n-1].Term}
	}
	m.unreported = append(m.unreported, synced)
	if c := w.compacted; c != nil && c.Index > m.stored.Snapshot.Index {
		m.stored.Entries = slices.Clone(m.stored.Entries[c.Index-m.stored.Snapshot.Index:])
		m.stored.Snapshot = *c
	}
	s.network = append(s.network, w.Messages...)
	s.checkAcknowledged(m, w.Messages)
}

// report reports to a member what was stored.
func (s *schedule) report(m *member) {
	for _, synced := range m.unreported {
		m.node.Persisted(synced)
	}
	m.unreported = nil
}

// checkStored checks that what a member says ahead of its writes is on its disk: its term, and the
// entries that it acknowledges.
func (s *schedule) checkStored(m *member, sent []raft.Message) {
	for i := range sent {
		r := &sent[i]
		if m.stored.State.Term < r.Term {
			s.failure = fmt.Sprintf("%s said that it is in term %d and has stored term %d", m.node.ID(), r.Term, m.stored.State.Term)
		}
		if r.Kind == raft.KindAppendReply && r.Granted && !m.storedUpTo(r.Index) {
			s.failure = fmt.Sprintf("%s acknowledged entry %d, which is not on its disk", m.node.ID(), r.Index)
		}
	}
}

// storedUpTo reports whether the disk of a member holds the entries of its log up to index.
func (m *member) storedUpTo(index uint64) bool {
	if index <= m.stored.Snapshot.Index {
		return true
	}
	held := map[uint64]uint64{}
	for _, e := range m.node.Entries() {
		held[e.Index] = e.Term
	}
	for _, e := range m.stored.Entries {
		// Entries that the node has compacted are committed.
		if term, ok := held[e.Index]; e.Index <= index && e.Index > m.node.SnapshotIndex() && (!ok || term != e.Term) {
			return false
		}
	}
	return m.stored.Snapshot.Index+uint64(len(m.stored.Entries)) >= index
}

// checkAcknowledged checks that a member holds the entries that it acknowledges, and keeps
// them while the leader that counts on them leads.
func (s *schedule) checkAcknowledged(m *member, sent []raft.Message) {
	for i := range sent {
		if r := &sent[i]; r.Kind == raft.KindAppendReply && r.Granted && r.Term >= m.acknowledgedTerm {
			if r.Term > m.acknowledgedTerm {
				m.acknowledged = 0
			}
			m.acknowledged, m.acknowledgedTerm = max(m.acknowledged, r.Index), r.Term
		}
	}
	last := m.node.SnapshotIndex() + uint64(len(m.node.Entries()))
	if m.node.Term() == m.acknowledgedTerm && last < m.acknowledged {
		s.failure = fmt.Sprintf("%s acknowledged entry %d in term %d and holds entries up to %d", m.node.ID(), m.acknowledged, m.acknowledgedTerm, last)
	}
}

// compact replaces what a member has committed by a snapshot.
func (s *schedule) compact(m *member) {
	if snap := m.node.Compact(m.node.Commit(), nil); snap != nil {
		s.write(m, write{compacted: snap})
	}
}

func (s *schedule) pick() (raft.ID, *member) {
	id := s.ids[s.rand.IntN(len(s.ids))]
	return id, s.members[id]
}

// step performs one random event.
func (s *schedule) step() {
	id, m := s.pick()
	if s.slowDisks {
		if s.rand.IntN(2) == 0 {
			for range s.rand.IntN(len(m.waiting) + 1) {
				s.sync(m)
			}
		}
		if s.rand.IntN(2) == 0 {
			s.report(m)
		}
	}
	switch r := s.rand.IntN(1000); {
	case r < 640 && len(s.network) > 0:
		s.deliver()
	case m.lost:
	case r < 830:
		m.now += clock.Millis(s.rand.IntN(300))
		m.node.Tick(m.now)
	case r < 890:
		_, _, _ = m.node.Propose(m.now, []byte("x"))
	case r < 930:
		s.changeMembership(m)
	case r < 950:
		s.restart(m, id)
	case r < 962:
		// Any member may learn of a loss, at any time after it.
		if lost, other := s.pick(); other.lost {
			m.node.MarkLost(m.now, lost)
		}
	case r < 992:
		s.compact(m)
	case r < 997 && len(s.ids) < 8:
		m.lost = true
		s.add(raft.ID(fmt.Sprint("n", len(s.ids))), raft.Stored{})
	case r >= 997:
		s.restartWitness()
	}
	if s.witnesses != nil && s.rand.IntN(100) == 0 {
		s.cut()
	}
	if !m.lost {
		s.take(m)
	}
}

// deliver delivers a message, and sometimes keeps a copy. A quarter are lost.
func (s *schedule) deliver() {
	i := s.rand.IntN(len(s.network))
	if s.rand.IntN(2) == 0 {
		i = len(s.network) - 1 - s.rand.IntN(min(len(s.network), 6))
	}
	message := s.network[i]
	if s.rand.IntN(20) > 0 {
		s.network = slices.Delete(s.network, i, i+1)
	}
	if s.members[message.From] != nil && s.members[message.To] != nil && s.left[message.From] != s.left[message.To] {
		return
	}
	if to := s.members[message.To]; to != nil && !to.lost && !(to.earlier && isContact(message)) && s.rand.IntN(4) > 0 {
		to.node.Step(to.now, message)
		s.take(to)
	}
	if w := s.witnesses[message.To]; w != nil && s.rand.IntN(4) > 0 {
		if reply, ok := w.Step(1, &message); ok {
			s.network = append(s.network, reply)
		}
	}
}

// cut separates two random sides, or none, until the next cut.
func (s *schedule) cut() {
	s.left = map[raft.ID]bool{}
	if s.rand.IntN(3) == 0 {
		return
	}
	for _, id := range s.ids {
		s.left[id] = s.rand.IntN(2) == 0
	}
}

// changeMembership proposes to add, promote or remove a member.
func (s *schedule) changeMembership(m *member) {
	conf := m.node.Conf()
	id, _ := s.pick()
	without := func(ids []raft.ID) []raft.ID {
		return slices.DeleteFunc(ids, func(o raft.ID) bool { return o == id })
	}
	switch {
	case len(s.running) > 0 && s.rand.IntN(3) == 0:
		conf.Witnesses = slices.Clone(s.running[:1+2*s.rand.IntN(2)])
	case slices.Contains(conf.Voters, id):
		conf.Voters = without(conf.Voters)
	case slices.Contains(conf.Learners, id):
		conf.Learners, conf.Voters = without(conf.Learners), append(conf.Voters, id)
	default:
		conf.Learners = append(conf.Learners, id)
	}
	_ = m.node.ProposeConf(m.now, conf)
}

// playAll plays a schedule for each seed, checks it, and passes it to played.
func playAll(t *testing.T, start func(seed uint64) *schedule, played func(s *schedule)) {
	commits := 0
	for seed := range *safetySeeds {
		s := start(uint64(seed))
		for range 1500 {
			s.step()
			if s.failure != "" {
				break
			}
		}
		commits += len(s.committed)
		played(s)
		qt.Check(t, s.failure, qt.Equals, "", qt.Commentf("seed %d", seed))
	}
	t.Logf("%d schedules, %d entries committed", *safetySeeds, commits)
}

// TestNoScheduleLosesACommittedEntry plays random schedules with disk losses and
// membership changes.
func TestNoScheduleLosesACommittedEntry(t *testing.T) {
	playAll(t, newSchedule, func(*schedule) {})
}

// TestNoScheduleWithWitnessesLosesACommittedEntry plays schedules in which half of four
// voters can decide with witnesses, whose processes end and start.
func TestNoScheduleWithWitnessesLosesACommittedEntry(t *testing.T) {
	decided := 0
	playAll(t, newScheduleWithWitnesses, func(s *schedule) {
		for _, w := range s.witnesses {
			decided += int(min(w.Term(), 1))
		}
	})
	t.Logf("%d witnesses decided", decided)
	qt.Check(t, decided > 0, qt.IsTrue)
}

// TestNoScheduleOnSlowDisksLosesACommittedEntry plays schedules in which members restart before
// what they have decided is on their disks.
func TestNoScheduleOnSlowDisksLosesACommittedEntry(t *testing.T) {
	playAll(t, newScheduleOnSlowDisks, func(*schedule) {})
}

// TestRejectedAppendsWaitForTheHeartbeat guards against a leader that sends the same
// append again and again, as fast as the network allows, to a member that rejects it.
func TestRejectedAppendsWaitForTheHeartbeat(t *testing.T) {
	s := newSchedule(1)
	leader := s.members["n0"]
	for leader.node.Role() != raft.Leader {
		leader.now += 100
		leader.node.Tick(leader.now)
		s.take(leader)
		for len(s.network) > 0 {
			message := s.network[0]
			s.network = s.network[1:]
			to := s.members[message.To]
			to.node.Step(to.now, message)
			s.take(to)
		}
	}
	sent := 0
	for range 100 {
		leader.node.Step(leader.now, raft.Message{Kind: raft.KindAppendReply, From: "n1", To: "n0", Term: leader.node.Term(), Sent: leader.now})
		out := leader.node.Take()
		sent += len(out.Messages) + len(out.Urgent)
	}
	qt.Check(t, sent <= 1, qt.IsTrue, qt.Commentf("%d messages", sent))
}
