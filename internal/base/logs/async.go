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

// AsyncWriter is an io.Writer that never blocks. Lines wait in a bounded queue
// until Run writes them; when the queue is full, lines are dropped and counted.
type AsyncWriter struct {
	out   io.Writer
	queue *ring.Ring[[]byte]
	lost  atomic.Uint64
}

// NewAsyncWriter returns a writer that passes lines to out without blocking.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, queue: ring.New[[]byte](asyncQueueSize)}
}

// Write queues one line. It always reports success.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	if !a.queue.Offer(append([]byte(nil), line...)) {
		a.lost.Add(1)
	}
	return len(line), nil
}

// Lost returns the number of lines that were dropped or could not be written.
func (a *AsyncWriter) Lost() uint64 { return a.lost.Load() }

// Depth returns the number of queued lines.
func (a *AsyncWriter) Depth() int { return a.queue.Depth() }

// Run writes queued lines until ctx is done, and then those still queued.
func (a *AsyncWriter) Run(ctx context.Context) {
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

func (a *AsyncWriter) flush() {
	for {
		select {
		case line := <-a.queue.Items():
			a.write(line)
		default:
			return
		}
	}
}

func (a *AsyncWriter) write(line []byte) {
	if _, err := a.out.Write(line); err != nil {
		a.lost.Add(1)
	}
}
