package lists

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

const (
	// retryFirst is the pause after a call that failed, doubled up to retryMost.
	// Each call costs the platform, and keys must be dropped after some seconds.
	retryFirst = 150 * time.Millisecond
	retryMost  = 600 * time.Millisecond
	// fellowFirst and fellowMost are the same for a host that is not the first of
	// all: it asks only to find out whether the store still answers somebody.
	fellowFirst = 600 * time.Millisecond
	fellowMost  = 2400 * time.Millisecond
)

// Watcher is the part of the store that lists need.
type Watcher interface {
	List(ctx context.Context, kind store.Kind) ([]store.Object, store.Version, error)
	Watch(ctx context.Context, kind store.Kind, after store.Version) ([]store.Event, store.Version, error)
	// Poll is Watch that does not wait for a change.
	Poll(ctx context.Context, kind store.Kind, after store.Version) ([]store.Event, store.Version, error)
}

// Option sets an optional property of a list.
type Option func(*options)

type options struct {
	log  zerolog.Logger
	boot func() time.Duration
}

// WithLog sets the logger.
func WithLog(l zerolog.Logger) Option { return func(o *options) { o.log = l } }

// WithBoot replaces the clock that counts the time of a suspended machine.
func WithBoot(clock func() time.Duration) Option { return func(o *options) { o.boot = clock } }

func collect(list []Option) options {
	o := options{log: zerolog.Nop(), boot: Boot}
	for _, set := range list {
		set(&o)
	}
	return o
}

const (
	// vouched is the time for which a parent's word keeps this daemon from
	// asking the store itself: some messages.
	vouched = time.Second
	// urgent is the age of a list from which on it is not handed on, and daemons
	// begin to ask the store themselves, the last of them spread later: the word
	// of one that has an answer reaches the others meanwhile. With neighbours that
	// have contact the age stays below 1.1 s; a change must be in force after 2 s
	// also where the first host lost contact just before.
	urgent = 1300 * time.Millisecond
	spread = 400 * time.Millisecond
	// firstWait is the time that a new daemon gives the others to tell it the
	// lists: some messages. A whole fleet that starts at once needs longer, and
	// its hosts read the lists themselves. firstLook is the time between two looks.
	firstWait = 150 * time.Millisecond
	firstLook = 5 * time.Millisecond
	// wordEvery is how often a daemon that relies on its parent looks whether it
	// still may.
	wordEvery = 100 * time.Millisecond
	// maxRemoved is the number of removed entries that are kept for children.
	maxRemoved = 1000
)

// follow keeps up with one kind of objects, by the word of a parent or by
// watching the store.
type follow struct {
	options
	source Watcher
	kind   store.Kind
	pause  time.Duration // after changes, so that several are read by one call
	all    func([]store.Object)
	some   func([]store.Event)
	before func()                     // an answer came; its changes are applied next
	proved func()                     // the changes of an answer are applied
	proof  func() (age time.Duration) // of the newest word from the store
	may    func() bool                // whether asking the store makes sense now
	path   func() bool                // whether the store answers this daemon

	mu      sync.Mutex
	at      store.Version
	from    model.HostID // whose word the list is; empty: the store's
	records map[string]record
	floor   store.Version // version from which on all removals are among the records
	removed int           // records of removed entries

	fails int
	last  atomic.Int64  // boot time at which the list was certainly complete; 0: never
	word  atomic.Int64  // boot time of the last word of a neighbour; 0: none
	own   atomic.Bool   // the store answered the last call of this daemon
	first atomic.Bool   // this daemon is the first of all that it reaches
	renew chan struct{} // ends the running watch
}

// record is what is known of one entry, for children.
type record struct {
	event   store.Event
	learned store.Version // of the answer that told of it
}

func newFollow(source Watcher, kind store.Kind, pause time.Duration, o options) *follow {
	f := &follow{options: o, source: source, kind: kind, pause: pause, renew: make(chan struct{}, 1),
		before: func() {}, proved: func() {}, records: make(map[string]record)}
	f.proof = f.age
	f.may, f.path = f.always, f.always
	return f
}

func (*follow) always() bool { return true }

func (f *follow) run(ctx context.Context) error {
	f.await(ctx)
	alone := true // no neighbour kept the list complete when last looked
	for ctx.Err() == nil {
		if f.relayed() {
			f.fails = 0
			f.own.Store(false)
			alone = false
			rest(ctx, wordEvery)
			continue
		}
		if !alone && !f.first.Load() {
			alone = true
			rest(ctx, rand.N(spread))
			continue
		}
		if !f.may() {
			rest(ctx, wordEvery)
			continue
		}
		changed, err := f.step(ctx)
		switch {
		case err != nil && ctx.Err() == nil:
			f.failed(err)
			rest(ctx, f.retryPause())
		case changed:
			rest(ctx, jitter(f.pause))
		}
	}
	return nil
}

