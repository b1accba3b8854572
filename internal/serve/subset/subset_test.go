package subset_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"monsooncleat.example/monsooncleat/internal/serve/subset"
)

// TestEachPlaceIsOwnedOnce guards against slots that no host uses, that two hosts use, or
// that are spread unevenly.
func TestEachPlaceIsOwnedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOfNDistinct(rapid.Uint64(), 1, 300, rapid.ID).Draw(t, "hosts")
		places := rapid.SliceOfN(rapid.IntRange(0, 12), 0, 120).Draw(t, "places")
		slices.Sort(hosts)
		owned, total := make([]int, len(places)), 0
		least, most := 1<<30, 0
		for _, host := range hosts {
			sum := 0
			for i, n := range subset.Split(hosts, host, places) {
				owned[i] += n
				sum += n
			}
			total += sum
			least, most = min(least, sum), max(most, sum)
		}
		if !slices.Equal(owned, places) || most-least > 1 {
			t.Fatalf("owned %v of %v, from %d to %d a host, %d in all", owned, places, least, most, total)
		}
	})
}

func TestUnknownHostOwnsNothing(t *testing.T) {
	qt.New(t).Check(subset.Split([]uint64{3, 5}, 4, []int{2, 2}), qt.IsNil)
}
