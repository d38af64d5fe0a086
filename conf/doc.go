// Package conf stores the configuration of the fleet on the platform: it splits an
// intent into objects, commits changes, and assembles the immutable snapshot in
// which daemons look up every request.
//
// The object conf/root holds the version and the digests of all chunks. A
// chunk is an immutable object chunk/<digest>. Customers are distributed over 64
// chunks, routes and pools over 8 each, because a large configuration does not
// fit in one object and a small change should not rewrite all of it. The
// conditional update of the root commits a change atomically.
//
// Versions only increase: a Holder never replaces its snapshot by an older one.
//
// # Usage
//
// Reading and serving:
//
//	snapshot, rootVersion, err := conf.Load(ctx, s)
//	holder := conf.NewHolder()
//	holder.Install(snapshot)
//	...
//	route, ok := holder.Current().Route(host, path)
//
// Changing, by an operator:
//
//	root, chunks, err := conf.Build(intent, snapshot.Version()+1, model.DigestOf(audit), changeID)
//	_, err = conf.Commit(ctx, s, rootVersion, root, chunks, audit)
//	if fault.Is(err, fault.KindConflict) { ... } // another change was committed first: plan again
package conf