// await gives the other daemons the time to tell the list before the store is
// asked, unless this daemon is the first.
func (f *follow) await(ctx context.Context) {
	end := f.boot() + firstWait
	for ctx.Err() == nil && f.boot() < end && !f.first.Load() && f.word.Load() == 0 {
		rest(ctx, firstLook)
	}
}

// relayed reports whether a neighbour keeps this list complete.
func (f *follow) relayed() bool {
	return !f.first.Load() && f.vouched() && f.proof() < urgent
}

// vouched reports whether a neighbour gave its word a moment ago.
func (f *follow) vouched() bool {
	word := f.word.Load()
	return word != 0 && f.boot()-time.Duration(word) < vouched
}

func (f *follow) retryPause() time.Duration {
	n := min(f.fails-1, 4)
	if f.first.Load() {
		return jitter(min(retryFirst<<n, retryMost))
	}
	return jitter(min(fellowFirst<<n, fellowMost))
}

// step makes one call and applies its answer.
func (f *follow) step(ctx context.Context) (changed bool, err error) {
	sent, from := f.boot(), f.Known()
	if from == 0 {
		objects, at, err := f.source.List(ctx, f.kind)
		if err != nil {
			return false, err
		}
		f.answered(at, sent, func() { f.reset(objects, at) })
		return true, nil
	}
	events, at, err := f.watch(ctx, from)
	if errors.Is(err, errRenewed) {
		return false, nil // no answer came, which proves nothing
	}
	if fault.Is(err, store.Compacted) {
		f.log.Info().Str("kind", string(f.kind)).Uint64("after", uint64(from)).Msg("history is gone; the list is read again")
		f.mu.Lock()
		f.at = 0
		f.mu.Unlock()
		return false, nil
	}
	if err != nil {
		return false, err
	}
	f.answered(at, sent, func() { f.change(events, at) })
	return len(events) > 0, nil
}

// errRenewed ends a watch that is begun anew.
var errRenewed = errors.New("the watch is begun anew")

// watch makes one long call, which ends early when it is to be begun anew.
func (f *follow) watch(ctx context.Context, from store.Version) ([]store.Event, store.Version, error) {
	watch, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-f.renew:
			cancel(errRenewed)
		case <-watch.Done():
		}
	}()
	call := f.source.Watch
	if !f.own.Load() {
		call = f.source.Poll // others need the word at once
	}
	events, at, err := call(watch, f.kind, from)
	if err != nil && errors.Is(context.Cause(watch), errRenewed) {
		return nil, 0, errRenewed
	}
	return events, at, err
}

// answered applies an answer of the store, unless a parent told more meanwhile.
func (f *follow) answered(at store.Version, sent time.Duration, apply func()) {
	if f.fails > 0 {
		f.log.Info().Str("kind", string(f.kind)).Int("failures", f.fails).Dur("silence", f.age()).Msg("store answers again")
		f.fails = 0
	}
	f.before()
	f.mu.Lock()
	if at >= f.at {
		apply()
		f.prove(sent)
		f.from = ""
		f.own.Store(true)
	}
	f.mu.Unlock()
	f.proved()
}

// reset takes a whole list. The caller holds the lock.
func (f *follow) reset(objects []store.Object, at store.Version) {
	f.records = make(map[string]record, len(objects))
	for i := range objects {
		f.records[objects[i].Name] = record{event: store.Event{Object: objects[i]}, learned: at}
	}
	f.at, f.floor, f.removed = at, at, 0
	f.all(objects)
}

// change takes changes. The caller holds the lock.
func (f *follow) change(events []store.Event, at store.Version) {
	f.at = at
	if len(events) == 0 {
		return
	}
	for _, e := range events {
		if f.records[e.Object.Name].event.Deleted {
			f.removed--
		}
		if e.Deleted {
			f.removed++
			e.Object.Value = nil
		}
		f.records[e.Object.Name] = record{event: e, learned: at}
	}
	if f.removed > maxRemoved {
		f.forget()
	}
	f.some(events)
}

// forget drops the records of removed entries. Children that know less than
// all of them get the whole list.
func (f *follow) forget() {
	for name, r := range f.records {
		if r.event.Deleted {
			delete(f.records, name)
		}
	}
	f.floor, f.removed = f.at, 0
}

// prove notes that the kind was known completely at a time.
func (f *follow) prove(at time.Duration) {
	for {
		old := f.last.Load()
		if int64(at) <= old || f.last.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

func (f *follow) failed(err error) {
	f.fails++
	f.own.Store(false)
	if f.fails == 1 {
		f.log.Warn().Err(err).Str("kind", string(f.kind)).Msg("store does not answer")
	}
}

// again ends the running watch, so that the store is asked anew.
func (f *follow) again() {
	select {
	case f.renew <- struct{}{}:
	default:
	}
}

// age returns how long ago the list was certainly complete.
func (f *follow) age() time.Duration {
	last := f.last.Load()
	if last == 0 {
		return never
	}
	return f.boot() - time.Duration(last)
}

// never is the age of what was never known.
const never = time.Duration(1<<63 - 1)

func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d)/2+1))
}

func rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
