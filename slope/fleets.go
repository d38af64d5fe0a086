package slope

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"time"

	"rhubarbdrift.example/inproc"
	"rhubarbdrift.example/trend"
)

// fleetCustomers is the number of customers in the configuration of a fleet. Each
// daemon in the process holds its own copy of the configuration.
const fleetCustomers = 2_000

// measureFleets measures cells when idle, during configuration changes, during
// restarts and during a platform outage.
func measureFleets(ctx context.Context, p Plan, r *trend.Report) error {
	withoutLeases := newCellSeries(r)
	for _, s := range p.CellsWithoutLeases {
		o, err := observe(ctx, p, s)
		if err != nil {
			return err
		}
		withoutLeases.add(s, o)
	}
	seriesByKey := make(map[string]*trend.Series)
	add := func(mechanism, x, unit string, size, value float64) {
		key := mechanism + x + unit
		if seriesByKey[key] == nil {
			seriesByKey[key] = r.Add(mechanism, x, unit)
		}
		seriesByKey[key].Add(size, value)
	}
	for _, s := range p.FleetsWithLeases {
		o, err := observe(ctx, p, s)
		if err != nil {
			return err
		}
		if s.Cells == 1 {
			name := fmt.Sprintf(", cell of %d", s.Members)
			add("platform writes in quiet"+name, "shards", "calls/s", float64(s.Shards), o.writes)
			add("platform reads in quiet"+name, "shards", "calls/s", float64(s.Shards), o.reads)
			add("processor time per daemon with leases"+name, "shards", "% of a core", float64(s.Shards), o.cpu)
			if s.Members == cellSize {
				add("outage of the platform per daemon, both ways", "shards", "bytes/s", float64(s.Shards), o.outageBytes)
				add("outage of the platform per daemon, processor time", "shards", "% of a core", float64(s.Shards), o.outageCPU)
			}
		}
		if s.Members == cellSize && s.Shards == mostShards(p) {
			x, size := fmt.Sprintf("cells of 24, %d shards", s.Shards), float64(s.Cells)
			add("platform writes in quiet", x, "calls/s", size, o.writes)
			add("platform reads in quiet", x, "calls/s", size, o.reads)
			add("platform calls of one change", x, "calls", size, o.changeCalls)
			add("platform calls more while a tenth restarts", x, "calls", size, o.restartCalls)
			add("change installed, p50", x, "ms", size, o.p50)
			add("change installed, max", x, "ms", size, o.slowest)
		}
	}
	return nil
}

// mostShards returns the largest number of shards of the fleets with leases.
func mostShards(p Plan) int {
	most := 0
	for _, s := range p.FleetsWithLeases {
		most = max(most, s.Shards)
	}
	return most
}

// cellSeries holds the costs of cells without leases by the number of members. reads
// holds all platform calls.
type cellSeries struct {
	messages, bytes, cpu, heap, reads, change, p50, slowest *trend.Series
}

// newCellSeries adds the series to the report.
func newCellSeries(r *trend.Report) *cellSeries {
	return &cellSeries{
		messages: r.Add("heartbeats per daemon, both ways", "members", "messages/s"),
		bytes:    r.Add("heartbeats per daemon, both ways, with HTTP/2", "members", "bytes/s"),
		cpu:      r.Add("heartbeats per daemon, processor time", "members", "% of a core"),
		heap:     r.Add("one more member in a daemon's connections, heap", "members", "bytes"),
		reads:    r.Add("platform calls of a cell in quiet, no leases", "members", "calls/s"),
		change:   r.Add("one change per daemon, both ways", "members", "bytes"),
		p50:      r.Add("change installed in a cell, p50", "members", "ms"),
		slowest:  r.Add("change installed in a cell, max", "members", "ms"),
	}
}

// add appends the costs of one fleet to all series.
func (c *cellSeries) add(s inproc.Shape, o observed) {
	n := float64(s.Members)
	c.messages.Add(n, o.messages)
	c.bytes.Add(n, o.bytes)
	c.cpu.Add(n, o.cpu)
	c.heap.Add(n, o.heap)
	c.reads.Add(n, o.reads+o.writes)
	c.change.Add(n, o.changeBytes)
	c.p50.Add(n, o.p50)
	c.slowest.Add(n, o.slowest)
}

// observed holds the costs of one fleet. Messages, bytes, CPU time and heap are per
// daemon; platform calls are those of the whole fleet.
type observed struct {
	messages, bytes, cpu, heap float64 // messages and bytes per second; CPU time in percent of a core; heap in bytes
	reads, writes              float64 // platform calls per second
	changeCalls, changeBytes   float64 // per change, beyond those of an idle fleet
	restartCalls               float64 // beyond those of an idle fleet
	outageBytes, outageCPU     float64 // bytes per second; CPU time in percent of a core
	p50, slowest               float64 // milliseconds
}

