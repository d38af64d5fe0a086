// Package plat is a stand-in for the platform's object API. It serves a
// store.Mem over HTTP, with switches for faults. It is used by tests, trials
// and the demo.
//
// # Usage
//
//	s := plat.New(plat.WithLag(5 * time.Second))
//	ln, err := net.Listen("tcp", "127.0.0.1:7000")
//	...
//	go s.Serve(ln)
//	defer s.Stop()
//	client := store.NewClient("http://127.0.0.1:7000")
//
// # Protocol
//
// All answers are JSON. Values are in base64 in answers and raw in the body of
// a write.
//
//	GET    /objects/{kind}?name=N              one object
//	GET    /objects/{kind}                     all objects of the kind and the version
//	PUT    /objects/{kind}?name=N&match=V      conditional write; match 0: must not exist
//	DELETE /objects/{kind}?name=N&match=V      conditional removal
//	GET    /watch/{kind}?after=V               waits for changes after a version
//	GET    /hosts                              the lagging host list
//	PUT    /hosts/{id}                         adds or replaces a host; the body is a store.Host
//	DELETE /hosts/{id}                         removes a host
//	GET    /faults, PUT /faults                the fault switches (see Faults)
//	POST   /compact                            drops old changes, so that watches must list again
//	GET    /calls                              the number of calls received, by sort
//
// The statuses are 200, 400 (bad call), 404 (no such object), 409 (the version
// does not match), 410 (the changes asked for are gone), 413 (value too large)
// and 503 (the call had no effect). A lost answer is a connection that is closed
// without one.
package plat

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// Faults are the switches of the server.
type Faults struct {
	// Gone refuses all calls without an effect.
	Gone bool `json:"gone"`
	// Mute executes all calls but answers none.
	Mute bool `json:"mute"`
	// Slow is the time that each call takes.
	Slow model.Millis `json:"slow"`
	// Lose is the number of writes still to be executed without an answer.
	Lose int `json:"lose"`
}

// Server serves a store over HTTP.
type Server struct {
	mem    *store.Mem
	http   *fasthttp.Server
	ctx    context.Context
	cancel context.CancelFunc
}

// Option sets an option of New.
type Option func(*settings)

type settings struct {
	mem     *store.Mem
	options []store.MemOption
}

// WithMem serves an existing store.
func WithMem(m *store.Mem) Option { return func(s *settings) { s.mem = m } }

// WithLag sets how far the host list lags behind reality. The default is 0.
func WithLag(d time.Duration) Option {
	return func(s *settings) { s.options = append(s.options, store.WithLag(d)) }
}

// WithWait sets how long a watch waits for a change. The default is 10 s.
func WithWait(d time.Duration) Option {
	return func(s *settings) { s.options = append(s.options, store.WithWait(d)) }
}

// New returns a server.
func New(options ...Option) *Server {
	var set settings
	for _, o := range options {
		o(&set)
	}
	if set.mem == nil {
		set.mem = store.NewMem(set.options...)
	}
	s := &Server{mem: set.mem}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{
		Handler:                      s.Handler(),
		Name:                         "platform",
		MaxRequestBodySize:           store.MaxValue + 1,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		IdleTimeout:                  time.Minute,
	}
	return s
}

// Mem returns the store that is served.
func (s *Server) Mem() *store.Mem { return s.mem }

// Serve answers calls on a listener until Stop.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Stop ends waiting watches and closes the listeners.
func (s *Server) Stop() error {
	s.cancel()
	return s.http.Shutdown()
}

// Handler returns the handler of all paths.
func (s *Server) Handler() fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		head, rest, _ := strings.Cut(strings.TrimPrefix(string(c.Path()), "/"), "/")
		switch head {
		case "objects":
			s.objects(c, store.Kind(rest))
			s.mute(c)
		case "watch":
			s.watch(c, store.Kind(rest))
			s.mute(c)
		case "hosts":
			s.hosts(c, model.HostID(rest))
			s.mute(c)
		case "faults":
			s.faults(c)
		case "compact":
			s.mem.Compact()
			respond(c, struct{}{}, nil)
		case "calls":
			respond(c, s.mem.Calls(), nil)
		default:
			refuse(c, fault.Invalid("path", "is not part of the protocol", "see package plat"))
		}
	}
}

