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
		name     string
		silence  []clock.Millis
		replaced bool
		want     raft.ID
	}{
		{"all voters respond", []clock.Millis{0, 100, 200, 300}, true, ""},
		{"unresponsive but not replaced", []clock.Millis{0, 0, 0, 5000}, false, ""},
		{"unresponsive and replaced", []clock.Millis{0, 0, 0, 5000}, true, "3"},
		{"silent too long without replacement", []clock.Millis{0, 0, 0, 16_000}, false, "3"},
		{"fewer than three voters respond", []clock.Millis{0, 0, 16_000}, true, ""},
		{"no majority responds", []clock.Millis{0, 0, 0, 9000, 9000, 9000}, true, ""},
		{"longest silence is removed first", []clock.Millis{0, 0, 0, 0, 17_000, 16_000}, false, "4"},
	}
	for _, test := range tests {
		c := qt.New(t)
		var voters []evict.Voter
		for i, s := range test.silence {
			voters = append(voters, evict.Voter{ID: raft.ID(fmt.Sprint(i)), Silence: s})
		}
		got, remove := evict.Select(voters, test.replaced)
		if !remove {
			got = ""
		}
		c.Check(got, qt.Equals, test.want, qt.Commentf(test.name))
	}
}
