// Package cell keeps the hosts of one cell in touch: at most 24 hosts of a
// region that send each other heartbeats, vouch for the freshness of each
// other's configuration and vote while the platform is unavailable.
//
// A daemon serves keyed routes only while it is fresh: within the last six
// seconds, counted from its own send times, it read the newest root from the
// platform, or an outage quorum of its cell's roster (two thirds), itself
// included, vouched for it. A member vouches only for hosts whose configuration
// and roster are not older than its own. Once an accept quorum of the roster
// holds a version, no member stays fresh with an older one for more than six
// seconds, because each outage quorum includes a member that holds it.
//
// A restarted member has forgotten what it held. It vouches again after it has
// the newest root of the platform or the highest version that an outage quorum
// of the roster reports, and it takes part in no vote for two periods. So of the
// members that held an accepted version, none vouches again without it.
//
// A host must not run two daemons at once: the versions that the earlier one
// reported would count for the later one.
//
// # Roster changes
//
// The roster is the object cell/<name>. Every update changes one host, and only
// after an accept quorum of the roster holds it. Six seconds after that no
// member is fresh with an earlier roster, so the members that are fresh hold the
// newest roster or the one before it, and each of their outage quorums shares a
// member with each accept quorum of the other of the two.
//
// Two accept quorums of one roster need not share a member. A part of the cell
// with an outdated roster may thus find an accept quorum of it that holds a
// version while the others, without the version, change the roster several
// times. A version therefore counts as accepted only if an outage quorum holds
// it, which shares a member with the accept quorum that settled the next
// roster, or if the platform still had the roster afterwards. Whoever makes a
// later change reads the root after it found the roster settled. It sees the
// version and either brings it, when it joins, or finds it held by an accept
// quorum, when it removes a host. Both keep an accept quorum with the version.
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
