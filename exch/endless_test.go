package exch

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/budget"
	"rhubarbdrift.example/flood"
	"rhubarbdrift.example/model"
)

// doEndless runs one exchange with a server whose answer does not end, with the memory of the
// account, and releases what the exchange left of it.
func doEndless(t *testing.T, c *Client, address string, a *budget.Account, deadline time.Duration) (out Outcome, left int64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	room := &Room{Memory: budget.NewHolder(a.NewOwner("caller"), budget.Responses, nil)}
	defer room.Memory.Release()
	req := newRequest("GET")
	req.Header.Set("Request", "1")
	out = c.Do(WithRoom(ctx, room), &model.Target{ID: "t", Address: address}, req, new(fasthttp.Response))
	return out, a.Status().Total
}

// TestEndlessAnswers guards against answers without end that count as complete, that keep
// memory which the next attempt of the request needs, or that are read although they are
// larger than any other.
func TestEndlessAnswers(t *testing.T) {
	const limit = 1 << 20
	for _, k := range flood.Kinds() {
		t.Run(string(k), func(t *testing.T) {
			s, err := flood.Listen(k, flood.WithEcho("Request"), flood.WithHeader("Signature", "s"))
			must.NoError(t, err)
			defer s.Close()
			c := New(WithHeaders(platformHeaders), WithMaxBuffered(limit))
			defer c.Close()
			a := budget.New(budget.Limits{Total: 8 * limit, Caller: 8 * limit, Connection: 8 * limit})
			out, left := doEndless(t, c, s.Address(), a, 20*time.Second)
			if k == flood.Extra {
				test.Eq(t, Complete, out.Class)
				return
			}
			test.Eq(t, Broken, out.Class)
			test.Zero(t, left, test.Sprint("bytes reserved after the exchange"))
			test.Less(t, 4*limit, out.Received)
			if k == flood.Tiny {
				test.ErrorIs(t, out.Err, errFraming)
			}
		})
	}
}

// TestEndlessTogether guards against answers of unknown size that each hold a part of the
// memory and wait for the rest, until the deadlines of all of them, and that are then no
// evidence against their target.
func TestEndlessTogether(t *testing.T) {
	const limit = 8 << 20
	s, err := flood.Listen(flood.Chunks)
	must.NoError(t, err)
	defer s.Close()
	c := New(WithMaxBuffered(limit), WithMaxConnections(40))
	defer c.Close()
	a := budget.New(budget.Limits{Total: 4 * limit, Caller: 4 * limit, Connection: 2 * limit})
	var running sync.WaitGroup
	for range 40 {
		running.Go(func() {
			out, _ := doEndless(t, c, s.Address(), a, time.Minute)
			test.ErrorIs(t, out.Err, errTooLarge)
			test.False(t, out.Canceled)
		})
	}
	running.Wait()
}

// TestUnreadResponse guards against megabytes of a response in the system's buffer, which
// count as the process's memory, while there is no memory to read it. The system enlarges the
// buffer of a connection on which a large response was read before.
func TestUnreadResponse(t *testing.T) {
	const size = 16 << 20
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = ln.Close() }()
	sent := make(chan int, 2) // bytes that each response could send
	go func() {
		defer close(sent)
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		_ = nc.(*net.TCPConn).SetWriteBuffer(32 << 10)
		requests := bufio.NewReader(nc)
		for range 2 {
			if _, err := http.ReadRequest(requests); err != nil {
				return
			}
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
			total, part := 0, make([]byte, 16<<10)
			for total < size {
				_ = nc.SetWriteDeadline(time.Now().Add(time.Second))
				n, err := nc.Write(part)
				if total += n; err != nil {
					break
				}
			}
			sent <- total
		}
	}()
	c := New(WithMaxBuffered(size))
	defer c.Close()
	large := budget.New(budget.Limits{Total: 4 * size, Caller: 4 * size, Connection: 4 * size})
	out, _ := doEndless(t, c, ln.Addr().String(), large, 20*time.Second)
	must.Eq(t, Complete, out.Class, must.Sprint(out.Err))
	must.Eq(t, size, <-sent)
	small := budget.New(budget.Limits{Total: size / 2, Caller: size / 2, Connection: 4 * size})
	out, _ = doEndless(t, c, ln.Addr().String(), small, 3*time.Second)
	test.ErrorIs(t, out.Err, errNoRoom)
	// The system doubles the size that is asked for, and the target has a buffer too.
	test.Less(t, 4*budget.SocketBytes, <-sent, test.Sprint("bytes that the target could send"))
}
