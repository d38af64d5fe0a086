package proxy

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/model"
)

// timedLimiter remembers the time for which it decided on the last request.
type timedLimiter struct {
	unlimited
	decided *atomic.Pointer[time.Time]
}

func (l timedLimiter) Admit(now time.Time, _ *model.Customer) (time.Duration, bool) {
	l.decided.Store(&now)
	return 0, true
}

// TestAdmittedAtPresent guards against a request whose body arrived slowly and that counts
// against the customer's limit for the time at which it began: the limit would forget it
// while it may still run.
func TestAdmittedAtPresent(t *testing.T) {
	tp := newTestProxy(t, okResponse)
	var decided atomic.Pointer[time.Time]
	tp.proxy.deps.Limiter = timedLimiter{decided: &decided}
	reader, writer := io.Pipe()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, tp.url+"/once/a", reader)
	must.NoError(t, err)
	req.Header.Set("Request", "id-1")
	req.Header.Set("Key", "key")
	var ended time.Time
	go func() {
		_, _ = io.WriteString(writer, "1")
		time.Sleep(100 * time.Millisecond)
		ended = time.Now()
		_ = writer.Close()
	}()
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	test.NoError(t, resp.Body.Close())
	test.Eq(t, http.StatusOK, resp.StatusCode)
	must.NotNil(t, decided.Load())
	test.False(t, decided.Load().Before(ended))
}
