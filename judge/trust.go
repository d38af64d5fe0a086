package judge

import (
	"math"
	"time"

	"rhubarbdrift.example/cusum"
	"rhubarbdrift.example/model"
)

const (
	// trustMemory is the time in which a reporter's counts decay by 1/e.
	trustMemory = 5 * time.Second
	// customerMemory is the same for the counts of customers.
	customerMemory = 10 * time.Second
	// reporterLife is the time after which a silent reporter is not counted.
	reporterLife = 10 * time.Second
	// leastSpread is the number of targets that a reporter must have used to be
	// left out.
	leastSpread = 3
	// leastElsewhere is the number of a customer's failures on further targets
	// from which they are put down to the customer.
	leastElsewhere = 2
	// mostNoise is the number of failures on further targets, in customerMemory,
	// that noise alone may give a large customer.
	mostNoise = 3.5
	// dominant is the share of a target's failures that one customer must have.
	dominant = 0.75
	// evenRate is the customer's failure rate on further targets, as a part of
	// that on the target, from which it is put down to the customer.
	evenRate = 1.0 / 3
	// customerPause is the time for which a customer's failures are left out.
	customerPause = 10 * time.Second
	// sickShare is the share of reporters above which the targets are at fault
	// and not the reporters.
	sickShare = 1.0 / 3
)

// reporter is what the judge knows of one daemon.
type reporter struct {
	host    model.HostID
	domain  int
	run     model.Incarnation
	seq     uint64
	heard   time.Time
	targets map[*subject]*cusum.Counts
	sick    bool
}

// observe takes a report's rows and decides whether the reporter is trusted:
// one that finds most of its targets bad is more likely at fault itself.
func (r *reporter) observe(rows []evidence, now time.Time) {
	f := decay(now.Sub(r.heard), trustMemory)
	for _, s := range r.targets {
		s.Scale(f)
	}
	for i := range rows {
		s := r.targets[rows[i].on]
		if s == nil {
			s = new(cusum.Counts)
			r.targets[rows[i].on] = s
		}
		s.N += rows[i].row[failing].N
		s.Bad += rows[i].row[failing].Bad + rows[i].row[slow].Bad
	}
	seen, bad := 0, 0
	for _, s := range r.targets {
		if s.N < 0.3 {
			continue
		}
		seen++
		if s.Bad > 0.3 && s.Bad >= s.N/2 {
			bad++
		}
	}
	r.sick = seen >= leastSpread && 2*bad > seen
	r.heard = now
}

// customer is what the judge knows of one customer with failures.
type customer struct {
	targets map[*subject]float64 // decayed failures
	heard   time.Time
	sick    time.Time // failures are left out until then
}

// elsewhere returns the failures on other targets than s and the answers of
// these, both without the worst: a customer that meets two bad targets has few
// of the former. The answers of all targets are given.
func (c *customer) elsewhere(s *subject, all float64) (failures, answers float64) {
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

// customers are those with recent failures.
type customers map[model.CustomerID]*customer

// observe takes the failures of one report.
func (cs customers) observe(rows []evidence, now time.Time) {
	for i := range rows {
		for _, f := range rows[i].failures {
			c := cs[f.Customer]
			if c == nil {
				c = &customer{targets: make(map[*subject]float64), heard: now}
				cs[f.Customer] = c
			}
			c.decay(now)
			c.targets[rows[i].on] += float64(f.Count)
			if all, _ := c.elsewhere(rows[i].on, 0); now.Before(c.sick) && all > 2*mostNoise {
				c.sick = now.Add(customerPause)
			}
		}
	}
}

func (c *customer) decay(now time.Time) {
	f := decay(now.Sub(c.heard), customerMemory)
	c.heard = now
	for s, n := range c.targets {
		if n *= f; n < 0.05 {
			delete(c.targets, s)
		} else {
			c.targets[s] = n
		}
	}
}

// culprit returns the customer that has most of the target's failures and
// fails on three or more targets.
func (cs customers) culprit(s *subject, all float64, now time.Time) *customer {
	sum := 0.0
	for _, c := range cs {
		c.decay(now)
		sum += c.targets[s]
	}
	for _, c := range cs {
		n := c.targets[s]
		if n <= 0 || n < dominant*sum {
			continue
		}
		// Rates are compared as well as counts, because targets receive unequal
		// numbers of requests.
		failures, answers := c.elsewhere(s, all)
		even := failures*s.answers() >= evenRate*n*answers
		if failures >= leastElsewhere && (even || failures >= max(mostNoise, n/2)) {
			return c
		}
	}
	return nil
}

// forget removes customers without recent failures.
func (cs customers) forget(now time.Time) {
	for id, c := range cs {
		if now.Sub(c.heard) > 4*customerMemory {
			delete(cs, id)
		}
	}
}

func decay(d, memory time.Duration) float64 {
	return math.Exp(-float64(max(0, d)) / float64(memory))
}
