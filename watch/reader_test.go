package watch

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// remoteStore is a store in another region. Each call takes callTime, and its answer is
// that at the middle of it.
type remoteStore struct {
	version store.Version
	events  map[store.Kind][]store.Event
	away    atomic.Bool  // calls fail
	calls   atomic.Int32 // answered calls
}

// callTime is the duration of a call: two ways between regions, and the store's work.
const callTime = 30 * time.Millisecond

func (s *remoteStore) List(context.Context, store.Kind) ([]store.Object, store.Version, error) {
	panic("the lists are relayed")
}

func (s *remoteStore) Poll(ctx context.Context, kind store.Kind, after store.Version) ([]store.Event, store.Version, error) {
	sleep(ctx, callTime/2)
	if s.away.Load() {
		return nil, 0, errors.New("the store is away")
	}
	s.calls.Add(1)
	var events []store.Event
	for _, e := range s.events[kind] {
		if e.Object.Version > after {
			events = append(events, e)
		}
	}
	version := s.version
	sleep(ctx, callTime/2)
	return events, version, ctx.Err()
}

func (s *remoteStore) Watch(ctx context.Context, kind store.Kind, after store.Version) ([]store.Event, store.Version, error) {
	events, version, err := s.Poll(ctx, kind, after)
	if len(events) == 0 && err == nil {
		sleep(ctx, 300*time.Millisecond)
		return s.Poll(ctx, kind, after)
	}
	return events, version, err
}

// configDecoder decodes every configuration as the version with the number of its bytes.
type configDecoder struct{}

func (configDecoder) Config(value []byte) (model.ConfigVersion, *model.Intent, error) {
	return model.ConfigVersion(len(value)), &model.Intent{}, nil
}

// timesAfterLostReader returns the times after a change in the store at which a host uses
// the new configuration, leaves out a target that leaves and knows an evacuation, if the
// first host was lost right after its last proof, from which the change is missing. This
// host had the proof by relay, and its neighbours have no newer one.
func timesAfterLostReader(t *testing.T) (configTime, targetTime, evacuationTime time.Duration) {
	t.Helper()
	var configAt, targetAt, evacuationAt atomic.Int64
	const (
		relayedAfter = 700 * time.Millisecond // age of the last proof when it reaches this host
		end          = 5 * time.Second
	)
	config := func(version store.Version, text string) store.Event {
		return store.Event{Object: store.Object{Name: "main", Value: []byte(text), Version: version}}
	}
	target := func(version store.Version, leaving bool) store.Event {
		o := entryOf("a", leaving)
		o.Version = version
		return store.Event{Object: o}
	}
	s := &remoteStore{version: 9, events: map[store.Kind][]store.Event{"config": {config(8, "12")}, "targets": {target(9, true)},
		"evacuations": {{Object: store.Object{Name: "a", Value: []byte("{}"), Version: 9}}}}}
	start := time.Now()
	clock := WithClock(func() time.Duration { return time.Since(start) + time.Hour })
	holder := conf.NewHolder()
	var follower *ConfigFollower
	targets := NewTargets(s, "targets", jsonDecoder{}, func(set TargetSet) {
		if len(set["p"]) > 0 && set["p"][0].Leaving {
			targetAt.CompareAndSwap(0, int64(time.Since(start)))
		}
	}, func() time.Duration { return follower.Age() }, func() bool { return follower.StoreAnswers() }, clock)
	evacuations := NewEvacuations(s, "evacuations", domainDecoder{}, func(domains map[model.Domain]bool) {
		if domains["a"] {
			evacuationAt.CompareAndSwap(0, int64(time.Since(start)))
		}
	}, func() time.Duration { return follower.Age() }, func() bool { return follower.StoreAnswers() }, clock)
	follower = NewConfigFollower(s, "config", "main", configDecoder{}, holder, Observers{targets, evacuations}, clock)
	holder.Subscribe(func(c *conf.Snapshot) {
		if c.Version() == 2 {
			configAt.Store(int64(time.Since(start)))
		}
	})
	relay := func(u *mesh.ListUpdate, list mesh.List, known store.Version, age time.Duration) {
		u.Version, u.Age = 7, model.Millis(age.Milliseconds())
		list.ApplyUpdate(u, known, time.Since(start)+time.Hour, "parent")
	}
	time.Sleep(relayedAfter)
	relay(&mesh.ListUpdate{Complete: true, Events: []store.Event{config(1, "1")}}, follower, 0, relayedAfter)
	relay(&mesh.ListUpdate{Complete: true, Events: []store.Event{target(2, false)}}, targets, 0, relayedAfter)
	relay(&mesh.ListUpdate{Complete: true}, evacuations, 0, relayedAfter)
	ctx, cancel := context.WithTimeout(t.Context(), end)
	defer func() { cancel(); synctest.Wait() }()
	go func() { _ = follower.Run(ctx) }()
	go func() { _ = targets.Run(ctx) }()
	go func() { _ = evacuations.Run(ctx) }()
	// The parent answers until its own copy is too old to be relayed.
	for age := relayedAfter; age < maxRelayAge; age = time.Since(start) {
		relay(&mesh.ListUpdate{}, follower, 7, age)
		relay(&mesh.ListUpdate{}, targets, 7, age)
		relay(&mesh.ListUpdate{}, evacuations, 7, age)
		time.Sleep(80 * time.Millisecond)
	}
	follower.ApplyUpdate(&mesh.ListUpdate{}, 7, 0, "parent")
	targets.ApplyUpdate(&mesh.ListUpdate{}, 7, 0, "parent")
	evacuations.ApplyUpdate(&mesh.ListUpdate{}, 7, 0, "parent")
	time.Sleep(end - time.Since(start))
	return time.Duration(configAt.Load()), time.Duration(targetAt.Load()), time.Duration(evacuationAt.Load())
}

