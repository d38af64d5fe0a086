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
//	ctx := &expiry.WithDeadline{Context: ctx, Time: deadline} // reports the deadline without a timer
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
func (l *Context) Deadline() (time.Time, bool) { return l.deadline, true }

// Done returns a channel that is closed at the deadline or by Cancel. The first call
// starts the timer.
func (l *Context) Done() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timerCtx == nil {
		l.timerCtx, l.cancel = context.WithDeadline(context.Background(), l.deadline)
	}
	return l.timerCtx.Done()
}

// Err returns context.DeadlineExceeded once the deadline has passed,
// context.Canceled if Cancel stopped a running timer before that, and else nil.
func (l *Context) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timerCtx != nil {
		return l.timerCtx.Err()
	}
	if !time.Now().Before(l.deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

// Value returns the value of the timer's context, or nil before Done is called.
// Package context looks up the parent's cancellation through Value; this lets it
// attach child contexts without a goroutine for each.
func (l *Context) Value(key any) any {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timerCtx == nil {
		return nil
	}
	return l.timerCtx.Value(key)
}

// Cancel stops the timer, if there is one, and closes the channel of Done.
func (l *Context) Cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel != nil {
		l.cancel()
	}
}

// WithDeadline adds a deadline to a context without a timer: it does not end at the
// deadline. It is for exchanges, which set the deadline on their connection and
// so need no timer of their own.
type WithDeadline struct {
	context.Context
	Time time.Time // the deadline
}

// Deadline returns Time. The second result is always true.
func (u *WithDeadline) Deadline() (time.Time, bool) { return u.Time, true }
