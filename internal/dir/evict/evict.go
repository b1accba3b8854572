// Package evict selects the voter of the replicated log that should be removed
// because it is gone. A dead voter keeps the quorum larger than necessary, so that
// one more loss can leave too few logs for a quorum. A voter that was removed but
// is alive joins again as soon as it is in contact.
package evict

import (
	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// maxUnacknowledged is how long a voter that is heard from may acknowledge
// nothing, for example because its disk hangs. It is longer than the disk faults
// and the one-way partitions from which a host recovers by itself.
const maxUnacknowledged = 15 * clock.Second

// Voter describes a voter of the replicated log.
type Voter struct {
	ID raft.ID
	// Silence is the time since any control host last heard from the voter.
	Silence clock.Millis
	// Unacknowledged is the time for which the leader has awaited an
	// acknowledgement. It starts anew with each leader.
	Unacknowledged clock.Millis
	// Acknowledged is set if the leader has received an acknowledgement within
	// Limits.Silence.
	Acknowledged bool
}

// Limits bound the removal of voters.
type Limits struct {
	// Silence is the time after which a silent voter is removed. A host must get
	// used to the log again within the recovery time that a new host gets, so this
	// is shorter than that.
	Silence clock.Millis
	// SurplusSilence replaces Silence while the number of voters is even. Such a group
	// bears no more losses than the one without the silent voter, so a removal by
	// mistake costs nothing but the return of that voter.
	SurplusSilence clock.Millis
	// MinVoters is the number of voters that must remain, all of which respond unless Tied
	// is set. It is the smallest group that bears the losses which may come at once.
	MinVoters int
	// Tied is set if witnesses break ties, so that half of the voters can go on. Without
	// the silent voter the others no longer need them.
	Tied bool
}

// MinVoters returns the size of the smallest group of voters that still has a
// quorum after the given number of losses at once.
func MinVoters(losses int) int { return 2*max(losses, 1) + 1 }

// Select returns the voter to remove, if any: the one that has been silent
// longest. None is removed unless enough of the others respond, see Removable.
func Select(voters []Voter, limits Limits) (raft.ID, bool) {
	var gone Voter
	responsive, silence := 0, limits.silence(len(voters))
	for _, v := range voters {
		switch {
		case v.Silence >= silence:
			if v.Silence > gone.Silence {
				gone = v
			}
		case v.Acknowledged:
			responsive++
		case gone.ID == "" && v.Unacknowledged >= maxUnacknowledged:
			gone = v
		}
	}
	if gone.ID == "" || !limits.Removable(len(voters), responsive) {
		return "", false
	}
	return gone.ID, true
}

// silence returns the silence after which one of the given number of voters is removed.
func (l Limits) silence(voters int) clock.Millis {
	if voters%2 == 0 {
		return l.SurplusSilence
	}
	return l.Silence
}

// Removable reports whether one of the voters can be removed, if the given number
// of the others respond.
func (l Limits) Removable(voters, responsive int) bool {
	if l.Tied && voters%2 == 0 {
		return voters > l.MinVoters && responsive >= voters/2
	}
	return voters > l.MinVoters && responsive >= l.MinVoters && responsive > voters/2
}
