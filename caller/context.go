package caller

import (
	"context"
	"net"
	"time"

	"rhubarbdrift.example/budget"
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

// IsBehind reports whether an earlier request of the connection was not answered yet. It does
// not block, and returns false if another server serves the request.
func IsBehind(ctx context.Context) bool {
	x, ok := ctx.Value(contextKey{}).(*exchange)
	if !ok {
		return false
	}
	select {
	case <-x.turn:
		return false
	default:
		return true
	}
}

// Owner returns the connection of a request in the account for memory, or nil if another
// server serves it or there is no account.
func Owner(ctx context.Context) *budget.Owner {
	if x, ok := ctx.Value(contextKey{}).(*exchange); ok {
		return x.conn.owner
	}
	return nil
}

// HeadBytes returns the size of the header of a request, or 0 if another server serves it.
func HeadBytes(ctx context.Context) int64 {
	if x, ok := ctx.Value(contextKey{}).(*exchange); ok {
		return int64(x.size) - max(x.request.ContentLength, 0)
	}
	return 0
}

// LimitBody sets the time by which the body of a request must have been read, and with large
// set bounds what the system buffers of it. It does nothing if another server serves the
// request.
func LimitBody(ctx context.Context, deadline time.Time, large bool) {
	x, ok := ctx.Value(contextKey{}).(*exchange)
	if !ok {
		return
	}
	x.bodyDeadline = deadline
	if tcp, ok := x.conn.nc.(*net.TCPConn); ok && large {
		_ = tcp.SetReadBuffer(budget.SocketBytes) // without it, the system holds megabytes
	}
}

// CutBody ends the reading of a request's body, whose reads fail with
// os.ErrDeadlineExceeded.
func CutBody(ctx context.Context) {
	if x, ok := ctx.Value(contextKey{}).(*exchange); ok && !x.bodyDone.Load() {
		x.conn.mu.Lock()
		defer x.conn.mu.Unlock()
		x.conn.cutOff = true
		_ = x.conn.nc.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	}
}

// Abort closes the connection of a request, so that its caller takes a response that is being
// written as incomplete.
func Abort(ctx context.Context) {
	if x, ok := ctx.Value(contextKey{}).(*exchange); ok {
		x.conn.abort()
	}
}
