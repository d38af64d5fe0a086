package store

import (
	"context"
	"sync"
	"time"
)

// Faults are the fault switches of one path to the platform.
type Faults struct {
	notify func() // lets waiting watches look at the switches again

	mu    sync.Mutex
	down  bool
	mute  bool
	delay time.Duration
	lose  int
}

// SetUnavailable makes all calls fail without an effect, or ends that.
func (f *Faults) SetUnavailable(down bool) {
	f.mu.Lock()
	f.down = down
	f.mu.Unlock()
	f.notify()
}

// SetMute makes the path lose all answers, or ends that: writes take effect
// and fail with fault.Unknown, reads fail with fault.Unavailable. This is a
// one-way partition.
func (f *Faults) SetMute(mute bool) {
	f.mu.Lock()
	f.mute = mute
	f.mu.Unlock()
	f.notify()
}

// SetDelay makes each call take a time. A write takes effect after half of it,
// even if its caller has given up by then.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	f.delay = d
	f.mu.Unlock()
}

// LoseAnswers makes the next n writes that take effect fail with fault.Unknown.
func (f *Faults) LoseAnswers(n int) {
	f.mu.Lock()
	f.lose = n
	f.mu.Unlock()
}

// State returns the settings of the switches.
func (f *Faults) State() (down, mute bool, delay time.Duration, lose int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down, f.mute, f.delay, f.lose
}

// lost reports whether the answer to a write that took effect is lost.
func (f *Faults) lost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mute {
		return true
	}
	if f.lose == 0 {
		return false
	}
	f.lose--
	return true
}

// sleep waits for a time or the end of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// read runs a read over a path with faults.
func read[T any](ctx context.Context, f *Faults, call func() (T, error)) (T, error) {
	var zero T
	down, mute, delay, _ := f.State()
	if err := sleep(ctx, delay); err != nil {
		return zero, ErrUnavailable(err.Error())
	}
	if down {
		return zero, ErrUnavailable("switched off")
	}
	v, err := call()
	if mute {
		return zero, ErrUnavailable("the answer was lost")
	}
	return v, err
}

// write runs a write over a path with faults. A slow write takes effect even
// if the caller gives up before, as over a network.
func write(ctx context.Context, f *Faults, call func() (Version, error)) (Version, error) {
	down, _, delay, _ := f.State()
	if down {
		return 0, ErrUnavailable("switched off")
	}
	if ctx.Err() != nil {
		return 0, ErrUnavailable(ctx.Err().Error())
	}
	if delay <= 0 {
		return answer(f, call)
	}
	var version Version
	var err error
	done := make(chan struct{})
	go func() {
		time.Sleep(delay / 2)
		version, err = answer(f, call)
		time.Sleep(delay - delay/2)
		close(done)
	}()
	select {
	case <-done:
		return version, err
	case <-ctx.Done():
		return 0, ErrUnknown(ctx.Err().Error())
	}
}

func answer(f *Faults, call func() (Version, error)) (Version, error) {
	version, err := call()
	_, mute, _, _ := f.State()
	if err != nil && mute {
		return 0, ErrUnknown("the answer was lost")
	}
	if err == nil && f.lost() {
		return 0, ErrUnknown("the answer was lost")
	}
	return version, err
}

// watch waits for changes over a path with faults.
func watch(ctx context.Context, m *Mem, paths []*Faults, kind Kind, after Version) ([]Event, Version, error) {
	end := time.After(m.wait)
	for {
		c, changed, err := m.since(kind, after)
		delay, broken := combine(paths)
		if broken {
			return nil, 0, ErrUnavailable("switched off")
		}
		if err != nil {
			return nil, 0, err
		}
		if len(c.Events) > 0 {
			if err := sleep(ctx, delay); err != nil {
				return nil, 0, ErrUnavailable(err.Error())
			}
			return c.Events, c.Version, nil
		}
		select {
		case <-changed:
		case <-end:
			return nil, c.Version, nil
		case <-ctx.Done():
			return nil, 0, ErrUnavailable(ctx.Err().Error())
		}
	}
}

// combine returns the total delay of the paths and whether one of them is broken.
func combine(paths []*Faults) (total time.Duration, broken bool) {
	for _, f := range paths {
		down, mute, delay, _ := f.State()
		total += delay
		broken = broken || down || mute
	}
	return total, broken
}
