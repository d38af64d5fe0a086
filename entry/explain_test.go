package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test"

	"rhubarbdrift.example/proxy"
)

// TestExplainHandler guards against calls of any size, and against several explanations at a
// time.
func TestExplainHandler(t *testing.T) {
	var h http.Handler
	call := func(method, body string) int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, ExplainPath, strings.NewReader(body)))
		return w.Code
	}
	inner := 0
	h = explainHandler(func(q proxy.Query) proxy.Explanation {
		test.EqOp(t, "GET", q.Method)
		inner = call(http.MethodPost, `{}`)
		return proxy.Explanation{}
	})
	for range 2 {
		test.EqOp(t, http.StatusOK, call(http.MethodPost, `{"method":"GET"}`))
		test.EqOp(t, http.StatusServiceUnavailable, inner)
	}
	test.EqOp(t, http.StatusMethodNotAllowed, call(http.MethodGet, ""))
	test.EqOp(t, http.StatusBadRequest, call(http.MethodPost, "x"))
	test.EqOp(t, http.StatusRequestEntityTooLarge, call(http.MethodPost, strings.Repeat(" ", maxExplainBytes+1)))
}
