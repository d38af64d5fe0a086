package claim

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

const (
	// defaultBudget is the number of claim writes per second of the whole fleet.
	defaultBudget = 100
	// leastBurst is the least number of writes that a daemon may make at once.
	leastBurst = 4
	// writesPerClaim counts the create and the write of the outcome. Begin
	// reserves both, so that Finish is never held up.
	writesPerClaim = 2
	// budgetPatience bounds the wait of Begin for the write budget.
	budgetPatience = 100 * time.Millisecond
	// callTimeout bounds one call to the platform.
	callTimeout = time.Second
	// beginTime and finishTime bound Begin and Finish with all their retries.
	beginTime  = 3 * time.Second
	finishTime = 5 * time.Second
	// retryDelay is the pause before a call is repeated. It doubles each time.
	retryDelay = 20 * time.Millisecond
)

// Keeper makes and ends the claims of one daemon.
type Keeper struct {
	platform store.Store
	clock    model.Clock
	budget   float64
	daemons  int
	limiter  *rate.Limiter

	mu      sync.Mutex
	running map[string]*entry // claims that are being made or held here
	expired []store.Object    // found by Sweep and not deleted yet
}

// entry is a claim that is being made or held in this daemon.
type entry struct {
	fingerprint model.Digest
	begun       chan struct{} // closed when Begin ends
	err         error         // the result of Begin
}

// Option changes a setting of a Keeper.
type Option func(*Keeper)

// WithClock replaces time.Now, which is used for the retention and the budget.
func WithClock(c model.Clock) Option { return func(k *Keeper) { k.clock = c } }

// WithDaemons sets the number of daemons that share the write budget. The default is 1.
func WithDaemons(n int) Option { return func(k *Keeper) { k.daemons = max(1, n) } }

// WithBudget sets the claim writes per second of the whole fleet. The default is 100.
func WithBudget(perSecond float64) Option { return func(k *Keeper) { k.budget = perSecond } }

// New returns a keeper.
func New(platform store.Store, options ...Option) *Keeper {
	k := &Keeper{
		platform: platform, clock: time.Now, budget: defaultBudget, daemons: 1, running: map[string]*entry{},
	}
	for _, f := range options {
		f(k)
	}
	own, burst := k.own()
	k.limiter = rate.NewLimiter(own, burst)
	return k
}

// own returns this daemon's part of the fleet's write budget.
func (k *Keeper) own() (rate.Limit, int) {
	own := k.budget / float64(k.daemons)
	return rate.Limit(own), max(leastBurst, int(own))
}

// SetDaemons changes the number of daemons that share the write budget.
func (k *Keeper) SetDaemons(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if n = max(1, n); n == k.daemons {
		return
	}
	k.daemons = n
	own, burst := k.own()
	now := k.clock()
	k.limiter.SetLimitAt(now, own)
	k.limiter.SetBurstAt(now, burst)
}

// Begin claims a request. It must succeed before the first byte of the request
// is sent. Any error is a Refusal and means that this request has not run.
// fingerprint is a digest of what makes the request the same: its method,
// target and body.
func (k *Keeper) Begin(ctx context.Context, customer model.CustomerID, key string, fingerprint model.Digest) (Ticket, error) {
	t := Ticket{name: name(customer, key)}
	ctx, cancel := context.WithTimeout(ctx, beginTime)
	defer cancel()
	e, err := k.enter(ctx, t.name, fingerprint)
	if err != nil {
		return Ticket{}, err
	}
	if e.err = k.spend(ctx, writesPerClaim); e.err == nil {
		t.record = Record{Nonce: uuid.NewString(), State: StateOpen, Fingerprint: fingerprint, Written: k.clock().Unix()}
		t.version, e.err = k.create(ctx, t)
	}
	if e.err != nil {
		k.leave(t.name)
	}
	close(e.begun)
	return t, e.err
}

// enter lets one request per key through, so that concurrent ones cost no
// write. The others wait for its claim and are refused with what came of it.
func (k *Keeper) enter(ctx context.Context, name string, fingerprint model.Digest) (*entry, error) {
	for {
		k.mu.Lock()
		e := k.running[name]
		if e == nil {
			e = &entry{fingerprint: fingerprint, begun: make(chan struct{})}
			k.running[name] = e
			k.mu.Unlock()
			return e, nil
		}
		k.mu.Unlock()
		select {
		case <-e.begun:
		case <-ctx.Done():
			return nil, errUnclaimed("the request ended while another one with its key was claimed")
		}
		switch same := e.fingerprint == fingerprint; {
		case e.err == nil && same:
			return nil, errOpen()
		case e.err == nil:
			return nil, errMismatch()
		case same:
			return nil, e.err
		}
	}
}

func (k *Keeper) leave(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.running, name)
}

