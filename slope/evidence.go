package slope

import (
	"context"

	"rhubarbdrift.example/inproc"
	"rhubarbdrift.example/judge"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/report"
	"rhubarbdrift.example/trend"
	"rhubarbdrift.example/wire"
)

// The methods of reports and verdict sets, named as in package eject.
const (
	methodReport  = "judge.report"
	methodVerdict = "judge.verdict"
)

// ack is the empty response to a report or a verdict set, as in package eject.
type ack struct{}

// measureEvidence measures the bytes and the CPU time of reports and verdict sets
// over a TCP connection.
func measureEvidence(ctx context.Context, p Plan, r *trend.Report) error {
	j := judge.New("judge", "run")
	conn, err := connect(ctx, func(s *wire.Server) {
		wire.Handle(s, methodReport, func(_ context.Context, q *report.Report) (*ack, error) {
			j.HandleReport(q)
			return new(ack), nil
		})
		wire.Handle(s, methodVerdict, func(context.Context, *model.VerdictSet) (*ack, error) { return new(ack), nil })
	})
	if err != nil {
		return err
	}
	defer conn.stop()
	size := r.Add("judge.report and answer, with HTTP/2", "rows", "bytes")
	cpuPerCall := r.Add("judge.report, processor time of both sides", "rows", "us")
	seq := uint64(0)
	for _, n := range p.ReportRows {
		bytes, startCPU := conn.bytes(), cpuTime()
		for range p.CallsPerSize / 2 {
			seq++
			if _, err := wire.Call[report.Report, ack](ctx, conn.client, methodReport, reportOn(inproc.HostID(1), inproc.PoolID(1), seq, n)); err != nil {
				return err
			}
		}
		size.Add(float64(n), (conn.bytes()-bytes)/float64(p.CallsPerSize/2))
		cpuPerCall.Add(float64(n), (cpuTime()-startCPU)/float64(p.CallsPerSize/2)*1e6)
	}
	size = r.Add("judge.verdict and answer, with HTTP/2", "verdicts", "bytes")
	cpuPerCall = r.Add("judge.verdict, processor time of both sides", "verdicts", "us")
	for _, n := range []int{0, 2, 8, 20} {
		set := &model.VerdictSet{Pool: inproc.PoolID(1), Judge: inproc.HostID(1), Run: requestOrigin.Incarnation, Seq: 1000}
		for i := range n {
			set.Verdicts = append(set.Verdicts, model.Verdict{Target: inproc.TargetID(i), Finding: model.FindingFailing, Severity: 0.9, Answers: 120, Bad: 60, BaselineShare: 0.02, Score: 13.5, Ejections: 1})
		}
		bytes, startCPU := conn.bytes(), cpuTime()
		for range p.CallsPerSize / 2 {
			if _, err := wire.Call[model.VerdictSet, ack](ctx, conn.client, methodVerdict, set); err != nil {
				return err
			}
		}
		size.Add(float64(n), (conn.bytes()-bytes)/float64(p.CallsPerSize/2))
		cpuPerCall.Add(float64(n), (cpuTime()-startCPU)/float64(p.CallsPerSize/2)*1e6)
	}
	return nil
}
