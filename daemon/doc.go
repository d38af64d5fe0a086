// Package daemon builds the services of one entry host and runs them.
//
// Services are registered by name with a kernel (package kernel), which starts and
// stops them, and look each other up by name. Run listens on the addresses of the
// settings and serves until its context ends. It then makes a planned stop: it
// reports that it is not ready, waits for the load balancer, finishes all running
// requests, releases its leases and returns.
//
// # Usage
//
//	d, err := daemon.New(settings, daemon.WithLog(log))
//	if err != nil {
//		return err
//	}
//	return d.Run(ctx)
package daemon
