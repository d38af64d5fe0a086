package watch

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/store"
)

// TestDepartedTargets guards against targets that left and are used, and running ones that never are again.
func TestDepartedTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPair(t).child
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		go l.sweep(ctx)
		version, objects := inEra(1, 9, entryOf("left", true), entryOf("lapsed", false), entryOf("stays", false))
		list(l.follower, version, objects)
		version, objects = inEra(1, 10, entryOf("left", true), entryOf("stays", false))
		list(l.follower, version, objects)
		test.Eq(t, "stays", usable(l))
		// In the same era the store is right.
		version, objects = inEra(1, 11, entryOf("left", true), entryOf("lapsed", false))
		list(l.follower, version, objects)
		test.Eq(t, "lapsed", usable(l))
		version, objects = inEra(1, 12, entryOf("left", true), entryOf("stays", false))
		list(l.follower, version, objects)

		restarted := entryOf("left", false)
		restarted.Value = bytes.Replace(restarted.Value, []byte(`"StartedAt":0`), []byte(`"StartedAt":7`), 1)
		version, objects = inEra(2, 9, entryOf("left", false), entryOf("lapsed", false), entryOf("stays", false))
		list(l.follower, version, objects)
		test.Eq(t, "stays", usable(l))
		time.Sleep(holdDeparted / 2)
		l.applyAnswer(store.NewVersion(2, 10), l.sinceBoot(), func() { l.applyEvents([]store.Event{putEvent("lapsed")}, store.NewVersion(2, 10)) })
		test.Eq(t, "stays", usable(l))
		time.Sleep(holdDeparted/2 + 2*sweepInterval)
		test.Eq(t, "stays", usable(l)) // the list may be outdated
		version = l.Version()
		l.applyAnswer(version, l.sinceBoot(), func() { l.applyEvents(nil, version) })
		time.Sleep(2 * sweepInterval)
		test.Eq(t, 2, len(strings.Fields(usable(l)))) // the entry of the one that lapsed is kept by a target that runs
		test.False(t, strings.Contains(usable(l), "left"))
		// A restart under the same name is another target.
		l.applyAnswer(store.NewVersion(2, 11), l.sinceBoot(), func() {
			l.applyEvents([]store.Event{{Object: restarted}}, store.NewVersion(2, 11))
		})
		test.True(t, strings.Contains(usable(l), "left"))
	})
}

// TestRunningMissing guards against targets that are dropped before they could register again.
func TestRunningMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPair(t).child
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		go l.sweep(ctx)
		version, objects := inEra(1, 9, entryOf("a", false), entryOf("left", true))
		list(l.follower, version, objects)
		version, _ = inEra(2, 5)
		list(l.follower, version, nil)
		test.Eq(t, "a", usable(l))
		test.Eq(t, 1, targetCount(l))
		time.Sleep(renewalTime + 2*sweepInterval)
		test.Eq(t, "", usable(l))
	})
}

// TestContentReadAgain guards against an entry that counts as written again when it is only read again.
func TestContentReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPair(t).child
		version, objects := inEra(1, 9, entryOf("a", false))
		list(l.follower, version, objects)
		before := l.Set()["p"][0].Revision
		version, objects = inEra(2, 9, entryOf("a", false))
		list(l.follower, version, objects)
		test.Eq(t, before, l.Set()["p"][0].Revision)
		l.applyAnswer(version+1, l.sinceBoot(), func() {
			l.applyEvents([]store.Event{{Object: store.Object{Name: "a", Version: version + 1, Value: entryOf("a", false).Value}}}, version+1)
		})
		test.NotEq(t, before, l.Set()["p"][0].Revision)
	})
}
