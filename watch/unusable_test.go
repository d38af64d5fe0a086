package watch

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// partDecoder decodes configurations of the form "7". Of the form "7?" it only knows the version,
// and of others nothing.
type partDecoder struct{}

func (partDecoder) Config(value []byte) (model.ConfigVersion, *model.Intent, error) {
	number, odd := strings.CutSuffix(string(value), "?")
	version, err := strconv.ParseUint(number, 10, 64)
	switch {
	case err != nil:
		return 0, nil, err
	case odd:
		return model.ConfigVersion(version), nil, errors.New("the field weight is odd")
	default:
		return model.ConfigVersion(version), &model.Intent{}, nil
	}
}

// configChain is a host that reads the store, its child, and the child of that.
type configChain struct {
	log   bytes.Buffer
	hosts [3]*ConfigFollower
	last  store.Version
}

func newConfigChain() *configChain {
	f := new(configChain)
	for i := range f.hosts {
		f.start(i)
	}
	return f
}

// start starts a host without a copy.
func (f *configChain) start(i int) {
	start := time.Now()
	boot := WithClock(func() time.Duration { return time.Since(start) + time.Hour })
	f.hosts[i] = NewConfigFollower(newScriptedStore(), "config", "main", partDecoder{}, conf.NewHolder(), Observers{}, boot, WithLog(zerolog.New(&f.log)))
}

// follow is one round of the hosts: the first reads the list of the store, and each sends it on.
func (f *configChain) follow(listed store.Version, objects ...store.Object) {
	f.last = listed
	list(f.hosts[0].follower, listed, objects)
	for i, host := range f.hosts[1:] {
		parent := f.hosts[i]
		known := host.Version()
		u := parent.Since(known, "child")
		if parent.Newest() > host.Newest() {
			parent.AddNewest(&u, known, model.HostID(strconv.Itoa(i)))
		}
		host.ApplyUpdate(&u, known, host.sinceBoot(), "parent")
	}
}

func mainObject(revision store.Version, value string) store.Object {
	return store.Object{Name: "main", Version: revision, Value: []byte(value)}
}

// TestUnusable guards against a configuration that a host cannot use and that proves the one in
// force to be the newest, so that withdrawn keys work on.
func TestUnusable(t *testing.T) {
	for name, newest := range map[string]store.Object{
		"odd field":   mainObject(20, "6?"),
		"odd version": mainObject(20, "?"),
		"too large":   mainObject(20, strings.Repeat("6", store.MaxValue+1)),
		"odd object":  {Name: "main", Problem: "two names"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newConfigChain()
				f.follow(10, mainObject(10, "5"))
				for range 10 {
					time.Sleep(time.Second)
					f.follow(20, newest)
				}
				for i, host := range f.hosts {
					must.NotNil(t, host.holder.Current(), must.Sprint(i))
					test.Eq(t, 5, host.holder.Current().Version())
					test.Less(t, time.Second, host.ReadAge())
					test.GreaterEq(t, 10*time.Second, host.Age(), test.Sprint(i))
					must.NotNil(t, host.Unusable())
					test.NotEq(t, "", host.Unusable().Problem)
				}
				test.Eq(t, len(f.hosts), strings.Count(f.log.String(), "configuration refused"))

				// A process that starts in this state gets what is in force, and no proof.
				f.start(1)
				for range 3 {
					time.Sleep(time.Second)
					f.follow(21, newest)
				}
				must.NotNil(t, f.hosts[1].holder.Current())
				test.Eq(t, neverCompleteAge, f.hosts[1].Age())
				test.GreaterEq(t, 10*time.Second, f.hosts[2].Age())

				f.follow(30, mainObject(30, "7"))
				for _, host := range f.hosts {
					test.Eq(t, 7, host.holder.Current().Version())
					test.Less(t, time.Second, host.Age())
					test.Nil(t, host.Unusable())
				}
			})
		})
	}
}

// TestUnusableRestored guards against a refused configuration that is forgotten because the store
// came back from a copy without it, and against one that is older than that in force.
func TestUnusableRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigChain()
		f.follow(10, mainObject(10, "5"))
		time.Sleep(time.Second)
		f.follow(20, mainObject(20, "6?"))
		time.Sleep(time.Second)
		second := store.NewVersion(2, 9)
		f.follow(second, mainObject(second, "5"))
		for _, host := range f.hosts {
			test.GreaterEq(t, 2*time.Second, host.Age())
		}
		second = store.NewVersion(2, 12)
		f.follow(second, mainObject(second, "6"))
		for _, host := range f.hosts {
			test.Less(t, time.Second, host.Age())
		}
		f.follow(second+1, mainObject(second+1, "4?"))
		for _, host := range f.hosts {
			test.Less(t, time.Second, host.Age())
			test.Eq(t, 6, host.Newest())
		}
	})
}

// TestUnusableHere guards against a configuration that a host cannot use and that its child, of
// another release, does not get.
func TestUnusableHere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newConfigChain()
		f.hosts[2].decoder = configDecoder{} // version: the number of bytes
		f.follow(10, mainObject(10, "5"))
		time.Sleep(time.Second)
		f.follow(20, mainObject(20, "6?"))
		test.Eq(t, 2, f.hosts[2].Newest())
		test.Less(t, time.Second, f.hosts[2].Age())
		test.False(t, f.hosts[1].NewerElsewhere())
		f.hosts[1].NoteNewest(6)
		test.True(t, f.hosts[1].NewerElsewhere())
		time.Sleep(time.Second)
		test.True(t, f.hosts[1].Outdated(time.Second), test.Sprint("another host can serve by the newest"))
		test.False(t, f.hosts[0].Outdated(time.Second), test.Sprint("no host is known that can"))
	})
}

var _ mesh.NumberedList = (*ConfigFollower)(nil)
