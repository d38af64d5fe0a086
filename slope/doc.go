// Package slope measures how the costs of the mechanisms of the fleet (memory,
// bytes, platform calls, CPU time) grow with the size of the fleet and of its
// configuration. It runs the production packages in one process on 127.0.0.1, with
// store.Mem in place of the platform. It measures each mechanism at several sizes
// and fits a straight line to the results.
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
// CPU time is that of the whole process. Nothing else should run on the machine
// during a measurement.
package slope
