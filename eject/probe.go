package eject

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/kernel"
	"rhubarbdrift.example/model"
)

// probeTimeout is the timeout of one health probe, which usually takes about 25 ms.
const probeTimeout = time.Second

// Prober sends health probes to the ejected targets of the pools judged here.
type Prober struct {
	detector *Detector
	exchange *exch.Client
	pool     func(model.PoolID) (*model.Pool, bool)
}

// NewProber returns a Prober that looks up the targets and the health path of a pool
// with the given function.
func NewProber(d *Detector, x *exch.Client, pool func(model.PoolID) (*model.Pool, bool)) *Prober {
	return &Prober{detector: d, exchange: x, pool: pool}
}

// Run probes once per reportInterval until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	return kernel.Every(ctx, reportInterval, p.probeAll)
}

// probeAll probes all ejected and draining targets that don't leave concurrently and waits for the
// results.
func (p *Prober) probeAll(ctx context.Context) {
	var g errgroup.Group
	for _, id := range p.detector.judgedPools() {
		pool, ok := p.pool(id)
		if !ok || pool.Probe == "" {
			continue
		}
		for i := range pool.Targets {
			t := &pool.Targets[i]
			if t.Leaving {
				continue // it gets no requests, and nothing else is sent to an evacuated domain
			}
			if v, found := p.detector.Verdict(id, t.ID); !found || v.Finding == model.FindingSuspect {
				continue
			}
			g.Go(func() error {
				p.detector.judge.RecordProbe(id, t.ID, p.healthy(ctx, t, pool.Probe))
				return nil
			})
		}
	}
	_ = g.Wait()
}

// healthy reports whether the health endpoint of the target returns status 200 within
// probeTimeout.
func (p *Prober) healthy(ctx context.Context, t *model.Target, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + t.Address + path)
	out := p.exchange.Do(ctx, t, req, resp)
	return out.Class == exch.Complete && out.Status == fasthttp.StatusOK
}
