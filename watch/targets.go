package watch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

const (
	// targetDelay combines changes of several targets into one read. A leaving
	// target must get no request after 2 s.
	targetDelay = 250 * time.Millisecond
	// lapseAge is the time without an answer of the store after which entries may
	// have lapsed only because they could not be renewed. They lapse after three
	// missed heartbeats, 4.5 s. While the store answers, the last answer is usually at
	// most 1.1 s old.
	lapseAge = 3 * time.Second
	// renewalTime is the time in which targets renew lapsed entries once the store
	// answers again: the 2 s or so that the platform specifies, less the retry
	// pause after which this daemon detected the return. Targets still missing 3 s
	// after the return must not be used.
	renewalTime = 2000 * time.Millisecond
	// sweepInterval is how often lapsed entries are checked for expiry.
	sweepInterval = 50 * time.Millisecond
	// maxCallAge is the age of the last answer of the store to any daemon above which it
	// counts as away. When relays of the targets end, there is time for one call, which
	// does not wait for that of the configuration.
	maxCallAge = 2 * time.Second
	// maxBehind is how long the watch may stay behind the version that other lists
	// have seen before it is restarted.
	maxBehind = time.Second
)

// TargetDecoder decodes the platform's format of a target's entry.
type TargetDecoder interface {
	Target(name string, value []byte) (model.Instance, error)
}

// MaxEntry is the size in bytes above which an entry is not one of a target, a daemon or an
// evacuation. Entries are relayed to all hosts.
const MaxEntry = 16 << 10

// TargetSet holds the targets of all pools at one time. It is immutable.
type TargetSet map[model.PoolID][]*model.Instance

// Targets follows the list of running targets in the store.
type Targets struct {
	*follower
	decoder TargetDecoder
	current atomic.Pointer[TargetSet]
	notify  func(TargetSet)

	stateMu     sync.Mutex
	entries     map[string]*entry
	renewUntil  time.Duration // boot time until which removed entries are kept, since targets may renew them
	listEra     store.Era     // era of the list
	restored    bool          // the next change of the list is the first of a later era
	departed    departures
	newestSeen  store.Version // newest version of the store that any list has seen
	behindSince time.Time     // time since which the watch is behind newestSeen; zero: it is not
	lag         lag
}

// entry is a target and, if its entry in the store was removed, its expiry.
type entry struct {
	target  model.Instance
	expires time.Duration // boot time at which a removed entry is dropped unless it is renewed; 0: not removed
	// heldTo is the boot time to which a list must be complete before a target is used again whose
	// entry was removed in an earlier era. It counts as leaving until then. 0: it is not held.
	heldTo time.Duration
}

// NewTargets returns a Targets that follows the entries of a kind. It calls notify
// with each new set, storeAge for the time since any reachable daemon had an answer
// from the store, and storeAnswers for whether the store answers this daemon. A
// watch alone does not show that: without changes it may wait on a dead connection.
func NewTargets(source Watcher, kind store.Kind, d TargetDecoder, notify func(TargetSet), storeAge func() time.Duration, storeAnswers func() bool, opts ...Option) *Targets {
	t := &Targets{follower: newFollower(source, kind, targetDelay, newOptions(opts)), decoder: d, notify: notify, entries: make(map[string]*entry), departed: make(departures)}
	t.maxValue = MaxEntry
	t.onList, t.onEvents, t.storeAge, t.mayCall, t.storeAnswers = t.replace, t.update, storeAge, t.storeReachable, storeAnswers
	t.onRestore = func() {
		t.StoreReturned()
		t.stateMu.Lock()
		defer t.stateMu.Unlock()
		t.restored = true
	}
	t.current.Store(&TargetSet{})
	return t
}

// Run follows the entries until ctx ends. The error is always nil.
func (t *Targets) Run(ctx context.Context) error {
	go t.sweep(ctx)
	return t.run(ctx)
}

// storeReachable reports whether any daemon has recent answers from the store, or
// the list was never read. Calls of the ConfigFollower detect that the store
// answers again, so the targets need no calls of their own for that.
func (t *Targets) storeReachable() bool { return t.Version() == 0 || t.storeAge() < maxCallAge }

// Set returns the currently known targets.
func (t *Targets) Set() TargetSet { return *t.current.Load() }

// VersionSeen records a version of the store that another list has seen. If the watch
// stays behind it, its connection may be dead, and the watch is restarted.
func (t *Targets) VersionSeen(v store.Version) {
	known := t.Version()
	t.stateMu.Lock()
	defer t.stateMu.Unlock()
	t.newestSeen = max(t.newestSeen, v)
	t.noteLag(t.lag.note(t.failing.Load(), t.sinceBoot()))
	if t.newestSeen <= known {
		t.behindSince = time.Time{}
		return
	}
	if t.behindSince.IsZero() {
		t.behindSince = time.Now()
		return
	}
	if time.Since(t.behindSince) < maxBehind && t.newestSeen.Era() == known.Era() {
		return
	}
	t.behindSince = time.Time{}
	t.restartWatch()
}

