// Package lazy has contexts with a deadline that start no timer before somebody
// waits for them. Most requests are admitted and queued without waiting.
//
// # Usage
//
//	wait := lazy.New(deadline)
//	defer wait.End()
//	err := queue.Enter(wait, ...)   // the timer starts only if Enter waits
//
//	ctx := &lazy.Until{Context: ctx, At: deadline} // carries the deadline and never ends
package lazy

import (
	"context"
	"sync"
	"time"
)

// Context ends at a time. Its timer starts only when somebody waits for it.
type Context struct {
	at     time.Time
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a context that ends at the time.
func New(at time.Time) *Context { return &Context{at: at} }

// Deadline returns the time at which the context ends.
func (l *Context) Deadline() (time.Time, bool) { return l.at, true }

// Done starts the timer.
func (l *Context) Done() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx == nil {
		l.ctx, l.cancel = context.WithDeadline(context.Background(), l.at)
	}
	return l.ctx.Done()
}

// Err tells whether the time was reached.
func (l *Context) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx != nil {
		return l.ctx.Err()
	}
	if !time.Now().Before(l.at) {
		return context.DeadlineExceeded
	}
	return nil
}

// Value returns the timer's values, by which the standard library links
// contexts without a goroutine.
func (l *Context) Value(key any) any {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx == nil {
		return nil
	}
	return l.ctx.Value(key)
}

// End stops the timer.
func (l *Context) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel != nil {
		l.cancel()
	}
}

// Until is a context that carries a deadline and never ends. An exchange puts
// the deadline on its connection, so that it needs no timer of its own.
type Until struct {
	context.Context
	At time.Time
}

// Deadline returns the deadline.
func (u *Until) Deadline() (time.Time, bool) { return u.At, true }
