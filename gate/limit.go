package gate

import (
	"context"
	"sync"
	"time"
)

// limit is a context that ends at a time. Its timer starts only when somebody
// waits for it: most requests are admitted and queued without waiting.
type limit struct {
	at     time.Time
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// Deadline returns the time at which the context ends.
func (l *limit) Deadline() (time.Time, bool) { return l.at, true }

// Done starts the timer.
func (l *limit) Done() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx == nil {
		l.ctx, l.cancel = context.WithDeadline(context.Background(), l.at)
	}
	return l.ctx.Done()
}

// Err tells whether the time was reached.
func (l *limit) Err() error {
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
func (l *limit) Value(key any) any {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx == nil {
		return nil
	}
	return l.ctx.Value(key)
}

// end stops the timer.
func (l *limit) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel != nil {
		l.cancel()
	}
}

// until is a context that carries a deadline and never ends. An exchange puts
// the deadline on its connection, so that it needs no timer of its own.
type until struct {
	context.Context
	at time.Time
}

// Deadline returns the deadline.
func (u *until) Deadline() (time.Time, bool) { return u.at, true }
