package caller

import (
	"context"
	"time"
)

// contextKey is the key of the *exchange in a request's context.
type contextKey struct{}

// Arrival returns when the first bytes of a request were received, or the present time
// if another server serves it.
func Arrival(ctx context.Context) time.Time {
	if x, ok := ctx.Value(contextKey{}).(*exchange); ok {
		return x.arrival
	}
	return time.Now()
}

// AwaitTurn waits until all earlier requests of the connection were answered. If the
// connection ends before, the caller takes the request as not run. It returns the error
// of ctx if that ends first, and nil at once if another server serves the request.
func AwaitTurn(ctx context.Context) error {
	x, ok := ctx.Value(contextKey{}).(*exchange)
	if !ok {
		return nil
	}
	select {
	case <-x.turn:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
