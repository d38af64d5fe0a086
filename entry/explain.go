package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"rhubarbdrift.example/proxy"
)

const (
	// ExplainPath is the path on the readiness address that explains where a request would
	// go.
	ExplainPath = "/explain"
	// maxExplainBytes bounds the body of a call.
	maxExplainBytes = 16 << 10
)

// explainHandler returns the handler of ExplainPath. It takes one call at a time, so that
// explanations, which look at all targets of a pool, can't take the host's time.
func explainHandler(explain func(proxy.Query) proxy.Explanation) http.Handler {
	var busy sync.Mutex
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			http.Error(w, "use POST", http.StatusMethodNotAllowed)
			return
		}
		// A writer without deadlines, as in tests, has no connection to protect.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(headerTimeout))
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxExplainBytes))
		if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
			http.Error(w, "the call is above 16 KiB", http.StatusRequestEntityTooLarge)
			return
		}
		var q proxy.Query
		if err != nil || json.Unmarshal(data, &q) != nil {
			http.Error(w, "the call is not JSON of a request", http.StatusBadRequest)
			return
		}
		if !busy.TryLock() {
			http.Error(w, "another request is explained; try again", http.StatusServiceUnavailable)
			return
		}
		answer, err := func() ([]byte, error) {
			defer busy.Unlock()
			return json.Marshal(explain(q))
		}()
		if err != nil {
			http.Error(w, "the answer cannot be encoded", http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// The error is ignored: it means that the operator closed the connection.
		_, _ = w.Write(answer)
	})
}