func (s *Server) objects(c *fasthttp.RequestCtx, kind store.Kind) {
	name := string(c.QueryArgs().Peek("name"))
	if c.IsGet() && name == "" {
		objects, version, err := s.mem.List(s.ctx, kind)
		respond(c, store.Listing{Objects: objects, Version: version}, err)
		return
	}
	if c.IsGet() {
		o, err := s.mem.Get(s.ctx, kind, name)
		respond(c, o, err)
		return
	}
	s.write(c, kind, name)
}

func (s *Server) write(c *fasthttp.RequestCtx, kind store.Kind, name string) {
	match, err := number(c, "match")
	if err != nil {
		refuse(c, err)
		return
	}
	switch {
	case name == "":
		refuse(c, fault.Invalid("name", "is missing", "name the object"))
	case c.IsPut():
		version, err := s.mem.Put(s.ctx, kind, name, c.PostBody(), match)
		respond(c, store.Answer{Version: version}, err)
	case c.IsDelete():
		respond(c, store.Answer{}, s.mem.Delete(s.ctx, kind, name, match))
	default:
		refuse(c, fault.Invalid("method", "is not part of the protocol", "use GET, PUT or DELETE"))
	}
}

func (s *Server) watch(c *fasthttp.RequestCtx, kind store.Kind) {
	after, err := number(c, "after")
	if err != nil {
		refuse(c, err)
		return
	}
	events, version, err := s.mem.Watch(s.ctx, kind, after)
	respond(c, store.Changes{Events: events, Version: version}, err)
}

func (s *Server) hosts(c *fasthttp.RequestCtx, id model.HostID) {
	switch {
	case c.IsGet():
		hosts, err := s.mem.Hosts(s.ctx)
		respond(c, hosts, err)
	case c.IsPut():
		var h store.Host
		if err := json.Unmarshal(c.PostBody(), &h); err != nil {
			refuse(c, fault.Wrap(fault.KindInvalid, err, "the host does not decode", "send a JSON object with region, domain and address"))
			return
		}
		h.ID = id
		s.mem.SetHost(h)
		respond(c, h, nil)
	case c.IsDelete():
		s.mem.RemoveHost(id)
		respond(c, struct{}{}, nil)
	default:
		refuse(c, fault.Invalid("method", "is not part of the protocol", "use GET, PUT or DELETE"))
	}
}

func (s *Server) faults(c *fasthttp.RequestCtx) {
	if c.IsPut() {
		var f Faults
		if err := json.Unmarshal(c.PostBody(), &f); err != nil {
			refuse(c, fault.Wrap(fault.KindInvalid, err, "the switches do not decode", "send gone, mute, slow and lose as JSON"))
			return
		}
		s.mem.SetUnavailable(f.Gone)
		s.mem.SetMute(f.Mute)
		s.mem.SetDelay(f.Slow.Duration())
		s.mem.LoseAnswers(f.Lose)
	}
	down, mute, delay, lose := s.mem.State()
	respond(c, Faults{Gone: down, Mute: mute, Slow: model.Millis(delay.Milliseconds()), Lose: lose}, nil)
}

// mute drops the answer while the platform is mute.
func (s *Server) mute(c *fasthttp.RequestCtx) {
	if _, mute, _, _ := s.mem.State(); mute {
		drop(c)
	}
}

// drop closes the connection without an answer.
func drop(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(net.Conn) {})
}

func number(c *fasthttp.RequestCtx, field string) (store.Version, error) {
	n, err := strconv.ParseUint(string(c.QueryArgs().Peek(field)), 10, 64)
	if err != nil {
		return 0, fault.Invalid(field, "is not a version", "send the version that was read, or 0")
	}
	return store.Version(n), nil
}

// respond sends a value, or the status of an error.
func respond(c *fasthttp.RequestCtx, value any, err error) {
	if err != nil {
		refuse(c, err)
		return
	}
	data, err := json.Marshal(value)
	if err != nil {
		c.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(data)
}

// refuse sends the status of an error. A write whose answer is lost gets none.
func refuse(c *fasthttp.RequestCtx, err error) {
	switch fault.KindOf(err) {
	case fault.Missing:
		c.Error(err.Error(), http.StatusNotFound)
	case fault.Conflict:
		c.Error(err.Error(), http.StatusConflict)
	case store.Compacted:
		c.Error(err.Error(), http.StatusGone)
	case fault.Unavailable:
		c.Error(err.Error(), http.StatusServiceUnavailable)
	case fault.Unknown:
		drop(c)
	default:
		c.Error(err.Error(), http.StatusBadRequest)
	}
}
