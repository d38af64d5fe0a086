package exch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rhubarbdrift.example/budget"
)

// roomRetry is how often a response that waits for room asks again although no bytes were
// released: callers that make no progress may have become eligible for eviction.
const roomRetry = 250 * time.Millisecond

// errTooLarge is the cause of an exchange whose response exceeds the limit.
var errTooLarge = errors.New("the response is too large")

// errNoRoom is the cause of an exchange whose response found no room. This is no evidence
// about the target, as if its reader had closed it.
var errNoRoom = fmt.Errorf("this host is short of memory: %w", errAbandoned)

// Room is the memory for the response of one exchange by Do. Until there is room, the
// response is not read from the target.
type Room struct {
	Memory *budget.Holder
	Body   budget.Segments // the body, which resp does not contain then
}

// roomKey is the key of the *Room in the context of an exchange.
type roomKey struct{}

// WithRoom returns the context of one exchange whose response is read into the room.
func WithRoom(ctx context.Context, r *Room) context.Context {
	return context.WithValue(ctx, roomKey{}, r)
}

// reserve waits until n bytes are reserved or ctx ends.
func (r *Room) reserve(ctx context.Context, n int64) error {
	if r == nil {
		return nil
	}
	if _, ok := r.Memory.Reserve(time.Now(), n); ok {
		return nil
	}
	for {
		freed := r.Memory.Freed() // before the reservation, so that no release is missed
		if _, ok := r.Memory.Reserve(time.Now(), n); ok {
			return nil
		}
		retry := time.NewTimer(roomRetry)
		select {
		case <-freed:
			retry.Stop()
		case <-retry.C:
		case <-ctx.Done():
			retry.Stop()
			return errNoRoom
		}
	}
}
