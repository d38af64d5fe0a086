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
	// defaultBudget is the limit on claim writes per second of the whole fleet.
	defaultBudget = 100
	// minBurst is the smallest burst of writes of a daemon, however small its
	// share of the budget is.
	minBurst = 4
	// writesPerClaim counts the create and the write of the outcome. Begin
	// reserves both, so that Finish never waits for the budget.
	writesPerClaim = 2
	// maxBudgetWait bounds the time that Begin waits for the write budget.
	maxBudgetWait = 100 * time.Millisecond
	// callTimeout bounds each call to the platform.
	callTimeout = time.Second
	// beginTimeout and finishTimeout bound Begin and Finish including all retries.
	beginTimeout  = 3 * time.Second
	finishTimeout = 5 * time.Second
	// initialRetryDelay is the pause before the first retry of a call. It doubles
	// with each further one.
	initialRetryDelay = 20 * time.Millisecond
)

// Keeper creates and ends the claims of one daemon. Its methods are safe for
// concurrent use.
type Keeper struct {
	platform store.Store
	clock    model.Clock
	budget   float64
	daemons  int
	limiter  *rate.Limiter

	mu          sync.Mutex
	localClaims map[string]*localClaim // by object name
	expired     []store.Object         // found by Sweep and still to be deleted
	sweptUpTo   string                 // name after which Sweep continues; empty: with the first claim
	restores    restores
}

// localClaim is a claim between the start of Begin and the call of Finish in
// this daemon.
type localClaim struct {
	fingerprint model.Digest
	beginEnded  chan struct{} // closed when Begin ends
	err         error         // the result of Begin
}

// Option changes a setting of a Keeper.
type Option func(*Keeper)

// WithClock sets the clock for the retention and the write budget. The default
// is time.Now.
func WithClock(c model.Clock) Option { return func(k *Keeper) { k.clock = c } }

// WithDaemons sets the number of daemons that share the write budget. The default is 1.
func WithDaemons(n int) Option { return func(k *Keeper) { k.daemons = max(1, n) } }

// WithBudget sets the limit on claim writes per second of the whole fleet. The
// default is 100.
func WithBudget(perSecond float64) Option { return func(k *Keeper) { k.budget = perSecond } }

// New returns a keeper whose claims are stored in the platform.
func New(platform store.Store, options ...Option) *Keeper {
	k := &Keeper{
		platform: platform, clock: time.Now, budget: defaultBudget, daemons: 1, localClaims: map[string]*localClaim{},
		restores: restores{made: map[string]*madeClaim{}},
	}
	for _, f := range options {
		f(k)
	}
	writeShare, burst := k.writeShare()
	k.limiter = rate.NewLimiter(writeShare, burst)
	return k
}

// writeShare returns this daemon's share of the fleet's write budget, in writes
// per second, and its burst.
func (k *Keeper) writeShare() (rate.Limit, int) {
	writeShare := k.budget / float64(k.daemons)
	return rate.Limit(writeShare), max(minBurst, int(writeShare))
}

// SetDaemons changes the number of daemons that share the write budget.
func (k *Keeper) SetDaemons(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if n = max(1, n); n == k.daemons {
		return
	}
	k.daemons = n
	writeShare, burst := k.writeShare()
	now := k.clock()
	k.limiter.SetLimitAt(now, writeShare)
	k.limiter.SetBurstAt(now, burst)
}

