package limit

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestWindowCutOff guards against hosts of a small fleet that are cut off one after the
// other, noticed after noticeTime, and use more than the rule while a customer sends five
// times its rate.
func TestWindowCutOff(t *testing.T) {
	l := Limit{Rate: 30, Burst: 30}
	_, rule := perWindow(l)
	for seed := range uint64(3) {
		s := newTreeSim(seed, 6, newWindowAccount, l)
		s.repeats = 2
		s.run(5*l.Rate, 10*time.Second)
		for cut := 1; cut < 6; cut++ {
			h := s.hosts[cut]
			setReachable := func(own, others float64) {
				for i, o := range s.hosts {
					share := others
					if i == cut {
						share = own
					}
					o.account.SetReachable(s.time(), Reachable{Share: share})
				}
				h.up, h.down = usage{}, usage{}
			}
			h.phase = -1 // no exchange
			s.run(5*l.Rate, noticeTime)
			setReachable(1.0/6, 5.0/6)
			s.run(5*l.Rate, noticeTime)
			h.phase = 0
			setReachable(1, 1)
			s.run(5*l.Rate, time.Second)
		}
		test.LessEq(t, rule, s.most(), test.Sprint(seed))
	}
}
