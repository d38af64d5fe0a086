package daemon

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/model"
)

// probeTimeout bounds one health probe, which takes about 25 ms.
const probeTimeout = time.Second

// probes asks the health endpoints of ejected targets of the pools judged here.
type probes struct {
	evidence *evidence
	exchange *exch.Client
	pool     func(model.PoolID) (*model.Pool, bool)
}

// Run probes until ctx ends.
func (p *probes) Run(ctx context.Context) error {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			p.round(ctx)
		}
	}
}

func (p *probes) round(ctx context.Context) {
	var g errgroup.Group
	for _, id := range p.evidence.active() {
		pool, ok := p.pool(id)
		if !ok || pool.Probe == "" {
			continue
		}
		for i := range pool.Targets {
			t := &pool.Targets[i]
			if v, bad := p.evidence.verdict(id, t.ID); !bad || v.Finding == model.FindSuspect {
				continue
			}
			g.Go(func() error {
				p.evidence.judge.Probe(id, t.ID, p.healthy(ctx, t, pool.Probe))
				return nil
			})
		}
	}
	_ = g.Wait()
}

// healthy reports whether the target's health endpoint says that it is healthy.
func (p *probes) healthy(ctx context.Context, t *model.Target, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + t.Address + path)
	out := p.exchange.Do(ctx, t, req, resp)
	return out.Class == exch.Whole && out.Status == fasthttp.StatusOK
}
