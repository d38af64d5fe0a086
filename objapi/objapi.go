// Package objapi is a stand-in for the platform's object API. It serves a
// store.Mem over HTTP and can inject faults. It is used by tests, trials and the
// demo.
//
// # Usage
//
//	s := objapi.New(objapi.WithLag(5 * time.Second))
//	ln, err := net.Listen("tcp", "127.0.0.1:7000")
//	...
//	go s.Serve(ln)
//	defer s.Stop()
//	client := store.NewClient("http://127.0.0.1:7000")
//
// # Protocol
//
// Successful responses are JSON, errors are plain text. Object values are base64
// in responses and raw bytes in the body of a write.
//
//	GET    /objects/{kind}?name=N              one object
//	GET    /objects/{kind}?after=N             the objects of the kind whose names follow N, as many as fit into
//	                                           a page, whether there are more, and the store's version
//	PUT    /objects/{kind}?name=N&match=V      conditional write; V is the object's version, 0: must not exist
//	DELETE /objects/{kind}?name=N&match=V      conditional delete
//	GET    /watch/{kind}?after=V               waits for changes after version V
//	GET    /hosts                              the host list, which lags behind changes
//	PUT    /hosts/{id}                         adds or replaces a host; the body is a store.Host as JSON
//	DELETE /hosts/{id}                         removes a host
//	GET    /faults, PUT /faults                the injected faults (see Faults)
//	POST   /compact                            discards old changes, so that watchers must list again
//	POST   /copy                               copies all objects
//	POST   /restore                            replaces all objects by those of the last copy and begins a new era
//	GET    /calls                              the number of received calls by type
//
// Each response names the store's era in the header Store-Era. Versions are revisions of that era:
// they go back and are given out again when a new era begins. A watch from a revision that the
// store doesn't have is answered as one from a discarded one.
//
// The status codes are 200, 400 (invalid call), 404 (no such object), 409 (the
// version does not match), 410 (the requested changes were discarded), 413 (value
// too large) and 503 (the call had no effect). A lost response is a connection
// that is closed without a response.
package objapi

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// Faults selects the faults to inject.
type Faults struct {
	// Unavailable refuses reads, writes and watches of objects and reads of the
	// host list with status 503, without effect. The other paths still work.
	Unavailable bool `json:"gone"`
	// DropResponses executes all calls of /objects, /watch and /hosts but closes
	// their connections without a response.
	DropResponses bool `json:"mute"`
	// Delay is the delay of each call that Unavailable would refuse.
	Delay model.Millis `json:"slow"`
	// DropWriteResponses is the number of writes, counted from now, that are executed
	// but get no response.
	DropWriteResponses int `json:"lose"`
}

// Server serves a store.Mem over HTTP.
type Server struct {
	mem    *store.Mem
	copied atomic.Pointer[store.Copy] // the last copy; nil: none
	http   *fasthttp.Server
	ctx    context.Context
	cancel context.CancelFunc
}

// Option sets an option of New.
type Option func(*settings)

// settings collects the options of New. mem is nil unless WithMem sets it; options
// are those of the store that New creates otherwise.
type settings struct {
	mem     *store.Mem
	options []store.MemOption
}

// WithMem serves an existing store. WithLag and WithWait have no effect then.
func WithMem(m *store.Mem) Option { return func(s *settings) { s.mem = m } }

// WithLag sets how long the host list lags behind changes. The default is 0.
func WithLag(d time.Duration) Option {
	return func(s *settings) { s.options = append(s.options, store.WithHostListLag(d)) }
}

// WithWait sets how long a watch waits for a change. The default is 10 s.
func WithWait(d time.Duration) Option {
	return func(s *settings) { s.options = append(s.options, store.WithWatchWait(d)) }
}

// New returns a server with the options. Serve starts it.
func New(options ...Option) *Server {
	var chosen settings
	for _, o := range options {
		o(&chosen)
	}
	if chosen.mem == nil {
		chosen.mem = store.NewMem(chosen.options...)
	}
	s := &Server{mem: chosen.mem}
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

// Serve serves calls on a listener until Stop.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Stop cancels waiting watches, closes the listeners and waits for running calls.
func (s *Server) Stop() error {
	s.cancel()
	return s.http.Shutdown()
}

// Handler returns the HTTP handler of all paths. The package documentation lists
// them.
func (s *Server) Handler() fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		defer func() { c.Response.Header.Set(store.HeaderEra, strconv.FormatUint(uint64(s.mem.Era()), 10)) }()
		resource, argument, _ := strings.Cut(strings.TrimPrefix(string(c.Path()), "/"), "/")
		switch resource {
		case "objects":
			s.objects(c, store.Kind(argument))
			s.dropResponse(c)
		case "watch":
			s.watch(c, store.Kind(argument))
			s.dropResponse(c)
		case "hosts":
			s.hosts(c, model.HostID(argument))
			s.dropResponse(c)
		case "faults":
			s.faults(c)
		case "compact":
			s.mem.Compact()
			respond(c, struct{}{}, nil)
		case "copy":
			s.copied.Store(new(s.mem.Copy()))
			respond(c, struct{}{}, nil)
		case "restore":
			s.restore(c)
		case "calls":
			respond(c, s.mem.CallCounts(), nil)
		default:
			respondError(c, fault.Invalid("path", "is not part of the protocol", "see package objapi"))
		}
	}
}

// restore restores the last copy.
func (s *Server) restore(c *fasthttp.RequestCtx) {
	last := s.copied.Load()
	if last == nil {
		respondError(c, fault.Invalid("restore", "there is no copy", "call /copy first"))
		return
	}
	s.mem.Restore(*last)
	respond(c, struct{}{}, nil)
}

