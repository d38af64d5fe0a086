// Package pick chooses the target of each request. One Picker per daemon holds
// the pools, the verdicts on their targets and the daemon's requests in flight.
//
// Targets in the daemon's own region are preferred; other regions receive at
// most a tenth of a pool's requests. Of two random targets, the one with fewer
// requests in flight relative to its limit is chosen. A target's limit starts at
// this daemon's share of its slots, grows by one after as many complete responses
// as the limit allows in flight, and is halved when the target sheds load. A
// target that is new or returns after an ejection receives few requests at first.
//
// Verdicts eject targets in order of severity, but only while the other targets
// keep at least the pool's floor of slots. A leaving or draining target receives
// no new requests, even below the floor.
//
// # Usage
//
//	p := pick.New(pick.Daemon{Host: "h1", Region: "south", Domain: "south-1"})
//	p.Update(pools, daemons) // on each change of configuration or live hosts
//	p.ApplyVerdicts(verdicts) // on each verdict set
//	...
//	s, err := p.Pick(pick.Request{Pool: "orders", Deadline: deadline})
//	if fault.Is(err, pick.KindBusy) {
//		<-p.SlotFreed("orders") // or refuse: the request did not run
//	}
//	target := s.Target()
//	...
//	s.Done(pick.Complete)
//
// Pick and Done do not allocate. All methods are safe for concurrent use.
package pick
