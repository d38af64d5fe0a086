// Package entry runs one entry host of a fleet whose configuration, targets
// and daemons are listed in a platform's store. The names and formats of the
// platform come from its adapter; see package platform.
//
// # Usage
//
//	e, err := entry.New(settings, adapter, entry.WithLog(log))
//	...
//	err = e.Run(ctx) // until ctx ends; then a planned stop
package entry
