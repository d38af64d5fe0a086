// Package canned provides stand-in servers that answer requests with given bytes, which need
// not be a response of HTTP, for tests of clients.
//
// # Usage
//
//	s, err := canned.Listen(func(r *http.Request) string {
//		return "HTTP/1.1 000 OK\r\nRequest: " + r.Header.Get("Request") + "\r\n\r\n"
//	})
//	defer s.Close()
//	... // send requests to s.Address()
//
// A server reads whole requests of HTTP/1.1, any number on one connection, and writes the
// bytes for each of them. ListenRaw leaves the connections to a function.
package canned

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Answer returns the bytes that are sent after a request, whose body was read.
type Answer func(r *http.Request) string

// Server serves the connections to a port of 127.0.0.1.
type Server struct {
	serve    func(net.Conn)
	listener net.Listener
	running  sync.WaitGroup
	requests atomic.Int64

	mu       sync.Mutex
	closed   bool
	accepted int
	conns    map[net.Conn]struct{}
}

// Listen starts a server that answers each request with the bytes of its Answer, on a free
// port of 127.0.0.1.
func Listen(answer Answer) (*Server, error) {
	s := new(Server)
	s.serve = func(c net.Conn) { s.answerAll(c, answer) }
	return s, s.listen()
}

// ListenRaw starts a server that calls serve for each connection and then closes it, on a free
// port of 127.0.0.1. It counts no requests.
func ListenRaw(serve func(net.Conn)) (*Server, error) {
	s := &Server{serve: serve}
	return s, s.listen()
}

func (s *Server) listen() error {
	s.conns = make(map[net.Conn]struct{})
	var err error
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err == nil {
		s.running.Go(s.accept)
	}
	return err
}

// Address returns the IP address and port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests that were read.
func (s *Server) Requests() int64 { return s.requests.Load() }

// Connections returns the number of connections that were opened, and how many of them are
// still open.
func (s *Server) Connections() (opened, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted, len(s.conns)
}

// Close closes the listener and all connections, and waits for their ends.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.track(c) {
			_ = c.Close()
			return
		}
		s.running.Go(func() { s.run(c) })
	}
}

// track registers a connection and reports whether the server is still open.
func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.accepted++
		s.conns[c] = struct{}{}
	}
	return !s.closed
}

// run serves a connection and closes it.
func (s *Server) run(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	s.serve(c)
}

// answerAll answers the requests of a connection until the client closes it.
func (s *Server) answerAll(c net.Conn, answer Answer) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.requests.Add(1)
		if _, err := io.WriteString(c, answer(r)); err != nil {
			return
		}
	}
}
