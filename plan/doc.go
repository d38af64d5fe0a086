// Package plan implements configuration changes in two steps: an operator's
// edit becomes a plan, and a confirmed plan is committed.
//
// An edit adds, replaces or removes customers, keys, routes, pools and targets.
// Planner.Plan applies it to the current configuration and returns the resulting changes
// in readable form, with the version that they were computed from. A plan isn't
// stored. It is self-contained, and its id is the digest of its edit and base
// version, so any daemon can confirm it.
//
// Confirm commits the change with a conditional update of the configuration's
// root object. The audit record is committed with the change: a record is valid
// only if it is reachable from the root, so neither exists without the other.
// Confirm returns a conflict if another change was committed since the plan was
// made. It is idempotent: confirming a committed plan again changes nothing.
//
// # Usage
//
//	p := plan.New(store)
//	draft, err := p.Plan(ctx, edit)
//	for _, c := range draft.Changes {
//		fmt.Println(c)
//	}
//	done, err := p.Confirm(ctx, "amina", draft)
package plan
