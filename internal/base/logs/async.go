package logs

import (
	"context"
	"io"
	"sync/atomic"

	"monsooncleat.example/monsooncleat/internal/base/ring"
)

// asyncLines is how many lines wait for a slow reader before further ones are
// counted as lost.
const asyncLines = 4096

// Async is a writer that never blocks: lines wait in a bounded ring for a
// goroutine that writes them. Lines that find the ring full are lost and
// counted.
type Async struct {
	out   io.Writer
	lines *ring.Ring[[]byte]
	lost  atomic.Uint64
}

// NewAsync returns an Async in front of out.
func NewAsync(out io.Writer) *Async {
	return &Async{out: out, lines: ring.New[[]byte](asyncLines)}
}

// Write queues one line. It always reports success.
func (a *Async) Write(line []byte) (int, error) {
	if !a.lines.Offer(append([]byte(nil), line...)) {
		a.lost.Add(1)
	}
	return len(line), nil
}

// Lost returns the count of lines that were not written.
func (a *Async) Lost() uint64 { return a.lost.Load() }

// Depth returns the count of lines that wait.
func (a *Async) Depth() int { return a.lines.Depth() }

// Run writes lines until ctx is done, and then those that wait already.
func (a *Async) Run(ctx context.Context) {
	for {
		select {
		case line := <-a.lines.Items():
			a.write(line)
		case <-ctx.Done():
			a.flush()
			return
		}
	}
}

func (a *Async) flush() {
	for {
		select {
		case line := <-a.lines.Items():
			a.write(line)
		default:
			return
		}
	}
}

func (a *Async) write(line []byte) {
	if _, err := a.out.Write(line); err != nil {
		a.lost.Add(1)
	}
}
