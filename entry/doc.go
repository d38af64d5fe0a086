// Package entry runs one entry host: a proxy that forwards callers' requests to
// targets. The configuration, the targets and the daemons of the fleet are read
// from the platform's store. An adapter defines the names and formats of the
// platform; see package platform.
//
// # Usage
//
//	e, err := entry.New(settings, adapter, entry.WithLog(log))
//	...
//	err = e.Run(ctx) // until ctx ends; then a planned stop
package entry
