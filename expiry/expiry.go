// Package expiry provides contexts with a deadline that create their timer only
// when Done is called. Most requests pass admission and the queue without
// waiting and so never need a timer.
//
// # Usage
//
//	wait := expiry.New(deadline)
//	defer wait.Cancel()
//	err := queue.Acquire(wait, ...)   // creates the timer only if Acquire waits
//
//	ctx := &expiry.DeadlineOnly{Context: ctx, Time: deadline} // reports the deadline without a timer
package expiry

import (
	"context"
	"sync"
	"time"
)

// Context is a context with a deadline whose timer is created by the first call
// of Done. Cancel must be called to release the timer. It is safe for concurrent use.
type Context struct {
	deadline time.Time
	mu       sync.Mutex
	timerCtx context.Context
	cancel   context.CancelFunc
}

// New returns a context that ends at the deadline.
func New(deadline time.Time) *Context { return &Context{deadline: deadline} }

// Deadline returns the time at which the context ends. The second result is
// always true.
func (c *Context) Deadline() (time.Time, bool) { return c.deadline, true }

// Done returns a channel that is closed at the deadline or by Cancel. The first call
// starts the timer.
func (c *Context) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timerCtx == nil {
		c.timerCtx, c.cancel = context.WithDeadline(context.Background(), c.deadline)
	}
	return c.timerCtx.Done()
}

// Err returns context.DeadlineExceeded once the deadline has passed,
// context.Canceled if Cancel stopped a running timer before that, and else nil.
func (c *Context) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timerCtx != nil {
		return c.timerCtx.Err()
	}
	if !time.Now().Before(c.deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

// Value returns the value of the timer's context, or nil before Done is called. The
// context holds no values of its own, but package context finds a cancellable parent
// through Value and then needs no goroutine for each child.
func (c *Context) Value(key any) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timerCtx == nil {
		return nil
	}
	return c.timerCtx.Value(key)
}

// Cancel stops the timer and closes the channel of Done. If Done was never called,
// there is no timer and Cancel has no effect.
func (c *Context) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
}

// DeadlineOnly adds a deadline to a context without a timer: it does not end at the
// deadline. It is for exchanges, which set the deadline on their connection and
// so need no timer of their own.
type DeadlineOnly struct {
	context.Context
	Time time.Time // the deadline
}

// Deadline returns Time. The second result is always true.
func (w *DeadlineOnly) Deadline() (time.Time, bool) { return w.Time, true }
