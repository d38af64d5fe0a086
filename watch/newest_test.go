package watch

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/store"
)

// newConfigList returns a follower of configurations, whose version is the number of their bytes.
func newConfigList() *ConfigFollower {
	start := time.Now()
	boot := WithClock(func() time.Duration { return time.Since(start) + time.Hour })
	return NewConfigFollower(newScriptedStore(), "config", "main", configDecoder{}, conf.NewHolder(), Observers{}, boot)
}

// configOf returns the configuration with a version.
func configOf(version int) store.Object {
	return store.Object{Name: "main", Value: bytes.Repeat([]byte("x"), version)}
}

// TestConfigOlderInStore guards against neighbours that get an older configuration than that in force.
func TestConfigOlderInStore(t *testing.T) {
	for name, older := range map[string][]store.Object{"older": {configOf(3)}, "none": nil, "odd": {{Name: "main", Problem: "odd"}}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, started := newConfigList(), newConfigList()
				version, objects := inEra(1, 9, configOf(5))
				list(c.follower, version, objects)
				version, objects = inEra(2, 9, older...)
				list(c.follower, version, objects)
				test.Eq(t, 5, c.holder.Current().Version())

				// A host without a copy.
				u := c.Since(0, "new")
				started.ApplyUpdate(&u, 0, started.sinceBoot(), "from")
				must.NotNil(t, started.holder.Current())
				test.Eq(t, 5, started.holder.Current().Version())

				// A host that has read the older copy.
				started = newConfigList()
				list(started.follower, version, objects)
				u = c.Since(version, "read")
				test.SliceEmpty(t, u.Events)
				c.AddNewest(&u, version, "read")
				started.ApplyUpdate(&u, version, started.sinceBoot(), "from")
				must.NotNil(t, started.holder.Current())
				test.Eq(t, 5, started.holder.Current().Version())
				test.Eq(t, c.Newest(), started.Newest())

				// The operator writes again.
				next, objects := inEra(2, 12, configOf(6))
				list(c.follower, next, objects)
				u = c.Since(started.Version(), "read")
				started.ApplyUpdate(&u, started.Version(), started.sinceBoot(), "from")
				test.Eq(t, 6, started.holder.Current().Version())
			})
		})
	}
}

// TestNewestRepeated guards against a configuration in each message to a neighbour that cannot use it.
func TestNewestRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, sent := newConfigList(), 0
		version, objects := inEra(1, 9, configOf(5))
		list(c.follower, version, objects)
		for range 50 {
			var u mesh.ListUpdate
			c.AddNewest(&u, version, "odd")
			sent += len(u.Events)
			time.Sleep(80 * time.Millisecond)
		}
		test.Between(t, 1, sent, 5)
	})
}
