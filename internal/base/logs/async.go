package logs

import (
	"context"
	"io"
	"sync/atomic"

	"monsooncleat.example/monsooncleat/internal/base/ring"
)

// asyncQueueSize is the number of lines that can wait for a slow writer. Further
// lines are dropped.
const asyncQueueSize = 4096

// Async is an io.Writer that never blocks: lines wait in a bounded queue until the
// goroutine of Run writes them. Lines are dropped and counted when it is full.
type Async struct {
	out   io.Writer
	queue *ring.Ring[[]byte]
	lost  atomic.Uint64
}

// NewAsync returns a writer that passes lines to out without blocking.
func NewAsync(out io.Writer) *Async {
	return &Async{out: out, queue: ring.New[[]byte](asyncQueueSize)}
}

// Write queues one line. It always reports success.
func (a *Async) Write(line []byte) (int, error) {
	if !a.queue.Offer(append([]byte(nil), line...)) {
		a.lost.Add(1)
	}
	return len(line), nil
}

// Lost returns the number of lines that were dropped or could not be written.
func (a *Async) Lost() uint64 { return a.lost.Load() }

// Depth returns the number of queued lines.
func (a *Async) Depth() int { return a.queue.Depth() }

// Run writes queued lines until ctx is done, and then those still queued.
func (a *Async) Run(ctx context.Context) {
	for {
		select {
		case line := <-a.queue.Items():
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
		case line := <-a.queue.Items():
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
