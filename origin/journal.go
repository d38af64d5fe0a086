package origin

import (
	"sync"
	"time"

	"rhubarbdrift.example/model"
)

// Execution counts the executions of one request. Entries with the same
// idempotency key and different request ids are separate requests of the caller.
type Execution struct {
	Request   string           `json:"request"`
	Key       string           `json:"key,omitempty"` // idempotency key
	Customer  model.CustomerID `json:"customer,omitempty"`
	Method    string           `json:"method"`
	Path      string           `json:"path"`
	At        int64            `json:"at"`      // first start, nanoseconds since 1970
	Started   int              `json:"started"` // executions that started work in a slot
	Completed int              `json:"done"`    // executions that completed their work
}

// Executions is the list that /control/executions returns.
type Executions struct {
	Entries []Execution `json:"entries"`
	Dropped int         `json:"dropped"` // executions not recorded because the journal was full
}

// maxJournalEntries limits the journal's memory to about 200 MB with long ids.
const maxJournalEntries = 1 << 20

// journal records executions in the order of their first start, with one entry
// per idempotency key and request id. It is safe for concurrent use.
type journal struct {
	mu      sync.Mutex
	entries []*Execution
	index   map[string]*Execution
	dropped int
}

// start records the start of an execution and returns its entry, or nil if the
// journal is full.
func (j *journal) start(e Execution) *Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	indexKey := e.Key + "\x00" + e.Request
	entry := j.index[indexKey]
	if entry == nil {
		if len(j.entries) >= maxJournalEntries {
			j.dropped++
			return nil
		}
		entry = &e
		entry.At = time.Now().UnixNano()
		if j.index == nil {
			j.index = make(map[string]*Execution)
		}
		j.index[indexKey] = entry
		j.entries = append(j.entries, entry)
	}
	entry.Started++
	return entry
}

// finish records that an execution completed its work. A nil entry is ignored.
func (j *journal) finish(e *Execution) {
	if e == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	e.Completed++
}

// list returns a copy of the entries.
func (j *journal) list() Executions {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := Executions{Entries: make([]Execution, 0, len(j.entries)), Dropped: j.dropped}
	for _, e := range j.entries {
		out.Entries = append(out.Entries, *e)
	}
	return out
}

// clear removes all entries and resets the count of dropped executions.
func (j *journal) clear() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries, j.index, j.dropped = nil, nil, 0
}
