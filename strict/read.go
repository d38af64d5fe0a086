package strict

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/valyala/fasthttp"
)

// maxInterim is the number of informational responses that may precede a response.
const maxInterim = 100

// Read reads a response into resp. It skips informational responses other than 101. It
// replaces resp.ReadLimitBody and does the same with the body: it reads at most maxBody
// bytes of it, or without a limit if maxBody is 0. With resp.StreamBody, the body is left
// to a Body; with resp.SkipBody, the response has none. Without StreamBody, the request must have
// been written completely; see Body.
//
// If the bytes are not a valid response, the error is ErrMalformed. After any error, resp must
// not be used and the connection must be closed.
func Read(r *bufio.Reader, resp *fasthttp.Response, maxBody int) error {
	resp.ResetBody()
	if err := readHeader(r, &resp.Header); err != nil {
		return err
	}
	if resp.SkipBody || !hasBody(resp.Header.StatusCode()) {
		return nil
	}
	if err := resp.ReadBody(r, maxBody); err != nil || resp.StreamBody || resp.Header.ContentLength() != -1 {
		return err
	}
	if err := resp.Header.ReadTrailer(r); errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	} else if err != nil {
		return err
	}
	return checkTrailers(&resp.Header)
}

// ErrCutOff is the cause of the error for a response without a length or chunks that ends with a
// connection to which the request was not written completely.
var ErrCutOff = errors.New("the connection ended before the request was written")

// Body reads the body stream of a response that was read with StreamBody.
type Body struct {
	Response *fasthttp.Response
	// SendErr is why the request was not written completely; nil: it was.
	SendErr error
}

// Read implements io.Reader. It returns io.EOF only after a complete body whose trailers are
// valid. If the name of one is not a token, the error is ErrMalformed.
//
// A response that ends with its connection is complete if the connection was closed. After
// a failed write of the request, that cannot be told from a reset: the system reports a reset
// once, to the write, and then the end of the data.
func (b Body) Read(p []byte) (int, error) {
	n, err := b.Response.BodyStream().Read(p)
	if errors.Is(err, io.EOF) {
		if b.SendErr != nil && endsWithConnection(b.Response) {
			return n, fmt.Errorf("%w: %w", ErrCutOff, b.SendErr)
		}
		if invalid := checkTrailers(&b.Response.Header); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}

// endsWithConnection reports whether a response with a body has neither a length nor chunks.
func endsWithConnection(resp *fasthttp.Response) bool { return resp.Header.ContentLength() < -1 }

// checkTrailers checks the names of the trailers that were received; fasthttp checked the rest.
func checkTrailers(h *fasthttp.ResponseHeader) error {
	for name := range h.Trailers() {
		if !isToken(name) {
			return malformed("%q is not the name of a trailer", excerpt(name))
		}
	}
	return nil
}

// readHeader reads heads up to and including the first one that is not informational.
func readHeader(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxInterim + 1 {
		size, err := peekHead(r)
		if err != nil {
			return err
		}
		before := r.Buffered()
		if err := h.Read(r); err != nil {
			if cause := errors.Unwrap(err); cause != nil {
				err = cause // without the content of the buffer
			}
			return malformed("%v", err)
		}
		if before-r.Buffered() != size {
			return malformed("the end of the header is ambiguous")
		}
		if status := h.StatusCode(); status >= http.StatusOK || status == http.StatusSwitchingProtocols {
			h.Del(fasthttp.HeaderTrailer) // announced names would count as received ones
			return nil
		}
	}
	return malformed("more than %d informational responses", maxInterim)
}

// hasBody reports whether responses with the status have a body.
func hasBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
