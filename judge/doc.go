// Package judge implements outlier detection: it decides which targets are ejected and
// receive no new requests. One daemon of each region is the judge of a pool. It combines
// the reports of all daemons, because one daemon alone sees too few answers of a target.
//
// The Judge runs two CUSUM tests for each target, on failures and on slow answers. Each
// test compares the target with the other targets of the pool over the same time, so
// that neither a customer whose requests fail everywhere nor an overloaded pool ejects a
// target. Both tests also run on the reports of each failure domain alone: a target that
// is bad for one domain only has a network path fault and is ejected for that domain. A
// target with little evidence against it is suspect: it stays in use and receives more
// of the repeatable requests, which gives more evidence sooner.
//
// # Usage
//
//	j := judge.New("h2", run) // on the host judge.SelectJudge(pool, live)
//	r, err := report.Decode(data)
//	...
//	if j.HandleReport(r) { // the verdicts changed
//		broadcast(j.Verdicts(r.Pool)) // also once a second
//	}
package judge
