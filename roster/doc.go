// Package roster runs the cell member of a daemon: it sends the heartbeats,
// reads the platform when the member needs it, keeps the roster of the cell up
// to date and collects the votes that package lease needs.
//
// A host adds itself to the roster once it holds the newest configuration. One of
// the two watching members removes a host that has sent no heartbeat and has been
// missing from the platform's host list for a minute. Each update changes one
// host and requires that an accept quorum of the roster holds the roster and, for a
// removal, the newest configuration. A cell that has lost half of its hosts thus
// shrinks to the others. If fewer hosts than an accept quorum are left (less than 8
// in a roster of 19), the roster cannot change any more: delete the object
// of the cell, and the live hosts join again. Until then they stay fresh by
// reading the platform.
//
// # Usage
//
//	m := cell.NewMember(self, "north-1", incarnation)
//	link := roster.NewLink(pool)
//	defer link.Close()
//	s := roster.NewService(m, platform, link, roster.WithSeeds(seeds), roster.WithReader(feed.ReadVersion))
//	roster.Register(server, s)
//	err := s.Run(ctx)
//
// Voting:
//
//	_, members := s.Roster()
//	n := len(members)
//	if s.CountNoContact(ctx, members) >= model.OutageQuorum(n) { ... } // continue for one period
//	if s.CountEndorsements(ctx, members, shard) >= model.TakeoverQuorum(n) { ... } // take over within one period
package roster
