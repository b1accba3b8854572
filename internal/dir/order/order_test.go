package order_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/dir/order"
)

// TestReturnOfAllHostsDelaysNoConsensus has 1,000 entry hosts ask at once, and again
// every 60 ms, on a control host that takes 1 ms for a message. Meanwhile messages of
// the other control hosts arrive. Each must be handled next, and each entry host must
// have had a reply within the time that all of them take.
func TestReturnOfAllHostsDelaysNoConsensus(t *testing.T) {
	const hosts, service = 1000, clock.Millis(1)
	q := order.New[int]([order.Classes]int{256, 256, hosts})
	served := map[int]bool{}
	longest := [order.Classes]clock.Millis{}
	for now := clock.Millis(0); now < 1200; now += service {
		if now%60 == 0 {
			for host := range hosts {
				q.Offer(now, order.Fetch, host, host)
			}
		}
		if now%15 == 7 {
			q.Offer(now, order.Consensus, nil, -1)
		}
		if now%100 == 50 {
			q.Offer(now, order.Call, nil, -2)
		}
		value, class, waited, ok := q.Take(now)
		qt.Assert(t, ok, qt.IsTrue)
		longest[class] = max(longest[class], waited)
		if class == order.Fetch {
			served[value] = true
		}
	}
	qt.Check(t, longest[order.Consensus] <= service, qt.IsTrue, qt.Commentf("%d ms", longest[order.Consensus]))
	qt.Check(t, longest[order.Call] <= 2*service, qt.IsTrue, qt.Commentf("%d ms", longest[order.Call]))
	qt.Check(t, served, qt.HasLen, hosts)
	qt.Check(t, q.Refused(order.Fetch), qt.Equals, uint64(0))
}

func TestRefusesWhatFindsNoRoom(t *testing.T) {
	q := order.New[string]([order.Classes]int{1, 1, 2})
	qt.Check(t, q.Offer(1, order.Fetch, "a", "a1"), qt.IsTrue)
	qt.Check(t, q.Offer(2, order.Fetch, "b", "b1"), qt.IsTrue)
	qt.Check(t, q.Offer(3, order.Fetch, "c", "c1"), qt.IsFalse)
	qt.Check(t, q.Offer(4, order.Fetch, "a", "a2"), qt.IsTrue, qt.Commentf("replaces the one that waits"))
	qt.Check(t, q.Refused(order.Fetch), qt.Equals, uint64(1))
	qt.Check(t, q.Offer(5, order.Call, nil, "call"), qt.IsTrue)
	var got []string
	for {
		value, _, _, ok := q.Take(10)
		if !ok {
			break
		}
		got = append(got, value)
	}
	qt.Check(t, got, qt.DeepEquals, []string{"call", "a2", "b1"})
}
