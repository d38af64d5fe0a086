package exch

import (
	"errors"
	"io"
)

// errAbandoned is the reason of an exchange whose body was closed early.
var errAbandoned = errors.New("the caller stopped reading the response")

// body reads a response body. It is used by one goroutine at a time.
type body struct {
	x   *exchange
	err error
}

// Read returns io.EOF only after the complete body. Any other error means
// that the response is truncated, stalled or canceled.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	x := b.x
	if x.reader == nil {
		return 0, io.ErrClosedPipe
	}
	n, err := x.answer.BodyStream().Read(p)
	if err == nil {
		return n, nil
	}
	b.err = err
	if errors.Is(err, io.EOF) {
		x.end(true)
		return n, io.EOF
	}
	x.breakOff(err)
	b.err = x.out.Err
	return n, b.err
}

// Close ends the exchange. Without the complete body the connection is
// closed, which cancels the request at the target.
func (b *body) Close() error {
	b.x.breakOff(errAbandoned)
	return nil
}
