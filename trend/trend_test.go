package trend

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestFit guards against a wrong slope, intercept or deviation; all figures of
// docs/CAPACITY.md are derived from these.
func TestFit(t *testing.T) {
	s := Series{Points: []Point{{1, 5}, {2, 7}, {3, 9}}}
	l := s.Fit()
	must.InDelta(t, 2, l.Slope, 1e-9)
	must.InDelta(t, 3, l.Intercept, 1e-9)
	must.InDelta(t, 0, l.Deviation, 1e-9)
	s = Series{Points: []Point{{4, 1}, {4, 3}}}
	l = s.Fit()
	must.InDelta(t, 2, l.Intercept, 1e-9)
	must.InDelta(t, 1, l.Deviation, 1e-9)
}
