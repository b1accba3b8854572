package meter_test

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/entry/meter"
)

// meanRetryAfter returns the mean of many delays.
func meanRetryAfter(m *meter.Meter) float64 {
	r := rand.New(rand.NewPCG(1, 1))
	const n = 2000
	sum := clock.Millis(0)
	for range n {
		sum += m.RetryAfter(r)
	}
	return float64(sum) / n
}

// TestRefusedClientsReturnNoFasterThanTheyCanBeServed plays a service that serves 100 a
// second and refuses 1000 a second. The refused ones must spread over 10 s.
func TestRefusedClientsReturnNoFasterThanTheyCanBeServed(t *testing.T) {
	var m meter.Meter
	qt.Check(t, meanRetryAfter(&m) < 250, qt.IsTrue, qt.Commentf("before the first second"))
	for second := range clock.Millis(5) {
		m.Roll(1000 + second*1000)
		for range 100 {
			m.Serve()
		}
		for range 1000 {
			m.Refuse()
		}
	}
	mean := meanRetryAfter(&m)
	qt.Check(t, mean > 9000 && mean < 11_000, qt.IsTrue, qt.Commentf("%.0f ms", mean))
	served, refused := m.Recent()
	qt.Check(t, served, qt.Equals, 200)
	qt.Check(t, refused, qt.Equals, 2000)
}

func TestPeakRateDecays(t *testing.T) {
	var m meter.Meter
	m.Roll(1000)
	for range 100 {
		m.Serve()
	}
	for second := range clock.Millis(15) {
		m.Roll(2000 + second*1000)
	}
	for range 50 {
		m.Refuse()
	}
	// 50 refusals would give 700 ms against the peak of 100 a second.
	qt.Check(t, meanRetryAfter(&m) > 2000, qt.IsTrue)
}
