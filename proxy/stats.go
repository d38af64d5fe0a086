package proxy

import (
	"sync"
	"time"

	"rhubarbdrift.example/model"
)

const (
	// initialSeconds and initialBytes are the averages of a route without responses.
	initialSeconds = 0.3 // seconds
	initialBytes   = 5000.0
	// newestWeight is the weight of the newest response in the moving averages.
	newestWeight = 0.05
)

// requestStats holds the average duration and size of each route's requests. It is
// safe for concurrent use.
type requestStats struct {
	mu     sync.Mutex
	routes map[model.RouteID]routeStat
}

type routeStat struct{ seconds, bytes float64 }

func (s *requestStats) get(r *model.Route) (seconds, bytes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.routes[r.ID]
	if !ok {
		return initialSeconds, initialBytes
	}
	return v.seconds, v.bytes
}

func (s *requestStats) add(r *model.Route, duration time.Duration, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		s.routes = make(map[model.RouteID]routeStat)
	}
	v, ok := s.routes[r.ID]
	if !ok {
		v = routeStat{seconds: initialSeconds, bytes: initialBytes}
	}
	v.seconds += newestWeight * (duration.Seconds() - v.seconds)
	v.bytes += newestWeight * (float64(bytes) - v.bytes)
	s.routes[r.ID] = v
}
