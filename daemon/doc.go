// Package daemon brings the services of one entry host together and runs them.
//
// Services register with a micro-kernel (package kern) under a name and find
// each other by it. Run listens on the addresses of the settings, serves until
// its context ends, and then makes a planned stop: it reports that it is not
// ready, waits for the balancer, finishes all running requests, hands over its
// duties and returns.
//
// # Usage
//
//	d, err := daemon.New(settings, daemon.WithLog(log))
//	if err != nil {
//		return err
//	}
//	return d.Run(ctx)
package daemon
