// Package super runs the long-running functions of a daemon as a supervision tree
// of goroutines.
package super

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"monsooncleat.example/monsooncleat/internal/base/logs"
)

// ErrInvariant reports a violated invariant. A function that returns an error
// wrapping it stops the whole tree instead of being restarted.
var ErrInvariant = errors.New("invariant violated")

// Task is a long-running function that returns when ctx is done. When it returns
// an error before that, the supervisor restarts it; when it returns nil, it is not
// started again.
type Task func(ctx context.Context) error

const (
	// maxRestarts is the number of restarts of one function that are allowed within
	// restartWindow. The next failure stops the tree.
	maxRestarts   = 5
	restartWindow = time.Minute
	restartDelay  = 100 * time.Millisecond
)

// Tree is a supervisor: it runs functions and child trees, restarts a failed
// function a limited number of times, and stops all of them together.
type Tree struct {
	name   string
	log    *logs.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	err    error
}

// New returns an empty Tree that stops when parent is done.
func New(parent context.Context, name string, log *logs.Logger) *Tree {
	ctx, cancel := context.WithCancel(parent)
	return &Tree{name: name, log: log, ctx: ctx, cancel: cancel}
}

// Child returns a new child tree of t. When the child stops on an error, t stops
// with the same error.
func (t *Tree) Child(name string) *Tree {
	child := New(t.ctx, t.name+"/"+name, t.log)
	t.wg.Go(func() {
		<-child.ctx.Done()
		child.wg.Wait()
		if err := child.stopCause(); err != nil {
			t.fail(err)
		}
	})
	return child
}

// Start runs task in its own goroutine and restarts it when it fails.
func (t *Tree) Start(name string, task Task) {
	t.wg.Go(func() { t.supervise(name, task) })
}

func (t *Tree) supervise(name string, task Task) {
	var failures []time.Time
	for {
		err := runTask(t.ctx, task)
		if t.ctx.Err() != nil || err == nil {
			return
		}
		t.log.Error("Task failed.", "duty", t.name+"/"+name, "err", err)
		failures = dropOld(append(failures, time.Now()))
		if errors.Is(err, ErrInvariant) || len(failures) > maxRestarts {
			t.fail(eris.Wrapf(err, "task %s/%s", t.name, name))
			return
		}
		select {
		case <-t.ctx.Done():
			return
		case <-time.After(restartDelay):
		}
	}
}

// runTask runs task and turns a panic into an error that wraps ErrInvariant.
func runTask(ctx context.Context, task Task) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: panic: %v", ErrInvariant, r)
		}
	}()
	return task(ctx)
}

// dropOld removes the failures that are older than restartWindow.
func dropOld(failures []time.Time) []time.Time {
	cutoff := time.Now().Add(-restartWindow)
	for len(failures) > 0 && failures[0].Before(cutoff) {
		failures = failures[1:]
	}
	return failures
}

// fail stops the tree. It keeps the first error for Stop.
func (t *Tree) fail(err error) {
	t.mu.Lock()
	if t.err == nil {
		t.err = err
	}
	t.mu.Unlock()
	t.cancel()
}

func (t *Tree) stopCause() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}

// Done returns a channel that is closed when the tree starts to stop.
func (t *Tree) Done() <-chan struct{} { return t.ctx.Done() }

// Stop stops the tree and waits until everything in it has returned. It returns
// the error that stopped the tree, or nil if none did.
func (t *Tree) Stop() error {
	t.cancel()
	t.wg.Wait()
	return t.stopCause()
}
