package share_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/agree/raft"
	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// TestRefreshedServerIsNotSavedAsSilent guards against a server that announces itself and is silent after a restart of the host, because the list that was saved while its silence was retracted is not saved again.
func TestRefreshedServerIsNotSavedAsSilent(t *testing.T) {
	c := qt.New(t)
	p := newPair()
	p.here.Apply(100, 100, contactRecord("s", 1, 1), true)
	p.here.Expire(6000)
	c.Check(p.observe(9000, true, false), qt.IsTrue)
	saved := p.here.Save(20_000)
	c.Assert(saved, qt.Not(qt.IsNil))
	for now, seq := clock.Millis(20_100), uint64(2); now < 40_000; now, seq = now+1200, seq+1 {
		p.here.Apply(now, now, contactRecord("s", seq, 1), true)
		if next := p.here.Save(now); next != nil {
			saved = next
		}
	}
	restarted := newPair().here
	c.Assert(restarted.Load(41_000, saved), qt.IsNil)
	c.Check(restarted.Silent(), qt.HasLen, 0)
}

// TestSlowRepliesPutOffNoSilence guards against dead servers that are offered for as long as another control host, which is short of processor time, answers each request late.
func TestSlowRepliesPutOffNoSilence(t *testing.T) {
	for _, delay := range []clock.Millis{300, 1000, 1100, 1300, 2000} {
		c := qt.New(t)
		p := newPair()
		p.here.Apply(100, 100, contactRecord("s", 1, 1), true)
		changes := 0
		for now := clock.Millis(300); now < 60_000; now += 100 {
			if now%300 == 0 {
				p.ask(now)
			}
			if at := int((now-300)/300) - int(delay/300); now%300 == delay%300 && at >= 0 && at < len(p.requests) {
				p.answer(c, p.requests[at], now-50, now)
			}
			if _, changed := p.here.Observe(now, true, neverLost, 2000); changed {
				changes++
			}
			p.here.Expire(now)
		}
		c.Check(p.here.Silent(), qt.HasLen, 1, qt.Commentf("answers after %d ms", delay))
		c.Check(changes <= 4, qt.IsTrue, qt.Commentf("answers after %d ms: %d changes, of which each is a line of the log", delay, changes))
	}
}

func neverLost(raft.ID) bool { return false }
