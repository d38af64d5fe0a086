package watch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/store"
)

// TestOutdated guards against a host that serves by an older configuration although it knows of
// a newer one that is due, and against one that refuses requests while nobody has a newer one.
func TestOutdated(t *testing.T) {
	const bound = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		boot := WithClock(func() time.Duration { return time.Since(start) + time.Hour })
		targets := NewTargets(newScriptedStore(), "targets", jsonDecoder{}, func(TargetSet) {}, func() time.Duration { return 0 }, func() bool { return true }, boot)
		c := NewConfigFollower(newScriptedStore(), "config", "main", configDecoder{}, conf.NewHolder(), targets, boot)
		relay := func(version store.Version) {
			c.ApplyUpdate(&mesh.ListUpdate{Version: version, Complete: true, Events: []store.Event{configEvent(version)}}, c.Version(), c.sinceBoot(), "parent")
		}
		relay(5)
		c.NoteNewest(5)
		time.Sleep(2 * bound)
		test.False(t, c.Outdated(bound), test.Sprint("the store is away"))
		relay(5)
		c.NoteNewest(6)
		c.NoteNewest(4)
		time.Sleep(bound)
		test.False(t, c.Outdated(bound), test.Sprint("the newer one may not be due"))
		time.Sleep(time.Millisecond)
		test.True(t, c.Outdated(bound))
		relay(6)
		test.False(t, c.Outdated(bound))
	})
}
