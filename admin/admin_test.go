package admin

import (
	"context"
	"net"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"rhubarbdrift.example/config"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/plan"
)

// recorder is a Planner that counts its calls and returns err, and a StatusSource that
// is not ready.
type recorder struct {
	calls int
	err   error
}

func (r *recorder) Plan(context.Context, *plan.Edit) (*plan.Plan, error) {
	r.calls++
	return new(plan.Plan), r.err
}

func (r *recorder) Confirm(context.Context, string, *plan.Plan) (*plan.Confirmation, error) {
	r.calls++
	return new(plan.Confirmation), r.err
}

func (r *recorder) Audit(context.Context, int) ([]plan.AuditRecord, error) {
	r.calls++
	return nil, r.err
}

func (r *recorder) Status(context.Context) Status { return Status{} }
func (r *recorder) Ready() bool                   { return false }
func (r *recorder) Intent() *model.Intent         { return new(model.Intent) }

// sendRequest sends one request to an API on r and returns the status of the response.
func sendRequest(t *testing.T, r *recorder, method, path, credential string) int {
	t.Helper()
	a := New(r, r, WithOperators([]config.Operator{{Name: "amina", Digest: model.DigestOf([]byte("secret"))}}))
	ln := fasthttputil.NewInmemoryListener()
	s := a.Server()
	go func() { _ = s.Serve(ln) }()
	defer func() { _ = s.Shutdown() }()
	c := &fasthttp.Client{Dial: func(string) (net.Conn, error) { return ln.Dial() }}
	req, resp := new(fasthttp.Request), new(fasthttp.Response)
	req.SetRequestURI("http://admin" + path)
	req.Header.SetMethod(method)
	if credential != "" {
		req.Header.Set("Authorization", credential)
	}
	req.SetBodyString("{}")
	must.NoError(t, c.Do(req, resp))
	return resp.StatusCode()
}

// TestCredential guards against calls without a valid credential that reach the
// planner or return the configuration.
func TestCredential(t *testing.T) {
	r := new(recorder)
	paths := map[string]string{"/plans": "POST", "/plans//confirm": "POST", "/config": "GET", "/status": "GET", "/audit": "GET", "/none": "GET"}
	for path, method := range paths {
		for _, credential := range []string{"", "Bearer wrong", "secret", "Basic secret"} {
			must.EqOp(t, 401, sendRequest(t, r, method, path, credential), must.Sprint(path, credential))
		}
	}
	must.EqOp(t, 0, r.calls)
	must.EqOp(t, 200, sendRequest(t, r, "POST", "/plans", "Bearer secret"))
	must.EqOp(t, 404, sendRequest(t, r, "GET", "/none", "Bearer secret"))
	must.EqOp(t, 503, sendRequest(t, r, "GET", "/ready", ""))
	must.EqOp(t, 200, sendRequest(t, r, "GET", "/live", ""))
}

// TestStatusOfErrors guards against an unknown outcome that has the status of a
// failure.
func TestStatusOfErrors(t *testing.T) {
	want := map[fault.Kind]int{fault.KindConflict: 409, fault.KindUnknown: 502, fault.KindUnavailable: 503, fault.KindInvalid: 400}
	for kind, status := range want {
		r := &recorder{err: fault.New(kind, "message", "remedy")}
		must.EqOp(t, status, sendRequest(t, r, "POST", "/plans", "Bearer secret"), must.Sprint(kind))
	}
}