// observe runs a fleet of the given shape and measures its costs. Restarts are
// measured only in fleets with leases, cells of cellSize members and the largest
// number of shards; an outage only in a single cell with leases and cellSize members.
func observe(ctx context.Context, p Plan, s inproc.Shape) (observed, error) {
	before := heap()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := inproc.NewFleet(ctx, s, inproc.SampleConfig(fleetCustomers, fewRoutes, fewTargets))
	if err != nil {
		return observed{}, err
	}
	defer f.Close()
	if err := inproc.Sleep(ctx, p.Settle); err != nil {
		return observed{}, err
	}
	var o observed
	n := float64(len(f.Nodes))
	o.heap = (heap() - before) / n
	if err := idle(ctx, f, p.Window, &o); err != nil {
		return o, err
	}
	if err := changes(ctx, f, p, &o); err != nil {
		return o, err
	}
	if s.Shards > 0 && s.Members == cellSize && s.Shards == mostShards(p) {
		err = restarts(ctx, f, p, &o)
	}
	if err == nil && s.Cells == 1 && s.Shards > 0 && s.Members == cellSize {
		err = outage(ctx, f, p, &o)
	}
	runtime.KeepAlive(f)
	return o, err
}

// traffic returns the total messages and bytes of all nodes so far. Each message
// is counted twice, at its sender and at its receiver.
func traffic(f *inproc.Fleet) (messages, bytes float64) {
	for _, n := range f.Nodes {
		for _, m := range n.Counters.Methods() {
			messages += float64(m.MessagesSent + m.MessagesReceived)
		}
		sent, received := n.Counters.Bytes()
		bytes += float64(sent + received)
	}
	return messages, bytes
}

// idle measures the fleet during a window without changes.
func idle(ctx context.Context, f *inproc.Fleet, window time.Duration, o *observed) error {
	n, seconds := float64(len(f.Nodes)), window.Seconds()
	messages, bytes := traffic(f)
	startCalls, cpu := f.Platform.CallCounts(), cpuTime()
	if err := inproc.Sleep(ctx, window); err != nil {
		return err
	}
	cpuUsed := cpuTime() - cpu
	endMessages, endBytes := traffic(f)
	endCalls := f.Platform.CallCounts()
	o.messages = (endMessages - messages) / seconds / n
	o.bytes = (endBytes - bytes) / seconds / n
	o.cpu = cpuUsed / seconds / n * 100
	o.writes = float64(endCalls.Put+endCalls.Delete-startCalls.Put-startCalls.Delete) / seconds
	o.reads = float64(endCalls.Total()-startCalls.Total())/seconds - o.writes
	return nil
}

// changes measures p.Changes configuration changes in succession. The costs of the
// idle fleet are subtracted.
func changes(ctx context.Context, f *inproc.Fleet, p Plan, o *observed) error {
	var all []time.Duration
	_, bytes := traffic(f)
	calls, begin := f.Platform.CallCounts(), time.Now()
	for range p.Changes {
		start := time.Now()
		if err := f.CommitChange(ctx); err != nil {
			return err
		}
		latencies, err := f.WaitInstalled(ctx, start)
		if err != nil {
			return err
		}
		all = append(all, latencies...)
	}
	seconds, n := time.Since(begin).Seconds(), float64(p.Changes)
	_, endBytes := traffic(f)
	o.changeCalls = (float64(f.Platform.CallCounts().Total()-calls.Total()) - (o.reads+o.writes)*seconds) / n
	o.changeBytes = ((endBytes-bytes)/float64(len(f.Nodes)) - o.bytes*seconds) / n
	slices.Sort(all)
	o.p50 = milliseconds(all[len(all)/2])
	o.slowest = milliseconds(all[len(all)-1])
	return nil
}

// restarts restarts a tenth of the daemons without a planned stop, one directly
// after the other, and measures the additional platform calls.
func restarts(ctx context.Context, f *inproc.Fleet, p Plan, o *observed) error {
	calls := f.Platform.CallCounts().Total()
	for i := 0; i < len(f.Nodes); i += 10 {
		f.Nodes[i].Stop()
		if err := f.Nodes[i].Start(ctx, nil); err != nil {
			return err
		}
	}
	if err := inproc.Sleep(ctx, p.Window); err != nil {
		return err
	}
	o.restartCalls = float64(f.Platform.CallCounts().Total()-calls) - (o.reads+o.writes)*p.Window.Seconds()
	return nil
}

// outageDelay is the time from the start of a platform outage until all leases are
// extended by votes.
const outageDelay = 10 * time.Second

// outage measures the traffic and the CPU time of the votes by which lease holders
// extend their leases during a platform outage.
func outage(ctx context.Context, f *inproc.Fleet, p Plan, o *observed) error {
	f.Platform.SetUnavailable(true)
	defer f.Platform.SetUnavailable(false)
	if err := inproc.Sleep(ctx, outageDelay); err != nil {
		return err
	}
	_, startBytes := traffic(f)
	startCPU := cpuTime()
	if err := inproc.Sleep(ctx, p.Window); err != nil {
		return err
	}
	cpuUsed := cpuTime() - startCPU
	_, endBytes := traffic(f)
	n := float64(len(f.Nodes)) * p.Window.Seconds()
	o.outageBytes, o.outageCPU = (endBytes-startBytes)/n, cpuUsed/n*100
	return nil
}
