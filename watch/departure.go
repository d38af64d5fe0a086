package watch

import (
	"time"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

const (
	// maxDepartures bounds the departures that are remembered, and departureTime is how long they
	// are if there are as many. The copy from which a store comes back is some seconds old.
	maxDepartures = 4096
	departureTime = time.Minute
	// holdDeparted is how long a target is not used if its entry had been removed and is back in a
	// later era. The entry of one that has ended is removed again within three heartbeats, 4.5 s.
	holdDeparted = 5 * time.Second
)

// departures remembers the targets that left: those whose entry said it, and those whose entry
// was removed. A store that comes back from an older copy lists them as if they ran, until the
// same has been written again. It is not safe for concurrent use.
type departures map[model.TargetID]*departure

// departure is what was known last of an incarnation that left.
type departure struct {
	startedAt int64
	address   string
	leaving   bool          // its entry said that it leaves
	era       store.Era     // in which the store said that it left
	at        time.Duration // boot time
	heldTo    time.Duration // see entry; 0: its entry is not back
}

// add remembers a target that is leaving, or whose entry was removed, in an era.
func (d departures) add(e *entry, era store.Era, now time.Duration) {
	if len(d) >= maxDepartures {
		for id, old := range d {
			if now-old.at >= departureTime {
				delete(d, id)
			}
		}
	}
	if len(d) < maxDepartures {
		d[e.target.ID] = &departure{startedAt: e.target.StartedAt, address: e.target.Address, leaving: e.target.Leaving && e.heldTo == 0, era: era, at: now}
	}
}

// check lets a listed target count as leaving if it left in an earlier era than that of the
// list: for good if its entry said it, since that holds for the incarnation, else until a list
// still has its entry after holdDeparted.
func (d departures) check(e *entry, era store.Era, now time.Duration) {
	if e.target.Leaving {
		d.add(e, era, now)
		return
	}
	old := d[e.target.ID]
	if old == nil {
		return
	}
	if old.era >= era || old.startedAt != e.target.StartedAt || old.address != e.target.Address {
		delete(d, e.target.ID)
		return
	}
	if old.leaving {
		e.target.Leaving = true
		return
	}
	if old.heldTo == 0 {
		old.heldTo = now + holdDeparted
	}
	e.target.Leaving, e.heldTo = true, old.heldTo
}
