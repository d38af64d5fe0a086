// Package mesh aggregates reports between the daemons of a fleet: what
// exchanges with targets showed, and how much of their limits customers and
// pools used.
//
// The daemons form a tree. Each one exchanges messages with one parent, and a
// message over a link holds the sum of what all other links and the host
// itself reported since the previous one. In a tree each report reaches each
// host once, and a host without children sends and receives a few messages a
// second whatever the size of the fleet. Only few hosts have many children; see
// ParentCandidates.
//
// The parent is the best reachable host in an order that is the same
// everywhere, so a lost parent is replaced without an election. A host that is
// cut off from part of the tree still has the number of hosts it is connected to.
//
// A message also relays the lists of the store, with the time since the sender
// last knew each list to be complete. The receiver counts that age from a
// reading of its own clock taken before the message was sent, so clocks are
// never compared. Only the first host of the first region reads from the store
// at all times.
//
// A large update is packed once and sent in pieces, each of which continues what the
// receiver has, whichever host sends it. So neither a timeout nor a lost parent begins a
// transfer again, and the time of one exchange does not depend on the size of the update.
//
// # Usage
//
//	node := mesh.NewNode(self, time.Now, func(s *mesh.Sum) { ... })
//	mesh.RegisterHandler(server, node, lists)
//	runner := mesh.NewRunner(node, lists, pool, hosts, mesh.WithLog(log))
//	go runner.Run(ctx)
//	...
//	node.Report(func(s *mesh.Sum) { s.AddTarget(id, mesh.TargetCounts{Good: 1}) })
package mesh
