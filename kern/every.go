package kern

import (
	"context"
	"time"
)

// Every calls f at each interval until ctx ends. Calls that take longer than
// the interval leave out the ones missed.
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
