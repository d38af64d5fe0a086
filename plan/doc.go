// Package plan turns an operator's edit into a plan and a confirmed plan into
// a configuration change.
//
// An edit adds, replaces or removes customers, keys, routes, pools and targets.
// Planning applies it to the current configuration and gives the resulting
// changes in readable form, with the version that they were computed from.
// Nothing is stored: the plan is self-contained and its id is the digest of
// its base version and edit, so any daemon can confirm it.
//
// Confirming commits the change by a conditional update of the configuration's
// root object. The audit record is written with the change: a record counts
// only if it can be reached from the root, so neither exists without the other.
// Confirming after somebody else's change is a conflict; confirming a plan
// twice finds the first confirmation and does nothing.
//
// # Usage
//
//	p := plan.New(store)
//	draft, err := p.Make(ctx, edit)
//	for _, c := range draft.Changes {
//		fmt.Println(c)
//	}
//	done, err := p.Confirm(ctx, "amina", draft)
package plan
