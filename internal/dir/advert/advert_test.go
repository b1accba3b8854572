package advert_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/advert"
)

// TestAdvertisesUntilAnEntryHostPolls restarts a control host that knew three entry
// hosts: one polls it, one polls another control host, one is gone.
func TestAdvertisesUntilAnEntryHostPolls(t *testing.T) {
	before := advert.New(0)
	qt.Check(t, before.Due(10), qt.HasLen, 0)
	before.Polled(100, "a")
	before.Learned(200, []string{"b", "c"})
	saved, err := before.Save(1500)
	qt.Assert(t, err, qt.IsNil)
	again, err := before.Save(5000)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, again, qt.IsNil)

	h := advert.New(7000)
	qt.Assert(t, h.Load(saved), qt.IsNil)
	qt.Check(t, h.Due(7000), qt.DeepEquals, []string{"a", "b", "c"})
	qt.Check(t, h.Due(7010), qt.HasLen, 0)
	h.Polled(7020, "a")
	h.Learned(7030, []string{"b"})
	rounds := 0
	for now := clock.Millis(7040); now < 20_000; now += 10 {
		if due := h.Due(now); len(due) > 0 {
			qt.Assert(t, due, qt.DeepEquals, []string{"c"})
			rounds++
		}
	}
	qt.Check(t, rounds > 10 && rounds <= 30, qt.IsTrue, qt.Commentf("%d rounds", rounds))
}

func TestListIsSentOnlyWhenItChanged(t *testing.T) {
	h := advert.New(0)
	_, version := h.Own(0)
	qt.Check(t, version, qt.Equals, uint64(0))
	h.Polled(10, "a")
	h.Polled(20, "a")
	h.Polled(30, "")
	list, version := h.Own(0)
	qt.Check(t, list, qt.DeepEquals, []string{"a"})
	list, _ = h.Own(version)
	qt.Check(t, list, qt.IsNil)
}

func TestDamagedListIsAnError(t *testing.T) {
	h := advert.New(0)
	qt.Check(t, h.Load([]byte{0xc1}), qt.IsNotNil)
	qt.Check(t, h.Due(1), qt.HasLen, 0)
}
