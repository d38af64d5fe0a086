// Package inproc runs cells of daemons in one process for measurements. Each daemon
// runs the production roster, feed, lease and quota owner over TCP connections on
// 127.0.0.1, with store.Mem in place of the platform. The request path to callers
// and targets is left out.
//
// # Usage
//
//	f, err := inproc.NewFleet(ctx, inproc.Shape{Cells: 2, Members: 24, Shards: 64}, inproc.SampleConfig(2000, 200, 400))
//	if err != nil {
//		return err
//	}
//	defer f.Close()
//	start := time.Now()
//	err = f.CommitChange(ctx)
//	took, err := f.WaitInstalled(ctx, start)
package inproc
