package store

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/fault"
)

// TestVersionOrder guards against versions that are ordered by their revisions alone.
func TestVersionOrder(t *testing.T) {
	last := Version(0)
	for _, v := range []Version{NewVersion(0, 1), NewVersion(0, maxRevision), NewVersion(1, 0), NewVersion(1, 7), NewVersion(2, 3), NewVersion(maxEra, maxRevision)} {
		must.Greater(t, last, v)
		last = v
		must.Eq(t, v, NewVersion(v.Era(), v.Revision()))
	}
	test.Eq(t, 7, NewVersion(0, 7))
}

// TestEraObserved guards against a new era that is noticed never, or more than once.
func TestEraObserved(t *testing.T) {
	var seen []string
	tracker := eraTracker{onChange: func(before, after Era) { seen = append(seen, fmt.Sprintf("%d-%d", before, after)) }}
	for _, c := range []struct {
		era    Era
		newest bool
	}{{4, true}, {4, true}, {5, true}, {4, false}, {7, true}} {
		must.Eq(t, c.newest, tracker.observe(c.era))
	}
	must.Eq(t, []string{"4-5", "5-7"}, seen)
	test.True(t, tracker.outdates(NewVersion(6, 1)))
	test.False(t, tracker.outdates(NewVersion(7, 1)))
}

// TestEraHeader guards against a header that is no era and taken for one.
func TestEraHeader(t *testing.T) {
	for text, want := range map[string]Era{"": 0, "0": 0, "7": 7, "1048575": maxEra} {
		era, err := parseEra([]byte(text))
		must.NoError(t, err)
		must.Eq(t, want, era)
	}
	for _, text := range []string{"1048576", "-1", "1.5", "x", "99999999999999999999"} {
		_, err := parseEra([]byte(text))
		must.Error(t, err)
	}
}

// TestListAcrossEras guards against lists of two copies of the store, and answers of an earlier one.
func TestListAcrossEras(t *testing.T) {
	eras := []string{"1", "2", "2", "1", "x"}
	calls := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderEra, eras[calls])
		calls++
		_, _ = fmt.Fprintf(w, `{"objects":[{"name":"a%d","version":%d}],"version":9,"more":%t}`, calls, calls, calls == 1)
	}))
	defer s.Close()
	c := NewClient(s.URL)
	defer c.Close()
	_, _, err := c.List(context.Background(), KindConf)
	test.True(t, fault.Is(err, fault.KindUnavailable))
	objects, version, err := c.List(context.Background(), KindConf)
	must.NoError(t, err)
	test.Eq(t, NewVersion(2, 9), version)
	test.Eq(t, NewVersion(2, 3), objects[0].Version)
	for range 2 { // an earlier era, and none
		_, _, err = c.List(context.Background(), KindConf)
		test.True(t, fault.Is(err, fault.KindUnavailable))
	}
}

// TestHugeRevision guards against a revision that would be taken for a later era.
func TestHugeRevision(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"objects":[{"name":"a","version":3},{"name":"b","version":%d}],"version":4}`, uint64(maxRevision)+1)
	}))
	defer s.Close()
	c := NewClient(s.URL)
	defer c.Close()
	objects, version, err := c.List(context.Background(), KindConf)
	must.NoError(t, err)
	test.Eq(t, 4, version)
	test.Eq(t, "", objects[0].Problem)
	test.NotEq(t, "", objects[1].Problem)
	_, err = c.Put(context.Background(), KindConf, "a", nil, 3)
	test.NoError(t, err)
}
