package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Run is one request that a server began to work on.
type Run struct {
	ID, Server, Method, Path, Tenant string
	At                               time.Time
	Body                             []byte
}

// Server is a stand-in of an instance. It checks X-Expect-Instance, echoes X-Request-Id and signs
// what it ran.
type Server struct {
	ID, Service, Address, Zone string
	Born                       int64         // start in Unix milliseconds
	Work                       time.Duration // of each request
	Body                       int           // bytes of each answer
	OnRun                      func(Run)
}

// Start starts the server at an address.
func (s *Server) Start(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.Address = ln.Addr().String()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return nil
}

// Entry returns what the server writes to the store.
func (s *Server) Entry(state string, seq int) map[string]any {
	return map[string]any{"service": s.Service, "address": s.Address, "zone": s.Zone, "configVersion": "v1", "slots": 6, "state": state, "cold": "0ms", "born": s.Born, "seq": seq}
}

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Request-Id")
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.ID {
			if write(c, 421, id, "X-Not-Executed: 1\r\n", nil) != nil {
				return
			}
			continue
		}
		if s.OnRun != nil {
			s.OnRun(Run{ID: id, Server: s.ID, Method: r.Method, Path: r.RequestURI, Tenant: r.Header.Get("X-Tenant"), At: time.Now(), Body: body})
		}
		time.Sleep(s.Work)
		if write(c, 200, id, signature(id, s.Body), payload(id, s.Body)) != nil {
			return
		}
	}
}

// payload returns the whole body of the answer to a request.
func payload(id string, size int) []byte {
	out := make([]byte, 0, size+len(id)+1)
	for len(out) < size {
		out = append(append(out, id...), '.')
	}
	return out[:size]
}

func signature(id string, size int) string {
	return fmt.Sprintf("X-Response-Signature: s.%s.%d\r\n", id, size)
}

func write(c net.Conn, status int, id, headers string, body []byte) error {
	_, err := c.Write(append([]byte("HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\nX-Request-Id: "+id+"\r\nX-Instance-Load: 1,0,6\r\n"+headers+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"), body...))
	return err
}

// basic starts a fleet with servers of the service ledger and waits until all hosts are ready and know
// each other. The servers write their entries every 1.5 s.
func (s *setup) basic(zones []string, servers int, prepare func(*Server), onRun func(Run), cfg map[string]any) (*Fleet, []*Server, error) {
	f, err := s.fleet(zones...)
	if err != nil {
		return nil, nil, err
	}
	var list []*Server
	for i := range servers {
		h := f.Hosts[i%len(f.Hosts)]
		srv := &Server{ID: fmt.Sprintf("i-%d", i), Service: "ledger", Zone: h.Zone, Work: 5 * time.Millisecond, Body: 200, OnRun: onRun, Born: time.Now().UnixMilli()}
		prepare(srv)
		if err := srv.Start(h.IP + ":0"); err != nil {
			return nil, nil, err
		}
		list = append(list, srv)
	}
	f.Store.Put("config", "main", cfg)
	beat := func(seq int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, srv := range list {
			if !s.silent[srv.ID] {
				f.Store.Put("servers", srv.ID, srv.Entry("ready", seq))
			}
		}
	}
	beat(1)
	go func() {
		for seq := 2; ; seq++ {
			time.Sleep(1500 * time.Millisecond)
			beat(seq)
		}
	}()
	if err := f.StartAll(); err != nil {
		return nil, nil, err
	}
	if !f.AwaitReady(10*time.Second, f.Hosts...) {
		return nil, nil, errors.New("the hosts did not become ready")
	}
	time.Sleep(4 * time.Second)
	return f, list, nil
}

// stopBeat keeps a server from writing its entry by itself.
func (s *setup) stopBeat(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[id] = true
}
