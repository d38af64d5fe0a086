package store

import (
	"context"
	"sync"
	"time"
)

// Faults injects faults into one network path to the platform. Its methods are safe for
// concurrent use.
type Faults struct {
	wakeWatches func() // makes waiting watches check the faults again

	mu            sync.Mutex
	down          bool
	loseAnswers   bool
	delay         time.Duration
	answersToLose int
}

// SetUnavailable makes all calls fail with fault.KindUnavailable and without an
// effect, or ends this fault.
func (f *Faults) SetUnavailable(down bool) {
	f.mu.Lock()
	f.down = down
	f.mu.Unlock()
	f.wakeWatches()
}

// SetLoseAnswers makes the path lose all answers, like a one-way partition, or ends this
// fault. Writes take effect and fail with fault.KindUnknown, reads fail with
// fault.KindUnavailable.
func (f *Faults) SetLoseAnswers(loseAnswers bool) {
	f.mu.Lock()
	f.loseAnswers = loseAnswers
	f.mu.Unlock()
	f.wakeWatches()
}

// SetDelay sets how long each call takes. A write takes effect after half of the
// delay, even if its context has ended by then.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	f.delay = d
	f.mu.Unlock()
}

// LoseNextAnswers makes the next n writes that take effect fail with fault.KindUnknown.
func (f *Faults) LoseNextAnswers(n int) {
	f.mu.Lock()
	f.answersToLose = n
	f.mu.Unlock()
}

// State returns the current faults. The result answersToLose is the number of writes whose
// answers are still to be lost.
func (f *Faults) State() (down, loseAnswers bool, delay time.Duration, answersToLose int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down, f.loseAnswers, f.delay, f.answersToLose
}

// loseAnswer reports whether to lose the answer to a write that took effect. It
// counts down answersToLose.
func (f *Faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseAnswers {
		return true
	}
	if f.answersToLose == 0 {
		return false
	}
	f.answersToLose--
	return true
}

// sleep waits for d. It returns the error of ctx if that ends first.
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

// readWithFaults runs a read and applies the faults of a path to it.
func readWithFaults[T any](ctx context.Context, f *Faults, call func() (T, error)) (T, error) {
	var zero T
	down, loseAnswers, delay, _ := f.State()
	if err := sleep(ctx, delay); err != nil {
		return zero, ErrUnavailable(err.Error())
	}
	if down {
		return zero, ErrUnavailable("switched off")
	}
	v, err := call()
	if loseAnswers {
		return zero, ErrUnavailable("the answer was lost")
	}
	return v, err
}

// writeWithFaults runs a write and applies the faults of a path to it. As over a
// network, a delayed write takes effect even if its context ends before.
func writeWithFaults(ctx context.Context, f *Faults, call func() (Version, error)) (Version, error) {
	down, _, delay, _ := f.State()
	if down {
		return 0, ErrUnavailable("switched off")
	}
	if ctx.Err() != nil {
		return 0, ErrUnavailable(ctx.Err().Error())
	}
	if delay <= 0 {
		return execute(f, call)
	}
	var version Version
	var err error
	done := make(chan struct{})
	go func() {
		time.Sleep(delay / 2)
		version, err = execute(f, call)
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

// execute runs a write now and returns its result, or fault.KindUnknown if its answer
// is lost. SetLoseAnswers also loses the answers of failed writes, LoseNextAnswers only
// those of writes that took effect.
func execute(f *Faults, call func() (Version, error)) (Version, error) {
	version, err := call()
	_, loseAnswers, _, _ := f.State()
	if err != nil && loseAnswers {
		return 0, ErrUnknown("the answer was lost")
	}
	if err == nil && f.loseAnswer() {
		return 0, ErrUnknown("the answer was lost")
	}
	return version, err
}

// waitForChanges runs a watch and applies the faults of all given paths to it.
func waitForChanges(ctx context.Context, m *Mem, paths []*Faults, kind Kind, after Version) ([]Event, Version, error) {
	timeout := time.After(m.watchWait)
	for {
		c, changed, err := m.changesAfter(kind, after)
		delay, broken := combineFaults(paths)
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
		case <-timeout:
			return nil, c.Version, nil
		case <-ctx.Done():
			return nil, 0, ErrUnavailable(ctx.Err().Error())
		}
	}
}

// combineFaults returns the total delay of the paths and whether any of them is
// unavailable or loses answers.
func combineFaults(paths []*Faults) (total time.Duration, broken bool) {
	for _, f := range paths {
		down, loseAnswers, delay, _ := f.State()
		total += delay
		broken = broken || down || loseAnswers
	}
	return total, broken
}
