package watch

import (
	"context"
	"errors"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"rhubarbdrift.example/clock"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

const (
	// minRetry is the pause after a failed call. It doubles with each failure up to
	// maxRetry. Each call costs the platform, and keys are refused after some
	// seconds without an answer.
	minRetry = 150 * time.Millisecond
	maxRetry = 600 * time.Millisecond
	// minOtherRetry and maxOtherRetry are the same for a host that is not the first
	// of all that it can reach, in the order of package mesh. It calls only to detect
	// whether the store still answers some host. Hosts of a higher rank call more rarely,
	// see retryPause: at the store's return, those that call get the whole change at once.
	minOtherRetry = 600 * time.Millisecond
	maxOtherRetry = 2400 * time.Millisecond
	// retryRanks is the rank from which the pause is at least twice as long.
	retryRanks = 8
)

// Watcher is the part of the store's client that lists need.
type Watcher interface {
	List(ctx context.Context, kind store.Kind) ([]store.Object, store.Version, error)
	Watch(ctx context.Context, kind store.Kind, after store.Version) ([]store.Event, store.Version, error)
	// Poll is like Watch but does not wait for a change.
	Poll(ctx context.Context, kind store.Kind, after store.Version) ([]store.Event, store.Version, error)
}

// Option sets an optional property of a list.
type Option func(*options)

type options struct {
	log      zerolog.Logger
	oddCount tally.Counter // entries that were left out because they could not be read
	// applyTime is the time from the last proof that an older configuration was the newest
	// until the next one was in force: at least that since its acknowledgement.
	applyTime tally.Histogram
	usable    tally.Gauge // 0: the newest configuration cannot be used
	// outdatedLists is the scope of the gauges that tell which lists are behind.
	outdatedLists tally.Scope
	sinceBoot     func() time.Duration
}

// WithLog sets the logger.
func WithLog(l zerolog.Logger) Option { return func(o *options) { o.log = l } }

// WithMeter sets the scope in which metrics are registered.
func WithMeter(s tally.Scope) Option {
	return func(o *options) {
		o.oddCount = s.SubScope("store").Counter("odd_entries")
		o.outdatedLists = s.SubScope("lists")
		o.applyTime = s.SubScope("config").Histogram("apply_time", applyBuckets)
		o.usable = s.SubScope("config").Gauge("usable")
	}
}

// WithClock replaces the clock, by default clock.SinceBoot. It must count the time during which
// the machine is suspended.
func WithClock(sinceBoot func() time.Duration) Option {
	return func(o *options) { o.sinceBoot = sinceBoot }
}

// applyBuckets are the bounds of the histogram of the time until a configuration is in force.
var applyBuckets = tally.DurationBuckets{100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second,
	1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second}

// newOptions returns the defaults with the options applied.
func newOptions(opts []Option) options {
	o := options{log: zerolog.Nop(), oddCount: tally.NoopScope.Counter("odd"), applyTime: tally.NoopScope.Histogram("apply_time", applyBuckets), usable: tally.NoopScope.Gauge("usable"), outdatedLists: tally.NoopScope, sinceBoot: clock.SinceBoot}
	for _, set := range opts {
		set(&o)
	}
	return o
}

const (
	// relayTimeout is the time after a relay during which this daemon does not call
	// the store itself: several messages.
	relayTimeout = time.Second
	// maxRelayAge is the age from which a list is no longer relayed and daemons
	// begin to call the store themselves, those of the lowest ranks first, so that
	// the first answer can be relayed to the others: from one fallbackStep to the next,
	// twice as many call. While the neighbours reach the store the age stays below 1.1 s.
	// A change must be in force after 2 s, also if the first host lost the store just before it.
	maxRelayAge  = 1300 * time.Millisecond
	fallbackStep = 75 * time.Millisecond
	// pieceTimeout is the time after a piece of an update during which this daemon waits for the
	// next one: that of an exchange between regions.
	pieceTimeout = 500 * time.Millisecond
	// startWait is the time that a new daemon waits for a relay of the lists:
	// several messages. A fleet whose hosts all start at once needs longer, and its
	// hosts read the lists from the store. startPoll is the time between two checks.
	startWait = 150 * time.Millisecond
	startPoll = 5 * time.Millisecond
	// returnWait and returnSpread bound the wait for a relay when the store answers again
	// after most entries may have changed. An answer then holds all of them, and those to
	// all hosts of a region at once take seconds on the link between regions.
	returnWait   = 600 * time.Millisecond
	returnSpread = 600 * time.Millisecond
	// relayCheckInterval is how often a daemon that relies on a relay, or has no
	// reason to call the store, checks whether that still holds.
	relayCheckInterval = 50 * time.Millisecond
	// maxRemoved is the number of removed entries that are kept for neighbours.
	maxRemoved = 1000
)

// follower keeps a copy of one kind of objects, a list, up to date, from the relays of
// a neighbour or by watching the store.
type follower struct {
	options
	source       Watcher
	kind         store.Kind
	maxValue     int                                         // size in bytes above which an entry is not read
	delay        time.Duration                               // wait after changes, so that one call reads several
	prepare      func(*store.Object)                         // decodes an entry that is about to be applied, without f.mu
	onList       func([]store.Object)                        // applies a complete list
	onEvents     func([]store.Event)                         // applies changes
	beforeApply  func()                                      // called before an answer is applied, or a relay if the list is older than lapseAge
	afterApply   func()                                      // called after an answer or a relay was applied
	onRestore    func()                                      // called before the first answer or relay of a later era is applied
	onOdd        func(o *store.Object, listed store.Version) // called for each entry that cannot be read, with the version of the list
	retain       func()                                      // called after the records were changed, with f.mu
	storeAge     func() (age time.Duration)                  // time since any list knew the store's state
	mayCall      func() bool                                 // whether to call the store now
	storeAnswers func() bool                                 // whether the store answers this daemon on another list

	mu           sync.Mutex
	version      store.Version
	relayedBy    model.HostID // neighbour that relayed the list; empty: read from the store
	records      map[string]record
	floor        store.Version // version from which on records holds all removals
	relist       bool          // the next call reads the complete list
	removedCount int           // number of records of removed entries
	odd          oddEntries    // entries that cannot be read
	arrived      *arrival      // changes that are being prepared, for relays to neighbours; nil: none

	failures   int           // consecutive failed calls
	losses     int           // consecutive watches that could not be continued
	completeAt atomic.Int64  // boot time at which the list was known to be complete; 0: never
	lastRelay  atomic.Int64  // boot time of the last relay from a neighbour; 0: none
	lastPiece  atomic.Int64  // boot time of the last piece of an update from a neighbour; 0: none
	lastCallOK atomic.Bool   // the store answered this daemon's last call; false while relayed
	failing    atomic.Bool   // the last call failed, and no neighbour has relayed the list since
	late       atomic.Bool   // the list is behind another one by more than MaxLag
	first      atomic.Bool   // this daemon is the first of all that it can reach
	rank       atomic.Int64  // number of daemons of the failure domain that precede this one
	restart    chan struct{} // restarts the running watch
}

// record is the last event of one entry, for relays to neighbours.
type record struct {
	event         store.Event
	updateVersion store.Version // of the answer or relay that contained it
}

// newFollower returns a follower whose callbacks the caller may replace before run.
func newFollower(source Watcher, kind store.Kind, delay time.Duration, o options) *follower {
	f := &follower{options: o, source: source, kind: kind, maxValue: store.MaxValue, odd: oddEntries{options: o}, delay: delay, restart: make(chan struct{}, 1),
		prepare: func(*store.Object) {}, beforeApply: func() {}, afterApply: func() {}, onRestore: func() {}, onOdd: func(*store.Object, store.Version) {}, retain: func() {}, records: make(map[string]record)}
	f.storeAge = f.age
	f.mayCall, f.storeAnswers = f.always, f.always
	return f
}

// always is the default of mayCall and storeAnswers.
func (*follower) always() bool { return true }

// run keeps the list up to date until ctx ends: by relays while they keep it
// complete, else by calls to the store. The error is always nil.
func (f *follower) run(ctx context.Context) error {
	f.awaitRelay(ctx)
	lapsed := false   // the store was away for so long that most entries may have changed
	unrelayed := true // no neighbour relayed the list at the last check; at the start, the store is called without a pause
	for ctx.Err() == nil {
		if f.relayed() || f.receiving() {
			f.failures, f.losses = 0, 0
			f.lastCallOK.Store(false)
			unrelayed = false
			sleep(ctx, relayCheckInterval)
			continue
		}
		if !unrelayed && !f.first.Load() {
			unrelayed = true
			sleep(ctx, f.fallbackPause())
			continue
		}
		if !f.mayCall() {
			lapsed = lapsed || f.storeAge() > lapseAge
			sleep(ctx, relayCheckInterval)
			continue
		}
		if lapsed && !f.storeAnswers() {
			lapsed = false
			f.awaitReturnRelay(ctx, f.hasRelay)
			continue
		}
		lapsed = false
		changed, err := f.step(ctx)
		switch {
		case errors.Is(err, store.ErrRestored):
			if !f.first.Load() {
				f.awaitReturnRelay(ctx, func() bool { return !f.mustList() })
			}
		case err != nil && ctx.Err() == nil:
			f.recordFailure(err)
			sleep(ctx, f.retryPause())
		case changed:
			sleep(ctx, jitter(f.delay))
		}
	}
	return nil
}

// awaitRelay waits up to startWait for a relay of the list before the store is
// called, unless this daemon is the first.
func (f *follower) awaitRelay(ctx context.Context) {
	end := f.sinceBoot() + startWait
	for ctx.Err() == nil && f.sinceBoot() < end && !f.first.Load() && f.lastRelay.Load() == 0 {
		sleep(ctx, startPoll)
	}
}

// awaitReturnRelay waits, after the store was away for long or came back from an older copy,
// until a neighbour relays the list, or for returnWait and up to returnSpread more. The
// neighbour that relayed the news that the store answers is about to receive the list itself.
func (f *follower) awaitReturnRelay(ctx context.Context, relayed func() bool) {
	end := f.sinceBoot() + returnWait + rand.N(returnSpread)
	for ctx.Err() == nil && f.sinceBoot() < end && !relayed() {
		sleep(ctx, startPoll)
	}
}

// relayed reports whether a neighbour's relays keep this list complete.
func (f *follower) relayed() bool {
	return !f.first.Load() && f.hasRelay() && f.storeAge() < maxRelayAge
}

// hasRelay reports whether a neighbour relayed the list within relayTimeout.
func (f *follower) hasRelay() bool {
	lastRelay := f.lastRelay.Load()
	return lastRelay != 0 && f.sinceBoot()-time.Duration(lastRelay) < relayTimeout
}

// receiving reports whether a neighbour is sending an update. The store's answer would be larger,
// and would take the same way.
func (f *follower) receiving() bool {
	lastPiece := f.lastPiece.Load()
	return lastPiece != 0 && !f.first.Load() && f.sinceBoot()-time.Duration(lastPiece) < pieceTimeout
}

// Receiving implements mesh.ReceivingList.
func (f *follower) Receiving() { f.lastPiece.Store(int64(f.sinceBoot())) }

// fallbackPause returns the pause before the first call after relays have ended.
func (f *follower) fallbackPause() time.Duration {
	return fallbackStep*time.Duration(bits.Len64(uint64(f.rank.Load()))) + rand.N(fallbackStep)
}

// retryPause returns the pause after a failed call.
func (f *follower) retryPause() time.Duration {
	n := min(f.failures-1, 4)
	if f.first.Load() {
		return jitter(min(minRetry<<n, maxRetry))
	}
	pause := min(minOtherRetry<<n, maxOtherRetry)
	return jitter(pause + pause*time.Duration(f.rank.Load())/retryRanks)
}

// step makes one call to the store and applies its answer.
func (f *follower) step(ctx context.Context) (changed bool, err error) {
	sent, from := f.sinceBoot(), f.Version()
	if from == 0 || f.mustList() {
		objects, version, err := f.source.List(ctx, f.kind)
		if err != nil {
			return false, err
		}
		for i := range objects {
			f.prepare(&objects[i])
		}
		f.applyAnswer(version, sent, func() { f.replaceList(objects, version) })
		return true, nil
	}
	events, version, err := f.watch(ctx, from)
	if errors.Is(err, errRestarted) {
		return false, nil // without an answer the age of the list is not renewed
	}
	if fault.Is(err, store.KindCompacted) {
		return false, f.loseHistory(from, err)
	}
	if err != nil {
		return false, err
	}
	f.losses = 0
	f.setArrived(&arrival{known: from, version: version, events: events, completeAt: sent})
	f.prepareEvents(events)
	f.applyAnswer(version, sent, func() { f.applyEvents(events, version) })
	return len(events) > 0, nil
}

// errRestarted is the cause with which a watch is cancelled to be restarted.
var errRestarted = errors.New("the watch is restarted")

// watch makes one long call. It returns errRestarted if the watch is to be
// restarted before an answer.
func (f *follower) watch(ctx context.Context, from store.Version) ([]store.Event, store.Version, error) {
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-f.restart:
			cancel(errRestarted)
		case <-watchCtx.Done():
		}
	}()
	call := f.source.Watch
	if !f.lastCallOK.Load() {
		call = f.source.Poll // the neighbours need an answer at once
	}
	events, version, err := call(watchCtx, f.kind, from)
	if err != nil && errors.Is(context.Cause(watchCtx), errRestarted) {
		return nil, 0, errRestarted
	}
	return events, version, err
}

