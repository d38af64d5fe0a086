// Package feed distributes each new version of the configuration to all daemons.
//
// In each cell the two watching members watch the root, fetch changed chunks from
// the platform and send a notice to the cell. The other members pull the chunks
// that they lack from the sender of the notice, in batches of less than a
// megabyte. Heartbeats carry the version, so that a daemon that missed a notice
// pulls from any member with a newer version within a period. A daemon that starts
// during an outage of the platform gets the newest version of its cell in the same
// way.
//
// # Usage
//
//	s := feed.New(holder, member, platform, feed.NewLink(pool))
//	feed.Register(server, s)
//	cells := roster.NewService(member, platform, link, roster.WithReader(s.ReadVersion))
//	err := s.Run(ctx) // beside cells.Run
package feed
