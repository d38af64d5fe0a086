package store

import (
	"fmt"
	"strconv"
	"sync/atomic"
)

// Era counts how often the platform's store came back from an older copy of itself. Within an
// era the store loses nothing and its versions only rise. A store that names no era is in era 0.
type Era uint32

// maxEra is the highest era that a Client accepts.
const maxEra Era = 1<<20 - 1

// parseEra decodes the header of an answer that names the era. An absent header is era 0.
func parseEra(value []byte) (Era, error) {
	if len(value) == 0 {
		return 0, nil
	}
	n, err := strconv.ParseUint(string(value), 10, 32)
	if err != nil || Era(n) > maxEra {
		return 0, fmt.Errorf("the era %.40q is not a number up to %d", value, maxEra)
	}
	return Era(n), nil
}

// eraTracker keeps the highest era that any answer named.
type eraTracker struct {
	known    atomic.Bool // an answer has named an era
	newest   atomic.Uint32
	onChange func(before, after Era)
}

// observe records the era of an answer. It calls onChange if the era is above that of all
// earlier answers.
func (t *eraTracker) observe(era Era) {
	for {
		newest := t.newest.Load()
		if uint32(era) < newest || uint32(era) == newest && t.known.Load() {
			return
		}
		if !t.newest.CompareAndSwap(newest, uint32(era)) {
			continue
		}
		if t.known.Swap(true) {
			t.onChange(Era(newest), era)
		}
		return
	}
}
