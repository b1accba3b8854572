// Package seats decides which voter of the agreed log is gone for good. A voter
// that stays though it is gone raises the quorum for all others; one that is
// removed too early lowers what the log can bear.
package seats

import (
	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
)

const (
	// lostSpan is the silence after which a voter is taken to be gone once
	// another has come in its place.
	lostSpan = 3 * clock.Second
	// goneSpan is the silence after which a voter is removed in any case. It is
	// longer than a restart or a partition that the platform promises to mend.
	goneSpan = 15 * clock.Second
	// minVoters is the least membership to which silent voters are removed.
	minVoters = 3
)

// Voter is a member and how long it has been silent.
type Voter struct {
	ID      raft.ID
	Silence clock.Millis
}

// Lost returns the voter that is silent longest, if it is to be removed: the
// others that answer must still be enough for what the log has to bear. Replaced
// says that another voter came lately.
func Lost(voters []Voter, replaced bool) (raft.ID, bool) {
	var lost Voter
	alive := 0
	for _, v := range voters {
		if v.Silence < lostSpan {
			alive++
		} else if v.Silence > lost.Silence {
			lost = v
		}
	}
	if lost.ID == "" || alive < minVoters || alive <= len(voters)/2 {
		return "", false
	}
	return lost.ID, replaced || lost.Silence > goneSpan
}
