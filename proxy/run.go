package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/grade"
	"rhubarbdrift.example/place"
	"rhubarbdrift.example/refuse"
	"rhubarbdrift.example/shape"
)

const (
	// defaultAttempts is the number of targets of a route without a limit.
	defaultAttempts = 2
	// slowShare is the part of the route's objective after which a request
	// counts as slow. About one in twenty takes that long at a sound target.
	slowShare = 0.9
)

// send is one exchange of a call.
type send struct {
	target *place.Target
	out    exch.Outcome
	resp   *fasthttp.Response
	slow   atomic.Bool
}

// flight is the state of a call's exchanges.
type flight struct {
	*call
	ctx     context.Context
	work    float64 // usual seconds at a target
	bytes   float64
	results chan *send
	flying  int
	kept    *answer // a target's failure, for want of a better answer
	refused bool    // a target refused the request because it was full
	silent  bool    // the last target did not answer before the deadline
}

// run sends the request until an answer is final.
func (c *call) run() *answer {
	ctx, cancel, stop := c.life()
	work, bytes := c.proxy.sizes.of(c.route)
	f := &flight{call: c, ctx: ctx, work: work, bytes: bytes, results: make(chan *send, maxTried+1)}
	c.proxy.parts.Limiter.Request(c.pool)
	a := f.loop()
	if f.flying == 0 || a == nil || ctx.Err() != nil {
		cancel()
		return a
	}
	// A second send goes on to its end: its target works on it already.
	stop()
	go func() {
		defer cancel()
		for range f.flying {
			<-f.results
		}
	}()
	return a
}

func (f *flight) loop() *answer {
	if a := f.begin(); a != nil {
		return a
	}
	suspect := time.NewTimer(f.slowAfter())
	defer suspect.Stop()
	for {
		select {
		case s := <-f.results:
			f.flying--
			if a := f.settle(s); a != nil {
				return a
			}
		case <-suspect.C:
			f.hedge()
		case <-f.ctx.Done():
			if f.request.Context().Err() != nil {
				return nil
			}
			return f.late()
		}
	}
}

// begin sends the request to the best target.
func (f *flight) begin() *answer {
	if f.request.Context().Err() != nil {
		return nil
	}
	if a := f.recheck(); a != nil {
		return f.settled(a)
	}
	// The last send of a request that may be repeated is as precious as one that
	// may not be.
	again := f.repeatable() && f.sends == 0
	need := place.Need{Pool: f.pool, Work: f.work, Bytes: f.bytes, Repeat: again, Tried: f.tried}
	t, ok := f.proxy.parts.Field.Choose(time.Now(), need, rand.IntN)
	if !ok {
		if f.kept != nil || f.maybe {
			return f.end()
		}
		return refusal(refuse.New(refuse.KindBusy, refuse.NotRun, "no target of the pool takes requests", "retry later"), f.workTime())
	}
	f.tried = append(f.tried, t.ID)
	f.flying++
	s := &send{target: t, resp: new(fasthttp.Response)}
	go f.exchange(s)
	return nil
}

// settled returns a refusal, unless a target may have run the request.
func (f *flight) settled(a *answer) *answer {
	if f.maybe {
		return f.end()
	}
	return a
}

func (f *flight) repeatable() bool { return f.route.Repeatable(f.request.Method) }

func (f *flight) workTime() time.Duration { return time.Duration(f.work * float64(time.Second)) }

func (f *flight) slowAfter() time.Duration {
	if f.route.Objective > 0 {
		return time.Duration(slowShare * float64(f.route.Objective.Duration()))
	}
	return f.route.Timeout().Duration() / 2
}

// exchange sends the request to one target and reports what that showed.
func (f *flight) exchange(s *send) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	f.prepare(req)
	s.target.Begin(time.Now())
	f.proxy.parts.Moved(s.target.ID, 1, 0)
	watch := time.AfterFunc(f.slowAfter(), func() {
		s.slow.Store(true)
		f.see(s.target, grade.Slow, -1, &exch.Outcome{Wait: f.slowAfter()})
	})
	started := time.Now()
	do := f.proxy.parts.Exchange.DoOnce
	if f.repeatable() {
		do = f.proxy.parts.Exchange.Do
	}
	s.out = do(f.ctx, &s.target.Target, req, s.resp)
	watch.Stop()
	s.target.End(time.Now())
	f.proxy.parts.Moved(s.target.ID, 0, 1)
	load, told := f.proxy.parts.Words.LoadOf(string(s.resp.Header.Peek(f.proxy.parts.Words.Load)))
	if !told {
		load = -1
	}
	slots := float64(s.target.Slots)
	if s.out.Class == exch.Shed && !told {
		load = 2 * slots
	}
	sight, ok := sightOf(&s.out, s.slow.Load(), told && load < slots)
	switch {
	case ok:
		f.see(s.target, sight, load, &s.out)
	case load >= 0:
		s.target.Told(time.Now(), load)
	}
	if s.out.Class == exch.Whole {
		f.proxy.sizes.add(f.route, time.Since(started), len(s.resp.Body())+len(f.body))
	}
	f.results <- s
}

