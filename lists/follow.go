package lists

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/store"
)

const (
	// retryFirst is the pause after a call that failed, doubled up to retryMost.
	// Each call costs the platform, and keys must be dropped after some seconds.
	retryFirst = 150 * time.Millisecond
	retryMost  = 600 * time.Millisecond
)

// Watcher is the part of the store that lists need.
type Watcher interface {
	List(ctx context.Context, kind store.Kind) ([]store.Object, store.Version, error)
	Watch(ctx context.Context, kind store.Kind, after store.Version) ([]store.Event, store.Version, error)
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

// follow keeps up with one kind of objects.
type follow struct {
	options
	source func() Watcher
	kind   store.Kind
	pause  time.Duration // after changes, so that several are read by one call
	all    func([]store.Object)
	some   func([]store.Event)
	before func(age time.Duration)  // an answer came; age is that of the one before
	proved func(sent time.Duration) // an answer came to a call sent at this time

	at    store.Version
	fails int
	seen  atomic.Uint64 // version up to which the kind is known
	last  atomic.Int64  // boot time at which the last answered call was sent; 0: never
	renew chan struct{} // ends the running watch
	since atomic.Int64  // boot time of the first of the calls that failed; 0: the last one was answered
	late  atomic.Int64  // boot time since which another daemon is ahead; 0: none is
}

func newFollow(source Watcher, kind store.Kind, pause time.Duration, o options) *follow {
	return &follow{options: o, source: func() Watcher { return source }, kind: kind, pause: pause, renew: make(chan struct{}, 1),
		before: func(time.Duration) {}, proved: func(time.Duration) {}}
}

func (f *follow) run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed, err := f.step(ctx)
		switch {
		case err != nil && ctx.Err() == nil:
			f.failed(err)
			rest(ctx, jitter(min(retryFirst<<min(f.fails-1, 4), retryMost)))
		case changed:
			rest(ctx, jitter(f.pause))
		}
	}
	return nil
}

// step makes one call and applies its answer.
func (f *follow) step(ctx context.Context) (changed bool, err error) {
	sent := f.boot()
	if f.at == 0 {
		objects, at, err := f.source().List(ctx, f.kind)
		if err != nil {
			return false, err
		}
		f.all(objects)
		f.answered(at, sent)
		return true, nil
	}
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-f.renew:
			cancel()
		case <-done:
		}
	}()
	events, at, err := f.source().Watch(watch, f.kind, f.at)
	if fault.Is(err, store.Compacted) {
		f.log.Info().Str("kind", string(f.kind)).Uint64("after", uint64(f.at)).Msg("history is gone; the list is read again")
		f.at = 0
		return false, nil
	}
	if err != nil {
		if watch.Err() != nil && ctx.Err() == nil {
			return false, nil // renewed
		}
		return false, err
	}
	if len(events) > 0 {
		f.some(events)
	}
	f.answered(at, sent)
	return len(events) > 0, nil
}

func (f *follow) answered(at store.Version, sent time.Duration) {
	f.at = max(f.at, at)
	f.seen.Store(uint64(f.at))
	if f.fails > 0 {
		f.log.Info().Str("kind", string(f.kind)).Int("failures", f.fails).Dur("silence", f.boot()-time.Duration(f.last.Load())).Msg("store answers again")
		f.fails = 0
	}
	f.since.Store(0)
	f.late.Store(0)
	f.before(f.age())
	f.prove(sent)
	f.proved(sent)
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
	f.since.CompareAndSwap(0, int64(f.boot()))
	if f.fails == 1 {
		f.log.Warn().Err(err).Str("kind", string(f.kind)).Msg("store does not answer")
	}
}

// trouble returns the time since the first of the calls that failed.
func (f *follow) trouble() time.Duration {
	since := f.since.Load()
	if since == 0 {
		return 0
	}
	return f.boot() - time.Duration(since)
}

// again ends the running watch, so that the store is asked anew.
func (f *follow) again() {
	select {
	case f.renew <- struct{}{}:
	default:
	}
}

// ahead is how long another daemon may know something newer before the watch
// is begun anew.
const ahead = 600 * time.Millisecond

// behind notes that another daemon knows something newer.
func (f *follow) behind() {
	if f.late.CompareAndSwap(0, int64(f.boot())) {
		return
	}
	if f.boot()-time.Duration(f.late.Load()) > ahead {
		f.late.Store(0)
		f.again()
	}
}

// age returns the time since the last answered call was sent.
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
