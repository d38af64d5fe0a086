package watch

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// slowDecoder takes a while for each configuration, whose version is the number of its bytes.
type slowDecoder struct{ time time.Duration }

func (d slowDecoder) Config(value []byte) (model.ConfigVersion, *model.Intent, error) {
	time.Sleep(d.time)
	return model.ConfigVersion(len(value)), &model.Intent{}, nil
}

// slowHost is a host that follows the configuration and takes a while to decode it.
type slowHost struct {
	*ConfigFollower
	holder *conf.Holder
}

// newSlowHost returns a host with version 5 of the list and of the configuration.
func newSlowHost(t *testing.T, decodeTime time.Duration) slowHost {
	t.Helper()
	start := time.Now()
	boot := WithClock(func() time.Duration { return time.Since(start) + time.Hour })
	events := NewTargets(newScriptedStore(), "targets", jsonDecoder{}, func(TargetSet) {}, func() time.Duration { return 0 }, func() bool { return true })
	holder := conf.NewHolder()
	c := NewConfigFollower(newScriptedStore(), "config", "main", slowDecoder{decodeTime}, holder, events, boot)
	c.ApplyUpdate(&mesh.ListUpdate{Version: 5, Complete: true, Events: []store.Event{configEvent(5)}}, 0, c.sinceBoot(), "parent")
	must.EqOp(t, 5, holder.Current().Version())
	return slowHost{c, holder}
}

func configEvent(version store.Version) store.Event {
	return store.Event{Object: store.Object{Name: "main", Version: version, Value: []byte(strings.Repeat("x", int(version)))}}
}

// TestRelayedBeforeDecoded guards against a configuration that neighbours get only after this
// host has decoded it, and against relays of it that are not sound.
func TestRelayedBeforeDecoded(t *testing.T) {
	const decodeTime, relayAge = time.Second, 100 * time.Millisecond
	unreadable := configEvent(9)
	unreadable.Object.Name = "other"
	unreadable.Object.Value = make([]byte, store.MaxValue+1)
	for name, tt := range map[string]struct {
		update mesh.ListUpdate
		known  store.Version // of the neighbour that asks
		to     model.HostID
		want   string // version and versions of the events
	}{
		"neighbour with the same copy":  {mesh.ListUpdate{Events: []store.Event{configEvent(9)}}, 5, "child", "9 [9]"},
		"neighbour with a newer copy":   {mesh.ListUpdate{Events: []store.Event{configEvent(9)}}, 7, "child", "9 [9]"},
		"neighbour that has it":         {mesh.ListUpdate{Events: []store.Event{configEvent(9)}}, 9, "child", "9 []"},
		"neighbour without a copy":      {mesh.ListUpdate{Events: []store.Event{configEvent(9)}}, 0, "child", "5 [5]"},
		"neighbour that relayed it":     {mesh.ListUpdate{Events: []store.Event{configEvent(9)}}, 5, "parent", "0 []"},
		"changes of another copy":       {mesh.ListUpdate{Complete: true, Events: []store.Event{configEvent(9)}}, 5, "child", "5 []"},
		"entry that cannot be read":     {mesh.ListUpdate{Events: []store.Event{configEvent(9), unreadable}}, 5, "child", "5 []"},
		"neighbour that lost the store": {mesh.ListUpdate{Outdated: true, Events: []store.Event{configEvent(9)}}, 5, "child", "0 []"},
		"old proof":                     {mesh.ListUpdate{Age: model.Millis(maxRelayAge.Milliseconds()), Events: []store.Event{configEvent(9)}}, 5, "child", "5 []"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newSlowHost(t, decodeTime)
				tt.update.Version = 9
				tt.update.Age = max(tt.update.Age, model.Millis(relayAge.Milliseconds()))
				at := h.sinceBoot()
				var applied sync.WaitGroup
				applied.Go(func() { h.ApplyUpdate(&tt.update, 5, at, "parent") })
				time.Sleep(decodeTime / 10)
				u := h.Since(tt.known, tt.to)
				var versions []store.Version
				for _, e := range u.Events {
					versions = append(versions, e.Object.Version)
				}
				test.Eq(t, tt.want, fmt.Sprint(u.Version, versions))
				if len(versions) > 0 && u.Version == 9 {
					test.Eq(t, model.Millis((relayAge+decodeTime/10).Milliseconds())+1, u.Age, test.Sprint("the age counts from the proof, not from the relay"))
				}
				test.EqOp(t, 5, h.Version())
				test.EqOp(t, 5, h.holder.Current().Version())
				applied.Wait()
			})
		})
	}
}

// TestChainOfSlowHosts guards against a large configuration that comes into force too late
// because each of several hosts decodes it before it relays it.
func TestChainOfSlowHosts(t *testing.T) {
	const (
		hosts        = 5
		decodeTime   = 450 * time.Millisecond // 1 MB on a third of a core
		pollInterval = 80 * time.Millisecond
		applyBound   = 2 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		chain := make([]slowHost, hosts)
		for i := range chain {
			chain[i] = newSlowHost(t, decodeTime)
		}
		for i := 1; i < hosts; i++ {
			self, parent := chain[i], chain[i-1]
			go func() {
				for ctx.Err() == nil {
					known, at := self.Version(), self.sinceBoot()
					u := parent.Since(known, model.HostID(fmt.Sprint(i)))
					self.ApplyUpdate(&u, known, at, model.HostID(fmt.Sprint(i-1)))
					sleep(ctx, pollInterval)
				}
			}()
		}
		relay := func(events ...store.Event) {
			chain[0].ApplyUpdate(&mesh.ListUpdate{Version: chain[0].Version() + store.Version(len(events)), Events: events}, chain[0].Version(), chain[0].sinceBoot(), "parent")
		}
		relay()
		time.Sleep(pollInterval)
		start := time.Now()
		relay(configEvent(6))
		last := chain[hosts-1]
		for last.holder.Current().Version() != 6 && time.Since(start) < 2*applyBound {
			time.Sleep(time.Millisecond)
		}
		test.Less(t, applyBound, time.Since(start))
		t.Logf("in force on the last of %d hosts after %s", hosts, time.Since(start))
	})
}
