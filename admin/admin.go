package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/config"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/logs"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/plan"
)

const (
	// callTimeout bounds an operator's call, including its calls to the platform.
	callTimeout = 10 * time.Second
	// maxBody is the largest request body, an edit or a plan, in bytes.
	maxBody = 64 << 20
	// defaultLimit is the number of audit records returned if the query has no limit.
	defaultLimit = 20
	// maxLimit is the largest number of audit records returned.
	maxLimit = 1000
)

// Planner makes and confirms plans. Package plan implements it.
type Planner interface {
	Plan(ctx context.Context, e *plan.Edit) (*plan.Plan, error)
	Confirm(ctx context.Context, operator string, draft *plan.Plan) (*plan.Confirmation, error)
	Audit(ctx context.Context, limit int) ([]plan.AuditRecord, error)
}

// StatusSource provides the state of the daemon: its status, whether it is ready, and
// its configuration in force. Package daemon implements it.
type StatusSource interface {
	Status(ctx context.Context) Status
	Ready() bool
	Intent() *model.Intent
}

// API is the HTTP handler of the operators' calls.
type API struct {
	planner   Planner
	source    StatusSource
	operators []config.Operator
	metrics   fasthttp.RequestHandler
	log       zerolog.Logger
}

// Option sets an optional property of an API.
type Option func(*API)

// WithOperators sets the operators that may use the API. The default is none.
func WithOperators(list []config.Operator) Option {
	return func(a *API) { a.operators = list }
}

// WithMetrics sets the handler of /metrics. Without it the path does not exist.
func WithMetrics(h fasthttp.RequestHandler) Option {
	return func(a *API) { a.metrics = h }
}

// WithLog sets the logger. The default discards all events.
func WithLog(l zerolog.Logger) Option {
	return func(a *API) { a.log = l }
}

// New returns an API that plans and confirms with p and reports the state of s.
func New(p Planner, s StatusSource, options ...Option) *API {
	a := &API{planner: p, source: s, log: zerolog.Nop()}
	for _, o := range options {
		o(a)
	}
	return a
}

// Server returns an HTTP server for the API. The caller starts it on a listener.
func (a *API) Server() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:            a.handle,
		Name:               "rhubarbdrift",
		MaxRequestBodySize: maxBody,
		ReadTimeout:        callTimeout,
		CloseOnShutdown:    true,
		Logger:             logs.Discard{},
	}
}

// handle serves one request: public paths to everyone, all others to operators.
func (a *API) handle(ctx *fasthttp.RequestCtx) {
	if a.servePublic(ctx) {
		return
	}
	operator, ok := a.authenticate(ctx)
	if !ok {
		a.writeError(ctx, fault.New(fault.KindDenied, "the call has no valid operator credential",
			"send the header Authorization: Bearer <credential>"))
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	value, err := a.dispatch(callCtx, ctx, operator)
	if err != nil {
		a.log.Warn().Str("operator", operator).Str("path", string(ctx.Path())).Err(err).Msg("operator call failed")
		a.writeError(ctx, err)
		return
	}
	a.writeJSON(ctx, value)
}

// servePublic serves the paths that need no credential. It reports whether the
// request was for one of them.
func (a *API) servePublic(ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Path()) {
	case "/live":
		ctx.SetBodyString("live\n")
	case "/ready":
		if !a.source.Ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			ctx.SetBodyString("not ready\n")
			return true
		}
		ctx.SetBodyString("ready\n")
	case "/metrics":
		if a.metrics == nil {
			return false
		}
		a.metrics(ctx)
	default:
		return false
	}
	return true
}

// authenticate returns the name of the operator whose credential the request carries,
// and false if it carries no valid one.
func (a *API) authenticate(ctx *fasthttp.RequestCtx) (string, bool) {
	credential, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	if !ok {
		return "", false
	}
	digest := []byte(model.DigestOf([]byte(credential)))
	for _, o := range a.operators {
		if subtle.ConstantTimeCompare(digest, []byte(o.Digest)) == 1 {
			return o.Name, true
		}
	}
	return "", false
}

// dispatch serves an operator's request and returns the value of the response. callCtx
// bounds the calls that it causes; ctx is the HTTP request.
func (a *API) dispatch(callCtx context.Context, ctx *fasthttp.RequestCtx, operator string) (any, error) {
	path, method := string(ctx.Path()), string(ctx.Method())
	switch {
	case method == "POST" && path == "/plans":
		return a.makePlan(callCtx, ctx.PostBody())
	case method == "POST" && strings.HasPrefix(path, "/plans/") && strings.HasSuffix(path, "/confirm"):
		return a.confirm(callCtx, ctx.PostBody(), path, operator)
	case method == "GET" && path == "/config":
		return a.source.Intent(), nil
	case method == "GET" && path == "/status":
		return a.source.Status(callCtx), nil
	case method == "GET" && path == "/audit":
		return a.planner.Audit(callCtx, auditLimit(ctx))
	default:
		return nil, fault.New(fault.KindMissing, "there is no "+method+" "+path, "see `rhubarbdrift help` for the calls")
	}
}

func auditLimit(ctx *fasthttp.RequestCtx) int {
	n := ctx.QueryArgs().GetUintOrZero("limit")
	if n == 0 {
		return defaultLimit
	}
	return min(n, maxLimit)
}

func (a *API) makePlan(ctx context.Context, body []byte) (*plan.Plan, error) {
	e, err := plan.DecodeEdit(body)
	if err != nil {
		return nil, err
	}
	return a.planner.Plan(ctx, e)
}

func (a *API) confirm(ctx context.Context, body []byte, path, operator string) (*plan.Confirmation, error) {
	draft := new(plan.Plan)
	if err := model.DecodeStrict(body, draft); err != nil {
		return nil, err
	}
	if path != "/plans/"+draft.ID+"/confirm" {
		return nil, fault.Invalid("plan id", "is not the one in the path", "confirm the plan as it was returned")
	}
	r, err := a.planner.Confirm(ctx, operator, draft)
	if err != nil {
		return nil, err
	}
	a.log.Info().Str("operator", operator).Str("plan", draft.ID).
		Uint64("version", uint64(r.Version)).Str("outcome", string(r.Outcome)).Msg("plan confirmed")
	return r, nil
}

// ErrorResponse is the JSON body of an error response.
type ErrorResponse struct {
	Kind    fault.Kind `json:"kind"`
	Message string     `json:"message"`
	Remedy  string     `json:"remedy,omitempty"`
}

func statusOf(kind fault.Kind) int {
	switch kind {
	case fault.KindInvalid:
		return fasthttp.StatusBadRequest
	case fault.KindDenied:
		return fasthttp.StatusUnauthorized
	case fault.KindMissing:
		return fasthttp.StatusNotFound
	case fault.KindConflict:
		return fasthttp.StatusConflict
	case fault.KindUnknown:
		return fasthttp.StatusBadGateway
	case fault.KindUnavailable:
		return fasthttp.StatusServiceUnavailable
	default:
		return fasthttp.StatusInternalServerError
	}
}

func (a *API) writeError(ctx *fasthttp.RequestCtx, err error) {
	kind := fault.KindOf(err)
	ctx.SetStatusCode(statusOf(kind))
	if kind == fault.KindDenied {
		ctx.Response.Header.Set("WWW-Authenticate", "Bearer")
	}
	a.writeJSON(ctx, ErrorResponse{Kind: kind, Message: err.Error(), Remedy: fault.Remedy(err)})
}

func (a *API) writeJSON(ctx *fasthttp.RequestCtx, value any) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		ctx.Error("the answer cannot be encoded", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}
