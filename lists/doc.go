// Package lists follows what the platform's store says: the configuration, the
// running targets and the daemons of the fleet.
//
// Each list is read once and then followed by a watch. The watch of the
// configuration is short, because each of its answers proves that this daemon
// knew the newest configuration when it sent the call; keys may be used only
// for a few seconds after that. The watch of the targets is long; it is begun
// anew when the other one shows that the store changed without a word here.
//
// An entry that vanished while the store was out of reach may only have lapsed
// because nobody could renew it. It is kept until the targets have had time to
// renew.
//
// # Usage
//
//	c := lists.NewConfig(client, decoder, holder, lists.WithLog(log))
//	t := lists.NewTargets(client, decoder, lists.WithLog(log))
//	go c.Run(ctx)
//	go t.Run(ctx)
//	...
//	if c.Age() > limit { ... } // refuse keyed requests
//	for _, target := range t.Pool(id) { ... }
package lists
