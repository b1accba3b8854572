package raft

import "github.com/vmihailenco/msgpack/v5"

// entryLog holds the latest snapshot and the entries after it.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry
	// confs are the memberships of the EntryConf entries, in log order.
	confs  []confEntry
	commit uint64
	// delivered is the index of the last entry returned in Output.Committed.
	delivered uint64
	// persisted is the index of the last entry synced to the local disk.
	persisted uint64
}

// confEntry is a membership and the index of the entry that holds it.
type confEntry struct {
	index uint64
	conf  Conf
}

func (l *entryLog) last() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.snapshot.Term
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index. It returns false if the entry is
// before the last one of the snapshot or beyond the end of the log.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

// slice returns the entries with indexes in [from, to].
func (l *entryLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	return l.entries[from-l.snapshot.Index-1 : to-l.snapshot.Index]
}

func (l *entryLog) append(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind == EntryConf {
		var c Conf
		if msgpack.Unmarshal(e.Data, &c) == nil {
			l.confs = append(l.confs, confEntry{e.Index, c})
		}
	}
}

// truncateFrom removes the entries from index on, and their memberships.
func (l *entryLog) truncateFrom(index uint64) {
	l.entries = l.entries[: index-l.snapshot.Index-1 : index-l.snapshot.Index-1]
	for len(l.confs) > 0 && l.confs[len(l.confs)-1].index >= index {
		l.confs = l.confs[:len(l.confs)-1]
	}
	l.persisted = min(l.persisted, index-1)
}

// conf returns the latest membership in the log. It is in effect as soon as its
// entry is appended, before it is committed.
func (l *entryLog) conf() Conf {
	if len(l.confs) == 0 {
		return l.snapshot.Conf
	}
	return l.confs[len(l.confs)-1].conf
}

// electingConfs returns the latest membership that is known to be committed and the one
// in effect, or nil if they are the same. A membership is only proposed once the one
// before is committed, so at most the last one is pending.
func (l *entryLog) electingConfs() (committed Conf, pending *Conf) {
	if !l.confPending() {
		return l.conf(), nil
	}
	last := len(l.confs) - 1
	committed = l.snapshot.Conf
	if last > 0 {
		committed = l.confs[last-1].conf
	}
	return committed, &l.confs[last].conf
}

// confIndex returns the index of the entry that holds the membership in effect, or 0 if
// the snapshot does.
func (l *entryLog) confIndex() uint64 {
	if len(l.confs) == 0 {
		return 0
	}
	return l.confs[len(l.confs)-1].index
}

func (l *entryLog) confPending() bool { return l.confIndex() > l.commit }

// confAtIndex returns the membership in effect at index.
func (l *entryLog) confAtIndex(index uint64) Conf {
	c := l.snapshot.Conf
	for _, ce := range l.confs {
		if ce.index <= index {
			c = ce.conf
		}
	}
	return c
}

// compact replaces the entries up to snap.Index by snap.
func (l *entryLog) compact(snap Snapshot) {
	l.entries = append([]Entry(nil), l.slice(snap.Index+1, l.last())...)
	kept := l.confs[:0]
	for _, ce := range l.confs {
		if ce.index > snap.Index {
			kept = append(kept, ce)
		}
	}
	l.confs = kept
	l.snapshot = snap
}

// restore replaces the whole log by snap.
func (l *entryLog) restore(snap Snapshot) {
	*l = entryLog{snapshot: snap, commit: snap.Index, delivered: snap.Index, persisted: snap.Index}
}