// Begin claims a request. It must succeed before the first byte of the request
// is sent to a target. Any error is a Refusal and means that this request has
// not run. The fingerprint is a digest of the method, the target and the body:
// requests with the same key must have the same fingerprint.
func (k *Keeper) Begin(ctx context.Context, customer model.CustomerID, key string, fingerprint model.Digest) (Claim, error) {
	claimed := Claim{objectName: objectName(customer, key)}
	if k.held() {
		return Claim{}, errRestored()
	}
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	local, err := k.register(ctx, claimed.objectName, fingerprint)
	if err != nil {
		return Claim{}, err
	}
	if local.err = k.reserveWrites(ctx, writesPerClaim); local.err == nil {
		claimed.record = Record{Nonce: uuid.NewString(), State: StateOpen, Fingerprint: fingerprint, Created: k.clock().Unix()}
		claimed.version, local.err = k.create(ctx, claimed)
	}
	if local.err == nil {
		local.err = k.checkRestored(ctx, claimed)
	}
	if local.err != nil {
		k.unregister(claimed.objectName)
	}
	close(local.beginEnded)
	return claimed, local.err
}

// checkRestored returns an error for a claim that is the first of a later era: the store came
// back from an older copy, and may have lost an earlier claim of the key. A claim that is used is
// remembered.
func (k *Keeper) checkRestored(ctx context.Context, claimed Claim) error {
	if k.noteEra(claimed.version.Era()) || k.held() {
		// If the deletion fails, the key stays blocked.
		_ = k.platform.Delete(ctx, store.KindClaim, claimed.objectName, claimed.version)
		return errRestored()
	}
	value, err := claimed.record.Encode()
	if err != nil {
		return errUnclaimed(err.Error())
	}
	k.remember(claimed, value, claimed.version.Era())
	return nil
}

// register lets one request per key continue, so that concurrent requests with
// the key cost no further writes. They wait until its Begin has ended and are
// refused according to the result. If it failed and its fingerprint was another
// one, its result does not apply to them, and one of them continues.
func (k *Keeper) register(ctx context.Context, name string, fingerprint model.Digest) (*localClaim, error) {
	for {
		k.mu.Lock()
		local := k.localClaims[name]
		if local == nil {
			local = &localClaim{fingerprint: fingerprint, beginEnded: make(chan struct{})}
			k.localClaims[name] = local
			k.mu.Unlock()
			return local, nil
		}
		k.mu.Unlock()
		select {
		case <-local.beginEnded:
		case <-ctx.Done():
			return nil, errUnclaimed("the request ended while another one with its key was claimed")
		}
		switch same := local.fingerprint == fingerprint; {
		case local.err == nil && same:
			return nil, errOpen()
		case local.err == nil:
			return nil, errMismatch()
		case same:
			return nil, local.err
		}
	}
}

// unregister removes a local claim.
func (k *Keeper) unregister(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.localClaims, name)
}

// reserveWrites reserves n writes from the budget and waits until they are due.
// It returns an error at once if they are not due within maxBudgetWait or before
// the deadline of ctx.
func (k *Keeper) reserveWrites(ctx context.Context, n int) error {
	now := k.clock()
	r := k.limiter.ReserveN(now, n)
	wait := r.DelayFrom(now)
	maxWait := maxBudgetWait
	if deadline, ok := ctx.Deadline(); ok {
		maxWait = min(maxWait, time.Until(deadline))
	}
	if !r.OK() || wait > maxWait {
		r.CancelAt(now)
		return errUnclaimed("the budget of claim writes is used up")
	}
	if pause(ctx, wait) != nil {
		r.CancelAt(now)
		return errUnclaimed("the request ended while it waited for the budget of claim writes")
	}
	return nil
}

// create writes the claim. After a conflict or a lost answer it reads the claim
// and compares the nonce. If there is no claim, it writes the same one again: the
// first write may still take effect. After an error the claim may therefore still
// appear and block the key.
func (k *Keeper) create(ctx context.Context, claimed Claim) (store.Version, error) {
	value, err := claimed.record.Encode()
	if err != nil {
		return 0, errUnclaimed(err.Error())
	}
	mayExist := false
	for delay := initialRetryDelay; ; delay *= 2 {
		version, err := k.put(ctx, claimed.objectName, value, 0)
		switch {
		case err == nil:
			return version, nil
		case fault.Is(err, fault.KindUnavailable) && !mayExist:
			return 0, errUnclaimed("the platform is unavailable")
		case !fault.Is(err, fault.KindUnavailable):
			mayExist = true
		}
		version, found, err := k.readBack(ctx, claimed)
		if found || err != nil {
			return version, err
		}
		if pause(ctx, delay) != nil || k.reserveWrites(ctx, 1) != nil {
			return 0, errUnclaimed("the platform did not confirm the claim")
		}
	}
}

