// Package lists follows what the platform's store says: the configuration, the
// running targets and the daemons of the fleet.
//
// A host with a parent in the mesh is told the lists by it, with the age of the
// parent's proof; one without a parent, or with a parent that lost the store,
// watches the store itself. The watch of the configuration is short, because
// each of its answers proves that the newest configuration was known when the
// call was sent; keys may be used only for a few seconds after that. The watch
// of the targets is long, and begun anew when another list shows that the store
// changed without a word here.
//
// An entry that vanished while the store was out of reach may only have lapsed
// because nobody could renew it. It is kept until the targets have had time to
// renew.
//
// # Usage
//
//	c := lists.NewConfig(client, kind, name, decoder, holder, t, lists.WithLog(log))
//	t := lists.NewTargets(client, kind, decoder, notify, age, lists.WithLog(log))
//	go c.Run(ctx)
//	go t.Run(ctx)
//	...
//	if c.Age() > limit { ... } // refuse keyed requests
//	for _, target := range t.Set()[pool] { ... }
package lists
