package slope

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"rhubarbdrift.example/inproc"
	"rhubarbdrift.example/trend"
)

// Plan holds the sizes and durations of a measurement. Each list is a series of
// sizes.
type Plan struct {
	Customers, Routes, Targets, Hosts []int
	CellsWithoutLeases                []inproc.Shape // cells without leases
	FleetsWithLeases                  []inproc.Shape // fleets with leases
	Settle, Window                    time.Duration  // warm-up of a fleet; length of an observation
	Changes                           int            // configuration changes for each fleet
	CallsPerSize                      int            // calls averaged for each size; half as many for reports and verdicts
	RequestRates                      []int          // requests per second at one token cache
	ReportRows                        []int          // targets per report
	BucketCustomers                   []int          // customers with a bucket at one owner
}

// Full covers sizes up to the largest one of docs/design.md, 1.6. It takes about
// five minutes.
var Full = Plan{
	Customers:          []int{1_000, 6_500, 13_000, 26_000},
	Routes:             []int{200, 900, 1_800, 3_700},
	Targets:            []int{400, 2_000, 4_000, 7_900},
	Hosts:              []int{38, 193, 580},
	CellsWithoutLeases: []inproc.Shape{{Cells: 1, Members: 6, Shards: 0}, {Cells: 1, Members: 12, Shards: 0}, {Cells: 1, Members: 24, Shards: 0}},
	FleetsWithLeases: []inproc.Shape{
		{Cells: 1, Members: 12, Shards: 16}, {Cells: 1, Members: 12, Shards: 32}, {Cells: 1, Members: 12, Shards: 64},
		{Cells: 1, Members: 24, Shards: 16}, {Cells: 1, Members: 24, Shards: 32}, {Cells: 1, Members: 24, Shards: 64},
		{Cells: 2, Members: 24, Shards: 64}, {Cells: 4, Members: 24, Shards: 64},
	},
	Settle: 6 * time.Second, Window: 6 * time.Second, Changes: 6, CallsPerSize: 5_000,
	RequestRates: []int{50, 200, 800}, ReportRows: []int{1, 4, 16, 40}, BucketCustomers: []int{1_000, 4_000, 16_000},
}

// Measure runs the plan. On failure it also returns the series measured so far.
func Measure(ctx context.Context, p Plan) (*trend.Report, error) {
	r := new(trend.Report)
	steps := []func(context.Context, Plan, *trend.Report) error{
		measureSnapshot, measurePicker, measureHosts, measureJudge, measureBuckets,
		measureTokenRequests, measureCache, measureEvidence, measureFleets,
	}
	for _, step := range steps {
		if err := step(ctx, p, r); err != nil {
			return r, err
		}
	}
	return r, nil
}

// heap returns the bytes of live heap objects. It collects garbage twice, because
// objects in a sync.Pool survive the first collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpuTime returns the CPU time that this process has used, in seconds, or 0 if it
// cannot be read.
func cpuTime() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}
