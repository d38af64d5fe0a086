package gate

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/expiry"

	"rhubarbdrift.example/header"
	"rhubarbdrift.example/refuse"
	"rhubarbdrift.example/retry"

	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/pick"
	"rhubarbdrift.example/quota"
)

// stallTimeout is the time without an answer after which a request counts as
// evidence against its target. The request continues, since its deadline may be
// much later.
const stallTimeout = time.Second

// run sends the request to targets until one answers or the refusal is final. It
// drops its use of the pool permit before the claim is written, so that the write
// does not take up capacity of the pool.
func (c *call) run() *refuse.Refusal {
	c.gate.budget.CountRequest(c.pool.ID)
	slot, r := c.acquireTarget()
	if r != nil {
		return c.rollBack(r)
	}
	c.triedTargets, c.triedDomains = c.attemptBuffers.triedTargets[:0], c.attemptBuffers.triedDomains[:0]
	c.exchangeCtx = expiry.DeadlineOnly{Context: context.Background(), Time: c.deadline}
	out, r := c.attempt(slot)
	c.dropPermitRef()
	if r != nil {
		return c.rollBack(r)
	}
	return c.finish(&out)
}

// attempt sends the request to the target of the slot and, while shouldRetry
// allows it, to other targets. It returns the last outcome.
func (c *call) attempt(slot *pick.Slot) (exch.Outcome, *refuse.Refusal) {
	for n := 0; ; n++ {
		if r := c.revalidate(); r != nil {
			slot.Done(pick.Slow) // Slow frees the slot without raising the target's limit
			return exch.Outcome{}, r
		}
		out := c.exchange(slot)
		c.maybeRun = c.maybeRun || !out.NotRun()
		if !c.shouldRetry(&out, n) {
			return out, nil
		}
		// Keep the answer until another target is available for the retry.
		next, err := c.gate.deps.Picker.Pick(c.pickRequest())
		if err != nil {
			return out, nil
		}
		c.ctx.Response.Reset()
		slot = next
	}
}

func (c *call) pickRequest() pick.Request {
	return pick.Request{Pool: c.pool.ID, Deadline: c.deadline, TriedTargets: c.triedTargets, TriedDomains: c.triedDomains, Repeatable: c.repeatable()}
}

// acquireTarget waits in the pool's queue and then for a target with a free slot.
// The pool permit that the queue grants is kept for all attempts.
func (c *call) acquireTarget() (*pick.Slot, *refuse.Refusal) {
	waitCtx := expiry.New(c.deadline)
	defer waitCtx.Cancel()
	releasePermit, err := c.gate.deps.Queues.Acquire(waitCtx, c.pool.ID, c.customer, c.deadline)
	if err != nil {
		return nil, capacityRefusal(err)
	}
	c.releasePermit = releasePermit
	c.permitRefs.Store(1)
	var slotFreed <-chan struct{}
	for {
		slot, err := c.gate.deps.Picker.Pick(c.pickRequest())
		if err == nil {
			return slot, nil
		}
		if !fault.Is(err, pick.KindBusy) || slotFreed != nil && !waitForSlot(waitCtx, slotFreed) {
			c.dropPermitRef()
			return nil, capacityRefusal(err)
		}
		// Subscribe before the next Pick, so that no freed slot is missed.
		slotFreed = c.gate.deps.Picker.SlotFreed(c.pool.ID)
	}
}

// dropPermitRef ends one use of the call's pool permit: that of run, or that of an
// exchange, whose answer may still be streaming when run returns. The last one
// returns the permit to the queue.
func (c *call) dropPermitRef() {
	if c.permitRefs.Add(-1) == 0 {
		c.releasePermit()
	}
}

