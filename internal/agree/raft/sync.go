package raft

// stallElections is after how many election timeouts without progress a disk counts as stalled.
// The node then sends nothing that doesn't wait for the disk, so that a leader on such a disk is
// replaced. Installing a snapshot needs several syncs.
const stallElections = 3

// Persisted records what is synced to the local disk. The caller must report each write of a state
// or of entries: a node starts no election while its vote is not known to be on disk.
func (n *Node) Persisted(s Synced) {
	if s.State != nil {
		n.statePersisted(s.State)
	}
	if s.Last.Index > 0 {
		n.entriesPersisted(s.Last.Index, s.Last.Term)
	}
}

// statePersisted records that a state is on disk. If it holds the vote in the present election, the
// election timeout starts only then.
func (n *Node) statePersisted(s *HardState) {
	n.syncedTerm = max(n.syncedTerm, s.Term)
	if !n.voteUnsynced || s.Term != n.state.Term || s.Vote != n.state.Vote {
		return
	}
	n.voteUnsynced = false
	n.voteSyncTime = min(n.now-n.voteChangedAt, stallElections*n.timing.Election)
	if s.Vote != "" && n.leader == "" {
		n.awaitElection()
	}
}

// awaitElection restarts the election timeout. It adds the time that voters may need whose disks
// are as slow as the one of this node.
func (n *Node) awaitElection() {
	n.resetElectionDeadline()
	n.electionDeadline += n.voteSyncTime
}

// entriesPersisted records that the entries up to index are on disk. They don't count if the entry
// at index no longer has the given term.
func (n *Node) entriesPersisted(index, term uint64) {
	// The state is written before the entries of its term.
	n.syncedTerm = max(n.syncedTerm, term)
	n.unsyncedSince = 0
	t, ok := n.log.term(index)
	if ok && t == term {
		n.log.persisted = max(n.log.persisted, index)
		if term >= n.replacedTerm {
			n.syncedIndex = max(n.syncedIndex, index)
		}
	}
	if n.log.persisted < n.log.last() {
		n.awaitSync()
	}
	if n.role == Leader {
		n.advanceCommit()
	}
}

// replaceFrom notes that what is on disk from index on is going to be replaced.
func (n *Node) replaceFrom(index uint64) {
	n.syncedIndex, n.replacedTerm = min(n.syncedIndex, index-1), n.state.Term
}

// awaitSync notes that entries wait for the disk.
func (n *Node) awaitSync() {
	if n.unsyncedSince == 0 {
		n.unsyncedSince = n.now
	}
}

// mayPrecedeSync reports whether messages may be sent that only say that this node is in its
// present term: the term is on disk, and the disk makes progress.
func (n *Node) mayPrecedeSync() bool {
	return n.syncedTerm == n.state.Term && (n.unsyncedSince == 0 || n.now-n.unsyncedSince < stallElections*n.timing.Election)
}

// sendUrgently sends a message that says nothing but the term and what is on disk. It waits for the
// disk only if the term is not on it yet, or the disk is stalled.
func (n *Node) sendUrgently(m Message) {
	if !n.mayPrecedeSync() {
		n.send(m)
		return
	}
	m.From, m.Term = n.id, n.state.Term
	n.out.Urgent = append(n.out.Urgent, m)
}
