package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["slowstop"] = slowStop }

// slowStop: a client reads a download of 4 MB at 600 KB/s, which takes 7 s of its 8 s. The machine gets
// SIGTERM 0.3 s after it has taken the request.
func slowStop(s *setup) (verdict, error) {
	const size, rate = 4 << 20, 600 << 10
	f, _, err := s.basic([]string{"a/r", "a/r"}, 3, func(v *Server) { v.Work = 20 * time.Millisecond; v.Body = size }, func(r Run) {
		s.record.Add("%s runs at %s", r.ID, r.Server)
	}, configuration("r3", 8000, 0, "k"))
	if err != nil {
		return failed, err
	}
	h := f.Hosts[0]
	c, err := net.Dial("tcp", h.Front)
	if err != nil {
		return failed, err
	}
	_ = c.(*net.TCPConn).SetReadBuffer(32 << 10)
	start := time.Now()
	if _, err := io.WriteString(c, head("GET", "/look/1", "q1", "k", 8*time.Second, 0)); err != nil {
		return failed, err
	}
	if s.trouble {
		time.Sleep(300 * time.Millisecond)
		f.Signal(h, syscall.SIGTERM)
	}
	in := bufio.NewReaderSize(&slowReader{c, rate, start, 0}, 4096)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return failed, err
	}
	body, err := io.ReadAll(resp.Body)
	s.record.Add("client has %d of %d bytes after %.3f s: %v", len(body), size, time.Since(start).Seconds(), err)
	if !bytes.Equal(body, payload("q1", size)) {
		return broken, nil
	}
	return held, nil
}

// slowReader reads a connection at a rate in bytes per second.
type slowReader struct {
	c     net.Conn
	rate  int
	start time.Time
	n     int
}

func (r *slowReader) Read(p []byte) (int, error) {
	for float64(r.n) > time.Since(r.start).Seconds()*float64(r.rate) {
		time.Sleep(2 * time.Millisecond)
	}
	n, err := r.c.Read(p[:min(len(p), 4096)])
	r.n += n
	return n, err
}
