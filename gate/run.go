package gate

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/lazy"

	"rhubarbdrift.example/refuse"
	"rhubarbdrift.example/retry"
	"rhubarbdrift.example/shape"

	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/pick"
	"rhubarbdrift.example/quota"
)

// stallTime is the time without an answer after which a request counts as
// evidence against its target. The deadline may be much later.
const stallTime = time.Second

// run sends the request to targets until one answers or the refusal is final.
// The place in the pool is given back before claims are written.
func (c *call) run() *refuse.Refusal {
	c.gate.budget.Request(c.pool.ID)
	hold, r := c.acquire()
	if r != nil {
		return c.giveUp(r)
	}
	c.tried, c.domains = c.places.tried[:0], c.places.domains[:0]
	c.life = lazy.Until{Context: context.Background(), At: c.deadline}
	out, r := c.attempt(hold)
	c.leave()
	if r != nil {
		return c.giveUp(r)
	}
	return c.finish(&out)
}

// attempt sends the request to the target of the hold and, while that makes
// sense, to others. The last outcome is final.
func (c *call) attempt(hold *pick.Hold) (exch.Outcome, *refuse.Refusal) {
	for n := 0; ; n++ {
		if r := c.recheck(); r != nil {
			hold.Done(pick.Slow) // frees the slot without raising the target's limit
			return exch.Outcome{}, r
		}
		out := c.exchange(hold)
		c.sent = c.sent || !out.NotRun()
		if !c.again(&out, n) {
			return out, nil
		}
		// The first answer is kept until there is another target to try.
		next, err := c.gate.parts.Picker.Pick(c.need())
		if err != nil {
			return out, nil
		}
		c.ctx.Response.Reset()
		hold = next
	}
}

func (c *call) need() pick.Need {
	return pick.Need{Pool: c.pool.ID, Deadline: c.deadline, Tried: c.tried, Domains: c.domains, Repeat: c.repeatable()}
}

// acquire waits for the pool's queue and a target with a free slot. The place
// in the pool that the queue gives is kept for all attempts.
func (c *call) acquire() (*pick.Hold, *refuse.Refusal) {
	wait := lazy.New(c.deadline)
	defer wait.End()
	release, err := c.gate.parts.Queues.Enter(wait, c.pool.ID, c.customer, c.deadline)
	if err != nil {
		return nil, capacityRefusal(err)
	}
	c.release = release
	c.users.Store(1)
	var free <-chan struct{}
	for {
		hold, err := c.gate.parts.Picker.Pick(c.need())
		if err == nil {
			return hold, nil
		}
		if !fault.Is(err, pick.KindBusy) || free != nil && !waitFree(wait, free) {
			c.leave()
			return nil, capacityRefusal(err)
		}
		// Asked for before the next choice, so that no freed slot is missed.
		free = c.gate.parts.Picker.Free(c.pool.ID)
	}
}

// leave ends one use of the call's place in the pool: that of run, or that of
// an exchange, whose answer may still be streaming when run ends. The last one
// gives the place back to the queue.
func (c *call) leave() {
	if c.users.Add(-1) == 0 {
		c.release()
	}
}

