// Package watch follows the lists of the platform's store: the configuration, the
// running targets and the daemons of the fleet.
//
// A host with a parent in the mesh receives the lists from it, with the time since
// the parent last knew them to be complete. A host without a parent, or whose
// parent cannot reach the store, watches the store itself. The watch of the
// configuration is short, because each answer proves that the newest configuration
// was known when the call was sent; keys may be used only for a few seconds after
// that. The watch of the targets is long. It is restarted when another list shows
// that the store changed and this watch did not return.
//
// Changes are relayed as soon as they have arrived, before this host has decoded them: a
// configuration of the largest size would otherwise be decoded by one host after the other
// on its way.
//
// If the store comes back from an older copy, it holds less than the hosts until the lost
// writes have been repeated. The configuration in force, evacuations and what is known of
// targets that left then outlast the store's list.
//
// An entry that disappeared while the store was unreachable may have lapsed only
// because its target could not renew it. It is kept until the targets have had
// time to renew.
//
// A configuration that cannot be used leaves the one before in force, which then no longer counts as
// the newest: Age goes on from the last proof, while ReadAge is that of the store's state. Unusable
// names the problem.
//
// # Usage
//
//	var c *watch.ConfigFollower
//	age, answers := func() time.Duration { return c.ReadAge() }, func() bool { return c.StoreAnswers() }
//	t := watch.NewTargets(client, kind, decoder, notify, age, answers, watch.WithLog(log))
//	c = watch.NewConfigFollower(client, kind, name, decoder, holder, t, watch.WithLog(log))
//	go c.Run(ctx)
//	go t.Run(ctx)
//	...
//	if c.Age() > limit { ... } // refuse keyed requests
//	for _, target := range t.Set()[pool] { ... }
package watch
