package slope

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/inproc"
	"rhubarbdrift.example/judge"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/pick"
	"rhubarbdrift.example/quota"
	"rhubarbdrift.example/report"
	"rhubarbdrift.example/store"
	"rhubarbdrift.example/trend"
)

// The sizes that a measurement does not vary. fleetSize and cellSize are numbers of
// daemons.
const (
	fewCustomers = 1_000
	fewRoutes    = 200
	fewTargets   = 400
	pools        = inproc.Pools
	fleetSize    = 580
	cellSize     = 24
)

// measureSnapshot measures the configuration snapshot that each daemon holds: its
// memory, the time to load it, and the cost of installing a change.
func measureSnapshot(ctx context.Context, p Plan, r *trend.Report) error {
	size := r.Add("conf snapshot, heap", "customers", "bytes")
	loadTime := r.Add("conf load, time", "customers", "ms")
	loadBytes := r.Add("conf load, chunks", "customers", "bytes")
	changeTime := r.Add("conf install of one changed chunk, time", "customers", "ms")
	changeBytes := r.Add("conf changed chunk and root", "customers", "bytes")
	for _, n := range p.Customers {
		c, err := snapshotCosts(ctx, inproc.SampleConfig(n, fewRoutes, fewTargets))
		if err != nil {
			return err
		}
		size.Add(float64(n), c.heap)
		loadTime.Add(float64(n), c.loadTime)
		loadBytes.Add(float64(n), c.loadBytes)
		changeTime.Add(float64(n), c.changeTime)
		changeBytes.Add(float64(n), c.changeBytes)
	}
	size = r.Add("conf snapshot, heap", "routes", "bytes")
	for _, n := range p.Routes {
		c, err := snapshotCosts(ctx, inproc.SampleConfig(fewCustomers, n, fewTargets))
		if err != nil {
			return err
		}
		size.Add(float64(n), c.heap)
	}
	size = r.Add("conf snapshot, heap", "targets", "bytes")
	for _, n := range p.Targets {
		c, err := snapshotCosts(ctx, inproc.SampleConfig(fewCustomers, fewRoutes, n))
		if err != nil {
			return err
		}
		size.Add(float64(n), c.heap)
	}
	return nil
}

// costs holds the costs of a snapshot: its heap in bytes, the times of the load and of
// the change in milliseconds, the bytes of the chunks read for the load, and those of
// the root and the chunks read for the change.
type costs struct{ heap, loadTime, loadBytes, changeTime, changeBytes float64 }

// snapshotCosts loads a configuration, then installs a change of one customer.
func snapshotCosts(ctx context.Context, in *model.Intent) (costs, error) {
	m := store.NewMem()
	if err := inproc.Commit(ctx, m, in, 1); err != nil {
		return costs{}, err
	}
	var c costs
	readChunk := func(d model.Digest) ([]byte, error) {
		o, err := m.Get(ctx, store.KindChunk, string(d))
		c.loadBytes += float64(len(o.Value))
		return bytes.Clone(o.Value), err
	}
	root, _, err := conf.ReadRoot(ctx, m)
	if err != nil {
		return costs{}, err
	}
	before := heap()
	start := time.Now()
	previous, err := conf.Assemble(root, readChunk)
	if err != nil {
		return costs{}, err
	}
	c.loadTime = milliseconds(time.Since(start))
	c.heap = heap() - before
	firstBytes := c.loadBytes // readChunk adds the chunks of the change to c.loadBytes, too
	in.Customers[0].Rate++
	if err := inproc.Commit(ctx, m, in, 2); err != nil {
		return costs{}, err
	}
	if root, _, err = conf.ReadRoot(ctx, m); err != nil {
		return costs{}, err
	}
	start = time.Now()
	next, err := conf.Assemble(root, readChunk, conf.WithBase(previous))
	c.changeTime = milliseconds(time.Since(start))
	value, encodeErr := conf.EncodeRoot(&root)
	if encodeErr != nil {
		return costs{}, encodeErr
	}
	c.changeBytes = c.loadBytes - firstBytes + float64(len(value))
	c.loadBytes = firstBytes
	runtime.KeepAlive(next)
	return c, err
}

