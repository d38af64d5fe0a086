package store

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func TestEraObserved(t *testing.T) {
	var seen []string
	tracker := eraTracker{onChange: func(before, after Era) { seen = append(seen, fmt.Sprintf("%d-%d", before, after)) }}
	for _, era := range []Era{4, 4, 5, 4, 7} {
		tracker.observe(era)
	}
	must.Eq(t, []string{"4-5", "5-7"}, seen)
}

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
