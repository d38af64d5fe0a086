// Package trend fits least squares lines to costs measured at several sizes and
// prints them as a text table and as an SVG plot.
//
// # Usage
//
//	r := new(trend.Report)
//	s := r.Add("conf snapshot, heap", "customers", "bytes")
//	s.Add(1000, 900_000)
//	s.Add(2000, 1_800_000)
//	s.Fit().Slope // 900 bytes per customer
//	err := r.Print(os.Stdout)
package trend
