// Package slope measures how the costs of the fleet's mechanisms grow with the
// size of the fleet and of its configuration. It runs the real packages in one
// process on 127.0.0.1 over the stand-in platform store.Mem, each mechanism at
// three or more sizes, and fits a straight line to the results.
//
// docs/CAPACITY.md derives the costs of a whole fleet from these lines.
//
// # Usage
//
//	report, err := slope.Measure(ctx, slope.Full)
//	if err != nil {
//		return err
//	}
//	report.Print(os.Stdout)
//	err = os.WriteFile("docs/slopes.svg", report.Plot(), 0o600)
//
// Processor time is that of the whole process, so nothing else should run on
// the machine meanwhile.
package slope
