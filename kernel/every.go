package kernel

import (
	"context"
	"time"
)

// Every calls f at each interval, first after one interval, until ctx ends, and
// then returns nil. While f runs, at most one tick is kept, so that f runs again at
// once; further ticks are dropped.
func Every(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			f(ctx)
		}
	}
}
