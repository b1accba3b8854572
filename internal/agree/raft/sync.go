package raft

// stallElections is after how many election timeouts without progress a disk counts as stalled.
// The node then sends nothing that doesn't wait for the disk, so that a leader on such a disk is
// replaced. Installing a snapshot needs several syncs.
const stallElections = 3

// Persisted records that the entries up to index are synced to the local disk.
// They don't count if the entry at index no longer has the given term.
func (n *Node) Persisted(index, term uint64) {
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
