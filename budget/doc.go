// Package budget accounts for the memory that a process holds for others: request
// bodies, responses and buffers of connections. It decides which reservations fit, which
// callers are cut off while memory is short, and when a refused caller may return. It
// does no I/O and reads no clock.
//
// A part of the limit is kept for small holders, so that a small request never waits
// behind large ones, and another part is kept for responses, so that large bodies that
// arrived cannot keep their own responses from being read.
//
// Minimum rates apply only while the account is short, that is while more than three
// quarters are held. A holder below its rate is evicted then, the largest first. After a
// pause of the process, rates are measured afresh.
//
// # Usage
//
//	a := budget.New(budget.ForMemory(184 << 20))
//	owner := a.NewOwner("10.0.0.7") // one for each connection
//	h := budget.NewHolder(owner, budget.Bodies, interrupt)
//	if wait, ok := h.Reserve(now, length); !ok {
//		// refuse; Retry-After is wait
//	}
//	h.Expect(now, true) // the caller has to send
//	h.Progress(now, n)
//	...
//	h.Release()
package budget
