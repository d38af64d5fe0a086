package origin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// Headers of requests and responses, in addition to those of package exch.
const (
	// HeaderRequest carries the request id, which the response echoes.
	HeaderRequest = "Rhubarbdrift-Request"
	// HeaderCustomer names the customer of a request to the target.
	HeaderCustomer = "Rhubarbdrift-Customer"
	// HeaderTarget names the target in its responses.
	HeaderTarget = "Rhubarbdrift-Target"
	// HeaderKey carries the idempotency key.
	HeaderKey = "Idempotency-Key"
)

// controlSize is the largest control document in bytes.
const controlSize = 64 << 10

func (s *Server) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /health", s.health)
	m.HandleFunc("GET /load", s.load)
	m.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.faults.Load()) })
	m.HandleFunc("PUT /control", s.control)
	m.HandleFunc("POST /control/silence", func(http.ResponseWriter, *http.Request) { s.Silence() })
	m.HandleFunc("POST /control/cold", func(http.ResponseWriter, *http.Request) { s.Chill() })
	m.HandleFunc("GET /control/executions", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Executions()) })
	m.HandleFunc("DELETE /control/executions", func(http.ResponseWriter, *http.Request) { s.journal.clear() })
	m.HandleFunc("/", s.serve)
	return m
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, controlSize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var f Faults
	if err = model.DecodeStrict(data, &f); err == nil {
		err = s.Set(f)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, f)
}

func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	s.mute(r)
	if !s.status().healthy {
		http.Error(w, "failing", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	s.mute(r)
	reply(w, s.status().load)
}

// mute holds requests on a silent connection until it is closed.
func (s *Server) mute(r *http.Request) {
	if r.Context().Value(epochKey{}) != s.epoch.Load() {
		s.hang(r)
	}
}

// hang waits until the caller or Stop ends the request, and closes the connection.
func (s *Server) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.halt:
	}
	panic(http.ErrAbortHandler)
}

// serve executes a request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // net/http notices a closed connection only after the body
	s.mute(r)
	f := s.faults.Load()
	h := w.Header()
	h.Set(HeaderRequest, r.Header.Get(HeaderRequest))
	h.Set(HeaderTarget, string(s.name))
	if f.Drain {
		h.Set(exch.HeaderDrain, "1")
	}
	size, err := sizeOf(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Shed || s.busy.Add(1) > int64(s.slots) {
		s.shed(w, f)
		return
	}
	defer s.busy.Add(-1)
	s.execute(w, r, f, size)
}

func (s *Server) shed(w http.ResponseWriter, f *Faults) {
	if !f.Shed {
		s.busy.Add(-1)
	}
	w.Header().Set(exch.HeaderShed, "1")
	if f.Drain {
		w.Header().Set("Connection", "close")
	}
	http.Error(w, "all slots are busy", http.StatusServiceUnavailable)
}

func (s *Server) execute(w http.ResponseWriter, r *http.Request, f *Faults, size int) {
	hit, work := none, s.duration()
	late := model.Millis(0)
	if f.selects(r) {
		hit = s.draw(f)
		late = f.Late
		work += f.Slow.Duration()
	}
	if hit == fail {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	e := s.journal.start(Execution{Request: r.Header.Get(HeaderRequest), Key: r.Header.Get(HeaderKey),
		Customer: model.CustomerID(r.Header.Get(HeaderCustomer)), Method: r.Method, Path: r.URL.Path})
	if hit == stall {
		s.hang(r)
	}
	if late > 0 {
		s.wait(context.Background(), work+late.Duration())
	} else if !s.within(r, work) {
		http.Error(w, "the deadline passed", http.StatusGatewayTimeout)
		return
	}
	s.journal.done(e)
	s.respond(w, r, hit, size)
}

// within works until the request's deadline and reports whether the work was done.
func (s *Server) within(r *http.Request, work time.Duration) bool {
	ctx := r.Context()
	if ms, err := strconv.ParseInt(r.Header.Get(exch.HeaderDeadline), 10, 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, model.Millis(ms).Duration())
		defer cancel()
	}
	return s.wait(ctx, work)
}

func (s *Server) wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, hit effect, size int) {
	content := Content(r.Header.Get(HeaderRequest))
	switch hit {
	case lose:
		panic(http.ErrAbortHandler)
	case bare:
		s.unframed(w, io.LimitReader(content, int64(size)))
		return
	}
	if hit == truncate || hit == freeze {
		size = max(size, 1) // an empty body cannot be truncated
	}
	if r.URL.Query().Get("chunked") == "" {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	if hit == truncate || hit == freeze {
		_, _ = io.CopyN(w, content, int64(size/2))
		_ = http.NewResponseController(w).Flush()
		if hit == freeze {
			s.hang(r)
		}
		panic(http.ErrAbortHandler)
	}
	_ = http.NewResponseController(w).Flush()
	if r.Method != http.MethodHead {
		_, _ = io.CopyN(w, content, int64(size))
	}
}

// unframed sends a response that ends with the connection.
func (s *Server) unframed(w http.ResponseWriter, content io.Reader) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = nc.Close() }()
	_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(nc)
	_, _ = io.WriteString(nc, "\r\n")
	_, _ = io.Copy(nc, content)
}

func sizeOf(r *http.Request) (int, error) {
	text := r.URL.Query().Get("size")
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > MaxSize {
		return 0, fault.Invalid("size", "must be between 0 and "+strconv.Itoa(MaxSize)+" bytes", "correct the query")
	}
	return n, nil
}
