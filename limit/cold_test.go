package limit

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestColdPace guards against rates of cold targets whose random deviations exceed the
// tolerance, and against a limit that is not used although the tolerance is large.
func TestColdPace(t *testing.T) {
	for _, c := range []ColdTolerance{{Overshoot: 1}, {Overshoot: 1.5, Slack: 8}, {Overshoot: 1, Slack: 8}, {Overshoot: 3, Slack: 100}} {
		for rate := 0.0; rate < 200; rate += 0.7 {
			pace := c.pace(rate)
			allowed := c.Overshoot*rate + c.Slack
			if pace.kept > MinRate {
				test.LessEq(t, allowed+1e-6, pace.peak+coldDeviations*math.Sqrt(pace.peak), test.Sprintf("%+v %v", c, rate))
			}
			test.LessEq(t, max(rate, MinRate), pace.kept)
			test.GreaterEq(t, pace.kept, pace.peak)
			if c.Slack >= 100 {
				test.Eq(t, max(rate, MinRate), pace.kept)
			}
		}
	}
}

// TestColdAlone guards against a daemon that uses more than its share of a limit while it
// reaches no other, and against one that uses nothing then.
func TestColdAlone(t *testing.T) {
	now := time.Unix(0, 0)
	c := ColdTolerance{Overshoot: 1.5, Slack: 8}
	test.Eq(t, 0, c.NewPacer(now, 4, 0).Allowed(now))
	p := c.NewPacer(now, 4, 1)
	p.SetFleetShare(now, 0.01)
	test.Between(t, 0.01, p.Allowed(now), 4*maxColdPeak*0.01)
	p.Take(now)
	test.Between(t, 0, p.Allowed(now), 0.04)
	test.Between(t, 0.04, p.Allowed(now.Add(3*time.Second)), 4*maxColdPeak*0.01)
}