// prepareEvents prepares the entries of changes.
func (f *follower) prepareEvents(events []store.Event) {
	for i := range events {
		if !events[i].Deleted {
			f.prepare(&events[i].Object)
		}
	}
}

// applyAnswer applies an answer to a call that was sent at the boot time sent,
// unless a newer list was relayed in the meantime.
func (f *follower) applyAnswer(version store.Version, sent time.Duration, apply func()) {
	if f.failures > 0 && f.losses < 2 { // a list does not end a sequence of lost watches
		f.log.Info().Str("kind", string(f.kind)).Int("failures", f.failures).Dur("silence", f.age()).Msg("store answers again")
		f.failures = 0
	}
	f.beforeApply()
	f.mu.Lock()
	if version >= f.version {
		f.enterEra(version.Era())
		apply()
		f.setComplete(sent)
		f.relayedBy = ""
		f.lastCallOK.Store(true)
		f.failing.Store(false)
	}
	f.mu.Unlock()
	f.afterApply()
}

// replaceList replaces all records by a complete list. The caller holds f.mu.
func (f *follower) replaceList(objects []store.Object, version store.Version) {
	f.records = make(map[string]record, len(objects))
	sound := make([]store.Object, 0, len(objects))
	for i := range objects {
		if o := objects[i]; f.readable(&o, version) {
			f.records[o.Name] = record{event: store.Event{Object: o}, updateVersion: version}
			sound = append(sound, o)
		}
	}
	f.version, f.floor, f.removedCount, f.arrived, f.relist = version, version, 0, nil, false
	f.onList(sound)
	f.retain()
}

