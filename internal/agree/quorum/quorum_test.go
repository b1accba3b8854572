package quorum_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/agree/quorum"
)

func TestReached(t *testing.T) {
	values := map[string]int{"a": 9, "b": 7, "c": 5, "d": 3, "e": 0, "x": 8, "y": 6, "z": 1, "w": 2}
	tests := []struct {
		name        string
		electorates []quorum.Electorate[string]
		lost        []string
		want        int
	}{
		{"no voters", []quorum.Electorate[string]{{}}, nil, 0},
		{"one voter", []quorum.Electorate[string]{{Voters: []string{"c"}}}, nil, 5},
		{"majority of an odd number", []quorum.Electorate[string]{{Voters: []string{"a", "b", "c", "d", "e"}}}, nil, 5},
		{"majority of an even number", []quorum.Electorate[string]{{Voters: []string{"a", "b", "c", "d"}}}, nil, 5},
		{"half, the lost voter is behind", []quorum.Electorate[string]{{Voters: []string{"a", "b", "c", "d"}, HalfSuffices: true}}, []string{"d"}, 7},
		{"half, the lost voter is ahead", []quorum.Electorate[string]{{Voters: []string{"a", "b", "c", "d"}, HalfSuffices: true}}, []string{"a"}, 5},
		{"half of an odd number is none", []quorum.Electorate[string]{{Voters: []string{"a", "b", "c"}, HalfSuffices: true}}, []string{"c"}, 7},
		{"too few are left for a half", []quorum.Electorate[string]{{Voters: []string{"b", "c", "d", "e"}, HalfSuffices: true}}, []string{"b", "c", "d"}, 3},
		{"half with a majority of the witnesses", []quorum.Electorate[string]{{Voters: []string{"a", "b", "c", "d"}, Witnesses: []string{"x", "y", "z"}}}, nil, 6},
		{"half with too few witnesses", []quorum.Electorate[string]{{Voters: []string{"a", "b", "c", "d"}, Witnesses: []string{"x", "z", "w"}}}, nil, 5},
		{"witnesses don't replace the half", []quorum.Electorate[string]{{Voters: []string{"a", "c", "d", "e"}, Witnesses: []string{"x", "y"}}}, nil, 5},
		{"witnesses of an odd number don't count", []quorum.Electorate[string]{{Voters: []string{"a", "d", "e"}, Witnesses: []string{"x", "y"}}}, nil, 3},
		{"the lower of two electorates", []quorum.Electorate[string]{{Voters: []string{"a", "b", "c"}}, {Voters: []string{"a", "b", "d", "e"}}}, nil, 3},
	}
	for _, test := range tests {
		got := quorum.Reached(test.electorates, func(id string) int { return values[id] },
			func(id string) bool { return !slices.Contains(test.lost, id) })
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf(test.name))
	}
}
