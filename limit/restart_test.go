package limit

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/model"
)

// noReports is a Reporter that reports to nobody.
type noReports struct{}

func (noReports) ReportCustomer(model.CustomerID, uint32, uint32) {}
func (noReports) ReportPool(model.PoolID, uint32, uint32)         {}

// admitAtOnce returns how many requests of a customer a set admits at one time.
func admitAtOnce(s *Set, now time.Time, c *model.Customer) int {
	admitted := 0
	for range 1000 {
		if _, ok := s.Admit(now, c); ok {
			admitted++
		}
	}
	return admitted
}

// TestRestartHearsLater guards against a restarted daemon whose buckets are filled for the
// time before it heard of the others, who have used the limit meanwhile.
func TestRestartHearsLater(t *testing.T) {
	const daemons = 6
	customer := &model.Customer{ID: "c", Rate: 30, Burst: 30}
	started := time.Unix(0, 0)
	s := NewSet(started, Allowance{}, testTolerance, noReports{})
	s.SetReachable(started, Reachable{})
	now := started.Add(800 * time.Millisecond) // the others are heard from now on
	s.SetReachable(now, Reachable{Share: 1, NewShare: 1.0 / daemons})
	s.AddRemoteCustomer(now, customer, Usage{Requests: 12, Granted: 2})
	b := New(started, Past{Started: started}, Limit{Rate: 30, Burst: 30}, testTolerance, Reachable{Share: 1})
	test.LessEq(t, 1+b.initialTokens()/daemons, float64(admitAtOnce(s, now, customer)))

	// What comes in while it hears the others counts.
	now = now.Add(5 * time.Second)
	test.Greater(t, 10, admitAtOnce(s, now, customer))
}

// TestFirstRequestLate guards against a daemon that refuses the first requests of a
// customer although it has heard of all others for seconds.
func TestFirstRequestLate(t *testing.T) {
	customer := &model.Customer{ID: "c", Rate: 30, Burst: 30}
	started := time.Unix(0, 0)
	s := NewSet(started, Allowance{}, testTolerance, noReports{})
	s.SetReachable(started, Reachable{})
	s.SetReachable(started.Add(200*time.Millisecond), Reachable{Share: 1, NewShare: 1})
	test.Greater(t, 20, admitAtOnce(s, started.Add(5*time.Second), customer))
}

// TestWindowRestartHearsLater guards against a restarted daemon that admits what the others
// may have used, and against one that refuses all until its window is known.
func TestWindowRestartHearsLater(t *testing.T) {
	const daemons = 6
	customer := &model.Customer{ID: "c", Rate: 30, Burst: 30}
	started := time.Unix(0, 0)
	s := NewSet(started, Allowance{}, testTolerance, noReports{}, WithWindows())
	s.SetReachable(started, Reachable{})
	now := started.Add(800 * time.Millisecond) // the others are heard from now on
	s.SetReachable(now, Reachable{Share: 1, NewShare: 1.0 / daemons})
	s.AddRemoteCustomer(now, customer, Usage{Requests: 12, Granted: 2})
	admitted := admitAtOnce(s, now, customer)
	test.LessEq(t, 38, admitted) // the tolerance
	test.Greater(t, 0, admitted)

	s.Restart(now.Add(time.Minute), 1.0/daemons)
	now = now.Add(time.Minute + 50*time.Millisecond)
	s.SetReachable(now, Reachable{Share: 1})
	test.LessEq(t, 38, admitAtOnce(s, now, customer))
	test.Greater(t, 60, admitAtOnce(s, now.Add(6*time.Second), customer)) // spread, as the demand was high
}

// TestWindowFirstRequestAfterCut guards against a daemon that admits a whole window of a
// customer that it has not seen yet, although the part of the fleet that just returned may
// have used its own share of it; and against one that forgets the whole window because one
// daemon of many returned.
func TestWindowFirstRequestAfterCut(t *testing.T) {
	customer := &model.Customer{ID: "c", Rate: 30, Burst: 30}
	// Half of the fleet used 90 requests evenly in 5 s, of which 54 are in the window after 2 s.
	for cut, allowed := range map[float64][2]int{0.5: {90, 218 - 54}, 0.01: {175, 218}} {
		now := time.Unix(0, 0)
		s := NewSet(now, Allowance{}, testTolerance, noReports{}, WithWindows())
		s.SetReachable(now, Reachable{Share: 1})
		now = now.Add(time.Minute)
		s.SetReachable(now, Reachable{Share: 1 - cut})
		now = now.Add(10 * time.Second)
		s.SetReachable(now, Reachable{Share: 1})
		admitted := 0
		for range 40 { // 2 s
			now = now.Add(50 * time.Millisecond)
			for range 10 {
				if _, ok := s.Admit(now, customer); ok {
					admitted++
				}
			}
		}
		test.Between(t, allowed[0], admitted, allowed[1], test.Sprint(cut))
	}
}

// TestWindowFirstRequestLate guards against a daemon that refuses the first requests of a
// customer although it has heard of all others for the whole window.
func TestWindowFirstRequestLate(t *testing.T) {
	started := time.Unix(0, 0)
	s := NewSet(started, Allowance{}, testTolerance, noReports{}, WithWindows())
	s.SetReachable(started, Reachable{Share: 1, NewShare: 1})
	test.GreaterEq(t, 180, admitAtOnce(s, started.Add(6*time.Second), &model.Customer{ID: "c", Rate: 30, Burst: 30}))
}
