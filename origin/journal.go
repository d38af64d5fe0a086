package origin

import (
	"sync"
	"time"

	"rhubarbdrift.example/model"
)

// Execution counts how often a request was executed. Entries with the same
// idempotency key and different request ids come from different requests of
// the caller.
type Execution struct {
	Request  string           `json:"request"`
	Key      string           `json:"key,omitempty"` // idempotency key
	Customer model.CustomerID `json:"customer,omitempty"`
	Method   string           `json:"method"`
	Path     string           `json:"path"`
	At       int64            `json:"at"`      // first start, nanoseconds since 1970
	Started  int              `json:"started"` // executions that took a slot
	Done     int              `json:"done"`    // executions that were not given up
}

// Executions is the list that /control/executions returns.
type Executions struct {
	Entries []Execution `json:"entries"`
	Dropped int         `json:"dropped"` // executions beyond the largest number of entries
}

// journalSize is the largest number of entries, about 200 MB with long ids.
const journalSize = 1 << 20

// journal records executions in the order of their first start.
type journal struct {
	mu      sync.Mutex
	entries []*Execution
	index   map[string]*Execution
	dropped int
}

// start records the start of an execution and returns its entry, or nil if the journal is full.
func (j *journal) start(e Execution) *Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	name := e.Key + "\x00" + e.Request
	known := j.index[name]
	if known == nil {
		if len(j.entries) >= journalSize {
			j.dropped++
			return nil
		}
		known = &e
		known.At = time.Now().UnixNano()
		if j.index == nil {
			j.index = make(map[string]*Execution)
		}
		j.index[name] = known
		j.entries = append(j.entries, known)
	}
	known.Started++
	return known
}

func (j *journal) done(e *Execution) {
	if e == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	e.Done++
}

func (j *journal) list() Executions {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := Executions{Entries: make([]Execution, 0, len(j.entries)), Dropped: j.dropped}
	for _, e := range j.entries {
		out.Entries = append(out.Entries, *e)
	}
	return out
}

func (j *journal) clear() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries, j.index, j.dropped = nil, nil, 0
}
