package model

// While the platform is available, a cell must tolerate the loss of half of its
// hosts or more: a cell currently spans two failure domains, one of which fails
// every other month. During a platform outage, which is also rare, it must
// tolerate the loss of up to a third of its hosts. Decisions without the platform
// therefore need two thirds of a roster (OutageQuorum). Decisions that rely on
// the platform need only enough hosts to intersect every outage quorum
// (TakeoverQuorum, AcceptQuorum). Two takeover quorums or two accept quorums
// need not intersect, because conditional updates on the platform order them.

// OutageQuorum returns how many of n hosts must agree to decide without the
// platform: to confirm that a daemon's configuration is fresh, to state that they
// have no contact to the platform either so that a holder may extend its lease, or to
// restore the state of a restarted daemon. It is two thirds of n, rounded up, and at
// least 1, so that an empty roster decides nothing.
func OutageQuorum(n int) int { return max(1, (2*n+2)/3) }

// TakeoverQuorum returns how many of n hosts must agree to the takeover of a
// lease. It is the smallest number that intersects every outage quorum of the
// same n hosts.
func TakeoverQuorum(n int) int { return max(1, n+1-OutageQuorum(n)) }

// AcceptQuorum returns how many of n hosts must store a configuration before it
// counts as accepted, or a roster before another host may be added or removed. It is
// the smallest number that intersects every outage quorum of the same roster and of a
// roster with one host more or less, because the hosts of the two quorums may have
// successive rosters.
func AcceptQuorum(n int) int {
	same := n + 1 - OutageQuorum(n)
	smaller := n + 1 - OutageQuorum(n-1) // the smaller roster is a subset of the n hosts
	larger := n + 2 - OutageQuorum(n+1)
	return max(same, smaller, larger)
}
