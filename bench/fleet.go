package bench

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"rhubarbdrift.example/config"
	"rhubarbdrift.example/daemon"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/plat"
	"rhubarbdrift.example/store"
)

// readyLimit bounds the time in which the daemon must serve the first request.
const readyLimit = 30 * time.Second

// fleet is what a run measures.
type fleet struct {
	targets []string
	entry   string
	daemon  *process // nil if it runs inside
	stops   []func() error
}

// open starts the platform, the targets and the daemon.
func open(ctx context.Context, p *Plan) (*fleet, error) {
	f := new(fleet)
	steps := []func(context.Context, *Plan) error{f.openTargets, f.openDaemon, f.ready}
	for _, step := range steps {
		if err := step(ctx, p); err != nil {
			return nil, errors.Join(err, f.close())
		}
	}
	return f, nil
}

// close ends everything in reverse order.
func (f *fleet) close() error {
	var errs []error
	for i := len(f.stops) - 1; i >= 0; i-- {
		errs = append(errs, f.stops[i]())
	}
	return errors.Join(errs...)
}

func (f *fleet) openTargets(ctx context.Context, p *Plan) error {
	for i := range p.Targets {
		t, err := start(ctx, p.Program, "target", "--name", fmt.Sprintf("real-%d", i), "--slots", fmt.Sprint(spare), "--work", p.Work.String())
		if err != nil {
			return err
		}
		f.stops = append(f.stops, t.stop)
		f.targets = append(f.targets, t.address)
	}
	return nil
}

// openDaemon starts the platform with the tables, and a daemon.
func (f *fleet) openDaemon(ctx context.Context, p *Plan) error {
	ports, err := freePorts(ctx, 4)
	if err != nil {
		return err
	}
	mem := store.NewMem()
	if err := commit(ctx, mem, tables(f.targets)); err != nil {
		return err
	}
	mem.SetHost(store.Host{ID: "entry-1", Region: region, Domain: domain, Address: ports[2]})
	platform := plat.New(plat.WithMem(mem))
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", ports[0])
	if err != nil {
		return err
	}
	go func() { _ = platform.Serve(ln) }()
	f.stops = append(f.stops, platform.Stop)
	f.entry = ports[1]
	settings := fmt.Sprintf(`{"host": "entry-1", "region": %q, "domain": %q, "cell": "north-1", "regions": [%q],
"platform": "http://%s", "listen": {"callers": %q, "peers": %q, "admin": %q}, "shards": 64, "drain": 0,
"operators": [{"name": "bench", "digest": %q}]}`,
		region, domain, region, ports[0], ports[1], ports[2], ports[3], model.DigestOf([]byte("bench")))
	if p.Inside {
		return f.inside(ctx, settings)
	}
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return err
	}
	f.stops = append(f.stops, func() error { return os.RemoveAll(dir) })
	file := filepath.Join(dir, "entry-1.json")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	f.daemon, err = start(ctx, p.Program, "daemon", file)
	if err != nil {
		return err
	}
	f.stops = append(f.stops, f.daemon.stop)
	return nil
}

// inside runs the daemon in this process.
func (f *fleet) inside(ctx context.Context, text string) error {
	s, err := config.Decode([]byte(text))
	if err != nil {
		return err
	}
	d, err := daemon.New(s)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	f.stops = append(f.stops, func() error { cancel(); return <-ended })
	return nil
}

// ready waits until the daemon serves requests.
func (f *fleet) ready(ctx context.Context, _ *Plan) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.entry+path, nil)
		if err != nil {
			return err
		}
		req.Header.Set("X-Api-Key", keyOf(0))
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the daemon does not serve: %w", ctx.Err())
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// freePorts returns addresses on loopback that nobody listens on.
func freePorts(ctx context.Context, n int) ([]string, error) {
	var out []string
	var lc net.ListenConfig
	for range n {
		ln, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		out = append(out, ln.Addr().String())
		defer func() { _ = ln.Close() }()
	}
	return out, nil
}
