package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that an instance began to work on.
type run struct {
	id, instance, tenant string
	at                   time.Time
	bytes                int64
}

// runs records the runs of all instances.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// instance is a sound instance of the service.
type instance struct {
	id      string
	address string
	work    time.Duration
	slots   int
	running atomic.Int64
	runs    *runs
}

func startInstance(s *store, number, slots int, work time.Duration, record *runs) *instance {
	i := &instance{id: fmt.Sprintf("i-%08x", 0x7f3a91c2+number), work: work, slots: slots, runs: record}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	i.address = ln.Addr().String()
	go func() { _ = (&http.Server{Handler: i, IdleTimeout: 10 * time.Second}).Serve(ln) }()
	born := time.Now().UnixMilli()
	s.put("servers", i.id, map[string]any{"service": "ledger", "address": i.address, "zone": "zone-a", "configVersion": "v1", "slots": slots, "state": "ready", "cold": "0ms", "seq": 1, "born": born})
	return i
}

func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", i.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", i.running.Load(), i.slots))
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != i.id {
		w.Header().Set("X-Instance-Id", i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return // the caller left before the request was complete
	}
	if i.running.Add(1) > int64(i.slots) {
		i.running.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer i.running.Add(-1)
	i.runs.add(run{id: id, instance: i.id, tenant: r.Header.Get("X-Tenant"), at: time.Now(), bytes: n})
	time.Sleep(i.work)
	w.Header().Set("X-Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")
	_, _ = io.WriteString(w, "answer to "+id)
}
