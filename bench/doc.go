// Package bench measures the overhead that one daemon adds to a request: the
// latency compared with direct calls to the same targets, and the CPU time, with
// configuration tables of the size that the fleet is designed for. It measures
// in real time on loopback, so the figures depend on the machine and its other
// load; the direct calls of the same run are the baseline for both.
//
// The platform stand-in and the load generator run in the measuring process; the
// daemon and the targets are processes of the given program. Direct rounds and
// rounds through the daemon alternate.
//
// # Usage
//
//	report, err := bench.Run(ctx, bench.Plan{
//		Program: "bin/rhubarbdrift",
//		Rates:   []model.Rate{300, 3000},
//		RoundDuration: 5 * time.Second,
//		Rounds:  4,
//	})
//	if err != nil {
//		return err
//	}
//	report.WriteTable(os.Stdout)
//
// With Plan.InProcess the daemon runs in the measuring process, so that it can be
// profiled. The CPU time and the memory of the daemon cannot be separated from those
// of the load generator in this mode and are reported as zero.
package bench
