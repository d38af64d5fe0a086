package model

// Half of a cell's hosts and more can be lost while the platform is up: a cell
// of today spans two failure domains, and one of them fails every other month.
// During an outage of the platform, which is rare too, a cell has to survive
// the loss of up to a third of its hosts. So decisions without the platform
// need two thirds of a roster (OutageQuorum), and decisions that rely on the
// platform need only enough hosts to share one with every outage quorum
// (TakeoverQuorum, AcceptQuorum). Two takeover or two acceptance quorums need
// not share a host: the conditional updates of the platform order them.

// OutageQuorum returns how many of n hosts decide without the platform: they
// vouch for the freshness of a daemon, state that they have no contact so that
// a holder continues its lease, or restore the state of a restarted daemon. It
// is two thirds, rounded up, and at least 1, so that an empty roster decides
// nothing.
func OutageQuorum(n int) int { return max(1, (2*n+2)/3) }

// TakeoverQuorum returns how many of n hosts endorse the takeover of a lease.
// It is the smallest number that shares a host with every outage quorum of the
// same n hosts.
func TakeoverQuorum(n int) int { return max(1, n+1-OutageQuorum(n)) }

// AcceptQuorum returns how many of n hosts must hold a configuration before it
// counts as accepted, or a roster before the next change of one host. It is the
// smallest number that shares a host with every outage quorum of the same
// roster and of a roster with one host more or less, because the two sides may
// hold successive rosters.
func AcceptQuorum(n int) int {
	same := n + 1 - OutageQuorum(n)
	smaller := n + 1 - OutageQuorum(n-1) // the n hosts include all of the others
	larger := n + 2 - OutageQuorum(n+1)
	return max(same, smaller, larger)
}
