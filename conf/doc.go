// Package conf holds the configuration that the fleet runs on: how an intent
// is split into objects of the platform, how a change is committed, and the
// immutable snapshot that daemons consult for every request.
//
// The object conf/root names the version and the digests of all chunks. A
// chunk is an immutable object chunk/<digest>. Customers are spread over 64
// chunks, routes and pools over 8 each, because a large configuration does not
// fit in one object and a small change should not rewrite all of it. The
// conditional update of the root commits a change as a whole.
//
// Versions only increase: a Holder never installs an older snapshot than the
// one that it has.
//
// # Usage
//
// Reading and serving:
//
//	snapshot, at, err := conf.Load(ctx, s)
//	holder := conf.NewHolder()
//	holder.Install(snapshot)
//	...
//	route, ok := holder.Current().Route(host, path)
//
// Changing, by an operator:
//
//	root, chunks, err := conf.Build(intent, snapshot.Version()+1, model.DigestOf(audit), change)
//	_, err = conf.Commit(ctx, s, at, root, chunks, audit)
//	if fault.Is(err, fault.Conflict) { ... } // somebody else committed first: plan again
package conf
