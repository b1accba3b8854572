package roster_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/roster"
)

func announcement(address string, start clock.Millis) *roster.Announcement {
	return &roster.Announcement{Name: "s", Service: "a", Address: address, Start: start, Weight: 1}
}

func alive(string) bool { return true }

// TestServerThatGoesOnReplacesARecordWithALaterStart guards against a running server that
// is ignored because a record of its ID has a later start: that of another writer, or of an
// incarnation before, by a clock that was set back.
func TestServerThatGoesOnReplacesARecordWithALaterStart(t *testing.T) {
	r, other := roster.New("e1", 0), roster.New("e2", 0)
	r.Announce(0, announcement("server:1", 5))
	r.Announce(500, announcement("wrong:1", 9))
	for now := clock.Millis(20); now <= 10*clock.Second; now += 20 {
		if now%roster.HeartbeatInterval == 0 {
			r.Announce(now, announcement("server:1", 5))
		}
		if now == clock.Second {
			qt.Check(t, r.Find("s").Info().Address, qt.Equals, "wrong:1", qt.Commentf("the later incarnation goes on"))
		}
		r.Tick(now, true, alive)
		other.Merge(now, r.TakeUpdates(10, 2))
	}
	for _, host := range []*roster.Roster{r, other} {
		qt.Check(t, host.Find("s").Info().Address, qt.Equals, "server:1")
		qt.Check(t, host.Find("s").Usable(), qt.IsTrue)
	}
}

// TestKeeperThatStalledTakesNoServerForGone guards against a server that is marked as gone
// because its announcements waited on its keeper.
func TestKeeperThatStalledTakesNoServerForGone(t *testing.T) {
	r := roster.New("e1", 0)
	r.Announce(0, announcement("server:1", 5))
	r.Tick(20, true, alive)
	r.Tick(8*clock.Second, true, alive)
	qt.Check(t, r.Find("s").Usable(), qt.IsTrue)
	for now := 8 * clock.Second; now <= 12*clock.Second; now += 20 {
		r.Tick(now, true, alive)
	}
	qt.Check(t, r.Find("s").Usable(), qt.IsFalse)
}