// waitForSlot waits for a free slot or for pollInterval, since a target that shed
// load becomes available after its pause without an announcement. It returns
// false if ctx ended.
func waitForSlot(ctx context.Context, slotFreed <-chan struct{}) bool {
	t := time.NewTimer(pollInterval)
	defer t.Stop()
	select {
	case <-slotFreed:
		return true
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// exchange sends the request to the target of the slot. It returns when the
// answer's header is received or the exchange has failed; the body may then still
// be streaming to the caller. The final outcome is the one at the end of the body.
func (c *call) exchange(slot *pick.Slot) exch.Outcome {
	target := slot.Target()
	c.triedTargets = append(c.triedTargets, target.ID)
	c.triedDomains = append(c.triedDomains, target.Domain)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.prepareRequest(req)
	started := time.Now()
	c.permitRefs.Add(1)
	c.memoryUsers.Add(1)
	c.gate.addRunning()
	var stalled atomic.Bool
	stallTimer := time.AfterFunc(stallTimeout, func() {
		stalled.Store(true)
		c.observe(target.ID, exch.Outcome{Class: exch.NoResponse, HeaderLatency: stallTimeout}, stallTimeout)
	})
	out := c.gate.deps.Exchanger.Stream(&c.exchangeCtx, target, req, &c.ctx.Response, func(final exch.Outcome) {
		stallTimer.Stop()
		slot.Done(pickResult(&final))
		c.dropPermitRef()
		c.dropMemory()
		if final.Class == exch.Broken {
			c.gate.counters.broken.Inc(1)
		}
		if !stalled.Load() {
			c.observe(target.ID, final, time.Since(started))
		}
		c.gate.removeRunning()
	})
	stallTimer.Stop()
	return out
}

// prepareRequest copies the request without the headers that the target must not
// receive and adds those of this daemon.
func (c *call) prepareRequest(req *fasthttp.Request) {
	c.ctx.Request.CopyTo(req)
	c.setBody(req)
	header.RemoveHopByHop(&req.Header)
	req.Header.Del(refuse.HeaderKey)
	// A caller must not be able to impersonate another customer.
	req.Header.Del(refuse.HeaderCustomer)
	if c.customer != nil {
		req.Header.Set(refuse.HeaderCustomer, string(c.customer.ID))
	}
	req.Header.Add("X-Forwarded-For", c.ctx.RemoteIP().String())
}

// observe reports the result of an exchange as evidence about the target.
func (c *call) observe(target model.TargetID, outcome exch.Outcome, elapsed time.Duration) {
	result := ExchangeResult{Pool: c.pool.ID, Target: target, Route: c.route.ID, Outcome: outcome, Elapsed: elapsed}
	if c.customer != nil {
		result.Customer = c.customer.ID
	}
	c.gate.deps.Observe(result)
}

func pickResult(outcome *exch.Outcome) pick.Result {
	switch {
	case outcome.Draining:
		return pick.Draining
	case outcome.Class == exch.Shed:
		return pick.Shed
	case outcome.Class == exch.NoResponse:
		return pick.NoResponse
	case outcome.Class != exch.Complete || outcome.Status >= fasthttp.StatusInternalServerError:
		return pick.Failed
	default:
		return pick.Complete
	}
}

// shouldRetry reports whether to send the request to another target. If so, it
// takes a retry from the pool's budget.
func (c *call) shouldRetry(out *exch.Outcome, attempt int) bool {
	if attempt >= retry.MaxRetries || !time.Now().Before(c.deadline) {
		return false
	}
	if !out.NotRun() && !c.repeatable() {
		return false
	}
	if out.Class == exch.Complete && out.Status < fasthttp.StatusInternalServerError {
		return false
	}
	if !c.gate.budget.TryTake(c.pool.ID) {
		return false
	}
	c.gate.counters.retries.Inc(1)
	return true
}

// finish completes the target's answer or returns a refusal.
func (c *call) finish(out *exch.Outcome) *refuse.Refusal {
	switch out.Class {
	case exch.Complete:
		c.completeAnswer(out.Status)
		return nil
	case exch.Shed:
		return c.rollBack(refuse.New(refuse.KindBusy, refuse.NotRun, "the targets shed load", "retry later").WithRetryAfter(defaultRetryAfter))
	case exch.NotRun:
		return c.rollBack(refuse.New(refuse.KindTarget, refuse.NotRun, "no target could be reached", "retry later").WithRetryAfter(defaultRetryAfter))
	case exch.NoResponse:
		c.abandon()
		return refuse.New(refuse.KindLate, refuse.Unknown, "the target did not answer in time", c.unknownRemedy())
	default:
		c.abandon()
		return refuse.New(refuse.KindTarget, refuse.Unknown, "the target's answer was lost", c.unknownRemedy())
	}
}

// abandon leaves the claim open, so that a repeat is refused.
func (c *call) abandon() {
	if c.claim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	if err := c.claim.Abandon(ctx); err != nil {
		c.gate.log.Warn().Err(err).Str("route", string(c.route.ID)).Msg("claim could not be marked as abandoned")
	}
}

func (c *call) unknownRemedy() string {
	if c.repeatable() {
		return "retry"
	}
	return "send it again with the same " + refuse.HeaderIdempotency + ", or ask the target's owner whether it was run"
}

// completeAnswer removes headers that are not for the caller from the target's
// answer and records the claim as done. The body may still be streaming.
func (c *call) completeAnswer(status int) {
	c.gate.counters.answers.Inc(1)
	h := &c.ctx.Response.Header
	header.RemoveHopByHop(h)
	h.Del(exch.HeaderDrain)
	h.Del(exch.HeaderShed)
	if c.claim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	if err := c.claim.Done(ctx, status); err != nil {
		c.gate.log.Warn().Err(err).Str("route", string(c.route.ID)).Msg("answered request could not be recorded; its claim stays open")
	}
}

// capacityRefusal returns the refusal for a request that got no target.
func capacityRefusal(err error) *refuse.Refusal {
	if fault.Is(err, fault.KindTimeout) || errors.Is(err, context.DeadlineExceeded) {
		return refuse.New(refuse.KindLate, refuse.NotRun, "the deadline passed before a target was free", "retry later or allow more time").WithRetryAfter(defaultRetryAfter)
	}
	return refuse.New(refuse.KindBusy, refuse.NotRun, "no target has free capacity", "retry later").WithRetryAfter(defaultRetryAfter)
}

// retryAfter returns the Retry-After for an error of the limiter.
func retryAfter(err error) time.Duration {
	if wait := quota.WaitOf(err); wait > 0 {
		return wait
	}
	return defaultRetryAfter
}

// claimRefusal returns the refusal for an error of Claims.Begin.
func claimRefusal(err error) *refuse.Refusal {
	switch fault.KindOf(err) {
	case fault.Kind(refuse.KindOpen):
		return refuse.New(refuse.KindOpen, refuse.Unknown, "the same request is running, or its outcome is unknown", "wait for the first answer, or ask the target's owner whether it was run")
	case fault.Kind(refuse.KindDone):
		return refuse.New(refuse.KindDone, refuse.Unknown, "the same request was run before: "+err.Error(), "do not send it again")
	case fault.Kind(refuse.KindMismatch):
		return refuse.New(refuse.KindMismatch, refuse.NotRun, "another request used the same "+refuse.HeaderIdempotency, "use a new id for each request")
	default:
		return refuse.New(refuse.KindUnclaimed, refuse.NotRun, "the request could not be recorded, so it was not sent", "retry later").WithRetryAfter(defaultRetryAfter)
	}
}
