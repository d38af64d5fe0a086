// Package cell keeps the hosts of one cell in touch: at most 24 hosts of a
// region that send each other heartbeats, vouch for the freshness of each
// other's configuration and vote while the platform is unavailable.
//
// A daemon serves keyed routes only while it is fresh: within the last six
// seconds, counted from its own send times, it read the newest root from the
// platform, or more than half of its cell's roster vouched for it. A member
// vouches only for hosts whose configuration and roster are not older than its
// own. Once more than half of the roster holds a version, no member stays
// fresh with an older one for more than six seconds.
//
// A restarted member has forgotten what it held. It vouches again after it has
// the newest root of the platform or the highest version that more than half
// of the roster reports, and it takes part in no vote for two periods.
//
// A host must not run two daemons at once: the versions that the earlier one
// reported would count for the later one.
//
// The roster is the object cell/<name>. Every update changes one host, and
// only after more than half of the roster holds the roster before. So any two
// majorities that can act at the same time share a member.
//
// # Usage
//
//	m := cell.NewMember(self, "north-1", incarnation)
//	...
//	for _, e := range m.Tick() { // every Period
//		send(e.Address, e.Beat)
//	}
//	m.Handle(beat)             // for each heartbeat that arrives
//	m.NoteRead(start, version) // for each read of the root
//	m.SetVersion(version)      // for each installed configuration
//	...
//	if !m.Fresh() {
//		return stale
//	}
//
// Member is a state machine without goroutines and connections. Package roster
// runs it.
package cell
