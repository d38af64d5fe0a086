package mesh

import (
	"testing"

	"github.com/shoenig/test"

	"rhubarbdrift.example/model"
)

// TestLimitReports guards against a limit that changes on its way through the mesh.
func TestLimitReports(t *testing.T) {
	for _, c := range []struct{ sent, received model.Rate }{{0, 0}, {0.001, 0.001}, {5.6, 5.6}, {4.35, 4.35}, {1e12, maxLimit}} {
		counts := TargetCounts{Limit: EncodeLimit(true, c.sent)}
		rate, limited, known := counts.NamedLimit()
		test.True(t, limited)
		test.True(t, known)
		test.Eq(t, c.received, rate)
	}
	var sum Sum
	sum.AddTarget("t", TargetCounts{Limit: EncodeLimit(true, 2), Leaving: 7, WantedUrgent: 1})
	sum.AddTarget("t", TargetCounts{Limit: EncodeLimit(false, 0), Leaving: 5, WantedUrgent: 2, WantedOther: 3})
	sum.AddTarget("t", TargetCounts{Good: 1})
	counts := sum.Targets["t"]
	_, limited, known := counts.NamedLimit()
	test.False(t, limited)
	test.True(t, known)
	test.Eq(t, TargetCounts{Good: 1, Limit: noLimit, Leaving: 7, WantedUrgent: 3, WantedOther: 3}, counts)
	_, _, known = (&TargetCounts{}).NamedLimit()
	test.False(t, known)
}
