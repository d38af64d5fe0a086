package exch

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/budget"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/strict"
)

// TestRoom guards against responses that are read although there is no memory for them, and
// against targets that are blamed for it.
func TestRoom(t *testing.T) {
	for name, free := range map[string]bool{"freed": true, "never freed": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const size = 1 << 20
				slow := &scriptedTarget{script: func(nc net.Conn, _ int) {
					send(nc, "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n"+strings.Repeat("x", size))
				}}
				a := budget.New(budget.Limits{Total: 4 << 20, Caller: 4 << 20, Connection: 4 << 20})
				other := budget.NewHolder(a.NewOwner("other"), budget.Responses, nil)
				_, ok := other.Reserve(time.Now(), 3<<20)
				test.True(t, ok)
				if free {
					time.AfterFunc(time.Second, other.Release)
				}
				room := &Room{Memory: budget.NewHolder(a.NewOwner("caller"), budget.Responses, nil)}
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				start := time.Now()
				var resp fasthttp.Response
				c := New(WithDial(slow.dial), WithMaxBuffered(2<<20))
				defer c.Close()
				out := c.Do(WithRoom(ctx, room), target, newRequest("GET"), &resp)
				if free {
					test.Eq(t, Complete, out.Class)
					test.Eq(t, int64(size), room.Body.Len())
					test.Eq(t, time.Second, time.Since(start))
					return
				}
				test.Eq(t, Broken, out.Class)
				test.True(t, out.Canceled)
				test.Less(t, 64<<10, out.Received)
			})
		})
	}
}

// TestRoomLate guards against evidence against a target that gave up a response which this
// host did not read for lack of memory.
func TestRoomLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		impatient := &scriptedTarget{script: func(nc net.Conn, _ int) {
			send(nc, "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n"+strings.Repeat("x", 1000))
			time.Sleep(3 * time.Second)
			_ = nc.Close()
		}}
		a := budget.New(budget.Limits{Total: 4 << 20, Caller: 4 << 20, Connection: 4 << 20})
		other := budget.NewHolder(a.NewOwner("other"), budget.Responses, nil)
		_, ok := other.Reserve(time.Now(), 3<<20)
		test.True(t, ok)
		time.AfterFunc(4*time.Second, other.Release)
		room := &Room{Memory: budget.NewHolder(a.NewOwner("caller"), budget.Responses, nil)}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var resp fasthttp.Response
		c := New(WithDial(impatient.dial), WithMaxBuffered(2<<20))
		defer c.Close()
		out := c.Do(WithRoom(ctx, room), target, newRequest("GET"), &resp)
		test.Eq(t, Broken, out.Class)
		test.True(t, out.Canceled)
	})
}

// TestRoomMalformed guards against a malformed response that is no evidence against its target
// because this host did not read it for some time.
func TestRoomMalformed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		malformed := &scriptedTarget{script: func(nc net.Conn, _ int) {
			send(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n"+strings.Repeat("x", 1<<20)+"\r\n0\r\nBad Name: x\r\n\r\n")
		}}
		a := budget.New(budget.Limits{Total: 4 << 20, Caller: 4 << 20, Connection: 4 << 20})
		other := budget.NewHolder(a.NewOwner("other"), budget.Responses, nil)
		_, ok := other.Reserve(time.Now(), 3<<20)
		test.True(t, ok)
		time.AfterFunc(2*time.Second, other.Release)
		room := &Room{Memory: budget.NewHolder(a.NewOwner("caller"), budget.Responses, nil)}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		c := New(WithDial(malformed.dial), WithMaxBuffered(2<<20))
		defer c.Close()
		out := c.Do(WithRoom(ctx, room), target, newRequest("GET"), new(fasthttp.Response))
		test.True(t, room.Waited())
		test.Eq(t, Broken, out.Class)
		test.False(t, out.Canceled)
		test.ErrorIs(t, out.Err, strict.ErrMalformed)
	})
}

// TestMaxOpen guards against connections to targets above the limit of all of them, while
// idle ones could be closed instead.
func TestMaxOpen(t *testing.T) {
	release := make(chan struct{})
	s := &scriptedTarget{script: func(nc net.Conn, request int) {
		if request > 3 {
			<-release
		}
		send(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}}
	c := New(WithDial(s.dial), WithMaxOpen(2))
	var resp fasthttp.Response
	at := func(address string) Outcome {
		return c.Do(t.Context(), &model.Target{ID: "t", Address: address}, newRequest("GET"), &resp)
	}
	for _, address := range []string{"a", "b", "c"} {
		out := at(address)
		test.Eq(t, Complete, out.Class)
		test.LessEq(t, 2, c.Open())
	}
	ended := make(chan struct{}, 2)
	for _, address := range []string{"d", "e"} {
		go func() {
			_ = c.Do(context.Background(), &model.Target{ID: "t", Address: address}, newRequest("GET"), new(fasthttp.Response))
			ended <- struct{}{}
		}()
	}
	for s.requests.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	out := at("f")
	test.Eq(t, NotRun, out.Class)
	close(release)
	<-ended
	<-ended
	out = at("f")
	test.Eq(t, Complete, out.Class)
}
