package exch

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/valyala/fasthttp"
)

// announcing are the headers of a target's own success that announces everything about itself.
const announcing = "Request: 1\r\nSignature: s\r\nShed: 1\r\nLeaving: 1\r\nLimit: 1\r\nRetry-After: 9\r\n"

// malformed are what a target sends that is not a response of HTTP/1.1. All end a head.
var malformed = map[string]string{
	"status 000":              "HTTP/1.1 000 OK\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"status 099":              "HTTP/1.1 099 OK\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"status 600":              "HTTP/1.1 600 OK\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"status of two digits":    "HTTP/1.1 20 OK\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"status of four digits":   "HTTP/1.1 2000 OK\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"status with a sign":      "HTTP/1.1 +20 OK\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"version 2":               "HTTP/2.0 200 OK\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"control byte in reason":  "HTTP/1.1 200 O\x01K\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"carriage return":         "HTTP/1.1 200 O\rK\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"empty line first":        "\r\nHTTP/1.1 200 OK\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"chunks of version 1.0":   "HTTP/1.0 200 OK\r\n" + announcing + "Transfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n",
	"chunks of version 1.2":   "HTTP/1.2 200 OK\r\n" + announcing + "Transfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n",
	"interim status 000":      "HTTP/1.1 000 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"control byte in interim": "HTTP/1.1 100 \x01\r\n\r\nHTTP/1.1 200 OK\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"name with a blank":       "HTTP/1.1 200 OK\r\nBad Name: x\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"blank in an error":       "HTTP/1.1 500 Error\r\nBad Name: x\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"length with a blank":     "HTTP/1.1 200 OK\r\nContent Length: 3\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"tab in a name":           "HTTP/1.1 200 OK\r\nBad\tName: x\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"control byte in a name":  "HTTP/1.1 200 OK\r\nBad\x01Name: x\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"zero byte in a name":     "HTTP/1.1 200 OK\r\nBad\x00Name: x\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"byte 255 in a name":      "HTTP/1.1 200 OK\r\nBad\xffName: x\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"no name":                 "HTTP/1.1 200 OK\r\n: x\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"no colon":                "HTTP/1.1 200 OK\r\nBad\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"blank line first":        "HTTP/1.1 200 OK\r\n Bad: x\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"control byte in a value": "HTTP/1.1 200 OK\r\nBad: \x01\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"blank in interim":        "HTTP/1.1 103 Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"blank in a late response": "HTTP/1.1 200 OK\r\nBad Name: x\r\nRequest: 0\r\nContent-Length: 3\r\n\r\nbad" +
		"HTTP/1.1 200 OK\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
	"status 000 of a late response": "HTTP/1.1 000 OK\r\nRequest: 0\r\nContent-Length: 3\r\n\r\nbad" +
		"HTTP/1.1 200 OK\r\n" + announcing + "Content-Length: 3\r\n\r\nbad",
}

// TestMalformed guards against bytes that are no response but are returned as one, that keep
// their connection, or of which anything counts as said by the target.
func TestMalformed(t *testing.T) {
	names := platformHeaders
	names.Drain, names.Limit, names.RetryAfter = "Leaving", "Limit", "Retry-After"
	for name, text := range malformed {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedTarget{script: func(nc net.Conn, _ int) { send(nc, text) }}
				c := New(WithDial(s.dial), WithHeaders(names))
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				req, resp := newRequest("POST"), new(fasthttp.Response)
				req.Header.Set("Request", "1")
				started := time.Now()
				out := c.Do(ctx, target, req, resp)
				test.Eq(t, Broken, out.Class)
				test.False(t, out.NotRun())
				test.False(t, out.Announced || out.Draining || out.Limited || out.Canceled || out.RetryAfter > 0)
				test.Zero(t, out.Status)
				test.Error(t, out.Err)
				test.Zero(t, len(resp.Body()))
				test.SliceEmpty(t, resp.Header.Peek("Request"))
				test.Zero(t, time.Since(started), test.Sprint("the end of the head was waited for"))
				open, _ := c.Connections(target)
				test.Zero(t, open)
				c.Close()
			})
		})
	}
}

// TestMalformedTrailer guards against a response that is returned, or whose connection is kept,
// although its trailers are none, and against announced trailers that are taken for received ones.
func TestMalformedTrailer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest: 1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n"
	for name, c := range map[string]struct {
		text  string
		valid bool
	}{
		"valid":         {head + "\r\n5\r\nproof\r\n0\r\nName: x\r\n\r\n", true},
		"announced":     {head + "Trailer: Other\r\n\r\n5\r\nproof\r\n0\r\n\r\n", true},
		"empty":         {head + "Trailer:\r\n\r\n5\r\nproof\r\n0\r\nName:\r\n\r\n", true},
		"blank":         {head + "\r\n5\r\nproof\r\n0\r\nBad Name: x\r\n\r\n", false},
		"control byte":  {head + "\r\n5\r\nproof\r\n0\r\nBad\x01Name: x\r\n\r\n", false},
		"control value": {head + "\r\n5\r\nproof\r\n0\r\nName: \x01\r\n\r\n", false},
		"late": {"HTTP/1.1 200 OK\r\nRequest: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nBad Name: x\r\n\r\n" +
			head + "\r\n5\r\nproof\r\n0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedTarget{script: func(nc net.Conn, _ int) { send(nc, c.text) }}
				client := New(WithDial(s.dial), WithHeaders(platformHeaders))
				out, _ := doOnce(t, client, "1", time.Second)
				open, _ := client.Connections(target)
				if c.valid {
					test.Eq(t, Complete, out.Class)
					test.Eq(t, 1, open)
				} else {
					test.Eq(t, Broken, out.Class)
					test.Zero(t, open)
				}
				client.Close()
			})
		})
	}
}
