package model

import (
	"fmt"

	"rhubarbdrift.example/fault"
)

// Finding is the reason for a verdict.
type Finding string

// The values of Finding.
const (
	// FindingFailing marks a target whose requests fail.
	FindingFailing Finding = "failing"
	// FindingSlow marks a target that is slow compared with the others of its pool.
	FindingSlow Finding = "slow"
	// FindingDraining marks a target that announced its shutdown.
	FindingDraining Finding = "draining"
	// FindingSuspect marks a target with some evidence against it. The target is not
	// ejected; it receives more of the repeatable requests, so that the evidence
	// is decisive sooner.
	FindingSuspect Finding = "suspect"
)

// Verdict is an instruction to daemons about a target: to send it no new requests,
// unless the finding is FindingSuspect.
type Verdict struct {
	Target        TargetID `json:"target"             cbor:"1,keyasint"`
	Domain        Domain   `json:"domain,omitempty"   cbor:"2,keyasint,omitempty"` // failure domain whose daemons it applies to; empty: all daemons
	Finding       Finding  `json:"finding"            cbor:"3,keyasint"`
	Severity      float32  `json:"severity"           cbor:"4,keyasint"`           // larger is worse; 0 to 1
	Answers       int      `json:"answers,omitempty"  cbor:"5,keyasint,omitempty"` // evidence: number of answers
	Bad           int      `json:"bad,omitempty"      cbor:"6,keyasint,omitempty"` // evidence: failed or slow answers
	BaselineShare float32  `json:"base,omitempty"     cbor:"7,keyasint,omitempty"` // evidence: share of bad answers of the other targets
	Score         float32  `json:"score,omitempty"    cbor:"8,keyasint,omitempty"` // evidence: log likelihood ratio
	Ejections     int      `json:"times,omitempty"    cbor:"9,keyasint,omitempty"` // consecutive ejections, which determine the backoff
}

// VerdictSet contains all verdicts of one judge about one pool. A daemon applies
// the set of one judge at a time, never the union of two.
type VerdictSet struct {
	Pool     PoolID      `json:"pool"           cbor:"1,keyasint"`
	Judge    HostID      `json:"judge"          cbor:"2,keyasint"`
	Run      Incarnation `json:"run,omitempty"  cbor:"3,keyasint,omitempty"` // the judge's run; Seq restarts with it
	Seq      uint64      `json:"seq"            cbor:"4,keyasint"`           // increases with each set of a run
	Verdicts []Verdict   `json:"list,omitempty" cbor:"5,keyasint,omitempty"`
}

// maxVerdicts is the largest number of verdicts in a set from another daemon.
const maxVerdicts = 4096

// Check validates the set and returns an error for the first invalid field.
func (s *VerdictSet) Check() error {
	if s.Pool == "" || s.Judge == "" {
		return fault.Invalid("verdict set", "has no pool or no judge", "run the same release on all daemons")
	}
	if len(s.Verdicts) > maxVerdicts {
		return fault.Invalid("verdict set of pool "+string(s.Pool), fmt.Sprintf("has more than %d verdicts", maxVerdicts), "run the same release on all daemons")
	}
	for _, v := range s.Verdicts {
		if err := v.check(); err != nil {
			return err
		}
	}
	return nil
}

func (v *Verdict) check() error {
	if v.Target == "" {
		return fault.Invalid("verdict", "has no target", "run the same release on all daemons")
	}
	switch v.Finding {
	case FindingFailing, FindingSlow, FindingDraining, FindingSuspect:
	default:
		return fault.Invalid(field("verdict", string(v.Target), "finding"), fmt.Sprintf("%q is unknown", v.Finding), "run the same release on all daemons")
	}
	if !(v.Severity >= 0 && v.Severity <= 1) {
		return fault.Invalid(field("verdict", string(v.Target), "severity"), "must be between 0 and 1", "run the same release on all daemons")
	}
	return nil
}
