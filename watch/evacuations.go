package watch

import (
	"context"
	"maps"
	"sync"
	"time"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

const (
	// evacuationDelay combines evacuations of several failure domains into one read.
	evacuationDelay = 100 * time.Millisecond
	// maxEvacuationBehind is how long the list may stay behind a version that another list
	// has seen before its watch is restarted: longer than the store holds a watch without
	// changes. A silent watch, and the loss of the only reader right before its restart,
	// which takes the others 2 s to notice, together stay below 5 s.
	maxEvacuationBehind = 2 * time.Second
	// keepEvacuated is how long an evacuation stays in force that is missing in an older copy of
	// the store. The operator cannot have ended it: until then, the store was away.
	keepEvacuated = 10 * time.Second
)

// EvacuationDecoder decodes the platform's format of an evacuation.
type EvacuationDecoder interface {
	// Evacuation returns the failure domain to which no requests are to be sent. Its errors
	// are of package fault.
	Evacuation(name string, value []byte) (model.Domain, error)
}

// Evacuations follows the list of evacuated failure domains in the store.
type Evacuations struct {
	*follower
	decoder EvacuationDecoder
	notify  func(map[model.Domain]bool)

	stateMu  sync.Mutex
	entries  map[string]model.Domain // by name of the entry
	stale    staleness
	lag      lag
	restored bool                     // the next change of the list is the first of a later era
	missing  map[string]time.Duration // boot time until which an entry is kept that an older copy of the store lacks
}

// NewEvacuations returns an Evacuations that follows the entries of a kind. It calls notify
// with each list that was read, also if it is empty or equal to the one before. See
// NewTargets for storeAge and storeAnswers.
func NewEvacuations(source Watcher, kind store.Kind, d EvacuationDecoder, notify func(map[model.Domain]bool), storeAge func() time.Duration, storeAnswers func() bool, opts ...Option) *Evacuations {
	e := &Evacuations{follower: newFollower(source, kind, evacuationDelay, newOptions(opts)), decoder: d, notify: notify, entries: make(map[string]model.Domain), missing: make(map[string]time.Duration)}
	e.maxValue = MaxEntry
	e.onRestore = func() { e.stateMu.Lock(); defer e.stateMu.Unlock(); e.restored = true }
	e.onList, e.onEvents, e.storeAge, e.mayCall, e.storeAnswers = e.replace, e.update, storeAge, e.storeReachable, storeAnswers
	return e
}

// Run follows the evacuations until ctx ends. The error is always nil.
func (e *Evacuations) Run(ctx context.Context) error { return e.run(ctx) }

// dropMissing drops the entries that were kept and not written again in time.
func (e *Evacuations) dropMissing() {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	dropped := false
	for name, until := range e.missing {
		if e.sinceBoot() >= until {
			delete(e.entries, name)
			delete(e.missing, name)
			dropped = true
		}
	}
	if dropped {
		e.publish()
	}
}

// keepMissing keeps an entry for keepEvacuated. The caller holds e.stateMu.
func (e *Evacuations) keepMissing(name string) {
	if _, kept := e.missing[name]; !kept {
		e.missing[name] = e.sinceBoot() + keepEvacuated
		time.AfterFunc(keepEvacuated, e.dropMissing)
		e.log.Warn().Str("entry", name).Dur("kept", keepEvacuated).Msg("evacuation is missing in an older copy of the store; it is kept until it could be written again")
	}
}

// storeReachable reports whether the store is to be called, as for Targets.
func (e *Evacuations) storeReachable() bool { return e.Version() == 0 || e.storeAge() < maxCallAge }

// VersionSeen implements StoreObserver. It restarts the watch of a host that reads the store
// if the list stays behind the version: the watch may wait on a dead connection.
func (e *Evacuations) VersionSeen(v store.Version) {
	known := e.Version()
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	e.noteLag(e.lag.note(e.failing.Load(), e.sinceBoot()))
	if e.stale.exceeds(known, v, maxEvacuationBehind) && e.lastCallOK.Load() {
		e.restartWatch()
	}
}

// Behind is that of Targets, for this list.
func (e *Evacuations) Behind() time.Duration {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	return e.lag.behind
}

// StoreReturned implements StoreObserver. It has no effect: evacuations don't lapse.
func (*Evacuations) StoreReturned() {}

// replace applies a complete list.
func (e *Evacuations) replace(objects []store.Object) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	present := make(map[string]bool, len(objects))
	for i := range objects {
		present[objects[i].Name] = e.put(&objects[i])
	}
	for name := range e.entries {
		switch _, kept := e.missing[name]; {
		case present[name] || kept:
		case e.restored:
			e.keepMissing(name)
		default:
			delete(e.entries, name)
		}
	}
	e.restored = false
	e.publish()
}

// update applies the events of a watch.
func (e *Evacuations) update(events []store.Event) {
	e.stateMu.Lock()
	defer e.stateMu.Unlock()
	for i := range events {
		o := &events[i].Object
		_, known := e.entries[o.Name]
		switch {
		case !events[i].Deleted && e.put(o):
		case events[i].Deleted && known && e.restored:
			e.keepMissing(o.Name)
		default:
			delete(e.entries, o.Name)
			delete(e.missing, o.Name)
		}
		if events[i].Deleted && o.Problem == "" {
			e.odd.remove(o.Name)
		}
	}
	e.restored = false
	e.publish()
}

// put stores an entry and reports whether it could be decoded. One that cannot is logged once.
func (e *Evacuations) put(o *store.Object) bool {
	domain, err := e.decoder.Evacuation(o.Name, o.Value)
	if err != nil {
		e.odd.add(e.kind, o, err.Error())
		return false
	}
	e.odd.remove(o.Name)
	delete(e.missing, o.Name)
	e.entries[o.Name] = domain
	return true
}

// publish passes the evacuated domains to notify. The caller holds e.stateMu.
func (e *Evacuations) publish() {
	domains := make(map[model.Domain]bool, len(e.entries))
	for domain := range maps.Values(e.entries) {
		domains[domain] = true
	}
	e.notify(domains)
}

// staleness measures how long a list has not reached a version of the store that other
// lists have seen. It is not safe for concurrent use.
type staleness struct {
	version store.Version // that the list has not reached; 0: none
	since   time.Time     // when it was seen
}

// exceeds reports whether a list of the known version has not reached an earlier seen one
// for limit, now that v was seen. The measurement begins again then.
func (s *staleness) exceeds(known, v store.Version, limit time.Duration) bool {
	now := time.Now()
	if s.version == 0 || s.version <= known {
		s.version, s.since = v, now
		return false
	}
	if now.Sub(s.since) < limit {
		return false
	}
	s.version = 0
	return true
}

// Observers passes what is detected about the store to several observers.
type Observers []StoreObserver

// VersionSeen implements StoreObserver.
func (o Observers) VersionSeen(v store.Version) {
	for _, observer := range o {
		observer.VersionSeen(v)
	}
}

// StoreReturned implements StoreObserver.
func (o Observers) StoreReturned() {
	for _, observer := range o {
		observer.StoreReturned()
	}
}
