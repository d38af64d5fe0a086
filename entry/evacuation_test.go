package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/place"
	"rhubarbdrift.example/watch"
)

// TestEvacuationProgress guards against a change of an evacuation that an operator can't
// see in the log, and against lines that are repeated while nothing changes.
func TestEvacuationProgress(t *testing.T) {
	p := evacuationProgress{domains: make(map[model.Domain]*domainProgress), bound: 5 * time.Second}
	now := time.Unix(0, 0)
	update := func(age time.Duration, inFlight int, domains ...model.Domain) []evacuationLine {
		now = now.Add(time.Second)
		s := place.EvacuationState{Known: true, Domains: make(map[model.Domain]bool), InFlight: map[model.Domain]int{"a": inFlight}}
		for _, d := range domains {
			s.Domains[d] = true
		}
		var lines []evacuationLine
		for range 2 { // the same state again has no lines
			lines = append(lines, p.update(now, s, age)...)
		}
		return lines
	}
	test.SliceEmpty(t, update(0, 3))
	test.Eq(t, []evacuationLine{{eventEvacuated, "a", 3, 0}}, update(0, 3, "a"))
	test.Eq(t, []evacuationLine{{eventDrained, "a", 0, time.Second}, {eventEvacuated, "b", 0, 0}, {eventDrained, "b", 0, 0}}, update(0, 0, "a", "b"))
	test.Eq(t, []evacuationLine{{event: eventListLate}}, update(6*time.Second, 1, "a", "b"))
	test.Eq(t, []evacuationLine{{event: eventListCurrent}, {eventDrained, "a", 0, 3 * time.Second}}, update(0, 0, "a", "b"))
	test.Eq(t, []evacuationLine{{eventReturned, "a", 0, 4 * time.Second}}, update(0, 0, "b"))
}

// TestHoldAfterPause guards against a host that was suspended for the whole bound of an
// evacuation and sends requests by its old list as soon as it runs again, and against one
// that refuses requests for good, or where there are no evacuations.
func TestHoldAfterPause(t *testing.T) {
	now := time.Unix(0, 0)
	e := &Entry{settings: &Settings{EvacuationBound: 5 * time.Second}, balancer: place.NewBalancer(place.Location{})}
	e.config = watch.NewConfigFollower(nil, "config", "main", nil, nil, nil) // never had an answer
	exclusion := func() place.Exclusion { return e.balancer.Exclusion(now, &place.Request{Pool: "p"}) }
	e.holdAfterPause(now)
	test.Eq(t, place.NotExcluded, exclusion())
	e.evacuations = new(watch.Evacuations)
	e.holdAfterPause(now)
	test.Eq(t, place.ExcludedByOutdatedList, exclusion())
	now = now.Add(holdTime)
	test.Eq(t, place.NotExcluded, exclusion())
}