// Behind returns for how long this list could not be read while another one was, as of the last
// answer or relay of that one.
func (t *Targets) Behind() time.Duration {
	t.stateMu.Lock()
	defer t.stateMu.Unlock()
	return t.lag.behind
}

// replace applies a complete list. The follower is locked.
func (t *Targets) replace(objects []store.Object) {
	t.stateMu.Lock()
	defer t.stateMu.Unlock()
	t.checkSilence()
	t.listEra = t.version.Era()
	present := make(map[string]bool, len(objects))
	for i := range objects {
		present[objects[i].Name] = t.put(&objects[i])
	}
	for name := range t.entries {
		if !present[name] {
			t.remove(name)
		}
	}
	t.restored = false
	t.publish()
}

// update applies the events of a watch. The follower is locked.
func (t *Targets) update(events []store.Event) {
	t.stateMu.Lock()
	defer t.stateMu.Unlock()
	t.checkSilence()
	t.listEra = t.version.Era()
	for i := range events {
		o := &events[i].Object
		if events[i].Deleted || !t.put(o) {
			t.remove(o.Name)
		}
		if events[i].Deleted && o.Problem == "" {
			t.odd.remove(o.Name)
		}
	}
	t.restored = false
	t.publish()
}

// checkSilence keeps entries that are removed in the next renewalTime until its end,
// so that targets can renew them, if no reachable daemon had an answer from the store
// for lapseAge. Failures of this daemon's calls alone say nothing about the targets.
func (t *Targets) checkSilence() {
	if age := t.storeAge(); age > lapseAge && age < neverCompleteAge {
		t.renewUntil = t.sinceBoot() + renewalTime
	}
}

// StoreReturned is called when the store answers again after it did not answer any
// daemon. Entries that are removed in the next renewalTime are kept until its end, so
// that targets can renew them.
func (t *Targets) StoreReturned() {
	t.stateMu.Lock()
	defer t.stateMu.Unlock()
	t.renewUntil = t.sinceBoot() + renewalTime
	t.log.Info().Dur("renewal", renewalTime).Msg("store reachable again; removed entries are kept until targets could renew them")
}

// put stores an entry and reports whether it could be decoded.
func (t *Targets) put(o *store.Object) bool {
	target, err := t.decoder.Target(o.Name, o.Value)
	if err != nil {
		t.odd.add(t.kind, o, err.Error())
		return false
	}
	t.odd.remove(o.Name)
	e, old := &entry{target: target}, t.entries[o.Name]
	t.departed.check(e, t.listEra, t.sinceBoot())
	if old == nil || old.target.Leaving != e.target.Leaving || old.target.Address != target.Address || old.target.StartedAt != target.StartedAt {
		t.log.Info().Str("target", string(target.ID)).Str("pool", string(target.Pool)).Str("address", target.Address).
			Bool("leaving", e.target.Leaving).Bool("departed", e.target.Leaving && !target.Leaving).Uint64("revision", o.Version.Revision()).Msg("target listed")
	}
	e.target.Revision = uint64(o.Version)
	if old != nil && t.restored && e.sameContent(old) {
		e.target.Revision = old.target.Revision // read again, not written again
	}
	t.entries[o.Name] = e
	return true
}

// sameContent reports whether the entries differ at most in their revision.
func (e *entry) sameContent(other *entry) bool {
	target := e.target
	target.Revision = other.target.Revision
	return target == other.target
}

// remove drops an entry, or keeps it until renewUntil if it may only have lapsed.
func (t *Targets) remove(name string) {
	e := t.entries[name]
	if e == nil {
		return
	}
	if now := t.sinceBoot(); now < t.renewUntil && !e.target.Leaving {
		if e.expires == 0 {
			e.expires = t.renewUntil
			t.log.Info().Str("target", name).Dur("left", t.renewUntil-now).Msg("target kept although its entry lapsed")
		}
		return
	}
	t.drop(name, e)
}

// drop forgets an entry that is not renewed.
func (t *Targets) drop(name string, e *entry) {
	delete(t.entries, name)
	t.departed.add(e, t.listEra, t.sinceBoot())
	t.log.Info().Str("target", name).Msg("target gone")
}

// sweep periodically drops the removed entries that were not renewed in time.
func (t *Targets) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, sweepInterval)
		t.stateMu.Lock()
		changed := false
		for name, e := range t.entries {
			switch now := t.sinceBoot(); {
			case e.expires != 0 && now >= e.expires:
				t.drop(name, e)
				changed = true
			case e.heldTo != 0 && time.Duration(t.completeAt.Load()) >= e.heldTo:
				e.target.Leaving, e.heldTo = false, 0
				delete(t.departed, e.target.ID)
				changed = true
				t.log.Info().Str("target", name).Msg("target is used again, since its entry stayed")
			}
		}
		if changed {
			t.publish()
		}
		t.stateMu.Unlock()
	}
}

// publish builds a new set from the entries and passes it to notify. The caller
// holds t.stateMu.
func (t *Targets) publish() {
	set := make(TargetSet)
	for _, e := range t.entries {
		target := e.target
		set[target.Pool] = append(set[target.Pool], &target)
	}
	t.current.Store(&set)
	t.notify(set)
}
