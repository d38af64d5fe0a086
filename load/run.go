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

// Run sends the planned requests and returns after the last one ended. When
// ctx ends, no further request is started; running ones are finished.
func Run(ctx context.Context, p Plan) (Report, error) {
	client := exch.New(exch.WithConnections(p.flight()))
	defer client.Close()
	return run(ctx, p, client)
}

func run(ctx context.Context, p Plan, client *exch.Client) (Report, error) {
	if err := p.Check(); err != nil {
		return Report{}, err
	}
	r := &runner{plan: &p, client: client, start: time.Now(), flight: make(chan struct{}, p.flight())}
	if p.Name == "" {
		p.Name = strconv.FormatInt(r.start.UnixNano(), 36)
	}
	tallies := make([]*tally, len(p.Customers))
	var all sync.WaitGroup
	for i := range p.Customers {
		tallies[i] = newTally(p.Customers[i].ID)
		all.Go(func() { r.drive(ctx, i, tallies[i]) })
	}
	all.Wait()
	out := Report{Elapsed: model.Millis(time.Since(r.start).Milliseconds()), Ended: ctx.Err() != nil}
	for _, t := range tallies {
		out.Customers = append(out.Customers, t.result())
	}
	return out, nil
}

// runner is the state of a run.
type runner struct {
	plan   *Plan
	client *exch.Client
	start  time.Time
	flight chan struct{}
}

// drive starts the requests of one customer at their planned times.
func (r *runner) drive(ctx context.Context, index int, t *tally) {
	c := &r.plan.Customers[index]
	interval := float64(time.Second) / float64(c.Rate)
	// Customers with the same rate start their requests between each other's.
	offset := interval * float64(index) / float64(len(r.plan.Customers))
	timer := time.NewTimer(0)
	defer timer.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; r.plan.Count == 0 || n < r.plan.Count; n++ {
		after := time.Duration(offset + float64(n)*interval)
		if after >= r.plan.Time.Duration() {
			return
		}
		due := r.start.Add(after)
		timer.Reset(time.Until(due))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		select {
		case r.flight <- struct{}{}:
		default:
			t.skip()
			continue
		}
		running.Go(func() {
			a := r.ask(c, index, n, due)
			<-r.flight
			t.add(a)
			if r.plan.Observe != nil {
				r.plan.Observe(a)
			}
		})
	}
}

// ask sends one request and judges the response.
func (r *runner) ask(c *Customer, index, n int, due time.Time) Answer {
	id := fmt.Sprintf("%s-%d-%d", r.plan.Name, index, n)
	a := Answer{Request: id, Customer: c.ID, Planned: due, Lag: time.Since(due), Entry: r.plan.Entries[(index+n)%len(r.plan.Entries)]}
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
	if !c.repeatable() {
		a.Key = id
		req.Header.Set(origin.HeaderKey, id)
		req.SetBody(make([]byte, c.Body))
	}
	ctx, cancel := context.WithDeadline(context.Background(), due.Add(r.plan.timeout()))
	defer cancel()
	target := &model.Target{ID: model.TargetID(a.Entry), Address: a.Entry}
	end := exch.Outcome{}
	out := r.client.Stream(ctx, target, req, resp, func(o exch.Outcome) { end = o })
	right := out.Class == exch.Whole && verify(c, id, resp)
	a.Latency = time.Since(due)
	a.Status = end.Status
	a.Class, a.Kind = classify(&end, resp, right)
	a.Target = model.TargetID(resp.Header.Peek(origin.HeaderTarget))
	return a
}
