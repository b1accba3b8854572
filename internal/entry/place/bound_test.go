package place_test

import (
	"fmt"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/entry/place"
)

// TestBoundsOfAllHostsFitTheLimitOfAServer guards against hosts that all round their bounds for
// the same servers up, and against hosts without room for their own flows.
func TestBoundsOfAllHostsFitTheLimitOfAServer(t *testing.T) {
	for hosts := 1; hosts <= 12; hosts++ {
		for servers := 1; servers <= 14; servers++ {
			var names []string
			for i := range servers {
				names = append(names, fmt.Sprint(i))
			}
			var h place.History
			set(&h, clock.Second, names...)
			for flows := range 200 {
				perServer, lowest, highest := make([]int, servers), math.MaxInt, 0
				for rank := range hosts {
					room := 0
					for i := range servers {
						bound := h.Current().Bound(place.NewRounding(rank, hosts), i, flows, 1)
						perServer[i] += bound
						room += bound
						highest = max(highest, bound)
					}
					lowest = min(lowest, room)
				}
				comment := qt.Commentf("%d hosts with %d flows each, %d servers", hosts, flows, servers)
				share := float64(flows+1) / float64(servers)
				qt.Assert(t, lowest > flows, qt.IsTrue, comment)
				qt.Assert(t, float64(highest) <= math.Ceil(1.06*share), qt.IsTrue, comment)
				for _, sum := range perServer {
					qt.Assert(t, float64(sum) <= 1.10*share*float64(hosts)+1, qt.IsTrue, comment)
				}
			}
		}
	}
}
