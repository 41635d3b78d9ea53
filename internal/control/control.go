// Package control runs all control state of a process on one goroutine.
//
// Slices keep their state in pure cores. A Loop calls them one message at a
// time, so that a core needs no lock; traffic goroutines read the immutable
// snapshots that the cores publish. A Loop has a bounded queue: Post blocks
// when it is full, TryPost drops and reports it.
package control

import (
	"context"
	"fmt"
	"time"
)

// queueLength is the number of messages that may wait.
const queueLength = 1024

// Clock tells the time; cores receive readings and never read it themselves.
type Clock func() time.Time

// StoppedError reports a message posted to a loop that has ended.
type StoppedError struct{ Loop string }

// Error implements the error interface.
func (e *StoppedError) Error() string {
	return fmt.Sprintf("control loop %q has stopped", e.Loop)
}

// Loop executes posted functions one at a time, in order.
type Loop struct {
	name  string
	queue chan func()
	done  chan struct{}
}

// NewLoop returns a loop; Run must be called for it to make progress.
func NewLoop(name string) *Loop {
	return &Loop{name: name, queue: make(chan func(), queueLength), done: make(chan struct{})}
}

// Run executes messages until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case <-ctx.Done():
			return
		case step := <-l.queue:
			step()
		}
	}
}

// Post queues step, waiting for room. It returns a *StoppedError after the end
// of the loop.
func (l *Loop) Post(step func()) error {
	select {
	case l.queue <- step:
		return nil
	case <-l.done:
		return &StoppedError{Loop: l.name}
	}
}

// TryPost queues step if there is room and reports whether it did.
func (l *Loop) TryPost(step func()) bool {
	select {
	case l.queue <- step:
		return true
	default:
		return false
	}
}

// Call queues step and waits until it has run or ctx ends.
func (l *Loop) Call(ctx context.Context, step func()) error {
	ran := make(chan struct{})
	if err := l.Post(func() { step(); close(ran) }); err != nil {
		return err
	}
	select {
	case <-ran:
		return nil
	case <-l.done:
		return &StoppedError{Loop: l.name}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Every posts step at each interval until ctx ends. A step is dropped when the
// queue is full.
func (l *Loop) Every(ctx context.Context, interval time.Duration, step func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.TryPost(step)
		}
	}
}