// applyEvents applies changes up to a version. The caller holds f.mu.
func (f *follower) applyEvents(events []store.Event, version store.Version) {
	f.version, f.arrived = version, nil
	if len(events) == 0 {
		return
	}
	changes := make([]store.Event, 0, len(events))
	for _, e := range events {
		if !e.Deleted && !f.readable(&e.Object, version) {
			e.Deleted = true // it names nothing to use, as if it had been removed
		}
		if e.Object.Name == "" || len(e.Object.Name) > store.MaxName {
			continue
		}
		if f.records[e.Object.Name].event.Deleted {
			f.removedCount--
		}
		if e.Deleted {
			f.removedCount++
			e.Object.Value = nil
		}
		f.records[e.Object.Name] = record{event: e, updateVersion: version}
		changes = append(changes, e)
	}
	if f.removedCount > maxRemoved {
		f.dropRemoved()
	}
	f.onEvents(changes)
	f.retain()
}

// readable reports whether an entry of the list of this version can be read, and records it if
// not.
func (f *follower) readable(o *store.Object, listed store.Version) bool {
	o.Problem = f.problemOf(o)
	if o.Problem == "" {
		return true
	}
	f.odd.add(f.kind, o, o.Problem)
	f.onOdd(o, listed)
	return false
}

// problemOf returns why an entry cannot be read, or an empty string.
func (f *follower) problemOf(o *store.Object) string {
	switch {
	case o.Problem != "":
		return o.Problem
	case o.Name == "" || len(o.Name) > store.MaxName:
		return "its name is empty or too long"
	case len(o.Value) > f.maxValue:
		return fmt.Sprintf("its value has %d bytes, more than %d", len(o.Value), f.maxValue)
	default:
		return ""
	}
}

