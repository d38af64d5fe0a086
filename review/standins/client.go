package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// request is one client attempt and what the client saw of it.
type request struct {
	id, key, host string
	nonIdempotent bool
	sentAt, ended time.Time
	status        int    // 0: the connection ended without a complete answer
	detail        string // why there is no answer, or the body
	reused        bool   // sent on a kept connection
	bodyBytes     int
}

// log records all requests of the clients.
type requestLog struct {
	mu   sync.Mutex
	list []request
}

func (l *requestLog) add(r request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, r)
}

func (l *requestLog) all() []request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]request(nil), l.list...)
}

// client keeps one connection to a host and sends one request after another on it.
type client struct {
	address string
	conn    net.Conn
	in      *bufio.Reader
	used    bool
	// bytesPerS is the speed at which the client sends a body; 0: as fast as it goes.
	bytesPerS int
}

// write sends a body.
func (c *client) write(body []byte) error {
	const part = 64 << 10
	start, total := time.Now(), len(body)
	for len(body) > 0 {
		n := min(part, len(body))
		if _, err := c.conn.Write(body[:n]); err != nil {
			return err
		}
		body = body[n:]
		if c.bytesPerS > 0 {
			time.Sleep(time.Duration(float64(total-len(body))/float64(c.bytesPerS)*float64(time.Second)) - time.Since(start))
		}
	}
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends one request and waits for its answer until the deadline.
func (c *client) send(r request, method, path string, body []byte, deadline time.Duration, l *requestLog) request {
	r.host, r.bodyBytes = c.address, len(body)
	r.sentAt = time.Now()
	if err := c.exchange(&r, method, path, body, deadline); err != nil {
		r.status, r.detail = 0, err.Error()
		c.close()
	}
	r.ended = time.Now()
	l.add(r)
	return r
}

func (c *client) exchange(r *request, method, path string, body []byte, deadline time.Duration) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return fmt.Errorf("not connected: %w", err)
		}
		c.conn, c.in, c.used = conn, bufio.NewReader(conn), false
	}
	r.reused = c.used
	c.used = true
	_ = c.conn.SetDeadline(r.sentAt.Add(deadline))
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: yard.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, r.id, deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&head, "Authorization: Bearer %s\r\n", r.key)
	}
	if len(body) > 0 || method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n")
	if _, err := c.conn.Write(head.Bytes()); err != nil {
		return err
	}
	if err := c.write(body); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return err
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	r.status, r.detail = resp.StatusCode, string(data)
	if resp.Close {
		c.close()
	}
	return nil
}
