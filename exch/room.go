package exch

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/budget"
	"rhubarbdrift.example/fault"
)

// roomRetry is how often a response that waits for room asks again although no bytes were
// released: callers that make no progress may have become eligible for eviction.
const roomRetry = 250 * time.Millisecond

// unreadTime is how long a response may stay unread for lack of room, in total, before its
// failure is no longer evidence about the target, unless the response itself is the cause.
// Targets give up responses that stay unread for some seconds.
const unreadTime = time.Second

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
	waited atomic.Bool
}

// Waited reports whether the response was not read for a time because there was no memory.
// How long it took then says nothing about the target.
func (r *Room) Waited() bool { return r.waited.Load() }

// roomKey is the key of the *Room in the context of an exchange.
type roomKey struct{}

// WithRoom returns the context of one exchange whose response is read into the room.
func WithRoom(ctx context.Context, r *Room) context.Context {
	return context.WithValue(ctx, roomKey{}, r)
}

// reserve waits until n bytes are reserved or the exchange's context ends.
func (x *exchange) reserve(r *Room, n int64) error {
	if r == nil {
		return nil
	}
	start := time.Now()
	if _, ok := r.Memory.Reserve(start, n); ok {
		return nil
	}
	r.waited.Store(true)
	defer func() { x.unread += time.Since(start) }()
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
		case <-x.ctx.Done():
			retry.Stop()
			return errNoRoom
		}
	}
}

// setBody reads a body of a size, which is negative if unknown, into memory and ends the
// exchange. The body goes to the Room of the exchange if there is one, else to resp.
func (x *exchange) setBody(resp *fasthttp.Response, b *body, size int) {
	room, _ := x.ctx.Value(roomKey{}).(*Room)
	data, ok := x.bufferBody(b, room, size)
	switch {
	case !ok:
		return
	case room != nil:
		room.Body = data
		resp.ResetBody()
	default:
		joined := make([]byte, 0, data.Len())
		for _, part := range data.Parts() {
			joined = append(joined, part...)
		}
		resp.SetBodyRaw(joined)
	}
	resp.Header.SetContentLength(int(data.Len()))
}

// maxBegun is the size of a response of unknown size from which on all that it may still need
// is reserved at once. Otherwise many such responses could each hold a part of the memory and
// wait for the rest until their deadlines. It is the size of the first segments of package
// budget, up to one of the largest size.
const maxBegun = (4 + 16 + 64 + 256) << 10

// maxFraming is how much larger the framing of a buffered response may be than its data, in
// bytes. With chunks of a few bytes, the processor would be busy with one response until the
// deadline. A chunk of one byte has five bytes of framing, so that up to 64 KiB may come in
// such chunks.
const maxFraming = 256 << 10

// errFraming is the cause of an exchange whose response consists of chunks of a few bytes.
var errFraming = errors.New("the response has more framing than data")

// bufferBody reads a body of a size, which is negative if unknown, into memory and ends the
// exchange. It returns false on failure.
func (x *exchange) bufferBody(b *body, room *Room, size int) (data budget.Segments, ok bool) {
	limit := int64(x.client.maxBuffered)
	x.conn.bodyDeadline = x.deadline
	b.begin, b.buffered = x.consumed(), true
	known := int64(max(size, -1))
	var err error
	switch {
	case known > limit:
		err = errTooLarge
	case known > budget.SmallHolder:
		err = x.reserve(room, known+budget.SocketBytes)
	case known >= 0:
		err = x.reserve(room, known)
	}
	if err == nil {
		data, err = budget.ReadAll(b, known, limit, x.reserveGrowing(room), func(time.Time, int) {})
	}
	if err == nil && data.Len() > limit {
		err = errTooLarge
	}
	switch {
	case errors.Is(err, errTooLarge):
		x.abort(fault.Wrap(fault.KindLimited, err, "the response exceeds the "+strconv.FormatInt(limit, 10)+" bytes that are read into memory",
			"let the target send a length or chunks"))
	case err != nil:
		x.abort(err)
	}
	if x.out.Class != Complete {
		data.Recycle() // the next attempt of the call may need its memory
	}
	if room != nil {
		room.Memory.ReleaseTo(data.Len())
	}
	return data, x.out.Class == Complete
}

// reserveGrowing returns the function that reserves the segments of a body of unknown size.
func (x *exchange) reserveGrowing(room *Room) func(n int64) error {
	reserved, largest := int64(0), int64(x.client.maxBuffered)+1+budget.SocketBytes
	return func(n int64) error {
		if reserved >= largest {
			return nil
		}
		if reserved+n > maxBegun && room != nil && room.Memory.CanHold(largest) {
			n = largest - reserved
		}
		reserved += n
		return x.reserve(room, n)
	}
}
