// Package cell implements the heartbeat protocol of a cell: at most 24 hosts of a
// region that send each other heartbeats, confirm that each other's
// configuration is up to date, and vote while the platform is unavailable.
//
// A daemon serves keyed routes only while it is fresh: within the last six
// seconds, measured from its own send times, it read the newest root from the
// platform, or an outage quorum of its cell's roster (two thirds, including
// itself) confirmed it. A member confirms only hosts whose configuration and
// roster are not older than its own. Once an accept quorum of the roster holds a
// version, no member stays fresh with an older one for more than six seconds,
// because each outage quorum includes a member that holds it.
//
// A member keeps no state over a restart. It confirms again once it has read the
// roster and the newest root from the platform and installed that root, or once an
// outage quorum of the roster has reported to it and none of them a newer
// configuration or roster than its own. It abstains from votes for two periods. A
// member that held an accepted version before its restart therefore never confirms
// without it.
//
// A host must not run two daemons at once: the versions that the first one
// reported would be attributed to the second one.
//
// # Roster changes
//
// The roster is stored as the object cell/<name>. Each update adds or removes one
// host and requires that an accept quorum of the current roster holds that
// roster. Six seconds later no member is fresh with an earlier roster. So all
// fresh members hold the newest roster or the one before it, and each outage
// quorum of one shares a member with each accept quorum of the other.
//
// Two accept quorums of one roster need not share a member. Members with an
// outdated roster may thus see that an accept quorum of that roster holds a version
// while the others, without that version, change the roster several times. A
// version therefore counts as accepted in one of two cases. Either an outage quorum
// holds it; that quorum shares a member with the accept quorum that allowed the
// next roster. Or an accept quorum holds it and the platform still had the same
// roster afterwards. A host that changes the roster later first checks that an
// accept quorum holds the roster (QuorumHolds) and then reads the root, so it sees
// the version. A joining host holds that version itself; a removal requires that an
// accept quorum holds it. After either change an accept quorum still holds the
// version.
//
// # Usage
//
//	m := cell.NewMember(self, "north-1", incarnation)
//	...
//	for _, e := range m.Heartbeats() { // every Period
//		send(e.Address, e.Beat)
//	}
//	m.Handle(beat)              // for each received heartbeat
//	m.NoteRead(sentAt, version) // for each read of the root
//	m.SetVersion(version)       // for each installed configuration
//	...
//	if !m.Fresh() {
//		return stale
//	}
//
// Member is a state machine without goroutines or connections. Package roster
// runs it.
package cell
