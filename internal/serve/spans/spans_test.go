package spans_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/serve/spans"
)

// TestMeansFollowTheMeasurements guards against requests of moved flows that are counted
// for a time that no longer fits the service.
func TestMeansFollowTheMeasurements(t *testing.T) {
	const limit = 800 * clock.Millis(1)
	for _, test := range []struct {
		name     string
		measured []clock.Millis
		low      clock.Millis
		high     clock.Millis
	}{
		{"nothing measured", nil, 100, 100},
		{"the first one", []clock.Millis{40}, 40, 40},
		{"steady", []clock.Millis{40, 60, 40, 60, 40, 60}, 40, 50},
		{"slower from now on", append([]clock.Millis{40}, repeat(200, 64)...), 190, 200},
		{"above the limit", repeat(5000, 64), limit, limit},
	} {
		t.Run(test.name, func(t *testing.T) {
			var s spans.Service
			for _, m := range test.measured {
				s.RecordResponse(m)
			}
			got := s.Response(limit)
			qt.Check(t, got >= test.low && got <= test.high, qt.IsTrue, qt.Commentf("%d ms", got))
			qt.Check(t, s.Handshake(limit), qt.Equals, clock.Millis(100))
		})
	}
}

func repeat(t clock.Millis, n int) []clock.Millis {
	out := make([]clock.Millis, n)
	for i := range out {
		out[i] = t
	}
	return out
}
