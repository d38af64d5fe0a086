// Package feed brings each new version of the configuration to all daemons.
//
// In each cell the two watching members wait for changes of the root, fetch
// what changed from the platform and push a notice to the cell. The others
// pull the chunks that they lack from the sender of the notice, in batches of
// less than a megabyte. Heartbeats carry the version, so that a daemon that
// missed a notice pulls from any member with a newer version within a period.
// The same way leads a daemon that starts during an outage of the platform to
// the newest version in its cell.
//
// # Usage
//
//	s := feed.New(holder, member, platform, feed.NewLink(pool))
//	feed.Register(server, s)
//	cells := roster.NewService(member, platform, link, roster.WithReader(s.Read))
//	err := s.Run(ctx) // beside cells.Run
package feed
