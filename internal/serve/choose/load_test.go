package choose_test

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"monsooncleat.example/monsooncleat/internal/serve/choose"
)

func roundTrip(c *qt.C, loads choose.Loads) choose.Loads {
	b, err := msgpack.Marshal(loads)
	c.Assert(err, qt.IsNil)
	var got choose.Loads
	c.Assert(msgpack.Unmarshal(b, &got), qt.IsNil)
	return got
}

// TestSumOverManyHosts encodes and sums the small loads of 121 hosts, the size of
// a data centre in the largest deployments. The rounding error of the sum must
// stay below a tenth of a request.
func TestSumOverManyHosts(t *testing.T) {
	c := qt.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	sum, want := choose.Loads{}, float32(0)
	for range 121 {
		inFlight := float32(r.Float64() * 0.02)
		want += inFlight
		sum.Add(roundTrip(c, choose.Loads{7: {InFlight: inFlight, Flows: 1}}))
	}
	c.Check(math.Abs(float64(sum[7].InFlight-want)) < 0.1, qt.IsTrue, qt.Commentf("got a sum of %.3f, want %.3f", sum[7].InFlight, want))
	c.Check(sum[7].Flows, qt.Equals, float32(121))
}

func TestEncodingSaturatesAndRejectsWrongLength(t *testing.T) {
	c := qt.New(t)
	got := roundTrip(c, choose.Loads{1: {InFlight: 1e6, Flows: 1e6}})
	c.Check(got[1].InFlight > 60, qt.IsTrue)
	b, err := msgpack.Marshal([]byte{1, 2, 3})
	c.Assert(err, qt.IsNil)
	var loads choose.Loads
	c.Check(msgpack.Unmarshal(b, &loads), qt.ErrorIs, choose.ErrLoadSize)
}
