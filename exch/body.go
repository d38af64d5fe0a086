package exch

import (
	"errors"
	"io"
)

// errAbandoned is the cause of an exchange whose response body was closed before
// its end.
var errAbandoned = errors.New("the caller stopped reading the response")

// body reads a response body. It is not safe for concurrent use.
type body struct {
	x        *exchange
	err      error
	size     int64 // bytes read so far
	begin    int64 // bytes of the response before the body
	buffered bool  // the whole body is read into memory, so that maxFraming applies
}

// Read returns io.EOF only after the complete body. Any other error means that
// the response is truncated, stalled or canceled.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	x := b.x
	if x.reader == nil {
		return 0, io.ErrClosedPipe
	}
	n, err := x.responseBody().Read(p)
	b.size += int64(n)
	if err == nil && b.buffered && x.consumed()-b.begin-b.size > b.size+maxFraming {
		err = errFraming
	}
	if err == nil {
		return n, nil
	}
	b.err = err
	if errors.Is(err, io.EOF) {
		x.finish(true)
		return n, io.EOF
	}
	x.abort(err)
	b.err = x.out.Err
	return n, b.err
}

// Close ends the exchange. If the body was not read to its end, the connection
// is closed, which cancels the request at the target.
func (b *body) Close() error {
	b.x.abort(errAbandoned)
	return nil
}
