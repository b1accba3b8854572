// Package evict selects the voter of the replicated log that should be removed
// because it is gone for good. A dead voter keeps the quorum larger than
// necessary. Removing a live one reduces the number of failures that the log
// survives.
package evict

import (
	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
)

const (
	// unresponsiveAfter is the silence after which a voter counts as
	// unresponsive. It is removed once another voter has replaced it.
	unresponsiveAfter = 3 * clock.Second
	// removeAfter is the silence after which a voter is removed even if none has
	// replaced it. It is longer than a restart and than the longest partition that
	// the platform allows.
	removeAfter = 15 * clock.Second
	// minResponsive is the number of responsive voters that must remain for a
	// voter to be removed.
	minResponsive = 3
)

// Voter describes a voter of the replicated log.
type Voter struct {
	ID raft.ID
	// Silence is the time since the voter last responded.
	Silence clock.Millis
}

// Select returns the unresponsive voter that has been silent longest, and
// whether to remove it. Replaced is set if another voter was added recently. No
// voter is returned unless a majority, and at least three, respond.
func Select(voters []Voter, replaced bool) (raft.ID, bool) {
	var longest Voter
	responsive := 0
	for _, v := range voters {
		if v.Silence < unresponsiveAfter {
			responsive++
		} else if v.Silence > longest.Silence {
			longest = v
		}
	}
	if longest.ID == "" || responsive < minResponsive || responsive <= len(voters)/2 {
		return "", false
	}
	return longest.ID, replaced || longest.Silence > removeAfter
}