// dropRemoved drops the records of removed entries. Neighbours whose copy is older
// get the complete list. The caller holds f.mu.
func (f *follower) dropRemoved() {
	for name, r := range f.records {
		if r.event.Deleted {
			delete(f.records, name)
		}
	}
	f.floor, f.removedCount = f.version, 0
}

// setComplete records that the list was complete at a boot time. An earlier time
// than the recorded one changes nothing.
func (f *follower) setComplete(at time.Duration) {
	for {
		old := f.completeAt.Load()
		if int64(at) <= old || f.completeAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// recordFailure counts a failed call and logs the first of a sequence.
func (f *follower) recordFailure(err error) {
	f.failures++
	f.lastCallOK.Store(false)
	f.failing.Store(true)
	if f.failures == 1 {
		f.log.Warn().Err(err).Str("kind", string(f.kind)).Msg("store does not answer")
	}
}

// restartWatch ends the running watch, so that the store is called again.
func (f *follower) restartWatch() {
	select {
	case f.restart <- struct{}{}:
	default:
	}
}

// age returns the time since the list was last known to be complete.
func (f *follower) age() time.Duration {
	completeAt := f.completeAt.Load()
	if completeAt == 0 {
		return neverCompleteAge
	}
	return f.sinceBoot() - time.Duration(completeAt)
}

// neverCompleteAge is the age of a list that was never complete.
const neverCompleteAge = time.Duration(1<<63 - 1)

// jitter returns a random duration from 75% to 125% of d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d)/2+1))
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
