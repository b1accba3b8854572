package admin

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minTiming and maxTiming bound what a Timing tells apart, in microseconds.
	minTiming = 1
	maxTiming = 60_000_000
	// timingDigits is the count of significant digits kept.
	timingDigits = 2
)

// Timing is a histogram of spans. It is safe for concurrent use.
type Timing struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// Record adds one span. Spans above a minute count as a minute.
func (t *Timing) Record(span time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.h.RecordValue(min(max(span.Microseconds(), minTiming), maxTiming))
}

// String implements expvar.Var. Spans are in microseconds.
func (t *Timing) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, err := json.Marshal(map[string]int64{
		"count": t.h.TotalCount(), "p50": t.h.ValueAtQuantile(50), "p99": t.h.ValueAtQuantile(99), "max": t.h.Max(),
	})
	if err != nil {
		return "{}"
	}
	return string(b)
}

// Timing publishes and returns a histogram under name.
func (m *Metrics) Timing(name string) *Timing {
	t := &Timing{h: hdrhistogram.New(minTiming, maxTiming, timingDigits)}
	m.vars.Set(name, t)
	return t
}