// waitFree waits for a free slot, but no longer than waitStep: the end of a
// target's pause after it shed load is not announced.
func waitFree(ctx context.Context, free <-chan struct{}) bool {
	t := time.NewTimer(waitStep)
	defer t.Stop()
	select {
	case <-free:
		return true
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// exchange sends the request to the target of the hold. The answer's body may
// still be read by the caller when it returns.
func (c *call) exchange(hold *pick.Hold) exch.Outcome {
	target := hold.Target()
	c.tried = append(c.tried, target.ID)
	c.domains = append(c.domains, target.Domain)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.prepare(req)
	started := time.Now()
	c.users.Add(1)
	c.gate.begin()
	var stalled atomic.Bool
	watch := time.AfterFunc(stallTime, func() {
		stalled.Store(true)
		c.observe(target.ID, exch.Outcome{Class: exch.Silent, Wait: stallTime}, stallTime)
	})
	out := c.gate.parts.Exchange.Stream(&c.life, target, req, &c.ctx.Response, func(end exch.Outcome) {
		watch.Stop()
		hold.Done(resultOf(&end))
		c.leave()
		if end.Class == exch.Broken {
			c.gate.counters.broken.Inc(1)
		}
		if !stalled.Load() {
			c.observe(target.ID, end, time.Since(started))
		}
		c.gate.end()
	})
	watch.Stop()
	return out
}

// prepare copies the request without what is not meant for the target.
func (c *call) prepare(req *fasthttp.Request) {
	c.ctx.Request.CopyTo(req)
	shape.RemoveHop(&req.Header)
	req.Header.Del(refuse.HeaderKey)
	// A caller must not be able to speak for another customer.
	req.Header.Del(refuse.HeaderCustomer)
	if c.customer != nil {
		req.Header.Set(refuse.HeaderCustomer, string(c.customer.ID))
	}
	req.Header.Add("X-Forwarded-For", c.ctx.RemoteIP().String())
}

func (c *call) observe(target model.TargetID, end exch.Outcome, elapsed time.Duration) {
	s := Sample{Pool: c.pool.ID, Target: target, Route: c.route.ID, Outcome: end, Elapsed: elapsed}
	if c.customer != nil {
		s.Customer = c.customer.ID
	}
	c.gate.parts.Observe(s)
}

func resultOf(end *exch.Outcome) pick.Result {
	switch {
	case end.Draining:
		return pick.Draining
	case end.Class == exch.Shed:
		return pick.Shed
	case end.Class == exch.Silent:
		return pick.Silent
	case end.Class != exch.Whole || end.Status >= fasthttp.StatusInternalServerError:
		return pick.Failed
	default:
		return pick.Whole
	}
}

// again reports whether the request is sent to another target.
func (c *call) again(out *exch.Outcome, attempt int) bool {
	if attempt >= retry.Max || !time.Now().Before(c.deadline) {
		return false
	}
	if !out.NotRun() && !c.repeatable() {
		return false
	}
	if out.Class == exch.Whole && out.Status < fasthttp.StatusInternalServerError {
		return false
	}
	if !c.gate.budget.Retry(c.pool.ID) {
		return false
	}
	c.gate.counters.retries.Inc(1)
	return true
}

// finish gives the caller the target's answer or a refusal.
func (c *call) finish(out *exch.Outcome) *refuse.Refusal {
	switch out.Class {
	case exch.Whole:
		c.answered(out.Status)
		return nil
	case exch.Shed:
		return c.giveUp(refuse.New(refuse.KindBusy, refuse.NotRun, "the targets shed load", "retry later").After(limitRetry))
	case exch.NotRun:
		return c.giveUp(refuse.New(refuse.KindTarget, refuse.NotRun, "no target could be reached", "retry later").After(limitRetry))
	case exch.Silent:
		c.abandon()
		return refuse.New(refuse.KindLate, refuse.Unknown, "the target did not answer in time", c.unknownRemedy())
	default:
		c.abandon()
		return refuse.New(refuse.KindTarget, refuse.Unknown, "the target's answer was lost", c.unknownRemedy())
	}
}

// abandon leaves the claim open, so that a repeat is not run either.
func (c *call) abandon() {
	if c.claim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimWait)
	defer cancel()
	if err := c.claim.Abandon(ctx); err != nil {
		c.gate.log.Warn().Err(err).Str("route", string(c.route.ID)).Msg("claim not closed")
	}
}

func (c *call) unknownRemedy() string {
	if c.repeatable() {
		return "retry"
	}
	return "send it again with the same " + refuse.HeaderIdempotency + ", or ask the target's owner whether it was run"
}

// answered passes the target's answer on. Its body may still be streaming.
func (c *call) answered(status int) {
	c.gate.counters.whole.Inc(1)
	h := &c.ctx.Response.Header
	shape.RemoveHop(h)
	h.Del(exch.HeaderDrain)
	h.Del(exch.HeaderShed)
	if c.claim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimWait)
	defer cancel()
	if err := c.claim.Done(ctx, status); err != nil {
		c.gate.log.Warn().Err(err).Str("route", string(c.route.ID)).Msg("claim stays open though the request was answered")
	}
}

// capacityRefusal says why no target was found. The request was not run.
func capacityRefusal(err error) *refuse.Refusal {
	if fault.Is(err, fault.Late) || errors.Is(err, context.DeadlineExceeded) {
		return refuse.New(refuse.KindLate, refuse.NotRun, "the deadline passed before a target was free", "retry later or allow more time").After(limitRetry)
	}
	return refuse.New(refuse.KindBusy, refuse.NotRun, "no target has free capacity", "retry later").After(limitRetry)
}

// waitOf returns the Retry-After of a refusal by the limiter.
func waitOf(err error) time.Duration {
	if w := quota.WaitOf(err); w > 0 {
		return w
	}
	return limitRetry
}

// claimRefusal says why the claim of a request could not be taken.
func claimRefusal(err error) *refuse.Refusal {
	switch fault.KindOf(err) {
	case fault.Kind(refuse.KindOpen):
		return refuse.New(refuse.KindOpen, refuse.Unknown, "the same request is running, or its outcome is unknown", "wait for the first answer, or ask the target's owner whether it was run")
	case fault.Kind(refuse.KindDone):
		return refuse.New(refuse.KindDone, refuse.Unknown, "the same request was run before: "+err.Error(), "do not send it again")
	case fault.Kind(refuse.KindMismatch):
		return refuse.New(refuse.KindMismatch, refuse.NotRun, "another request used the same "+refuse.HeaderIdempotency, "use a new id for each request")
	default:
		return refuse.New(refuse.KindUnclaimed, refuse.NotRun, "the request could not be recorded, so it was not sent", "retry later").After(limitRetry)
	}
}
