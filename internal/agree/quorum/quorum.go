// Package quorum computes what a quorum of voters has reached.
package quorum

import (
	"cmp"
	"slices"
)

// Electorate is a set of voters of which a quorum must agree.
//
// A majority is a quorum. If some voters have lost their disks, and with them the ability
// to vote, half of an even number of voters is a quorum, too, provided that all of the
// half replied after the node that counts them had learned of a loss. Such a half
// intersects every majority. Two disjoint halves would each need a voter whose loss the
// other had learned of before, so one of these would have replied after its own loss.
type Electorate[ID comparable] struct {
	Voters []ID
	// HalfSuffices is set if a voter has lost its disk and the membership is committed.
	HalfSuffices bool
}

// Reached returns the highest value that a quorum of each electorate has reached. The
// value of a voter counts towards a half only if eligible reports true.
func Reached[ID comparable, V cmp.Ordered](electorates []Electorate[ID], value func(ID) V, eligible func(ID) bool) V {
	var lowest V
	for i, e := range electorates {
		reached := nthHighest(e.Voters, len(e.Voters)/2+1, value)
		if e.HalfSuffices && len(e.Voters)%2 == 0 {
			half := slices.DeleteFunc(slices.Clone(e.Voters), func(id ID) bool { return !eligible(id) })
			reached = max(reached, nthHighest(half, len(e.Voters)/2, value))
		}
		if i == 0 || reached < lowest {
			lowest = reached
		}
	}
	return lowest
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
