// Package pick chooses the target of a request. One Picker per daemon knows
// the pools, the verdicts on their targets and the requests that this daemon
// has in flight.
//
// Targets of the daemon's own region come first; other regions serve at most
// a tenth of a pool's requests. Of two random targets the one with the fewer
// requests in flight for its limit is chosen. The limit of a target starts at
// this daemon's share of its slots, grows by one after a full round of whole
// answers and is halved when the target sheds load. A target that is new or
// returns from an ejection is drawn rarely at first.
//
// Verdicts are honoured worst first, and only while the other targets keep at
// least the pool's floor of slots. A leaving or draining target receives no
// new work in any case.
//
// # Usage
//
//	p := pick.New(pick.Daemon{Host: "h1", Region: "south", Domain: "south-1"})
//	p.Update(pools, daemons) // on each change of configuration or live hosts
//	p.Apply(verdicts)        // on each verdict set
//	...
//	h, err := p.Pick(pick.Need{Pool: "orders", Deadline: deadline})
//	if fault.Is(err, pick.KindBusy) {
//		<-p.Free("orders") // or refuse: the request did not run
//	}
//	target := h.Target()
//	...
//	h.Done(pick.Whole)
//
// Pick and Done allocate no memory. All methods may be called concurrently.
package pick
