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
	"rhubarbdrift.example/objapi"
	"rhubarbdrift.example/store"
)

// readyTimeout bounds the time until the daemon serves its first request.
const readyTimeout = 30 * time.Second

// fleet is the system under measurement: a platform, targets and one daemon.
type fleet struct {
	targets []string       // addresses
	entry   string         // address of the daemon for callers
	daemon  *process       // nil if the daemon runs in this process
	stops   []func() error // stop functions, in the order of the starts
}

// startFleet starts the targets, the platform and the daemon, and waits until
// the daemon serves requests. On failure it stops whatever was started.
func startFleet(ctx context.Context, p *Plan) (*fleet, error) {
	f := new(fleet)
	steps := []func(context.Context, *Plan) error{f.startTargets, f.startDaemon, f.waitReady}
	for _, step := range steps {
		if err := step(ctx, p); err != nil {
			return nil, errors.Join(err, f.close())
		}
	}
	return f, nil
}

// close stops everything in reverse order of the starts.
func (f *fleet) close() error {
	var errs []error
	for i := len(f.stops) - 1; i >= 0; i-- {
		errs = append(errs, f.stops[i]())
	}
	return errors.Join(errs...)
}

// startTargets starts the stand-in targets, with directSlots slots each.
func (f *fleet) startTargets(ctx context.Context, p *Plan) error {
	for i := range p.Targets {
		t, err := start(ctx, p.Program, "target", "--name", fmt.Sprintf("real-%d", i), "--slots", fmt.Sprint(directSlots), "--work", p.Work.String())
		if err != nil {
			return err
		}
		f.stops = append(f.stops, t.stop)
		f.targets = append(f.targets, t.address)
	}
	return nil
}

// startDaemon starts the platform, whose store holds the configuration of tables and
// the host of the daemon, and then the daemon. The ports are, in this order, that of
// the platform and those of the daemon for callers, peers and operators.
func (f *fleet) startDaemon(ctx context.Context, p *Plan) error {
	ports, err := freePorts(ctx, 4)
	if err != nil {
		return err
	}
	mem := store.NewMem()
	if err := commit(ctx, mem, tables(f.targets)); err != nil {
		return err
	}
	mem.SetHost(store.Host{ID: "entry-1", Region: region, Domain: domain, Address: ports[2]})
	platform := objapi.New(objapi.WithMem(mem))
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
	if p.InProcess {
		return f.runInProcess(ctx, settings)
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

// runInProcess runs the daemon in this process. It ends with close, not with ctx.
func (f *fleet) runInProcess(ctx context.Context, settings string) error {
	s, err := config.Decode([]byte(settings))
	if err != nil {
		return err
	}
	d, err := daemon.New(s)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	f.stops = append(f.stops, func() error { cancel(); return <-done })
	return nil
}

// waitReady polls until a request through the daemon gets status 200 or readyTimeout has
// passed.
func (f *fleet) waitReady(ctx context.Context, _ *Plan) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
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
			return fmt.Errorf("daemon is not serving requests: %w", ctx.Err())
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// freePorts returns n loopback addresses that no process listens on.
func freePorts(ctx context.Context, n int) ([]string, error) {
	var addresses []string
	var lc net.ListenConfig
	for range n {
		ln, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, ln.Addr().String())
		defer func() { _ = ln.Close() }()
	}
	return addresses, nil
}
