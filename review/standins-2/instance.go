package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that an instance ran.
type run struct {
	id, instance string
	from, to     time.Time
	cut          bool // its connection was closed before the end
}

// instance is a stand-in of a sound instance: it runs up to slots requests at once, queues some
// more, and drops a request when its connection closes.
type instance struct {
	id, service, address string
	slots, queue         int
	work                 func(r *http.Request) time.Duration

	mu      sync.Mutex
	running int
	waiting int
	free    chan struct{}
	runs    []*run
	arrived []string // ids, also of those that it rejected
	leaving bool
}

// startInstance serves an instance on a free loopback port and lists it in the store.
func startInstance(s *store, id, service, zone string, slots int, work func(r *http.Request) time.Duration) (*instance, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	in := &instance{id: id, service: service, address: ln.Addr().String(), slots: slots, queue: 2 * slots, work: work, free: make(chan struct{}, slots)}
	for range slots {
		in.free <- struct{}{}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go in.serve(c)
		}
	}()
	born := time.Now().UnixMilli()
	go func() {
		for seq := 1; ; seq++ {
			s.put("servers", id, map[string]any{"service": service, "address": in.address, "zone": zone, "configVersion": "v1", "slots": slots, "state": "ready", "cold": "0ms", "seq": seq, "born": born})
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	return in, nil
}

// serve reads requests from a connection, one at a time.
func (in *instance) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReaderSize(c, 32<<10)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if !in.answer(c, reader, r) {
			return
		}
	}
}

// answer runs a request and writes the response. It returns false if the connection is closed.
func (in *instance) answer(c net.Conn, reader *bufio.Reader, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	closed, looked := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(looked)
		// The caller sends nothing before the response, so an error is the end of its connection.
		if _, err := reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			close(closed)
		}
	}()
	status, body, headers := in.execute(r, id, closed)
	_ = c.SetReadDeadline(time.Unix(1, 0)) // ends the look-out
	<-looked
	if status == 0 {
		return false
	}
	in.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", in.running, in.waiting, in.slots)
	in.mu.Unlock()
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nX-Request-Id: " + id + "\r\nX-Instance-Id: " + in.id +
		"\r\nX-Instance-Load: " + load + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n" + headers + "\r\n" + body
	_, err := io.WriteString(c, text)
	return err == nil
}

// execute runs a request unless it must be rejected.
func (in *instance) execute(r *http.Request, id string, closed chan struct{}) (status int, body, headers string) {
	in.mu.Lock()
	in.arrived = append(in.arrived, id)
	expected, full := r.Header.Get("X-Expect-Instance"), in.waiting >= in.queue
	if expected != "" && expected != in.id {
		in.mu.Unlock()
		return http.StatusMisdirectedRequest, "", ""
	}
	if id == "" || full {
		in.mu.Unlock()
		return http.StatusServiceUnavailable, "", "X-Not-Executed: 1\r\n"
	}
	in.waiting++
	in.mu.Unlock()
	left := 10 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	deadline := time.NewTimer(left)
	defer deadline.Stop()
	select {
	case <-in.free:
	case <-closed:
		in.count(-1, 0)
		return 0, "", ""
	case <-deadline.C:
		in.count(-1, 0)
		return http.StatusServiceUnavailable, "", "X-Not-Executed: 1\r\n"
	}
	in.count(-1, 1)
	x := &run{id: id, instance: in.id, from: time.Now()}
	in.mu.Lock()
	in.runs = append(in.runs, x)
	in.mu.Unlock()
	work := time.NewTimer(in.work(r))
	defer work.Stop()
	status, body, headers = http.StatusOK, "done "+id, "X-Response-Signature: s."+in.id+"."+id+"\r\n"
	select {
	case <-work.C:
	case <-closed:
		status = 0
	case <-deadline.C:
		status, body, headers = http.StatusGatewayTimeout, "", "X-Response-Signature: s."+in.id+"."+id+"\r\n"
	}
	in.mu.Lock()
	x.to, x.cut = time.Now(), status == 0
	in.mu.Unlock()
	in.count(0, -1)
	in.free <- struct{}{}
	return status, body, headers
}

func (in *instance) count(waiting, running int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.waiting += waiting
	in.running += running
}

// timeOf returns the time of the work of a request: the X-Work-Ms that it carries, or 50 ms.
func timeOf(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(strings.TrimSpace(r.Header.Get("X-Work-Ms")))
	if err != nil {
		ms = 50
	}
	return time.Duration(ms) * time.Millisecond
}
