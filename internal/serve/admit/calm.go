package admit

import (
	"slices"

	"monsooncleat.example/monsooncleat/internal/base/clock"
)

const (
	// windowSamples is the number of measurements in one mean.
	windowSamples = 32
	// keptWindows is the number of means that the minimum is taken of. At the start
	// of a surge, hosts learn of each other's load only after a second, so some
	// means include requests that queued.
	keptWindows = 8
)

// minimumMean is the minimum of the latest means of a measurement. It estimates the
// time that a request takes without queueing.
type minimumMean struct {
	sum   clock.Millis
	count int
	means []float64
}

func (m *minimumMean) add(t clock.Millis) {
	m.sum += t
	if m.count++; m.count < windowSamples {
		return
	}
	m.means = append(m.means, float64(m.sum)/float64(m.count))
	m.sum, m.count = 0, 0
	if len(m.means) > keptWindows {
		m.means = slices.Delete(m.means, 0, 1)
	}
}

// value returns the minimum in milliseconds, and false before the first mean.
func (m *minimumMean) value() (float64, bool) {
	if len(m.means) == 0 {
		return 0, false
	}
	return slices.Min(m.means), true
}
