// Package control runs all changes to the control state of a process on one
// goroutine.
//
// The packages that hold control state keep it in cores, which do no I/O and read
// no clock. A Loop runs the tasks that call the cores one at a time, so that a
// core needs no lock; goroutines that serve traffic read the immutable snapshots
// that the cores publish. The queue of a Loop is bounded: if it is full, Post
// blocks, while TryPost drops the task and reports that.
package control

import (
	"context"
	"fmt"
	"time"
)

// queueCapacity is the number of tasks that may wait in a loop's queue.
const queueCapacity = 1024

// Clock returns the current time. Cores receive the time with each call and never
// read a clock themselves.
type Clock func() time.Time

// StoppedError reports a task posted to a loop that has stopped.
type StoppedError struct{ Loop string }

// Error implements the error interface.
func (e *StoppedError) Error() string {
	return fmt.Sprintf("control loop %q has stopped", e.Loop)
}

// Loop runs posted tasks one at a time, in the order in which they were posted.
type Loop struct {
	name  string
	queue chan func()
	done  chan struct{}
}

// NewLoop returns a loop that runs nothing until Run is called.
func NewLoop(name string) *Loop {
	return &Loop{name: name, queue: make(chan func(), queueCapacity), done: make(chan struct{})}
}

// Run runs tasks until ctx ends. Tasks that are still queued then are dropped.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-l.queue:
			task()
		}
	}
}

// Post queues the task and waits while the queue is full. Once the loop has
// stopped, it returns a *StoppedError, but while the queue has room it may also
// accept a task that never runs.
func (l *Loop) Post(task func()) error {
	select {
	case l.queue <- task:
		return nil
	case <-l.done:
		return &StoppedError{Loop: l.name}
	}
}

// TryPost queues the task if the queue has room and reports whether it did.
func (l *Loop) TryPost(task func()) bool {
	select {
	case l.queue <- task:
		return true
	default:
		return false
	}
}

// Call queues the task as Post does and then waits until it has run or ctx ends;
// the wait for a full queue ignores ctx. The task may still run after ctx has
// ended. Call returns a *StoppedError if the loop stops first.
func (l *Loop) Call(ctx context.Context, task func()) error {
	ran := make(chan struct{})
	if err := l.Post(func() { task(); close(ran) }); err != nil {
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

// Every posts the task at each interval until ctx ends. It skips an interval at
// which the queue is full.
func (l *Loop) Every(ctx context.Context, interval time.Duration, task func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.TryPost(task)
		}
	}
}
