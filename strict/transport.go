package strict

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Transport makes a fasthttp client read responses with Read. It sends each request once, with
// the timeout of the request, and closes the connection after any failure. It reads whole
// bodies: StreamBody of a response has no effect.
type Transport struct{}

var _ fasthttp.RoundTripper = Transport{}

// RoundTrip implements fasthttp.RoundTripper. It never asks for a repetition.
func (Transport) RoundTrip(c *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (retry bool, err error) {
	timeout := req.GetTimeOut()
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	conn, err := c.AcquireConn(timeout, req.ConnectionClose())
	if err != nil {
		return false, err
	}
	if err := conn.Conn().SetDeadline(deadline); err != nil {
		c.CloseConn(conn)
		return false, err
	}
	w := c.AcquireWriter(conn.Conn())
	err = req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	c.ReleaseWriter(w)
	if err != nil {
		c.CloseConn(conn)
		return false, err
	}
	r := c.AcquireReader(conn.Conn())
	resp.StreamBody = false
	resp.SkipBody = req.Header.IsHead()
	err = Read(r, resp, c.MaxResponseBodySize)
	reusable := err == nil && r.Buffered() == 0 && !req.ConnectionClose() && !resp.ConnectionClose() &&
		resp.StatusCode() != fasthttp.StatusSwitchingProtocols
	c.ReleaseReader(r)
	if reusable {
		c.ReleaseConn(conn)
	} else {
		c.CloseConn(conn)
	}
	return false, err
}
