package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	host = "cakes.example"
	key  = "i9n73hh2b9wu3fexd9dn"
)

// writeConfig writes a configuration with two idempotent routes, one of them open, a
// non-idempotent one, and one tenant without a limit.
func writeConfig(s *store, version int, timeout string) {
	s.put("config", "main", map[string]any{
		"configVersion": fmt.Sprintf("r%d", version),
		"routes": map[string]any{
			"columns": []string{"name", "host", "pathPrefix", "kind", "timeout", "targetLatency", "priority", "service", "maxAttempts", "authExempt", "trafficSplit"},
			"rows": [][]any{
				{"r-proof", host, "/proof/", "idempotent", timeout, "600ms", 2, "orders", 2, false, nil},
				{"r-open", host, "/open/", "idempotent", timeout, "600ms", 2, "orders", 2, true, nil},
				{"r-print", host, "/print/", "non_idempotent", timeout, "600ms", 1, "orders", 2, false, nil},
			},
		},
		"services": map[string]any{"columns": []string{"name", "healthPath", "maxConnections"}, "rows": [][]any{{"orders", "/health", 360}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"tenants":  map[string]any{"columns": []string{"name", "apiKeys", "priority", "ratePerS", "burst"}, "rows": [][]any{{"kaje80", []string{key}, 1, 0, 0}}},
	})
}

// fleet is a store, instances and daemons.
type fleet struct {
	store     *store
	instances []*instance
	daemons   []*daemon
}

// startFleet starts the stand-ins and the daemons, and waits until these are ready.
func startFleet(dir string, daemons, instances, slots int, timeout string, work func(*http.Request) time.Duration) (*fleet, error) {
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	f := &fleet{store: s}
	writeConfig(s, 7, timeout)
	for i := range instances {
		in, err := startInstance(s, fmt.Sprintf("i-%08x", 0x7f3a91c2+i), "orders", []string{"hobart-a", "hobart-b"}[i%2], slots, work)
		if err != nil {
			return f, err
		}
		f.instances = append(f.instances, in)
	}
	for i := range daemons {
		d, err := newDaemon(dir, fmt.Sprintf("front-%d", i+1), []string{"hobart-a", "hobart-b"}[i%2], s.address)
		if err != nil {
			return f, err
		}
		if err := d.start(); err != nil {
			return f, err
		}
		f.daemons = append(f.daemons, d)
	}
	for _, d := range f.daemons {
		if !d.awaitReady(10 * time.Second) {
			return f, errors.New(d.name + " is not ready")
		}
	}
	time.Sleep(8 * time.Second) // traffic starts 8 s after the machines do
	return f, nil
}

// runs returns the number of requests that the instances ran.
func (f *fleet) runs() int {
	n := 0
	for _, in := range f.instances {
		in.mu.Lock()
		n += len(in.runs)
		in.mu.Unlock()
	}
	return n
}

// end kills the daemons.
func (f *fleet) end() {
	if f == nil {
		return
	}
	for _, d := range f.daemons {
		d.end()
	}
}

// headOf returns the header of a request with a key.
func headOf(method, path, id string, deadline, work time.Duration, more string) string {
	return openHeadOf(method, path, id, deadline, work, "Authorization: Bearer "+key+"\r\n"+more)
}

// openHeadOf returns the header of a request without a key.
func openHeadOf(method, path, id string, deadline, work time.Duration, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Work-Ms: %d\r\n%s\r\n",
		method, path, host, id, deadline.Milliseconds(), work.Milliseconds(), more)
}

// dialFront opens a client's connection to a daemon.
func dialFront(d *daemon) (net.Conn, error) { return net.DialTimeout("tcp", d.front, time.Second) }

// counts counts statuses.
type counts struct {
	mu sync.Mutex
	of map[int]int
}

func (c *counts) add(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.of == nil {
		c.of = make(map[int]int)
	}
	c.of[status]++
}

func (c *counts) list() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.of
}
