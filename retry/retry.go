// Package retry limits how many requests of a pool are sent again, so that a
// failing pool does not see a storm of retries.
//
// # Usage
//
//	b := retry.NewBudget()
//	b.Request(pool)         // for each request
//	if !b.Retry(pool) {     // before each retry
//		return
//	}
package retry

import (
	"sync"

	"rhubarbdrift.example/model"
)

const (
	// retryShare is the share of recent requests that may be sent again. With it
	// a pool in which every request fails sees less than 1.2 times its load.
	retryShare = 0.1
	// retryReserve is the number of retries that a quiet pool may use at once.
	retryReserve = 10
	// Max is the number of times that one request is sent again.
	Max = 2
)

// Budget limits the retries of each pool to a share of its requests.
type Budget struct {
	mu    sync.Mutex
	pools map[model.PoolID]float64
}

// NewBudget returns a budget with its reserve for each pool.
func NewBudget() *Budget {
	return &Budget{pools: make(map[model.PoolID]float64)}
}

// Request counts a first attempt.
func (b *Budget) Request(id model.PoolID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, ok := b.pools[id]
	if !ok {
		left = retryReserve
	}
	b.pools[id] = min(left+retryShare, retryReserve)
}

// Retry takes one retry from the budget and reports whether there was one.
func (b *Budget) Retry(id model.PoolID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pools[id] < 1 {
		return false
	}
	b.pools[id]--
	return true
}
