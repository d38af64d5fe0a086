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

// Headers of requests to a target and of its responses, besides those of package
// exch.
const (
	// HeaderRequest carries the request id, which the response repeats.
	HeaderRequest = "Rhubarbdrift-Request"
	// HeaderCustomer names the customer of a request to the target.
	HeaderCustomer = "Rhubarbdrift-Customer"
	// HeaderTarget names the target in its responses.
	HeaderTarget = "Rhubarbdrift-Target"
	// HeaderKey carries the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
)

// maxControlBytes is the largest size of the body of PUT /control.
const maxControlBytes = 64 << 10

func (s *Server) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /health", s.health)
	m.HandleFunc("GET /load", s.load)
	m.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.faults.Load()) })
	m.HandleFunc("PUT /control", s.putFaults)
	m.HandleFunc("POST /control/silence", func(http.ResponseWriter, *http.Request) { s.SilenceConnections() })
	m.HandleFunc("POST /control/cold", func(http.ResponseWriter, *http.Request) { s.RestartColdStart() })
	m.HandleFunc("GET /control/executions", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Executions()) })
	m.HandleFunc("DELETE /control/executions", func(http.ResponseWriter, *http.Request) { s.journal.clear() })
	m.HandleFunc("/", s.serveRequest)
	return m
}

// writeJSON sends value with status 200. Write errors are ignored.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// putFaults replaces the faults and responds with the new ones.
func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var f Faults
	if err = model.DecodeStrict(data, &f); err == nil {
		err = s.SetFaults(f)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, f)
}

func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	s.hangIfSilenced(r)
	if !s.report().healthy {
		http.Error(w, "failing", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	s.hangIfSilenced(r)
	writeJSON(w, s.report().load)
}

// hangIfSilenced leaves a request on a silenced connection without a response
// until the connection is closed.
func (s *Server) hangIfSilenced(r *http.Request) {
	if r.Context().Value(epochKey{}) != s.epoch.Load() {
		s.hang(r)
	}
}

// hang waits until the client disconnects or Stop is called, and then closes the
// connection. It does not return.
func (s *Server) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.stopping:
	}
	panic(http.ErrAbortHandler)
}

// serveRequest executes a request in a slot, or sheds it if all slots are busy.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body was read
	s.hangIfSilenced(r)
	f := s.faults.Load()
	h := w.Header()
	h.Set(HeaderRequest, r.Header.Get(HeaderRequest))
	h.Set(HeaderTarget, string(s.name))
	if f.Drain {
		h.Set(exch.HeaderDrain, "1")
	}
	size, err := responseSize(r)
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

// shed refuses a request. It frees the slot that serveRequest counted as
// busy, unless it counted none because of f.Shed.
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

// execute waits for the work time of the request, records the execution and sends
// the response with the injected fault.
func (s *Server) execute(w http.ResponseWriter, r *http.Request, f *Faults, size int) {
	injected, work := effectNone, s.workDuration()
	slowPastDeadline := model.Millis(0)
	if f.appliesTo(r) {
		injected = s.sampleEffect(f)
		slowPastDeadline = f.SlowPastDeadline
		work += f.Slow.Duration()
	}
	if injected == effectFail {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	e := s.journal.start(Execution{Request: r.Header.Get(HeaderRequest), Key: r.Header.Get(HeaderKey),
		Customer: model.CustomerID(r.Header.Get(HeaderCustomer)), Method: r.Method, Path: r.URL.Path})
	if injected == effectStall {
		s.hang(r)
	}
	if slowPastDeadline > 0 {
		s.wait(context.Background(), work+slowPastDeadline.Duration())
	} else if !s.workUntilDeadline(r, work) {
		http.Error(w, "the deadline passed", http.StatusGatewayTimeout)
		return
	}
	s.journal.finish(e)
	s.respond(w, r, injected, size)
}

// workUntilDeadline waits for the time of the work and reports whether it passed
// before the request's deadline or cancellation.
func (s *Server) workUntilDeadline(r *http.Request, work time.Duration) bool {
	ctx := r.Context()
	if ms, err := strconv.ParseInt(r.Header.Get(exch.HeaderDeadline), 10, 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, model.Millis(ms).Duration())
		defer cancel()
	}
	return s.wait(ctx, work)
}

// wait waits for d and reports whether it passed before ctx ended.
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

// respond sends the response of an executed request.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, injected effect, size int) {
	content := Content(r.Header.Get(HeaderRequest))
	switch injected {
	case effectDropResponse:
		panic(http.ErrAbortHandler)
	case effectUnframed:
		s.respondUnframed(w, io.LimitReader(content, int64(size)))
		return
	}
	if injected == effectTruncate || injected == effectFreeze {
		size = max(size, 1) // a response without a body cannot be truncated
	}
	if r.URL.Query().Get("chunked") == "" {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	if injected == effectTruncate || injected == effectFreeze {
		_, _ = io.CopyN(w, content, int64(size/2))
		_ = http.NewResponseController(w).Flush()
		if injected == effectFreeze {
			s.hang(r)
		}
		panic(http.ErrAbortHandler)
	}
	_ = http.NewResponseController(w).Flush()
	if r.Method != http.MethodHead {
		_, _ = io.CopyN(w, content, int64(size))
	}
}

// respondUnframed sends a response without Content-Length or chunked encoding,
// whose body ends when the connection is closed.
func (s *Server) respondUnframed(w http.ResponseWriter, content io.Reader) {
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

// responseSize returns the size that the query asks for, in bytes. Errors are of
// kind fault.KindInvalid.
func responseSize(r *http.Request) (int, error) {
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
