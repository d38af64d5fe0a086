package judge_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/judge"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/report"
)

// court is a judge with a clock that the test moves.
type court struct {
	*judge.Judge
	now time.Time
}

func newCourt() *court {
	c := &court{now: time.Unix(1000, 0)}
	c.Judge = judge.New("judge", "1", judge.WithClock(func() time.Time { return c.now }), judge.WithSource(rand.NewPCG(1, 1)))
	return c
}

func (c *court) findings() (out []model.Finding) {
	for _, v := range c.Verdicts("p").List {
		out = append(out, v.Finding)
	}
	return out
}

// TestDraining guards against a draining answer that does not reach the other
// daemons at once, or that counts forever.
func TestDraining(t *testing.T) {
	c := newCourt()
	r := &report.Report{Pool: "p", Seq: 1, From: report.Reporter{Host: "h", Domain: "d"}, Rows: []report.Row{{Target: "t", Draining: 1}}}
	must.True(t, c.Handle(r))
	must.False(t, c.Handle(r)) // seen before
	must.Eq(t, []model.Finding{model.FindDraining}, c.findings())
	c.now = c.now.Add(31 * time.Second)
	must.SliceEmpty(t, c.findings())
}

// TestAdopt guards against a new judge that returns all ejected targets at
// once, and against probes that eject or hold a target forever.
func TestAdopt(t *testing.T) {
	c := newCourt()
	c.Adopt(&model.VerdictSet{Pool: "p", Judge: "old", List: []model.Verdict{
		{Target: "t", Finding: model.FindFailing, Severity: 1, Times: 2},
		{Target: "u", Domain: "d", Finding: model.FindSlow, Severity: 0.5, Times: 1},
	}})
	must.Eq(t, []model.Finding{model.FindFailing, model.FindSlow}, c.findings())
	c.Probe("p", "u", true)
	c.Probe("p", "none", false)
	c.now = c.now.Add(4 * time.Second)
	must.Eq(t, []model.Finding{model.FindFailing}, c.findings())
	set := c.Verdicts("p")
	must.EqOp(t, 2, set.List[0].Times)
	must.NoError(t, set.Check())
	for range 200 {
		c.now = c.now.Add(time.Second)
		c.Probe("p", "t", false)
		c.findings()
	}
	must.SliceEmpty(t, c.findings())
}

// TestChosen guards against the loss of one host that moves other pools.
func TestChosen(t *testing.T) {
	live := []model.HostID{"a", "b", "c"}
	first := judge.Chosen("p", live)
	for _, h := range live {
		rest := make([]model.HostID, 0, 2)
		for _, o := range live {
			if o != h {
				rest = append(rest, o)
			}
		}
		must.EqOp(t, first != h, judge.Chosen("p", rest) == first)
	}
	must.EqOp(t, "", judge.Chosen("p", nil))
}
