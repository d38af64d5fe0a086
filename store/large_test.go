package store

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/fault"
)

// TestLargeObjects guards against large objects of another writer that keep the others of a list or
// a watch from being read, or that stay in memory.
func TestLargeObjects(t *testing.T) {
	const limit, maxValue, objects = 1 << 18, 1 << 10, 20
	large := base64.StdEncoding.EncodeToString(make([]byte, limit/2))
	next := 0 // object of the next page
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		pair := fmt.Sprintf(`{"kind":"kind","name":"a%03d","version":1,"value":"YQ=="},{"kind":"kind","name":"b%03d","version":1,"value":%q}`, next, next, large)
		if strings.HasPrefix(r.URL.Path, "/watch/") {
			_, _ = fmt.Fprintf(w, `{"version":9,"events":[{"object":%s}]}`, strings.Replace(pair, "},{", `}},{"object":{`, 1))
			return
		}
		next++
		_, _ = fmt.Fprintf(w, `{"version":9,"more":%t,"objects":[%s]}`, next < objects, pair)
	}))
	defer s.Close()
	c := NewClient(s.URL, WithMaxAnswer(limit), WithMaxValue(maxValue))
	defer c.Close()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	list, _, err := c.List(t.Context(), "kind")
	must.NoError(t, err)
	runtime.GC()
	runtime.ReadMemStats(&after)
	test.Less(t, 8*limit, int64(after.HeapAlloc)-int64(before.HeapAlloc), test.Sprint("bytes held for the list"))
	must.Len(t, 2*objects, list)
	events, _, err := c.Watch(t.Context(), "kind", 1)
	must.NoError(t, err)
	must.Len(t, 2, events)
	for _, o := range append(list, events[0].Object, events[1].Object) {
		switch o.Name[0] {
		case 'a':
			test.Eq(t, "a", string(o.Value))
			test.Eq(t, "", o.Problem)
		default:
			test.SliceEmpty(t, o.Value)
			test.StrContains(t, o.Problem, "bytes, more than 1024")
		}
	}
}

// TestLargeWithoutEnd guards against a list of large objects that does not end.
func TestLargeWithoutEnd(t *testing.T) {
	const limit = 1 << 16
	large, pages := base64.StdEncoding.EncodeToString(make([]byte, limit/2)), 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		pages++
		_, _ = fmt.Fprintf(w, `{"version":9,"more":true,"objects":[{"kind":"kind","name":"n%09d","version":1,"value":%q}]}`, pages, large)
	}))
	defer s.Close()
	c := NewClient(s.URL, WithMaxAnswer(limit), WithMaxValue(1<<10))
	defer c.Close()
	_, _, err := c.List(t.Context(), "kind")
	test.True(t, fault.Is(err, fault.KindUnavailable), test.Sprint(err))
	test.LessEq(t, 2*maxListRead, pages)
}
