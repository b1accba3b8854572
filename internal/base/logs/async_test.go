package logs_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"monsooncleat.example/monsooncleat/internal/base/clock"
	"monsooncleat.example/monsooncleat/internal/base/logs"
)

func TestAsyncWriterKeepsOrderAndFlushes(t *testing.T) {
	c := qt.New(t)
	var out strings.Builder
	a := logs.NewAsyncWriter(&out)
	ctx, cancel := context.WithCancel(context.Background())
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		n, err := a.Write([]byte(line))
		c.Check(err, qt.IsNil)
		c.Check(n, qt.Equals, 2)
	}
	cancel()
	a.Run(ctx)
	c.Check(out.String(), qt.Equals, "a\nb\nc\n")
	c.Check(a.Lost(), qt.Equals, uint64(0))
}

// TestAsyncWriterDropsLinesInsteadOfBlocking writes while nobody reads the output.
func TestAsyncWriterDropsLinesInsteadOfBlocking(t *testing.T) {
	c := qt.New(t)
	r, w := io.Pipe()
	a := logs.NewAsyncWriter(w)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { a.Run(ctx) })
	start := time.Now()
	const lines = 20_000
	for range lines {
		_, _ = a.Write([]byte("line\n"))
	}
	c.Check(time.Since(start) < 5*time.Second, qt.IsTrue)
	c.Check(a.Lost() > lines/2, qt.IsTrue)
	cancel()
	c.Assert(r.Close(), qt.IsNil)
	wg.Wait()
}

func TestAllowLimitsLinesPerSecondAndCountsOmitted(t *testing.T) {
	c := qt.New(t)
	limiter := logs.NewLimiter(2)
	allowed := 0
	for now := clock.Millis(0); now < 1000; now += 100 {
		if _, ok := limiter.Allow(now); ok {
			allowed++
		}
	}
	c.Check(allowed, qt.Equals, 2)
	omitted, ok := limiter.Allow(1000)
	c.Check(ok, qt.IsTrue)
	c.Check(omitted, qt.Equals, uint64(8))
}
