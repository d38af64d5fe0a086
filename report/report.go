// Package report counts the answers that one daemon receives from targets, and defines
// the reports that carry these counts to the judge of the pool.
//
// An answer is slow if it took longer than three times the running median of its route
// in this daemon. Reports are sent once a second, and sooner after a failure or a slow
// answer.
//
// # Usage
//
//	c := report.NewCollector(report.Reporter{Host: "h1", Domain: "south-1"}, run)
//	c.Record(report.Sample{Pool: "orders", Target: "t1", Customer: "acme",
//		Route: "proofs", Kind: report.Complete, Latency: took})
//	...
//	for _, r := range c.Flush() { // once a second, and c.FlushUrgent() on <-c.UrgentC()
//		data, err := r.Encode()
//		...
//	}
package report

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// Kind is the outcome of one request at a target.
type Kind uint8

// The values of Kind.
const (
	// Complete is a complete answer. It is slow or not, depending on its latency.
	Complete Kind = iota
	// Failed is an answer with a failure of the target.
	Failed
	// Broken is an answer that was cut off before its end.
	Broken
	// NoResponse is a request without an answer.
	NoResponse
	// Shed is a refusal because of overload. It is not counted.
	Shed
	// Draining is an answer that announces that the target drains.
	Draining
)

// Sample is the outcome of one request at a target.
type Sample struct {
	Pool     model.PoolID
	Target   model.TargetID
	Customer model.CustomerID // empty on open routes
	Route    model.RouteID
	Kind     Kind
	Latency  time.Duration // only of a complete answer
}

// Reporter identifies the daemon that sends a report.
type Reporter struct {
	Host   model.HostID `cbor:"1,keyasint"`
	Domain model.Domain `cbor:"2,keyasint"`
}

// Report holds the counts of one daemon for one pool since its last report.
type Report struct {
	Pool model.PoolID      `cbor:"1,keyasint"`
	From Reporter          `cbor:"2,keyasint"`
	Run  model.Incarnation `cbor:"3,keyasint,omitempty"`
	Seq  uint64            `cbor:"4,keyasint"` // increases within a run
	Rows []TargetCounts    `cbor:"5,keyasint"`
	// Early marks rows of only good answers that were counted before the judge requested urgent
	// reports. Most of them are from before the failure that made a target suspect.
	Early bool `cbor:"6,keyasint,omitempty"`
}

// TargetCounts holds the counts of one target.
type TargetCounts struct {
	Target     model.TargetID     `cbor:"1,keyasint"`
	Answers    int                `cbor:"2,keyasint,omitempty"` // including failures and missing answers, without draining ones
	Failed     int                `cbor:"3,keyasint,omitempty"`
	Broken     int                `cbor:"4,keyasint,omitempty"`
	NoResponse int                `cbor:"5,keyasint,omitempty"`
	Slow       int                `cbor:"6,keyasint,omitempty"`
	Draining   int                `cbor:"7,keyasint,omitempty"`
	Failures   []CustomerFailures `cbor:"8,keyasint,omitempty"` // by customer
}

// CustomerFailures is the number of failures of one customer.
type CustomerFailures struct {
	Customer model.CustomerID `cbor:"1,keyasint"`
	Count    int              `cbor:"2,keyasint"`
}

// Bad returns the number of failures of all kinds.
func (r *TargetCounts) Bad() int { return r.Failed + r.Broken + r.NoResponse }

// good reports whether the counts hold no evidence against the target.
func (r *TargetCounts) good() bool { return r.Bad()+r.Slow+r.Draining == 0 }

const (
	// maxRows is the maximum length of each list in a report from another daemon.
	maxRows = 4096
	// maxCount is the maximum of each count in such a report.
	maxCount = 1 << 24
)

// Encode encodes the report as CBOR.
func (r *Report) Encode() ([]byte, error) { return cbor.Marshal(r) }

// Decode decodes a report from CBOR and checks it. Its errors have kind
// fault.KindInvalid.
func Decode(data []byte) (*Report, error) {
	r := new(Report)
	if err := cbor.Unmarshal(data, r); err != nil {
		return nil, fault.Wrap(fault.KindInvalid, err, "the report is no valid CBOR", "run the same release on all daemons")
	}
	if err := r.Check(); err != nil {
		return nil, err
	}
	return r, nil
}

// Check returns an error for the first invalid field of the report, or nil.
func (r *Report) Check() error {
	if r.Pool == "" || r.From.Host == "" {
		return invalid("report", "has no pool or no sender")
	}
	if len(r.Rows) > maxRows {
		return invalid("report on pool "+string(r.Pool), fmt.Sprintf("has more than %d rows", maxRows))
	}
	for i := range r.Rows {
		if err := r.Rows[i].check(); err != nil {
			return err
		}
	}
	return nil
}

func (r *TargetCounts) check() error {
	name := "report row of target " + string(r.Target)
	if r.Target == "" || len(r.Failures) > maxRows {
		return invalid(name, fmt.Sprintf("has no target or more than %d tallies", maxRows))
	}
	for _, n := range []int{r.Answers, r.Failed, r.Broken, r.NoResponse, r.Slow, r.Draining} {
		if n < 0 || n > maxCount {
			return invalid(name, "has a count out of range")
		}
	}
	if r.Bad()+r.Slow > r.Answers {
		return invalid(name, "counts more failed and slow answers than answers")
	}
	for _, t := range r.Failures {
		if t.Count < 0 || t.Count > maxCount {
			return invalid("tally of customer "+string(t.Customer), "has a count out of range")
		}
	}
	return nil
}

func invalid(field, problem string) error {
	return fault.Invalid(field, problem, "run the same release on all daemons")
}
