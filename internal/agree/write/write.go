// Package write holds what control hosts write to their replicated log.
package write

import "monsooncleat.example/monsooncleat/internal/agree/raft"

// Batch is what one or more steps of a host write to its log. All of it is written in the order
// of the fields, and synced, before anything that acknowledges it is sent.
type Batch struct {
	// State is the hard state, or nil.
	State *raft.HardState
	// Install, unless it is nil, is a snapshot that replaces the whole log.
	Install *raft.Snapshot
	// Entries are appended to the log. They replace those from the index of the first one on.
	Entries []raft.Entry
	// Snapshot, unless it is nil, is the result of a log compaction.
	Snapshot *raft.Snapshot
	// Retained holds the entries that follow Snapshot in the compacted log.
	Retained []raft.Entry
}

// Empty reports whether there is nothing to write.
func (b *Batch) Empty() bool {
	return b.State == nil && b.Install == nil && len(b.Entries) == 0 && b.Snapshot == nil
}

// Merge adds the batch of a later step, so that both need one sync. It reports false, and changes
// nothing, if the later batch has to be written on its own.
func (b *Batch) Merge(later *Batch) bool {
	if b.Snapshot != nil || later.Install != nil {
		return false
	}
	// A crash in the middle of the write leaves the later state with some of the entries, none
	// of which has been acknowledged.
	if later.State != nil {
		b.State = later.State
	}
	b.Entries = append(b.Entries, later.Entries...)
	b.Snapshot, b.Retained = later.Snapshot, later.Retained
	return true
}

// Synced returns what is on disk once b is.
func (b *Batch) Synced() raft.Synced {
	s := raft.Synced{State: b.State}
	if n := len(b.Entries); n > 0 {
		s.Last = raft.Position{Index: b.Entries[n-1].Index, Term: b.Entries[n-1].Term}
	} else if b.Install != nil {
		s.Last = raft.Position{Index: b.Install.Index, Term: b.Install.Term}
	}
	return s
}
