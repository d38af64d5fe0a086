package watch

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/store"
)

// inEra returns a version of an era, and the objects of a list with it.
func inEra(era store.Era, revision uint64, objects ...store.Object) (store.Version, []store.Object) {
	for i := range objects {
		objects[i].Version = store.NewVersion(era, revision)
	}
	return store.NewVersion(era, revision), objects
}

// list applies a complete list that was read from the store.
func list(f *follower, version store.Version, objects []store.Object) {
	for i := range objects {
		f.prepare(&objects[i])
	}
	f.applyAnswer(version, f.sinceBoot(), func() { f.replaceList(objects, version) })
}

// usable returns the names of the targets that are listed and may be used.
func usable(l *Targets) string {
	var names []string
	for _, target := range l.Set()["p"] {
		if !target.Leaving {
			names = append(names, string(target.ID))
		}
	}
	return strings.Join(names, " ")
}

// TestRestoredRelay guards against a list of an earlier era that counts as newer, or as the same.
func TestRestoredRelay(t *testing.T) {
	for name, revision := range map[string]uint64{"lower": 7, "same": 9, "higher": 12} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPair(t)
				version, objects := inEra(1, 9, entryOf("a", false))
				list(p.parent.follower, version, objects)
				p.relay()
				must.Eq(t, "a", usable(p.child))
				restored, other := inEra(2, revision, entryOf("b", false))

				// The child knows first: the parent's copy must not replace its own.
				list(p.child.follower, restored, other)
				time.Sleep(renewalTime)
				p.relay()
				test.Eq(t, restored, p.child.Version())
				u := p.child.Since(p.parent.Version(), "other")
				p.parent.ApplyOffer(&u, p.parent.Version(), p.parent.sinceBoot(), "child")
				test.Eq(t, restored, p.parent.Version())

				// The parent knows first.
				again, third := inEra(3, revision, entryOf("c", false))
				list(p.parent.follower, again, third)
				p.relay()
				test.Eq(t, again, p.child.Version())
				_, listed := p.child.entries["c"]
				test.True(t, listed)
			})
		})
	}
}
