package evict_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/evict"
)

func TestSelectsVoterToRemove(t *testing.T) {
	tests := []struct {
		name    string
		silence []clock.Millis
		losses  int
		want    raft.ID
		tied    bool
	}{
		{"all voters respond", []clock.Millis{0, 100, 200, 300}, 1, "", false},
		{"silent for less than the limit", []clock.Millis{0, 0, 0, 0, 1900}, 1, "", false},
		{"silent for the limit", []clock.Millis{0, 0, 0, 0, 2000}, 1, "4", false},
		{"one of an even number, silent for less than its limit", []clock.Millis{0, 0, 0, 500}, 1, "", false},
		{"one of an even number, silent for its limit", []clock.Millis{0, 0, 0, 600}, 1, "3", false},
		{"the longest silence is not the last one", []clock.Millis{0, 0, 0, 0, 900, 700}, 1, "4", false},
		{"too few voters would remain", []clock.Millis{0, 0, 16_000}, 1, "", false},
		{"too few voters would remain for two losses", []clock.Millis{0, 0, 0, 0, 16_000}, 2, "", false},
		{"enough voters remain for two losses", []clock.Millis{0, 0, 0, 0, 0, 5000}, 2, "5", false},
		{"no majority responds", []clock.Millis{0, 0, 0, 9000, 9000, 9000}, 1, "", false},
		{"fewer voters respond than must remain", []clock.Millis{0, 0, 9000, 9000}, 1, "", false},
		{"longest silence is removed first", []clock.Millis{0, 0, 0, 0, 17_000, 16_000}, 1, "4", false},
		{"half responds, witnesses break the tie", []clock.Millis{0, 0, 9000, 8000}, 1, "2", true},
		{"fewer than half respond beside witnesses", []clock.Millis{0, 9000, 9000, 9000}, 1, "", true},
		{"an odd number has no use for witnesses", []clock.Millis{0, 0, 9000, 9000, 9000}, 1, "", true},
		{"too few voters would remain beside witnesses", []clock.Millis{0, 0, 0, 9000}, 2, "", true},
	}
	for _, test := range tests {
		c := qt.New(t)
		var voters []evict.Voter
		for i, s := range test.silence {
			voters = append(voters, evict.Voter{ID: raft.ID(fmt.Sprint(i)), Silence: s, Acknowledged: s < 1900})
		}
		got, remove := evict.Select(voters, evict.Limits{Silence: 2000, SurplusSilence: 600, MinVoters: evict.MinVoters(test.losses), Tied: test.tied})
		c.Check(got, qt.Equals, test.want, qt.Commentf(test.name))
		c.Check(remove, qt.Equals, test.want != "", qt.Commentf(test.name))
	}
}

// TestVoterThatAcknowledgesNothing has a voter that is heard from but whose disk
// hangs. It keeps its vote for the time of a passing disk fault.
func TestVoterThatAcknowledgesNothing(t *testing.T) {
	for _, test := range []struct {
		unacknowledged clock.Millis
		want           bool
	}{{14 * clock.Second, false}, {15 * clock.Second, true}} {
		voters := []evict.Voter{
			{ID: "a", Acknowledged: true},
			{ID: "b", Acknowledged: true},
			{ID: "c", Acknowledged: true},
			{ID: "d", Unacknowledged: test.unacknowledged},
		}
		_, remove := evict.Select(voters, evict.Limits{Silence: 2000, SurplusSilence: 600, MinVoters: 3})
		qt.Check(t, remove, qt.Equals, test.want)
	}
}
