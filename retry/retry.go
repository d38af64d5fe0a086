// Package retry limits how many requests of a pool are sent again, so that
// retries do not overload a failing pool.
//
// # Usage
//
//	b := retry.NewBudget()
//	b.CountRequest(pool)   // for each request
//	if !b.TryTake(pool) {  // before each retry
//		return
//	}
package retry

import (
	"sync"

	"rhubarbdrift.example/model"
)

const (
	// retryShare is the ratio of retries to requests in the long run. It limits a pool
	// in which every request fails to less than 1.2 times its load.
	retryShare = 0.1
	// retryReserve is the maximum number of saved retries of a pool, and the number
	// it starts with.
	retryReserve = 10
	// MaxRetries is the maximum number of retries of one request.
	MaxRetries = 2
)

// Budget limits the retries of each pool to a share of its requests. It is safe
// for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens map[model.PoolID]float64
}

// NewBudget returns a Budget. Each pool starts with its full reserve.
func NewBudget() *Budget {
	return &Budget{tokens: make(map[model.PoolID]float64)}
}

// CountRequest counts the first attempt of a request.
func (b *Budget) CountRequest(id model.PoolID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	available, ok := b.tokens[id]
	if !ok {
		available = retryReserve
	}
	b.tokens[id] = min(available+retryShare, retryReserve)
}

// TryTake takes one retry from the pool's budget and reports whether one was left.
// It returns false for a pool without any request so far.
func (b *Budget) TryTake(id model.PoolID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[id] < 1 {
		return false
	}
	b.tokens[id]--
	return true
}
