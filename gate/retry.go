package gate

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
	// maxRetries is the number of times that one request is sent again.
	maxRetries = 2
)

// budget limits the retries of each pool to a share of its requests.
type budget struct {
	mu    sync.Mutex
	pools map[model.PoolID]float64
}

func newBudget() *budget {
	return &budget{pools: make(map[model.PoolID]float64)}
}

// request counts a first attempt.
func (b *budget) request(id model.PoolID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, ok := b.pools[id]
	if !ok {
		left = retryReserve
	}
	b.pools[id] = min(left+retryShare, retryReserve)
}

// retry takes one retry from the budget and reports whether there was one.
func (b *budget) retry(id model.PoolID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pools[id] < 1 {
		return false
	}
	b.pools[id]--
	return true
}
