package model

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestQuorums guards against pairs of quorums that are required to intersect but
// might not, and against quorums larger than the cell, for all sizes of a cell.
func TestQuorums(t *testing.T) {
	must.EqOp(t, 1, OutageQuorum(0), must.Sprint("an empty roster must not decide"))
	must.EqOp(t, 1, TakeoverQuorum(0), must.Sprint("an empty roster must not decide"))
	for n := 1; n <= MaxRosterHosts; n++ {
		outage, takeover, accept := OutageQuorum(n), TakeoverQuorum(n), AcceptQuorum(n)
		must.True(t, 3*outage >= 2*n && 3*(outage-1) < 2*n, must.Sprint(n))
		must.Greater(t, n, outage+takeover, must.Sprint(n))
		must.Greater(t, n, outage+accept, must.Sprint(n))
		must.Greater(t, n+1, outage+AcceptQuorum(n+1), must.Sprint(n))
		must.Greater(t, n+1, OutageQuorum(n+1)+accept, must.Sprint(n))
		must.True(t, takeover >= 1 && takeover <= accept && accept <= outage && outage <= n, must.Sprint(n))
		// If a host that has an accepted version joins, the version stays accepted
		// in the larger roster.
		must.Between(t, accept, AcceptQuorum(n+1), accept+1, must.Sprint(n))
	}
	for n, want := range map[int][3]int{3: {2, 2, 2}, 6: {4, 3, 3}, 19: {13, 8, 7}} {
		must.Eq(t, want, [3]int{OutageQuorum(n), AcceptQuorum(n), TakeoverQuorum(n)}, must.Sprint(n))
	}
}
