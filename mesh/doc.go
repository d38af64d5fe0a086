// Package mesh tells each daemon what happened at all others: what exchanges
// with targets showed, and how much of their limits customers and pools used.
//
// The daemons form a tree. Each one exchanges messages with one parent, and a
// message over a link holds the sum of what all other links and the host
// itself reported since the last one. In a tree each report reaches each host
// once, and a host sends and receives a few messages a second however large
// the fleet is; only the first host of a region has many children.
//
// The parent is the best host that answers, in an order that is the same
// everywhere, so a lost parent is replaced without a vote. A host that loses
// its part of the tree knows how many hosts it still hears of.
//
// With its answers a parent also hands on what it knows of the store's lists,
// and how old its proof of them is; the child counts that age from the time at
// which it sent its message, so no clocks are compared. Only the first host of
// the first region asks the store.
//
// # Usage
//
//	node := mesh.NewNode(self, time.Now, func(s *mesh.Sum) { ... })
//	mesh.Serve(server, node, lists)
//	runner := mesh.NewRunner(node, lists, pool, hosts, mesh.WithLog(log))
//	go runner.Run(ctx)
//	...
//	node.Note(func(s *mesh.Sum) { s.Target(id, mesh.Tally{Good: 1}) })
package mesh
