// Package super runs the duties of a daemon as a tree of supervised goroutines.
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

// ErrInvariant marks a broken invariant. A duty that returns an error which
// wraps it stops the whole tree instead of being restarted.
var ErrInvariant = errors.New("broken invariant")

// Duty is one long-running function. It returns nil when ctx is done, or an
// error after which the supervisor starts it again.
type Duty func(ctx context.Context) error

const (
	restartWindow = time.Minute
	maxRestarts   = 5
	restartPause  = 100 * time.Millisecond
)

// Tree is a supervisor: it starts duties and child trees, restarts a failed
// duty a bounded number of times, and stops everything together.
type Tree struct {
	name   string
	log    *logs.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	err    error
}

// New returns a running, empty Tree that stops when parent is done.
func New(parent context.Context, name string, log *logs.Logger) *Tree {
	ctx, cancel := context.WithCancel(parent)
	return &Tree{name: name, log: log, ctx: ctx, cancel: cancel}
}

// Child returns a Tree below t. A child that gives up stops t as well.
func (t *Tree) Child(name string) *Tree {
	child := New(t.ctx, t.name+"/"+name, t.log)
	t.wg.Go(func() {
		<-child.ctx.Done()
		child.wg.Wait()
		if err := child.failure(); err != nil {
			t.fail(err)
		}
	})
	return child
}

// Start runs duty in its own goroutine under the restart policy.
func (t *Tree) Start(name string, duty Duty) {
	t.wg.Go(func() { t.supervise(name, duty) })
}

func (t *Tree) supervise(name string, duty Duty) {
	var failures []time.Time
	for {
		err := runDuty(t.ctx, duty)
		if t.ctx.Err() != nil || err == nil {
			return
		}
		t.log.Error("Duty failed.", "duty", t.name+"/"+name, "err", err)
		failures = recent(append(failures, time.Now()))
		if errors.Is(err, ErrInvariant) || len(failures) > maxRestarts {
			t.fail(eris.Wrapf(err, "duty %s/%s", t.name, name))
			return
		}
		select {
		case <-t.ctx.Done():
			return
		case <-time.After(restartPause):
		}
	}
}

func runDuty(ctx context.Context, duty Duty) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: panic: %v", ErrInvariant, r)
		}
	}()
	return duty(ctx)
}

func recent(failures []time.Time) []time.Time {
	cut := time.Now().Add(-restartWindow)
	for len(failures) > 0 && failures[0].Before(cut) {
		failures = failures[1:]
	}
	return failures
}

func (t *Tree) fail(err error) {
	t.mu.Lock()
	if t.err == nil {
		t.err = err
	}
	t.mu.Unlock()
	t.cancel()
}

func (t *Tree) failure() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}

// Done returns a channel that closes when the tree is stopping.
func (t *Tree) Done() <-chan struct{} { return t.ctx.Done() }

// Stop ends all duties and waits for them. It returns the error that made the
// tree give up, or nil after an ordinary stop.
func (t *Tree) Stop() error {
	t.cancel()
	t.wg.Wait()
	return t.failure()
}
