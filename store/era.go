package store

import (
	"fmt"
	"strconv"
	"sync/atomic"

	"rhubarbdrift.example/whole"
)

// Era counts how often the platform's store came back from an older copy of itself. Within an
// era the store loses nothing that it acknowledged and its revisions only rise. With a new era
// they go back and are given out again. A store that names no era is in era 0.
type Era uint32

// Bits of the parts of a Version.
const (
	revisionBits = 44
	eraBits      = 64 - revisionBits

	maxRevision = 1<<revisionBits - 1
	maxEra      = 1<<eraBits - 1
)

// NewVersion returns the version of a revision that the store gave out in an era.
func NewVersion(era Era, revision uint64) Version {
	return Version(era)<<revisionBits | Version(revision&maxRevision)
}

// Era returns the era in which the store gave out the version.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Revision returns the number that the store gave out.
func (v Version) Revision() uint64 { return uint64(v) & maxRevision }

// UnmarshalJSON implements json.Unmarshaler. It accepts each JSON spelling of a whole number.
func (v *Version) UnmarshalJSON(data []byte) error {
	var n whole.Number[uint64]
	err := n.UnmarshalJSON(data)
	*v = Version(n.Value)
	return err
}

// in returns the version of the same revision in an era. It is for versions as a dialect
// decodes them, which are revisions only.
func (v Version) in(era Era) Version { return NewVersion(era, uint64(v)) }

// checkRevision returns an error for a revision that no Version can hold.
func checkRevision(v Version) error {
	if v > maxRevision {
		return fmt.Errorf("the revision %d is above %d", uint64(v), uint64(maxRevision))
	}
	return nil
}

// parseEra decodes the header of an answer that names the era. An absent header is era 0.
func parseEra(value []byte) (Era, error) {
	if len(value) == 0 {
		return 0, nil
	}
	n, err := strconv.ParseUint(string(value), 10, eraBits)
	if err != nil {
		return 0, fmt.Errorf("the era %.40q is not a number up to %d", value, maxEra)
	}
	return Era(n), nil
}

// eraTracker keeps the highest era that any answer named.
type eraTracker struct {
	newest   atomic.Int64 // 0: none, else the era plus one
	onChange func(before, after Era)
}

// observe records the era of an answer and reports whether it is the newest. It calls onChange
// if the era is above that of all earlier answers.
func (t *eraTracker) observe(era Era) bool {
	for {
		newest := t.newest.Load()
		if int64(era)+1 <= newest {
			return int64(era)+1 == newest
		}
		if !t.newest.CompareAndSwap(newest, int64(era)+1) {
			continue
		}
		if newest != 0 {
			t.onChange(Era(newest-1), era)
		}
		return true
	}
}

// outdates reports whether an answer has named an era above that of a version.
func (t *eraTracker) outdates(v Version) bool { return int64(v.Era())+1 < t.newest.Load() }
