package core

import (
	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/dir/evac"
	"monsooncleat.example/monsooncleat/internal/dir/msgs"
)

const (
	// The log is compacted into a snapshot when it reaches either of these sizes.
	compactAtEntries = 64
	compactAtBytes   = 1 << 20
)

// takeLogOutput moves the output of the Raft node into c.out and applies
// committed entries.
func (c *Core) takeLogOutput() {
	o := c.node.Take()
	if o.State != nil {
		c.out.State = o.State
	}
	if o.Snapshot != nil {
		c.out.Install = o.Snapshot
		c.out.Entries = nil
		c.applySnapshot(o.Snapshot.Data)
	}
	c.out.Entries = append(c.out.Entries, o.Entries...)
	for i := range o.Messages {
		c.sendAfterSync(&o.Messages[i])
	}
	for i := range o.Urgent {
		c.sendNow(addressOf(o.Urgent[i].To), &msgs.Envelope{Raft: &o.Urgent[i]})
	}
	confChanged := false
	for i := range o.Committed {
		c.applyEntry(&o.Committed[i])
		confChanged = confChanged || o.Committed[i].Kind == raft.EntryConf
	}
	if confChanged {
		c.logLine("Membership changed.", "voters", c.node.Conf().Voters, "learners", c.node.Conf().Learners)
	}
	if len(o.Committed) > 0 {
		c.compact()
	}
	if c.spreadOrders(o.Committed) {
		c.takeLogOutput()
	}
}

// sendAfterSync sends a message of the Raft node once what it follows from is synced.
func (c *Core) sendAfterSync(m *raft.Message) {
	out := OutMessage{addressOf(m.To), msgs.Encode(&msgs.Envelope{Raft: m})}
	if m.ToWitness() {
		c.out.DatagramsAfterSync = append(c.out.DatagramsAfterSync, out)
		return
	}
	c.out.SendAfterSync = append(c.out.SendAfterSync, out)
}

// applySnapshot puts the routing table and the evacuations of a snapshot in force, if it
// has them.
func (c *Core) applySnapshot(data []byte) {
	if len(data) == 0 {
		return
	}
	c.restoreEvacuations(data)
	c.applyTable(data)
}

// applyTable decodes a publication and puts its routing table in force if it is
// newer than the present one.
func (c *Core) applyTable(data []byte) {
	newer, err := c.tables.Adopt(data)
	if err != nil {
		c.logLine("Cannot decode a routing table.", "err", err)
	}
	if newer {
		c.logLine("Routing table in force.", "version", c.tables.Version(), "routes", c.tables.Routes())
	}
}

func (c *Core) applyEntry(e *raft.Entry) {
	superseded := false
	switch {
	case e.Kind != raft.EntryCommand || len(e.Data) == 0:
	case evac.IsEntry(e.Data):
		superseded = !c.applyOrder(e.Index, e.Data)
	default:
		c.applyTable(e.Data)
	}
	c.completeProposal(e.Index, e.Term, superseded)
}

func (c *Core) compact() {
	size, entries := 0, c.node.Entries()
	for i := range entries {
		size += len(entries[i].Data)
	}
	if len(entries) < compactAtEntries && size < compactAtBytes {
		return
	}
	data, err := c.snapshotData()
	if err != nil {
		c.logLine("Cannot encode a snapshot. The log grows.", "err", err)
		return
	}
	if snap := c.node.Compact(c.node.Commit(), data); snap != nil {
		c.out.Snapshot = snap
		c.out.Retained = c.node.Entries()
	}
}
