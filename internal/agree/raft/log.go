package raft

import "github.com/vmihailenco/msgpack/v5"

// entryLog holds the entries after the latest snapshot.
type entryLog struct {
	base     Snapshot
	entries  []Entry
	confs    []confAt
	commit   uint64
	handed   uint64
	persists uint64
}

// confAt is a membership and the index from which it counts.
type confAt struct {
	index uint64
	conf  Conf
}

func (l *entryLog) last() uint64 { return l.base.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.base.Term
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index, and false when the log does not
// hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.base.Index || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

func (l *entryLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	return l.entries[from-l.base.Index-1 : to-l.base.Index]
}

func (l *entryLog) append(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind == EntryConf {
		var c Conf
		if msgpack.Unmarshal(e.Data, &c) == nil {
			l.confs = append(l.confs, confAt{e.Index, c})
		}
	}
}

// cut removes the entries from index on, and the memberships they made.
func (l *entryLog) cut(index uint64) {
	l.entries = l.entries[: index-l.base.Index-1 : index-l.base.Index-1]
	for len(l.confs) > 0 && l.confs[len(l.confs)-1].index >= index {
		l.confs = l.confs[:len(l.confs)-1]
	}
	l.persists = min(l.persists, index-1)
}

func (l *entryLog) conf() Conf {
	if len(l.confs) == 0 {
		return l.base.Conf
	}
	return l.confs[len(l.confs)-1].conf
}

func (l *entryLog) confPending() bool {
	return len(l.confs) > 0 && l.confs[len(l.confs)-1].index > l.commit
}

// confUpTo returns the membership that counted at index.
func (l *entryLog) confUpTo(index uint64) Conf {
	c := l.base.Conf
	for _, at := range l.confs {
		if at.index <= index {
			c = at.conf
		}
	}
	return c
}

// compact drops the entries that snap stands for.
func (l *entryLog) compact(snap Snapshot) {
	l.entries = append([]Entry(nil), l.slice(snap.Index+1, l.last())...)
	kept := l.confs[:0]
	for _, at := range l.confs {
		if at.index > snap.Index {
			kept = append(kept, at)
		}
	}
	l.confs = kept
	l.base = snap
}

// restore replaces the whole log by snap.
func (l *entryLog) restore(snap Snapshot) {
	*l = entryLog{base: snap, commit: snap.Index, handed: snap.Index, persists: snap.Index}
}
