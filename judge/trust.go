package judge

import (
	"math"
	"time"

	"rhubarbdrift.example/cusum"
	"rhubarbdrift.example/model"
)

const (
	// trustMemory is the time constant with which the counts of a reporter decay.
	trustMemory = 5 * time.Second
	// customerMemory is the time constant with which the counts of a customer decay.
	customerMemory = 10 * time.Second
	// reporterLife is the time after its last report after which a reporter no longer
	// counts as live.
	reporterLife = 10 * time.Second
	// minTargets is the number of recently used targets that a reporter needs before it
	// can be distrusted.
	minTargets = 3
	// minElsewhere is the number of failures on other targets that a customer needs
	// before failures are attributed to it.
	minElsewhere = 2
	// maxNoise is the number of failures on other targets within customerMemory that
	// noise alone can cause for a large customer.
	maxNoise = 3.5
	// dominantShare is the share of the failures of a target that one customer must
	// have for them to be attributed to it.
	dominantShare = 0.75
	// evenRateShare is the failure rate of a customer on other targets, as a share of
	// its rate on the target, from which failures are attributed to the customer.
	evenRateShare = 1.0 / 3
	// customerIgnoreTime is how long the failures of a customer are ignored after they
	// were attributed to it.
	customerIgnoreTime = 10 * time.Second
	// maxDistrustedShare is the share of distrusted reporters above which the targets
	// are considered at fault, not the reporters.
	maxDistrustedShare = 1.0 / 3
)

// reporter is the state of one reporting daemon.
type reporter struct {
	host         model.HostID
	domain       int
	run          model.Incarnation
	seq          uint64
	lastReport   time.Time
	targetCounts map[*targetState]*cusum.Counts
	distrusted   bool
}

// observe adds the rows of a report and updates whether the reporter is trusted. A
// reporter that finds most of its targets bad is more likely at fault itself.
func (r *reporter) observe(rows []evidenceRow, now time.Time) {
	f := decay(now.Sub(r.lastReport), trustMemory)
	for _, c := range r.targetCounts {
		c.Scale(f)
	}
	for i := range rows {
		c := r.targetCounts[rows[i].target]
		if c == nil {
			c = new(cusum.Counts)
			r.targetCounts[rows[i].target] = c
		}
		c.N += rows[i].counts[failing].N
		c.Bad += rows[i].counts[failing].Bad + rows[i].counts[slow].Bad
	}
	seen, bad := 0, 0
	for _, c := range r.targetCounts {
		if c.N < 0.3 {
			continue
		}
		seen++
		if c.Bad > 0.3 && c.Bad >= c.N/2 {
			bad++
		}
	}
	r.distrusted = seen >= minTargets && 2*bad > seen
	r.lastReport = now
}

// customer is the state of one customer with recent failures.
type customer struct {
	targets      map[*targetState]float64 // decayed number of failures
	lastDecay    time.Time
	ignoredUntil time.Time // failures are not counted before this time
}

// elsewhere returns the failures of the customer on targets other than s, and the
// answers of these targets. Both leave out the target with most failures, so that two
// bad targets are not attributed to the customer. All is the number of answers of all
// targets.
func (c *customer) elsewhere(s *targetState, all float64) (failures, answers float64) {
	worst, top := s, 0.0
	for other, n := range c.targets {
		if other == s {
			continue
		}
		failures += n
		if n > top {
			worst, top = other, n
		}
	}
	answers = all - s.answers()
	if worst != s {
		answers -= worst.answers()
	}
	return failures - top, answers
}

// customers holds the customers with recent failures.
type customers map[model.CustomerID]*customer

// observe adds the failures of one report. An ignored customer that keeps failing on
// several targets stays ignored.
func (cs customers) observe(rows []evidenceRow, now time.Time) {
	for i := range rows {
		for _, f := range rows[i].failures {
			c := cs[f.Customer]
			if c == nil {
				c = &customer{targets: make(map[*targetState]float64), lastDecay: now}
				cs[f.Customer] = c
			}
			c.decay(now)
			c.targets[rows[i].target] += float64(f.Count)
			if remaining, _ := c.elsewhere(rows[i].target, 0); now.Before(c.ignoredUntil) && remaining > 2*maxNoise {
				c.ignoredUntil = now.Add(customerIgnoreTime)
			}
		}
	}
}

// decay decays the failures and removes targets with hardly any left.
func (c *customer) decay(now time.Time) {
	f := decay(now.Sub(c.lastDecay), customerMemory)
	c.lastDecay = now
	for s, n := range c.targets {
		if n *= f; n < 0.05 {
			delete(c.targets, s)
		} else {
			c.targets[s] = n
		}
	}
}

// culprit returns the customer that caused most failures of the target and fails on at
// least three targets, or nil.
func (cs customers) culprit(s *targetState, all float64, now time.Time) *customer {
	sum := 0.0
	for _, c := range cs {
		c.decay(now)
		sum += c.targets[s]
	}
	for _, c := range cs {
		n := c.targets[s]
		if n <= 0 || n < dominantShare*sum {
			continue
		}
		// Both rates and counts are compared, since targets receive different numbers
		// of requests.
		failures, answers := c.elsewhere(s, all)
		even := failures*s.answers() >= evenRateShare*n*answers
		if failures >= minElsewhere && (even || failures >= max(maxNoise, n/2)) {
			return c
		}
	}
	return nil
}

// forget removes customers whose failures were not updated for 4*customerMemory.
func (cs customers) forget(now time.Time) {
	for id, c := range cs {
		if now.Sub(c.lastDecay) > 4*customerMemory {
			delete(cs, id)
		}
	}
}

// decay returns the factor by which a count with the time constant memory decays within
// d.
func decay(d, memory time.Duration) float64 {
	return math.Exp(-float64(max(0, d)) / float64(memory))
}
