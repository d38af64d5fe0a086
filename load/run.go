package load

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/origin"
)

// Run sends the planned requests and returns after the last one ended. It returns
// an error of kind fault.KindInvalid for an invalid plan. When ctx ends, Run starts
// no further requests, waits for the running ones and returns their report.
func Run(ctx context.Context, p Plan) (Report, error) {
	client := exch.New(exch.WithMaxConnections(p.maxInFlight()))
	defer client.Close()
	return run(ctx, p, client)
}

// run is Run with a given client.
func run(ctx context.Context, p Plan, client *exch.Client) (Report, error) {
	if err := p.Check(); err != nil {
		return Report{}, err
	}
	r := &runner{plan: &p, client: client, start: time.Now(), inFlight: make(chan struct{}, p.maxInFlight())}
	if p.IDPrefix == "" {
		p.IDPrefix = strconv.FormatInt(r.start.UnixNano(), 36)
	}
	tallies := make([]*tally, len(p.Customers))
	var senders sync.WaitGroup
	for i := range p.Customers {
		tallies[i] = newTally(p.Customers[i].ID)
		senders.Go(func() { r.startRequests(ctx, i, tallies[i]) })
	}
	senders.Wait()
	out := Report{Elapsed: model.Millis(time.Since(r.start).Milliseconds()), EndedEarly: ctx.Err() != nil}
	for _, t := range tallies {
		out.Customers = append(out.Customers, t.result())
	}
	return out, nil
}

// runner is the state of a run.
type runner struct {
	plan     *Plan
	client   *exch.Client
	start    time.Time
	inFlight chan struct{} // semaphore of concurrent requests
}

// startRequests starts the requests of one customer at their planned times and
// waits for them. A request is skipped if the limit of concurrent requests is
// reached.
func (r *runner) startRequests(ctx context.Context, index int, t *tally) {
	c := &r.plan.Customers[index]
	interval := float64(time.Second) / float64(c.Rate)
	// The offset is a share of the interval that grows with the index, so that
	// customers with the same rate do not send at the same times.
	offset := interval * float64(index) / float64(len(r.plan.Customers))
	timer := time.NewTimer(0)
	defer timer.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; r.plan.Count == 0 || n < r.plan.Count; n++ {
		after := time.Duration(offset + float64(n)*interval)
		if after >= r.plan.Duration.Duration() {
			return
		}
		plannedStart := r.start.Add(after)
		timer.Reset(time.Until(plannedStart))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		select {
		case r.inFlight <- struct{}{}:
		default:
			t.skip()
			continue
		}
		running.Go(func() {
			a := r.send(c, index, n, plannedStart)
			<-r.inFlight
			t.add(a)
			if r.plan.Observe != nil {
				r.plan.Observe(a)
			}
		})
	}
}

// send sends request number n of the customer at the index in the plan and
// classifies the response. Each customer uses the entries round-robin, starting
// with the one at its index.
func (r *runner) send(c *Customer, index, n int, plannedStart time.Time) Answer {
	id := fmt.Sprintf("%s-%d-%d", r.plan.IDPrefix, index, n)
	a := Answer{Request: id, Customer: c.ID, Planned: plannedStart, Lag: time.Since(plannedStart), Entry: r.plan.Entries[(index+n)%len(r.plan.Entries)]}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(c.method())
	req.Header.SetHost(c.Host)
	if c.Host == "" {
		req.Header.SetHost(a.Entry)
	}
	req.SetRequestURI(c.uri())
	req.Header.Set(origin.HeaderRequest, id)
	if c.Key != "" {
		req.Header.Set("X-Api-Key", c.Key)
	}
	if !c.safeMethod() {
		a.Key = id
		req.Header.Set(origin.HeaderKey, id)
		req.SetBody(make([]byte, c.RequestSize))
	}
	ctx, cancel := context.WithDeadline(context.Background(), plannedStart.Add(r.plan.timeout()))
	defer cancel()
	target := &model.Target{ID: model.TargetID(a.Entry), Address: a.Entry}
	// The first outcome is that at the header, the final one that after the body.
	finalOutcome := exch.Outcome{}
	firstOutcome := r.client.Stream(ctx, target, req, resp, func(o exch.Outcome) { finalOutcome = o })
	correct := firstOutcome.Class == exch.Complete && verify(c, id, resp)
	a.Latency = time.Since(plannedStart)
	a.Status = finalOutcome.Status
	a.Class, a.Kind = classify(&finalOutcome, resp, correct)
	a.Target = model.TargetID(resp.Header.Peek(origin.HeaderTarget))
	return a
}