// see records what an exchange showed, here and at the other daemons. While
// the exchange still runs, its outcome has no class.
func (f *flight) see(t *place.Target, sight grade.Sight, load float64, out *exch.Outcome) {
	now := time.Now()
	t.See(now, sight)
	if load >= 0 {
		t.Told(now, load)
	}
	f.proxy.parts.See(t.ID, sight, load)
	if sight != grade.Good {
		f.proxy.log.Info().Str("request", f.id).Str("target", string(t.ID)).Stringer("class", out.Class).
			Int("status", out.Status).Stringer("sight", sight).Float64("sick", t.Sick(now)).
			Dur("wait", out.Wait).AnErr("cause", out.Err).Msg("exchange")
	}
}

// settle takes the end of an exchange and returns the final answer, if that is known.
func (f *flight) settle(s *send) *answer {
	f.last = s.out.Class.String()
	if s.out.Written > 0 {
		f.sends++
	}
	f.silent = s.out.Class == exch.Silent
	what := decide(&s.out, f.repeatable())
	switch what {
	case deliver:
		return f.answerOf(s)
	case elsewhere:
		f.refused = f.refused || s.out.Class == exch.Shed
		if f.flying > 0 {
			return nil
		}
	case repeat:
		f.maybe = true
		if s.out.Class == exch.Whole {
			f.kept = f.answerOf(s)
		}
		if f.flying > 0 {
			return nil
		}
	case lost:
		f.maybe = true
		return f.end()
	}
	if f.ctx.Err() != nil {
		return nil // loop sees the same
	}
	free := s.out.Written == 0
	if !f.limits().allowed(s.out.NotRun()) || !free && !f.proxy.parts.Limiter.Retry(f.pool, keepOf(what, f.rank() <= f.snapshot.Urgent(f.pool))) {
		return f.end()
	}
	f.proxy.meter.retries.Inc(1)
	return f.begin()
}

// rank returns how urgent the request is; 0 is the most urgent.
func (c *call) rank() int {
	if c.customer != nil && c.customer.Rank != nil {
		return *c.customer.Rank
	}
	return c.route.Rank
}

func (f *flight) limits() limits {
	attempts := f.route.Attempts
	if attempts == 0 {
		attempts = defaultAttempts
	}
	return limits{attempts: attempts, sends: f.sends + f.flying, tried: len(f.tried), left: time.Until(f.deadline), work: f.workTime()}
}

// hedge sends a request that may be repeated to a second target while the
// first one is slow.
func (f *flight) hedge() {
	if !f.repeatable() || f.flying != 1 || !f.limits().allowed(false) {
		return
	}
	if f.limits().left < f.workTime() || !f.proxy.parts.Limiter.Retry(f.pool, keepHedge) {
		return
	}
	f.proxy.meter.retries.Inc(1)
	// Without another target the first one stays the only one.
	_ = f.begin()
}

// late is the answer at the deadline.
func (f *flight) late() *answer {
	f.silent = f.flying > 0
	f.maybe = f.maybe || f.silent
	return f.end()
}

// end is the answer when nothing more is sent.
func (f *flight) end() *answer {
	switch {
	case f.kept != nil:
		return f.kept
	case f.maybe && f.silent:
		return refusal(refuse.New(refuse.KindLate, refuse.Unknown, "the target did not answer in time", "ask for the state before sending the request again"), 0)
	case f.maybe:
		return refusal(refuse.New(refuse.KindTarget, refuse.Unknown, "the target's answer was lost", "ask for the state before sending the request again"), 0)
	case f.refused:
		return refusal(refuse.New(refuse.KindBusy, refuse.NotRun, "the targets have no free slots", "retry later"), f.workTime())
	default:
		return refusal(refuse.New(refuse.KindBusy, refuse.NotRun, "no target could be reached", "retry later"), soon)
	}
}

// answerOf returns the target's answer for the caller.
func (f *flight) answerOf(s *send) *answer {
	status := s.resp.StatusCode()
	if promises(status) {
		// The target ran the request, whatever its status tells callers.
		return refusal(refuse.New(refuse.KindTarget, refuse.Unknown, "the target failed the request", "ask for the state before sending the request again"), 0)
	}
	shape.RemoveHop(&s.resp.Header)
	a := &answer{status: status, kind: "answer", header: make(http.Header), body: s.resp.Body()}
	for name, value := range s.resp.Header.All() {
		a.header.Add(string(name), string(value))
	}
	for _, name := range f.proxy.parts.Words.Run {
		a.header.Del(name)
	}
	a.header.Del("Content-Length")
	return a
}

// prepare builds the request for a target.
func (f *flight) prepare(req *fasthttp.Request) {
	words := &f.proxy.parts.Words
	h := &req.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetMethod(f.request.Method)
	h.SetRequestURI(f.request.RequestURI)
	for name, values := range f.request.Header {
		if http.CanonicalHeaderKey(name) == http.CanonicalHeaderKey(words.Key) || name == words.Customer || name == words.Deadline {
			continue
		}
		for _, v := range values {
			h.Add(name, v)
		}
	}
	shape.RemoveHop(h)
	h.Del("Content-Length")
	h.Del("Expect")
	h.SetHost(f.request.Host)
	if f.customer != nil {
		h.Set(words.Customer, string(f.customer.ID))
	}
	if len(f.body) > 0 || f.request.ContentLength != 0 {
		req.SetBodyRaw(f.body)
	}
}