// objects handles reads of objects and passes other methods to write.
func (s *Server) objects(c *fasthttp.RequestCtx, kind store.Kind) {
	name := string(c.QueryArgs().Peek("name"))
	if c.IsGet() && name == "" {
		page, err := s.mem.ListPage(s.ctx, kind, string(c.QueryArgs().Peek("after")))
		page.Version = revision(page.Version)
		for i := range page.Objects {
			page.Objects[i].Version = revision(page.Objects[i].Version)
		}
		respond(c, page, err)
		return
	}
	if c.IsGet() {
		o, err := s.mem.Get(s.ctx, kind, name)
		o.Version = revision(o.Version)
		respond(c, o, err)
		return
	}
	s.write(c, kind, name)
}

// write handles conditional writes and deletes.
func (s *Server) write(c *fasthttp.RequestCtx, kind store.Kind, name string) {
	match, err := s.versionParam(c, "match")
	if err != nil {
		respondError(c, err)
		return
	}
	switch {
	case name == "":
		respondError(c, fault.Invalid("name", "is missing", "name the object"))
	case c.IsPut():
		version, err := s.mem.Put(s.ctx, kind, name, c.PostBody(), match)
		respond(c, store.Answer{Version: revision(version)}, err)
	case c.IsDelete():
		respond(c, store.Answer{}, s.mem.Delete(s.ctx, kind, name, match))
	default:
		respondError(c, fault.Invalid("method", "is not part of the protocol", "use GET, PUT or DELETE"))
	}
}

// watch waits for changes after the version of the query.
func (s *Server) watch(c *fasthttp.RequestCtx, kind store.Kind) {
	after, err := s.versionParam(c, "after")
	if err != nil {
		respondError(c, err)
		return
	}
	events, version, err := s.mem.Watch(s.ctx, kind, after)
	changes := store.Changes{Events: slices.Clone(events), Version: revision(version)}
	for i := range changes.Events {
		o := &changes.Events[i].Object
		o.Version = revision(o.Version)
	}
	respond(c, changes, err)
}

// hosts handles reads and changes of the host list.
func (s *Server) hosts(c *fasthttp.RequestCtx, id model.HostID) {
	switch {
	case c.IsGet():
		hosts, err := s.mem.Hosts(s.ctx)
		respond(c, hosts, err)
	case c.IsPut():
		var h store.Host
		if err := json.Unmarshal(c.PostBody(), &h); err != nil {
			respondError(c, fault.Wrap(fault.KindInvalid, err, "the host does not decode", "send a JSON object with region, domain and address"))
			return
		}
		h.ID = id
		s.mem.SetHost(h)
		respond(c, h, nil)
	case c.IsDelete():
		s.mem.RemoveHost(id)
		respond(c, struct{}{}, nil)
	default:
		respondError(c, fault.Invalid("method", "is not part of the protocol", "use GET, PUT or DELETE"))
	}
}

// faults handles reads and changes of the injected faults.
func (s *Server) faults(c *fasthttp.RequestCtx) {
	if c.IsPut() {
		var f Faults
		if err := json.Unmarshal(c.PostBody(), &f); err != nil {
			respondError(c, fault.Wrap(fault.KindInvalid, err, "the switches do not decode", "send gone, mute, slow and lose as JSON"))
			return
		}
		s.mem.SetUnavailable(f.Unavailable)
		s.mem.SetLoseAnswers(f.DropResponses)
		s.mem.SetDelay(f.Delay.Duration())
		s.mem.LoseNextAnswers(f.DropWriteResponses)
	}
	unavailable, dropResponses, delay, dropWriteResponses := s.mem.State()
	respond(c, Faults{Unavailable: unavailable, DropResponses: dropResponses, Delay: model.Millis(delay.Milliseconds()), DropWriteResponses: dropWriteResponses}, nil)
}

// dropResponse closes the connection without a response if Faults.DropResponses is set.
func (s *Server) dropResponse(c *fasthttp.RequestCtx) {
	if _, dropResponses, _, _ := s.mem.State(); dropResponses {
		closeUnanswered(c)
	}
}

// closeUnanswered closes the connection without a response.
func closeUnanswered(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(net.Conn) {})
}

// revision returns a version as it is sent: without the era, which is in the header.
func revision(v store.Version) store.Version { return store.NewVersion(0, v.Revision()) }

// versionParam returns the version with the revision in the query parameter of the given name, or
// 0 for revision 0. Errors are of kind fault.KindInvalid.
func (s *Server) versionParam(c *fasthttp.RequestCtx, name string) (store.Version, error) {
	n, err := strconv.ParseUint(string(c.QueryArgs().Peek(name)), 10, 64)
	if err != nil {
		return 0, fault.Invalid(name, "is not a version", "send the version that was read, or 0")
	}
	if n == 0 {
		return 0, nil
	}
	return store.NewVersion(s.mem.Era(), n), nil
}

// respond sends value as JSON, or err with its status if it is not nil.
func respond(c *fasthttp.RequestCtx, value any, err error) {
	if err != nil {
		respondError(c, err)
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

// respondError sends the status and text of err. For an error of kind
// fault.KindUnknown, which is a write whose response is to be lost, it closes the
// connection instead.
func respondError(c *fasthttp.RequestCtx, err error) {
	switch fault.KindOf(err) {
	case fault.KindMissing:
		c.Error(err.Error(), http.StatusNotFound)
	case fault.KindConflict:
		c.Error(err.Error(), http.StatusConflict)
	case store.KindCompacted:
		c.Error(err.Error(), http.StatusGone)
	case fault.KindUnavailable:
		c.Error(err.Error(), http.StatusServiceUnavailable)
	case fault.KindUnknown:
		closeUnanswered(c)
	default:
		c.Error(err.Error(), http.StatusBadRequest)
	}
}
