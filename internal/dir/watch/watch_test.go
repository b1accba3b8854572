package watch_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/watch"
)

func TestSilenceOfUnknownHostCountsFromStart(t *testing.T) {
	w := watch.New(1000)
	qt.Check(t, w.Silence(1500, "a"), qt.Equals, clock.Millis(500))
}

func TestMergeKeepsLatestContact(t *testing.T) {
	tests := []struct {
		name string
		age  clock.Millis
		want clock.Millis
	}{
		{"other host heard earlier", 900, 400},
		{"other host heard later", 100, 100},
		{"invalid age", -100, 400},
	}
	for _, test := range tests {
		w := watch.New(0)
		w.Heard(1000, "a")
		w.Merge(1400, watch.Ages{"a": test.age})
		qt.Check(t, w.Silence(1400, "a"), qt.Equals, test.want, qt.Commentf(test.name))
	}
}

// TestSilenceSurvivesRestarts restarts each of two observers in turn. What they
// knew of a host that is gone must pass from one to the other.
func TestSilenceSurvivesRestarts(t *testing.T) {
	first, second := watch.New(0), watch.New(0)
	first.Heard(1000, "gone")
	second.Merge(1100, first.Ages(1100))
	first = watch.New(5000)
	first.Merge(5100, second.Ages(5100))
	second = watch.New(9000)
	second.Merge(9100, first.Ages(9100))
	qt.Check(t, second.Silence(10_000, "gone"), qt.Equals, clock.Millis(9000))
}

func TestRetainForgetsOthers(t *testing.T) {
	w := watch.New(0)
	w.Heard(10, "a")
	w.Heard(10, "b")
	w.Retain([]raft.ID{"b"})
	qt.Check(t, w.Ages(10), qt.DeepEquals, watch.Ages{"b": 0})
}
