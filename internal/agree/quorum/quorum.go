// Package quorum computes what a quorum of voters has reached.
//
// There are three kinds of quorum. Any two intersect in a voter or in a witness, except one
// of the second and one of the third kind, see below:
//
//   - a majority of the voters;
//   - half of an even number of voters, and a majority of the witnesses. Two such quorums
//     intersect in a witness, also if the halves are disjoint;
//   - half of an even number of voters, some of the others having lost their disks, and
//     with them the ability to vote, provided that all of the half replied after the node
//     that counts them had learned of a loss. Two disjoint halves would each need a voter
//     whose loss the other had learned of before, so one of these would have replied after
//     its own loss.
//
// The second and the third kind need not intersect: half of the voters may have decided with
// the witnesses before one of its disks was lost. The caller therefore sets HalfSuffices only
// some time after a majority of the witnesses has ended, so that the other voter of that half
// can reply. docs/design/quorums.md says what is lost if it doesn't.
package quorum

import (
	"cmp"
	"slices"
)

// Electorate is a set of voters of which a quorum must agree.
type Electorate[ID comparable] struct {
	Voters []ID
	// Witnesses break ties between halves of the voters.
	Witnesses []ID
	// HalfSuffices is set if a voter has lost its disk, the membership is committed and
	// the witnesses, if there are any, can't decide any more.
	HalfSuffices bool
}

// Even reports whether half of the voters can be a quorum.
func (e *Electorate[ID]) Even() bool { return len(e.Voters) > 0 && len(e.Voters)%2 == 0 }

// Reached returns the highest value that a quorum of each electorate has reached. Without
// witnesses, the value of a voter counts towards a half only if eligible reports true.
func Reached[ID comparable, V cmp.Ordered](electorates []Electorate[ID], value func(ID) V, eligible func(ID) bool) V {
	var lowest V
	for i := range electorates {
		reached := reachedBy(&electorates[i], value, eligible)
		if i == 0 || reached < lowest {
			lowest = reached
		}
	}
	return lowest
}

// reachedBy returns the highest value that a quorum of one electorate has reached.
func reachedBy[ID comparable, V cmp.Ordered](e *Electorate[ID], value func(ID) V, eligible func(ID) bool) V {
	reached := nthHighest(e.Voters, len(e.Voters)/2+1, value)
	if !e.Even() {
		return reached
	}
	if len(e.Witnesses) > 0 {
		half := nthHighest(e.Voters, len(e.Voters)/2, value)
		reached = max(reached, min(half, nthHighest(e.Witnesses, len(e.Witnesses)/2+1, value)))
	}
	if e.HalfSuffices {
		half := slices.DeleteFunc(slices.Clone(e.Voters), func(id ID) bool { return !eligible(id) })
		reached = max(reached, nthHighest(half, len(e.Voters)/2, value))
	}
	return reached
}

// Agree reports whether a quorum of each electorate agrees.
func Agree[ID comparable](electorates []Electorate[ID], agrees, eligible func(ID) bool) bool {
	value := func(id ID) int {
		if agrees(id) {
			return 1
		}
		return 0
	}
	return Reached(electorates, value, eligible) > 0
}

// nthHighest returns the n-th highest value, or the zero value if there are fewer.
func nthHighest[ID comparable, V cmp.Ordered](voters []ID, n int, value func(ID) V) V {
	var zero V
	if n == 0 || len(voters) < n {
		return zero
	}
	values := make([]V, 0, len(voters))
	for _, id := range voters {
		values = append(values, value(id))
	}
	slices.Sort(values)
	return values[len(values)-n]
}
