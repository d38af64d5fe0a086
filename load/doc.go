// Package load is an open-loop load generator. Requests start at planned times,
// whether or not earlier ones have ended, and latency is measured from the planned
// start. This avoids coordinated omission: a stall of the daemons shows in the
// latency of every request that it delayed. Every response is verified: it must be
// complete and have the id and content of its request (see package origin).
//
// # Usage
//
//	report, err := load.Run(ctx, load.Plan{
//		Entries: []string{"127.0.0.1:8080", "127.0.0.1:8081"},
//		Duration: 10_000,
//		Customers: []load.Customer{
//			{ID: "north", Key: "k1", Rate: 50, Path: "/lookup", ResponseSize: 512},
//			{ID: "south", Key: "k2", Rate: 10, Path: "/payout", Method: "POST"},
//		},
//	})
//	if err != nil {
//		return err
//	}
//	report.Table(os.Stdout)
//
// The tool sends only to addresses in 127.0.0.0/8 and never retries a request.
// Requests other than GET, HEAD and OPTIONS carry an Idempotency-Key.
package load
