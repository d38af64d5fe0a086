// Package roster runs the cell member of a daemon: it sends the heartbeats,
// reads the platform when the member needs it, keeps the roster of the cell up
// to date and collects the votes that package lease needs.
//
// A host joins by itself once it holds the newest configuration. A host that
// neither the platform's list nor a heartbeat has shown for a minute is removed
// by one of the two watching members. Each update changes one host, on the base
// of a roster that more than half of its members hold. If half of a roster is
// lost for good, no majority is left to change it: delete the object of the
// cell, and the live hosts join again. Until then they are fresh by reading the
// platform.
//
// # Usage
//
//	m := cell.NewMember(self, "north-1", incarnation)
//	link := roster.NewLink(pool)
//	defer link.Close()
//	s := roster.NewService(m, platform, link, roster.WithSeeds(seeds), roster.WithReader(feed.Read))
//	roster.Register(server, s)
//	err := s.Run(ctx)
//
// The votes:
//
//	_, members := s.Roster()
//	if s.Contact(ctx, members) > len(members)/2 { ... } // continue for one period
//	if s.Endorse(ctx, members, shard) > len(members)/2 { ... } // take over within one period
package roster
