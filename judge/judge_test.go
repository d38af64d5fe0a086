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

// testJudge is a Judge whose clock the test sets.
type testJudge struct {
	*judge.Judge
	now time.Time
}

func newTestJudge() *testJudge {
	j := &testJudge{now: time.Unix(1000, 0)}
	j.Judge = judge.New("judge", "1", judge.WithClock(func() time.Time { return j.now }), judge.WithRandSource(rand.NewPCG(1, 1)))
	return j
}

// findings returns the findings of the verdicts on pool p.
func (j *testJudge) findings() (out []model.Finding) {
	for _, v := range j.Verdicts("p").Verdicts {
		out = append(out, v.Finding)
	}
	return out
}

// TestDraining guards against a draining answer that does not change the verdicts at
// once, or that never expires.
func TestDraining(t *testing.T) {
	j := newTestJudge()
	r := &report.Report{Pool: "p", Seq: 1, From: report.Reporter{Host: "h", Domain: "d"}, Rows: []report.TargetCounts{{Target: "t", Draining: 1}}}
	must.True(t, j.HandleReport(r))
	must.False(t, j.HandleReport(r)) // duplicate
	must.Eq(t, []model.Finding{model.FindingDraining}, j.findings())
	j.now = j.now.Add(31 * time.Second)
	must.SliceEmpty(t, j.findings())
}

// TestAdopt guards against a new judge that returns all ejected targets at once, and
// against probes that eject a target or keep it ejected forever.
func TestAdopt(t *testing.T) {
	j := newTestJudge()
	j.Adopt(&model.VerdictSet{Pool: "p", Judge: "old", Verdicts: []model.Verdict{
		{Target: "t", Finding: model.FindingFailing, Severity: 1, Ejections: 2},
		{Target: "u", Domain: "d", Finding: model.FindingSlow, Severity: 0.5, Ejections: 1},
	}})
	must.Eq(t, []model.Finding{model.FindingFailing, model.FindingSlow}, j.findings())
	j.RecordProbe("p", "u", true)
	j.RecordProbe("p", "none", false)
	j.now = j.now.Add(4 * time.Second)
	must.Eq(t, []model.Finding{model.FindingFailing}, j.findings())
	set := j.Verdicts("p")
	must.EqOp(t, 2, set.Verdicts[0].Ejections)
	must.NoError(t, set.Check())
	for range 200 {
		j.now = j.now.Add(time.Second)
		j.RecordProbe("p", "t", false)
		j.findings()
	}
	must.SliceEmpty(t, j.findings())
}

// TestChosen guards against the loss of one host that moves the pools of other hosts.
func TestChosen(t *testing.T) {
	live := []model.HostID{"a", "b", "c"}
	chosen := judge.SelectJudge("p", live)
	for _, h := range live {
		remaining := make([]model.HostID, 0, 2)
		for _, o := range live {
			if o != h {
				remaining = append(remaining, o)
			}
		}
		must.EqOp(t, chosen != h, judge.SelectJudge("p", remaining) == chosen)
	}
	must.EqOp(t, "", judge.SelectJudge("p", nil))
}
