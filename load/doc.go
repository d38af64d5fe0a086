// Package load is an open-loop load tool. Requests start at fixed times,
// whether or not earlier ones have ended, and latency is counted from the
// planned start, so that a stall of the fleet shows in all requests that it
// delayed. Every response is checked: it must be complete, carry the id of its
// own request and have that request's content (see package origin).
//
// # Usage
//
//	report, err := load.Run(ctx, load.Plan{
//		Entries: []string{"127.0.0.1:8080", "127.0.0.1:8081"},
//		Time:    10_000,
//		Customers: []load.Customer{
//			{ID: "north", Key: "k1", Rate: 50, Path: "/lookup", Size: 512},
//			{ID: "south", Key: "k2", Rate: 10, Path: "/payout", Method: "POST"},
//		},
//	})
//	if err != nil {
//		return err
//	}
//	report.Table(os.Stdout)
//
// The tool sends only to addresses in 127.0.0.0/8 and never repeats a
// request. Requests other than GET, HEAD and OPTIONS carry an Idempotency-Key.
package load
