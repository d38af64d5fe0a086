package lists

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

const (
	// targetPause joins changes of several targets. A leaving target must get
	// no request after 2 s.
	targetPause = 250 * time.Millisecond
	// lapse is the time without word from the store after which entries may have
	// lapsed only because they could not be renewed. They lapse after three
	// heartbeats, 4.5 s; the usual word is at most 1.1 s old.
	lapse = 3 * time.Second
	// renewal is the time in which targets renew lapsed entries once the store
	// is back: about 2 s by the platform's word, less a retry, after which this
	// daemon noticed. What is still missing 3 s after the return must be unused.
	renewal = 2000 * time.Millisecond
	// sweepEvery is how often lapsed entries are looked at.
	sweepEvery = 50 * time.Millisecond
	// behind is how long the watch may be behind what the other lists saw.
	behind = time.Second
)

// TargetDecoder reads the platform's form of a target's entry.
type TargetDecoder interface {
	Target(name string, value []byte) (model.Instance, error)
}

// Set is the targets of all pools at one time. It is immutable.
type Set map[model.PoolID][]*model.Instance

// Targets keeps the list of running targets.
type Targets struct {
	*follow
	decoder TargetDecoder
	current atomic.Pointer[Set]
	notify  func(Set)

	state   sync.Mutex
	entries map[string]*entry
	doubt   time.Duration // boot time until which vanished entries are kept
	reached store.Version // newest version of the store that any list learned of
	staled  time.Time     // since when the watch is behind; zero: it is not
}

type entry struct {
	target model.Instance
	gone   time.Duration // boot time at which it is dropped unless it is back; 0: it is there
}

// NewTargets follows the entries of a kind. It calls notify with each new set,
// proof for the age of the newest word that any daemon had from the store, and
// path for whether the store answers this one: a watch may wait in vain.
func NewTargets(source Watcher, kind store.Kind, d TargetDecoder, notify func(Set), proof func() time.Duration, path func() bool, list ...Option) *Targets {
	t := &Targets{follow: newFollow(source, kind, targetPause, collect(list)), decoder: d, notify: notify, entries: make(map[string]*entry)}
	t.all, t.some, t.proof, t.may, t.path = t.replace, t.update, proof, t.answers, path
	t.current.Store(&Set{})
	return t
}

// Run follows the entries until ctx ends.
func (t *Targets) Run(ctx context.Context) error {
	go t.sweep(ctx)
	return t.run(ctx)
}

// answers reports whether the store answers somebody, as far as known: the list
// of the configuration finds that out for both.
func (t *Targets) answers() bool { return t.Known() == 0 || t.proof() < urgent }

// Set returns the targets as they are known now.
func (t *Targets) Set() Set { return *t.current.Load() }

// Seen takes a version of the store that another list learned of. If the watch
// stays behind it, its connection may have gone silent, and it is begun anew.
func (t *Targets) Seen(v store.Version) {
	known := t.Known()
	t.state.Lock()
	defer t.state.Unlock()
	t.reached = max(t.reached, v)
	if t.reached <= known {
		t.staled = time.Time{}
		return
	}
	if t.staled.IsZero() {
		t.staled = time.Now()
		return
	}
	if time.Since(t.staled) < behind {
		return
	}
	t.staled = time.Time{}
	t.again()
}

// replace takes a complete list.
func (t *Targets) replace(objects []store.Object) {
	t.state.Lock()
	defer t.state.Unlock()
	t.doubtful()
	there := make(map[string]bool, len(objects))
	for i := range objects {
		there[objects[i].Name] = t.put(&objects[i])
	}
	for name := range t.entries {
		if !there[name] {
			t.remove(name)
		}
	}
	t.publish()
}

// update takes the events of a watch.
func (t *Targets) update(events []store.Event) {
	t.state.Lock()
	defer t.state.Unlock()
	t.doubtful()
	for i := range events {
		o := &events[i].Object
		if events[i].Deleted || !t.put(o) {
			t.remove(o.Name)
		}
	}
	t.publish()
}

// doubtful begins the time of doubt if no daemon that this one hears of had
// word from the store until now. A failure of this daemon's own call says
// nothing about the targets.
func (t *Targets) doubtful() {
	if age := t.proof(); age > lapse && age < never {
		t.doubt = t.boot() + renewal
	}
}

// Returned notes that the store answers again after nobody had word from it.
func (t *Targets) Returned() {
	t.state.Lock()
	defer t.state.Unlock()
	t.doubt = t.boot() + renewal
	t.log.Info().Dur("renewal", renewal).Msg("store is back; targets may renew their entries")
}

// put takes an entry and reports whether it names a target.
func (t *Targets) put(o *store.Object) bool {
	target, err := t.decoder.Target(o.Name, o.Value)
	if err != nil {
		t.log.Warn().Err(err).Str("entry", o.Name).Uint64("revision", uint64(o.Version)).Msg("entry of a target left out")
		return false
	}
	old := t.entries[o.Name]
	if old == nil || old.target.Leaving != target.Leaving || old.target.Address != target.Address || old.target.Born != target.Born {
		t.log.Info().Str("target", string(target.ID)).Str("pool", string(target.Pool)).Str("address", target.Address).
			Bool("leaving", target.Leaving).Uint64("revision", uint64(o.Version)).Msg("target listed")
	}
	t.entries[o.Name] = &entry{target: target}
	return true
}

// remove drops an entry, or keeps it for now if it may only have lapsed.
func (t *Targets) remove(name string) {
	e := t.entries[name]
	if e == nil {
		return
	}
	if now := t.boot(); now < t.doubt && !e.target.Leaving {
		if e.gone == 0 {
			e.gone = t.doubt
			t.log.Info().Str("target", name).Dur("left", t.doubt-now).Msg("target kept although its entry lapsed")
		}
		return
	}
	delete(t.entries, name)
	t.log.Info().Str("target", name).Msg("target gone")
}

// sweep drops the entries that were not renewed in time.
func (t *Targets) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		rest(ctx, sweepEvery)
		t.state.Lock()
		dropped := false
		for name, e := range t.entries {
			if e.gone != 0 && t.boot() >= e.gone {
				delete(t.entries, name)
				dropped = true
				t.log.Info().Str("target", name).Msg("target gone")
			}
		}
		if dropped {
			t.publish()
		}
		t.state.Unlock()
	}
}

func (t *Targets) publish() {
	set := make(Set)
	for _, e := range t.entries {
		target := e.target
		set[target.Pool] = append(set[target.Pool], &target)
	}
	t.current.Store(&set)
	t.notify(set)
}
