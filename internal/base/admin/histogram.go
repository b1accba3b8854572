package admin

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minMicros and maxMicros are the bounds of recorded values in microseconds.
	minMicros = 1
	maxMicros = 60_000_000
	// significantDigits is the precision of recorded values.
	significantDigits = 2
)

// Histogram is a histogram of durations. It is safe for concurrent use.
type Histogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// Record adds one duration. Durations outside the range of 1 microsecond to
// 1 minute are recorded as the nearer bound.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.histogram.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// String implements expvar.Var. It returns the count, the median, the 99th
// percentile and the maximum as JSON, in microseconds.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, err := json.Marshal(map[string]int64{
		"count": h.histogram.TotalCount(), "p50": h.histogram.ValueAtQuantile(50), "p99": h.histogram.ValueAtQuantile(99), "max": h.histogram.Max(),
	})
	if err != nil {
		return "{}"
	}
	return string(b)
}

// Histogram creates a histogram of durations, publishes it under name and
// returns it.
func (m *Metrics) Histogram(name string) *Histogram {
	h := &Histogram{histogram: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
	m.vars.Set(name, h)
	return h
}
