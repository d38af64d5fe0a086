// Package judge decides which targets receive no new work. The Judge of a pool,
// one daemon of each region, pools the reports of all daemons, because one
// daemon alone sees too few answers of a target.
//
// The Judge runs two CUSUM tests per target, on failures and on slowness. Each
// compares the target with the other targets of the pool in the same time, so
// that a customer whose requests fail everywhere or an overloaded pool ejects
// no target. Both tests also run for the daemons of each failure domain alone;
// a target that only they find bad has a path fault and gets a verdict for
// that failure domain. A target with little evidence against it is suspect:
// it is not ejected but receives more of the repeatable requests, which gives
// the evidence sooner.
//
// # Usage
//
//	j := judge.New("h2", run) // on the host judge.Chosen(pool, live)
//	r, err := report.Decode(data)
//	...
//	if j.Handle(r) { // the verdicts changed
//		broadcast(j.Verdicts(r.Pool)) // also once a second
//	}
package judge
