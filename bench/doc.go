// Package bench measures what one daemon adds to a request: latency against
// direct calls to the same targets, and processor time, with configuration
// tables of the size that the fleet is designed for. It measures in real time
// on loopback, so its figures hold for the machine and its other load; the
// direct calls in the same run show both.
//
// The platform stand-in and the load tool run in the measuring process; the
// daemon and the targets are processes of the given program. Direct rounds and
// rounds through the daemon take turns.
//
// # Usage
//
//	report, err := bench.Run(ctx, bench.Plan{
//		Program: "bin/rhubarbdrift",
//		Rates:   []model.Rate{300, 3000},
//		Round:   5 * time.Second,
//		Rounds:  4,
//	})
//	if err != nil {
//		return err
//	}
//	report.Table(os.Stdout)
//
// With Plan.Inside the daemon runs in the measuring process, so that a profile
// of it can be taken; processor time is then not told apart.
package bench
