package share

import (
	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
	"monsooncleat.example/monsooncleat/internal/serve/fleet"
)

const (
	// replicationTimeout is how long a replication waits for a quorum. Servers wait one
	// second before they try another host.
	replicationTimeout = 900 * clock.Millis(1)
	// resendInterval is the time after which an unacknowledged record is resent.
	resendInterval = 150 * clock.Millis(1)
)

// replication is a record that is sent to the voters until a quorum has it.
type replication struct {
	record   fleet.Record
	done     func(replicated bool)
	deadline clock.Millis
	sentAt   clock.Millis
	acked    map[raft.ID]bool
}

// Replicator sends records to the voters of the log until a quorum has them. It is
// not safe for concurrent use.
type Replicator struct {
	group   Group
	send    Send
	lastID  uint64
	pending map[uint64]*replication
}

// NewReplicator returns a Replicator among the voters of group. Its request IDs follow
// lastID.
func NewReplicator(group Group, send Send, lastID uint64) *Replicator {
	return &Replicator{group: group, send: send, lastID: lastID, pending: map[uint64]*replication{}}
}

// Len returns the number of records that wait for a quorum.
func (r *Replicator) Len() int { return len(r.pending) }

// Start sends a record. It calls done once: with true when a quorum has the record, or
// with false after a timeout.
func (r *Replicator) Start(now clock.Millis, record fleet.Record, done func(replicated bool)) {
	r.lastID++
	p := &replication{record: record, done: done, deadline: now + replicationTimeout, acked: map[raft.ID]bool{}}
	r.pending[r.lastID] = p
	r.sendTo(now, r.lastID, p)
	r.complete(r.lastID, p)
}

func (r *Replicator) sendTo(now clock.Millis, id uint64, p *replication) {
	p.sentAt = now
	self := r.group.Self()
	for _, voter := range r.group.Voters() {
		if voter != self && !p.acked[voter] {
			m := &msgs.ReplicateRequest{From: self, RequestID: id, Record: p.record}
			r.send(voter, &msgs.Envelope{ReplicateRequest: m})
		}
	}
}

// complete ends a replication that a quorum of the voters has.
func (r *Replicator) complete(id uint64, p *replication) {
	voters, acks := r.group.Voters(), 0
	for _, voter := range voters {
		if voter == r.group.Self() || p.acked[voter] {
			acks++
		}
	}
	if len(voters) == 0 || acks <= len(voters)/2 {
		return
	}
	delete(r.pending, id)
	p.done(true)
}

// HandleReply records that a voter has a record.
func (r *Replicator) HandleReply(m *msgs.ReplicateReply) {
	if p := r.pending[m.RequestID]; p != nil {
		p.acked[m.From] = true
		r.complete(m.RequestID, p)
	}
}

// Tick resends records and ends replications that timed out.
func (r *Replicator) Tick(now clock.Millis) {
	for id, p := range r.pending {
		if now >= p.deadline {
			delete(r.pending, id)
			p.done(false)
		} else if now-p.sentAt >= resendInterval {
			r.sendTo(now, id, p)
		}
	}
}