// spend takes writes from the budget. It refuses at once if they would not be
// there in time.
func (k *Keeper) spend(ctx context.Context, n int) error {
	now := k.clock()
	r := k.limiter.ReserveN(now, n)
	wait := r.DelayFrom(now)
	limit := budgetPatience
	if end, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(end))
	}
	if !r.OK() || wait > limit {
		r.CancelAt(now)
		return errUnclaimed("the budget of claim writes is used up")
	}
	if pause(ctx, wait) != nil {
		r.CancelAt(now)
		return errUnclaimed("the request ended while it waited for the budget of claim writes")
	}
	return nil
}

// create writes the claim. After a lost answer it reads whether the claim is
// there with this nonce, and otherwise writes the same claim again: the first
// write may still take effect.
func (k *Keeper) create(ctx context.Context, t Ticket) (store.Version, error) {
	value, err := t.record.Encode()
	if err != nil {
		return 0, errUnclaimed(err.Error())
	}
	unsure := false
	for delay := retryDelay; ; delay *= 2 {
		version, err := k.put(ctx, t.name, value, 0)
		switch {
		case err == nil:
			return version, nil
		case fault.Is(err, fault.Unavailable) && !unsure:
			return 0, errUnclaimed("the platform is unavailable")
		case !fault.Is(err, fault.Unavailable):
			unsure = true
		}
		version, found, err := k.examine(ctx, t)
		if found || err != nil {
			return version, err
		}
		if pause(ctx, delay) != nil || k.spend(ctx, 1) != nil {
			return 0, errUnclaimed("the platform did not confirm the claim")
		}
	}
}

// examine reads a claim: whether it is this ticket's, or why the request is
// refused. Neither means that there is no claim or that it could not be read.
func (k *Keeper) examine(ctx context.Context, t Ticket) (store.Version, bool, error) {
	r, version, err := k.get(ctx, t.name)
	switch {
	case fault.Is(err, fault.KindInvalid):
		return 0, false, errOpen() // something is stored under this key: it may have run
	case err != nil:
		return 0, false, nil
	case r.Nonce == t.record.Nonce:
		return version, true, nil
	case r.Fingerprint != t.record.Fingerprint:
		return 0, false, errMismatch()
	case r.State == StateDone:
		return 0, false, errDone(r.Status)
	default:
		return 0, false, errOpen()
	}
}

// Finish records the outcome of a claimed request. After an error the claim is
// still open or its state is unknown: the key stays blocked, and a refusal of
// a request that did not run must say "unknown". StateOpen writes nothing.
func (k *Keeper) Finish(ctx context.Context, t Ticket, r Result) error {
	// From here on the platform answers for the key, which may know the outcome
	// before this call does.
	k.leave(t.name)
	if r.State == StateOpen {
		return nil
	}
	// The outcome matters to later requests even if the caller has gone.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTime)
	defer cancel()
	for delay := retryDelay; ; delay *= 2 {
		err := k.conclude(ctx, t, r)
		if err == nil {
			return nil
		}
		ended, settled := k.concluded(ctx, t, r)
		if ended {
			return nil
		}
		if settled || pause(ctx, delay) != nil {
			// Not wrapped: the cause's kind, such as fault.Unavailable, would hide this one.
			return fault.New(fault.Unknown, "the outcome of the request was not recorded: "+err.Error(), "treat the request as possibly run")
		}
	}
}

// conclude writes the outcome once.
func (k *Keeper) conclude(ctx context.Context, t Ticket, r Result) error {
	if r.State == StateReleased {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return k.platform.Delete(ctx, store.KindClaim, t.name, t.version)
	}
	t.record.State, t.record.Status = StateDone, r.Status
	value, err := t.record.Encode()
	if err != nil {
		return err
	}
	_, err = k.put(ctx, t.name, value, t.version)
	return err
}

// concluded reads whether the outcome took effect, and whether no further
// attempt can succeed.
func (k *Keeper) concluded(ctx context.Context, t Ticket, r Result) (ended, settled bool) {
	stored, version, err := k.get(ctx, t.name)
	if err != nil && !fault.Is(err, fault.Missing) {
		return false, false
	}
	gone := err != nil || stored.Nonce != t.record.Nonce
	if r.State == StateReleased {
		return gone, gone
	}
	return !gone && stored.State == StateDone, gone || version != t.version
}

func (k *Keeper) put(ctx context.Context, name string, value []byte, match store.Version) (store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.platform.Put(ctx, store.KindClaim, name, value, match)
}

func (k *Keeper) get(ctx context.Context, name string) (Record, store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := k.platform.Get(ctx, store.KindClaim, name)
	if err != nil {
		return Record{}, 0, err
	}
	r, err := Decode(o.Value)
	return r, o.Version, err
}

// pause waits for d unless ctx ends first.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
