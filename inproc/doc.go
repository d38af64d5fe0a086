// Package inproc runs cells of daemons in one process for measurements: the real
// roster, feed, lease and owner of each daemon over real connections on
// 127.0.0.1, on the stand-in platform store.Mem. Callers and targets are left out.
//
// # Usage
//
//	f, err := inproc.NewFleet(ctx, inproc.Shape{Cells: 2, Members: 24, Shards: 64}, inproc.Sample(2000, 200, 400))
//	if err != nil {
//		return err
//	}
//	defer f.Close()
//	start := time.Now()
//	err = f.Change(ctx)
//	took, err := f.Installed(ctx, start)
package inproc
