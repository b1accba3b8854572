package share_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

// TestElectionsPutOffNoSilence guards against dead servers that are offered for as long as contact with the quorum is lost now and then, while another control host is gone for good.
func TestElectionsPutOffNoSilence(t *testing.T) {
	c := qt.New(t)
	p := newPair()
	p.here.Apply(100, 100, contactRecord("s", 1, 1), true)
	offered, total := 0, 0
	for now := clock.Millis(6000); now < 66_000; now += 100 {
		// Every 2 s there is no leader for 300 ms. The other host was lost long ago.
		p.observe(now, now%2000 >= 300, true)
		p.here.Expire(now)
		total++
		if len(p.here.Silent()) == 0 {
			offered++
		}
	}
	c.Check(offered < total/4, qt.IsTrue, qt.Commentf("offered at %d of %d times", offered, total))
}

// TestOneElectionOffersNoServerThatIsLongSilent guards against servers that are offered again after each change of the leader, because another control host is gone for good.
func TestOneElectionOffersNoServerThatIsLongSilent(t *testing.T) {
	c := qt.New(t)
	p := newPair()
	p.here.Apply(100, 100, contactRecord("s", 1, 1), true)
	for now := clock.Millis(100); now < 40_000; now += 100 {
		p.observe(now, true, true)
		p.here.Expire(now)
	}
	c.Assert(p.here.Silent(), qt.HasLen, 1)
	p.observe(40_000, false, true)
	for now := clock.Millis(40_100); now < 45_000; now += 100 {
		p.observe(now, true, true)
		p.here.Expire(now)
		c.Check(p.here.Silent(), qt.HasLen, 1, qt.Commentf("%d ms after the election", now-40_000))
	}
}

// TestCutLinkPutsOffNoSilenceForEver guards against dead servers that are offered, and kept in the list, for as long as one control host gets no replies from another one that others hear.
func TestCutLinkPutsOffNoSilenceForEver(t *testing.T) {
	c := qt.New(t)
	p := newPair()
	p.here.Apply(100, 100, contactRecord("s", 1, 1), true)
	for now := clock.Millis(100); now < 600_000; now += 100 {
		p.observe(now, true, false)
		p.here.Expire(now)
	}
	c.Check(p.here.Fleet().Find("s") == nil || p.here.Fleet().Find("s").Silent(), qt.IsTrue)
}
