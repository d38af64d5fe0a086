package proxy

import (
	"sync"
	"time"

	"rhubarbdrift.example/model"
)

const (
	// firstWork and firstBytes are used until a route has had answers.
	firstWork  = 0.3 // seconds
	firstBytes = 5000.0
	// newest is the weight of the newest answer in the averages.
	newest = 0.05
)

// sizes holds the usual time and size of each route's requests.
type sizes struct {
	mu     sync.Mutex
	routes map[model.RouteID]size
}

type size struct{ work, bytes float64 }

func (s *sizes) of(r *model.Route) (work, bytes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.routes[r.ID]
	if !ok {
		return firstWork, firstBytes
	}
	return v.work, v.bytes
}

func (s *sizes) add(r *model.Route, took time.Duration, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		s.routes = make(map[model.RouteID]size)
	}
	v, ok := s.routes[r.ID]
	if !ok {
		v = size{work: firstWork, bytes: firstBytes}
	}
	v.work += newest * (took.Seconds() - v.work)
	v.bytes += newest * (float64(bytes) - v.bytes)
	s.routes[r.ID] = v
}
