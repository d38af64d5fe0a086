package model

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestQuorums guards against two quorums that must share a host and need not,
// for all sizes of a cell, and against quorums that a cell cannot reach.
func TestQuorums(t *testing.T) {
	must.EqOp(t, 1, OutageQuorum(0), must.Sprint("nobody decides for an empty roster"))
	must.EqOp(t, 1, TakeoverQuorum(0), must.Sprint("nobody decides for an empty roster"))
	for n := 1; n <= MaxMembers; n++ {
		o, e, w := OutageQuorum(n), TakeoverQuorum(n), AcceptQuorum(n)
		must.True(t, 3*o >= 2*n && 3*(o-1) < 2*n, must.Sprint(n))
		must.Greater(t, n, o+e, must.Sprint(n))
		must.Greater(t, n, o+w, must.Sprint(n))
		must.Greater(t, n+1, o+AcceptQuorum(n+1), must.Sprint(n))
		must.Greater(t, n+1, OutageQuorum(n+1)+w, must.Sprint(n))
		must.True(t, e >= 1 && e <= w && w <= o && o <= n, must.Sprint(n))
		// A host that joins with a version keeps it accepted in the larger roster.
		must.Between(t, w, AcceptQuorum(n+1), w+1, must.Sprint(n))
	}
	for n, want := range map[int][3]int{3: {2, 2, 2}, 6: {4, 3, 3}, 19: {13, 8, 7}} {
		must.Eq(t, want, [3]int{OutageQuorum(n), AcceptQuorum(n), TakeoverQuorum(n)}, must.Sprint(n))
	}
}
