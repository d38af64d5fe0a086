package entry

import (
	"context"
	"time"

	"rhubarbdrift.example/grade"
	"rhubarbdrift.example/limit"
	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/place"
)

// reports tells the other daemons what happens here.
type reports struct{ node *mesh.Node }

// Customer implements limit.Report.
func (r reports) Customer(id model.CustomerID, asked, admitted uint32) {
	r.node.Note(func(s *mesh.Sum) { s.Customer(id, mesh.Use{Asked: asked, Taken: admitted}) })
}

// Pool implements limit.Report.
func (r reports) Pool(id model.PoolID, requests, retries uint32) {
	r.node.Note(func(s *mesh.Sum) { s.Pool(id, mesh.Use{Asked: requests, Taken: retries}) })
}

// see tells what an exchange showed of a target.
func (r reports) see(id model.TargetID, sight grade.Sight, load float64) {
	var t mesh.Tally
	switch sight {
	case grade.Good:
		t.Good = 1
	case grade.Slow:
		t.Slow = 1
	case grade.Lost:
		t.Lost = 1
	case grade.Bad:
		t.Bad = 1
	}
	if load >= 0 {
		t.Load = 1 + uint32(load)
	}
	r.node.Note(func(s *mesh.Sum) { s.Target(id, t) })
}

// moved tells of requests that were sent to a target, or ended there.
func (r reports) moved(id model.TargetID, sent, ended uint32) {
	r.node.Note(func(s *mesh.Sum) { s.Target(id, mesh.Tally{Sent: sent, Ended: ended}) })
}

// hear takes what other daemons report. Good sights count first, so that a
// target that just began to fail is not excused by them.
func (e *Entry) hear(s *mesh.Sum) {
	now := time.Now()
	for id, t := range s.Targets {
		for _, sight := range []place.Sight{
			{Target: id, Kind: grade.Good, Count: int(t.Good)},
			{Target: id, Kind: grade.Slow, Count: int(t.Slow)},
			{Target: id, Kind: grade.Lost, Count: int(t.Lost)},
			{Target: id, Kind: grade.Bad, Count: int(t.Bad)},
		} {
			if sight.Count > 0 {
				e.field.Others(now, sight)
			}
		}
		e.field.Moves(now, id, int(t.Sent), int(t.Ended))
		if t.Load > 0 {
			e.field.Load(now, id, float64(t.Load-1))
		}
	}
	if c := e.holder.Current(); c != nil {
		for id, u := range s.Customers {
			if customer, ok := c.Customer(id); ok {
				e.limits.Customer(now, customer, limit.Use{Asked: float64(u.Asked), Taken: float64(u.Taken)})
			}
		}
	}
	for id, u := range s.Pools {
		e.limits.Pool(id, limit.Use{Asked: float64(u.Asked), Taken: float64(u.Taken)})
	}
}

// follow keeps the limits at the part of the fleet that this daemon hears of.
func (e *Entry) follow(ctx context.Context) error {
	t := time.NewTicker(partEvery)
	defer t.Stop()
	before := 0.0
	e.limits.Part(time.Now(), limit.Heard{}) // nothing is admitted before the fleet is known
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		known := len(e.hosts.All())
		if known == 0 {
			continue
		}
		part := min(1, float64(e.node.Hosts())/float64(known))
		if part != before {
			e.log.Info().Float64("part", part).Int("known", known).Msg("part of the fleet heard changed")
			before = part
		}
		e.limits.Part(time.Now(), limit.Heard{Part: part, New: min(1, float64(e.node.Fresh())/float64(known))})
		e.joined.Store(true)
	}
}
