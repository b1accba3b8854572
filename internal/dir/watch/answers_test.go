package watch_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/watch"
)

// askEvery asks a host at each interval from start to end and returns when it was redialed.
func askEvery(a *watch.Answers, start, end clock.Millis, answered bool) (redials []clock.Millis) {
	for now := start; now < end; now += 300 {
		if a.Asked(now, "a") {
			redials = append(redials, now)
		}
		if answered {
			a.Answered("a")
		}
	}
	return redials
}

func TestHostThatAnswersIsNotRedialed(t *testing.T) {
	qt.Check(t, askEvery(watch.NewAnswers(), 0, clock.Minute, true), qt.IsNil)
}

// TestDeadHostIsRedialedEverMoreRarely guards against a loop of redials.
func TestDeadHostIsRedialedEverMoreRarely(t *testing.T) {
	a := watch.NewAnswers()
	qt.Check(t, askEvery(a, 0, 40_000, false), qt.DeepEquals, []clock.Millis{1500, 4500, 10_500, 22_500, 34_500})
	a.Answered("a")
	qt.Check(t, askEvery(a, 40_200, 42_000, false), qt.DeepEquals, []clock.Millis{41_700})
}

// TestOneSilentHostDoesNotAffectOthers guards against one wait for all hosts.
func TestOneSilentHostDoesNotAffectOthers(t *testing.T) {
	a := watch.NewAnswers()
	a.Asked(0, "a")
	a.Asked(1000, "b")
	a.Answered("b")
	qt.Check(t, a.Asked(1500, "b"), qt.IsFalse)
	qt.Check(t, a.Asked(1500, "a"), qt.IsTrue)
}

// TestNoRedialRightAfterAPause guards against redials while answers wait to be handled.
func TestNoRedialRightAfterAPause(t *testing.T) {
	a := watch.NewAnswers()
	a.Asked(0, "a")
	a.Resume(9000)
	qt.Check(t, a.Asked(9000, "a"), qt.IsFalse)
	qt.Check(t, a.Asked(10_500, "a"), qt.IsTrue)
}