// TestLateAfterLostReader guards against changes that come too late when the only reader is lost.
func TestLateAfterLostReader(t *testing.T) {
	const bound = 2 * time.Second
	var worstConfig, worstTarget, worstEvacuation time.Duration
	for range 300 {
		synctest.Test(t, func(t *testing.T) {
			configTime, targetTime, evacuationTime := timesAfterLostReader(t)
			test.Greater(t, 0, min(configTime, targetTime, evacuationTime))
			worstConfig, worstTarget, worstEvacuation = max(worstConfig, configTime), max(worstTarget, targetTime), max(worstEvacuation, evacuationTime)
		})
	}
	t.Logf("configuration in force after %s at most, leaving target unused after %s, evacuation known after %s", worstConfig, worstTarget, worstEvacuation)
	test.Less(t, bound, worstConfig)
	test.Less(t, bound, worstTarget)
	test.Less(t, bound, worstEvacuation)
}

// afterOutage runs a host whose neighbour relays the configuration again after the store
// was away for long, and the targets relayDelay later; 0: never. It returns how often the
// host read the targets from the store, and when it knew them.
func afterOutage(t *testing.T, relayDelay time.Duration) (calls int, knownAfter time.Duration) {
	t.Helper()
	const outage = 2 * lapseAge
	var known atomic.Int64
	s := &remoteStore{version: 9, events: map[store.Kind][]store.Event{"targets": {{Object: entryOf("a", true)}}}}
	s.events["targets"][0].Object.Version = 9
	s.away.Store(true)
	start := time.Now()
	boot := func() time.Duration { return time.Since(start) + time.Hour }
	config := newFollower(s, "config", 0, newOptions([]Option{WithClock(boot)}))
	config.onList, config.onEvents = func([]store.Object) {}, func([]store.Event) {}
	targets := NewTargets(s, "targets", jsonDecoder{}, func(set TargetSet) {
		if len(set["p"]) > 0 && set["p"][0].Leaving {
			known.CompareAndSwap(0, int64(time.Since(start)-outage))
		}
	}, config.age, func() bool { return config.lastCallOK.Load() }, WithClock(boot))
	relay := func(list mesh.List, u mesh.ListUpdate, known store.Version) {
		list.ApplyUpdate(&u, known, boot(), "parent")
	}
	relay(config, mesh.ListUpdate{Version: 7, Complete: true}, 0)
	relay(targets, mesh.ListUpdate{Version: 7, Complete: true, Events: []store.Event{{Object: entryOf("a", false)}}}, 0)
	ctx, cancel := context.WithTimeout(t.Context(), outage+4*time.Second)
	defer func() { cancel(); synctest.Wait() }()
	go func() { _ = targets.Run(ctx) }()
	time.Sleep(outage)
	s.away.Store(false)
	for since := time.Duration(0); since < 3*time.Second; since += 80 * time.Millisecond {
		relay(config, mesh.ListUpdate{Version: 9}, config.Version())
		if relayDelay > 0 && since >= relayDelay {
			relay(targets, mesh.ListUpdate{Version: 9, Events: s.events["targets"]}, targets.Version())
		}
		time.Sleep(80 * time.Millisecond)
	}
	return int(s.calls.Load()), time.Duration(known.Load())
}

// TestAllReadAfterOutage guards against all hosts reading all entries when the store returns.
func TestAllReadAfterOutage(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			calls, knownAfter := afterOutage(t, 400*time.Millisecond)
			test.Eq(t, 0, calls)
			test.Between(t, 0, knownAfter, 600*time.Millisecond)
		})
		synctest.Test(t, func(t *testing.T) {
			_, knownAfter := afterOutage(t, 0)
			test.Between(t, 0, knownAfter, 2*time.Second)
		})
	}
}