// milliseconds converts a duration.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measurePicker measures the target table of one daemon. The timed update is the second
// one, of a filled table; nothing changes between the two updates.
func measurePicker(_ context.Context, p Plan, r *trend.Report) error {
	size := r.Add("pick table, heap", "targets", "bytes")
	elapsed := r.Add("pick update after a change, time", "targets", "ms")
	for _, n := range p.Targets {
		in := inproc.SampleConfig(1, 1, n)
		list := make([]*model.Pool, len(in.Pools))
		for i := range in.Pools {
			list[i] = &in.Pools[i]
		}
		var daemons []pick.Daemon
		for i := range fleetSize {
			daemons = append(daemons, pick.Daemon{Host: inproc.HostID(i), Region: model.Region(fmt.Sprintf("region-%d", i%3)), Domain: model.Domain(fmt.Sprintf("domain-%d", i%10))})
		}
		before := heap()
		picker := pick.New(daemons[0])
		picker.Update(list, daemons)
		size.Add(float64(n), heap()-before)
		start := time.Now()
		picker.Update(list, daemons)
		elapsed.Add(float64(n), milliseconds(time.Since(start)))
		runtime.KeepAlive(picker)
		runtime.KeepAlive(list)
	}
	return nil
}

// measureHosts measures the size of the response to one read of the host list.
func measureHosts(ctx context.Context, p Plan, r *trend.Report) error {
	size := r.Add("host list, one reading", "daemons", "bytes")
	for _, n := range p.Hosts {
		m := store.NewMem()
		for i := range n {
			m.SetHost(store.Host{
				ID: inproc.HostID(i), Address: fmt.Sprintf("10.1.%d.%d:7100", i/250, i%250),
				Region: model.Region(fmt.Sprintf("region-%d", i%3)), Domain: model.Domain(fmt.Sprintf("domain-%d", i%10)),
			})
		}
		list, err := m.Hosts(ctx)
		if err != nil {
			return err
		}
		body, err := json.Marshal(list)
		if err != nil {
			return err
		}
		size.Add(float64(n), float64(len(body)))
	}
	return nil
}

// measureJudge measures the memory of a judge that receives reports from a whole
// cell.
func measureJudge(_ context.Context, p Plan, r *trend.Report) error {
	size := r.Add("judge with 24 reporters, heap", "targets", "bytes")
	for _, n := range p.Targets {
		before := heap()
		j := judge.New("judge", "run")
		for host := range cellSize {
			for pool := range pools {
				j.HandleReport(reportOn(inproc.HostID(host), inproc.PoolID(pool), 1, n/pools))
			}
		}
		size.Add(float64(n), heap()-before)
		runtime.KeepAlive(j)
	}
	return nil
}

// reportOn returns a report without failures on the given number of targets.
func reportOn(from model.HostID, pool model.PoolID, seq uint64, rows int) *report.Report {
	q := &report.Report{Pool: pool, From: report.Reporter{Host: from, Domain: "domain-1"}, Run: "0b0f3a3e-6b0a-4a57-93a5-6b1f3e0c2a11", Seq: seq}
	for i := range rows {
		q.Rows = append(q.Rows, report.TargetCounts{Target: model.TargetID(string(pool) + "/" + string(inproc.TargetID(i))), Answers: 12})
	}
	return q
}

// allShards is the quota.OwnerTable of a host that owns every shard.
type allShards struct{}

// Holds always returns true.
func (allShards) Holds(model.Shard) bool { return true }

// Owner always returns the host of the owner.
func (allShards) Owner(model.Shard) (model.HostID, bool) { return "owner", true }

// newOwner returns a running quota owner of all shards, ready to grant. Any customer
// ID is accepted, with the same limits.
func newOwner(ctx context.Context, regions []model.Region, peers inproc.UnreachablePeers) (*quota.Owner, error) {
	findCustomer := func(id model.CustomerID) (*model.Customer, bool) {
		return &model.Customer{ID: id, Rate: 1000, Burst: 2000}, true
	}
	o := quota.NewOwner(regions[0], regions, allShards{}, findCustomer, store.NewMem(), peers)
	go func() { _ = o.Run(ctx) }()
	return o, inproc.Sleep(ctx, ownerDelay)
}

// ownerDelay exceeds the time that a new owner of a shard waits before its first
// grant.
const ownerDelay = 2 * time.Second

// measureBuckets measures the memory of the token buckets of an owner. It drops the
// errors of Grant: a request that is refused before its bucket is created, for example
// because the shard is not ready, makes the figure too low.
func measureBuckets(ctx context.Context, p Plan, r *trend.Report) error {
	size := r.Add("quota buckets at the owner, heap", "customers", "bytes")
	for _, n := range p.BucketCustomers {
		ownerCtx, cancel := context.WithCancel(ctx)
		o, err := newOwner(ownerCtx, []model.Region{"region-0"}, inproc.UnreachablePeers{})
		if err == nil {
			before := heap()
			for i := range n {
				id := model.CustomerID(fmt.Sprintf("customer-%05d", i))
				_, _ = o.Grant(ctx, quota.TokenRequest{From: quota.Origin{Host: "asker", Incarnation: "run", Region: "region-0"}, Seq: uint64(i + 1), Customer: id, Tokens: 1})
			}
			size.Add(float64(n), heap()-before)
		}
		runtime.KeepAlive(o)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}
