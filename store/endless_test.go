package store

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/flood"
)

// TestAnswerWithoutEnd guards against a store, or another server at its address, that takes
// the process over its memory with an answer that does not end.
func TestAnswerWithoutEnd(t *testing.T) {
	const limit = 4 << 20
	for _, k := range flood.Kinds() {
		t.Run(string(k), func(t *testing.T) {
			s, err := flood.Listen(k)
			must.NoError(t, err)
			defer s.Close()
			c := NewClient("http://"+s.Address(), WithTimeout(2*time.Second), WithWatchTimeout(2*time.Second), WithMaxAnswer(limit))
			defer c.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			ctx := context.Background()
			_, _, listErr := c.List(ctx, "kind")
			_, _, watchErr := c.Watch(ctx, "kind", 1)
			runtime.ReadMemStats(&after)
			test.Error(t, listErr)
			test.Error(t, watchErr)
			// Of each answer, a buffer that doubles adds up to four times the limit, and a copy to one.
			test.Less(t, 10*limit, after.TotalAlloc-before.TotalAlloc, test.Sprint("bytes allocated for two answers"))
		})
	}
}

// TestListWithoutEnd guards against a list of which each page names another one, and against a
// watch that fails for ever because its changes don't fit into one answer.
func TestListWithoutEnd(t *testing.T) {
	const limit, pageBytes = 1 << 20, 1 << 18
	pages := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/watch/") {
			_, _ = fmt.Fprint(w, strings.Repeat(" ", 2*limit))
			return
		}
		pages++
		_, _ = fmt.Fprintf(w, `{"version":9,"more":true,"objects":[{"kind":"kind","name":"n%d","version":1,"value":""}]%s}`, pages, strings.Repeat(" ", pageBytes))
	}))
	defer s.Close()
	c := NewClient(s.URL, WithMaxAnswer(limit))
	defer c.Close()
	_, _, err := c.List(t.Context(), "kind")
	test.True(t, fault.Is(err, fault.KindUnavailable), test.Sprint(err))
	test.LessEq(t, maxListAnswers*limit/pageBytes+1, pages)
	_, _, err = c.Watch(t.Context(), "kind", 1)
	test.Eq(t, ErrCompacted().Error(), err.Error())
}