// readBack reads the stored claim and reports whether it is the given one.
// If it belongs to another request, it returns the error to refuse this one
// with. It returns false and no error if there is no claim or it could not be
// read.
func (k *Keeper) readBack(ctx context.Context, claimed Claim) (store.Version, bool, error) {
	r, version, err := k.get(ctx, claimed.objectName)
	if err == nil {
		k.noteEra(version.Era())
	}
	switch {
	case fault.Is(err, fault.KindInvalid):
		return 0, false, errOpen() // an unreadable claim: its request may have run
	case err != nil:
		return 0, false, nil
	case r.Nonce == claimed.record.Nonce:
		return version, true, nil
	case r.Fingerprint != claimed.record.Fingerprint:
		return 0, false, errMismatch()
	case r.State == StateDone:
		return 0, false, errDone(r.Status)
	default:
		return 0, false, errOpen()
	}
}

// Finish records the outcome of a claimed request. StateOpen writes nothing.
// Errors have the kind fault.KindUnknown: the claim is still open or its state is
// unknown, so that the key may stay blocked. A request that did not run must
// then be refused with run "unknown".
func (k *Keeper) Finish(ctx context.Context, claimed Claim, r Result) error {
	// Later requests with the key must read the claim from the platform, which
	// may have the outcome before this call returns.
	k.unregister(claimed.objectName)
	switch r.State {
	case StateOpen:
		return nil
	case StateReleased:
		k.forget(claimed.objectName)
	}
	// Later requests depend on the outcome even if this caller has disconnected.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	for delay := initialRetryDelay; ; delay *= 2 {
		err := k.writeOutcome(ctx, claimed, r)
		if err == nil {
			return nil
		}
		recorded, final := k.outcomeStored(ctx, claimed, r)
		if recorded {
			return nil
		}
		if final || pause(ctx, delay) != nil {
			// The cause is not wrapped: its kind, such as fault.KindUnavailable, would
			// hide fault.KindUnknown.
			return fault.New(fault.KindUnknown, "the outcome of the request was not recorded: "+err.Error(), "treat the request as possibly run")
		}
	}
}

// writeOutcome makes one attempt to write the outcome.
func (k *Keeper) writeOutcome(ctx context.Context, claimed Claim, r Result) error {
	if r.State == StateReleased {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return k.platform.Delete(ctx, store.KindClaim, claimed.objectName, claimed.version)
	}
	claimed.record.State, claimed.record.Status = StateDone, r.Status
	value, err := claimed.record.Encode()
	if err != nil {
		return err
	}
	version, err := k.put(ctx, claimed.objectName, value, claimed.version)
	if err == nil {
		k.remember(claimed, value, version.Era())
	}
	return err
}

// outcomeStored reads the claim and reports whether the outcome is recorded, and
// whether the claim is such that no further attempt to record it can succeed. A
// claim is gone if it was deleted or if another request has claimed the key since.
func (k *Keeper) outcomeStored(ctx context.Context, claimed Claim, r Result) (recorded, final bool) {
	stored, version, err := k.get(ctx, claimed.objectName)
	if err != nil && !fault.Is(err, fault.KindMissing) {
		return false, false
	}
	gone := err != nil || stored.Nonce != claimed.record.Nonce
	if r.State == StateReleased {
		return gone, gone
	}
	return !gone && stored.State == StateDone, gone || version != claimed.version
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

// pause waits for d. It returns the error of ctx if that ends first.
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
