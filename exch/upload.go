package exch

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"
)

// errNotRead is why the rest of a request is not sent.
var errNotRead = errors.New("the target answered before it had read the request")

// upload is the write of a long request, during which the target may answer already.
type upload struct {
	done chan struct{}
	err  error // of send, once done is closed
}

// isLong reports whether the request may not fit into the buffers of the connection, so that its
// write takes as long as the target reads.
func isLong(req *fasthttp.Request) bool {
	return req.IsBodyStream() || len(req.Body()) > bufferSize
}

// startUpload begins to write the request. Until endUpload, only the response may be read.
func (x *exchange) startUpload(req *fasthttp.Request) {
	x.upload = &upload{done: make(chan struct{})}
	go func(u *upload) {
		defer close(u.done)
		if u.err = x.send(req); u.err != nil {
			_ = x.conn.SetReadDeadline(time.Now()) // fails only on a closed connection
		}
	}(x.upload)
}

// endUpload waits for the end of the upload, after the header of the response was read or could
// not be read. The rest of the request is not sent if there is no response, or if it is a failure:
// the target may not read any more. The error is one of the request, of which nothing was received.
func (x *exchange) endUpload(headerErr error) error {
	u := x.upload
	if u == nil {
		return nil
	}
	x.upload = nil
	stopped := false
	if headerErr != nil || x.response.StatusCode() >= fasthttp.StatusMultipleChoices {
		stopped = u.stop(x.conn)
	}
	<-u.done
	switch {
	case u.err == nil || headerErr != nil && stopped:
		return nil
	case headerErr != nil || x.conn.bytesWritten == 0:
		return u.err
	}
	x.writeErr = errNotRead
	return x.conn.SetReadDeadline(x.deadline)
}

// stop ends the write. It returns false if it had ended before.
func (u *upload) stop(c *conn) bool {
	select {
	case <-u.done:
		return false
	default:
		_ = c.SetWriteDeadline(time.Now()) // fails only on a closed connection
		return true
	}
}
