package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/pprof"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/load"
	"rhubarbdrift.example/model"
)

// warmUp is the length of the two uncounted rounds at the start of each rate, one
// direct and one through the daemon.
const warmUp = 2 * time.Second

// Plan describes a benchmark run.
type Plan struct {
	Program       string        // path of the program
	Rates         []model.Rate  // requests per second, measured in this order
	RoundDuration time.Duration // length of a round
	Rounds        int           // number of direct rounds, and of rounds through the daemon
	Targets       int           // number of stand-in targets
	Work          time.Duration // execution time of a request at a target
	InProcess     bool          // runs the daemon in this process
	Profile       io.Writer     // receives a CPU profile of the measuring process in the round through the daemon, only if Rounds is 1; may be nil
}

// LatencySummary holds latency percentiles of complete responses in milliseconds.
// Planned latency counts from the scheduled start of a request, sent latency
// from the actual start, which is later by the delay of the load generator.
type LatencySummary struct {
	Planned50, Planned99 float64
	Sent50, Sent99       float64
	Completed            int
	NotCompleted         int            // number of other requests: refused, failed, unknown, broken, wrong, skipped
	Kinds                map[string]int // number of answers by class and kind of package load, without answers that have no kind
}

// minus returns the differences of the percentiles, without the counts.
func (l LatencySummary) minus(direct LatencySummary) LatencySummary {
	return LatencySummary{
		Planned50: l.Planned50 - direct.Planned50, Planned99: l.Planned99 - direct.Planned99,
		Sent50: l.Sent50 - direct.Sent50, Sent99: l.Sent99 - direct.Sent99,
	}
}

// Result holds the figures at one request rate. The CPU and memory figures are
// zero if the daemon runs in the measuring process.
type Result struct {
	Rate          model.Rate
	Direct        LatencySummary
	ViaDaemon     LatencySummary
	CPUPerRequest time.Duration // CPU time of the daemon per request, less what it uses without load
	IdleCPU       float64       // share of one core that the daemon uses without load
	Memory        float64       // resident memory of the daemon in MB
}

// Report holds the results of a run, one per rate.
type Report []Result

// Run starts the daemon and the targets, measures each rate and returns the
// results in the order of the rates. It fails if a response belongs to another
// request.
func Run(ctx context.Context, p Plan) (Report, error) {
	f, err := startFleet(ctx, &p)
	if err != nil {
		return nil, err
	}
	var results Report
	for _, rate := range p.Rates {
		r, err := f.measure(ctx, &p, rate)
		if err != nil {
			return nil, errors.Join(err, f.close())
		}
		results = append(results, r)
	}
	return results, f.close()
}

// series accumulates the rounds of one kind, direct or through the daemon.
type series struct {
	entries []string // addresses that receive the load
	mu      sync.Mutex
	planned *hdrhistogram.Histogram // microseconds
	sent    *hdrhistogram.Histogram // microseconds
	summary LatencySummary
	cpuUsed time.Duration // CPU time of the daemon during the rounds
}

func newSeries(entries ...string) *series {
	const maxLatency = int64(time.Minute / time.Microsecond)
	return &series{entries: entries, summary: LatencySummary{Kinds: make(map[string]int)}, planned: hdrhistogram.New(1, maxLatency, 3), sent: hdrhistogram.New(1, maxLatency, 3)}
}

// measure alternates direct rounds and rounds through the daemon at one rate. The
// daemon has no load during direct rounds, so its CPU time in them is the idle share.
func (f *fleet) measure(ctx context.Context, p *Plan, rate model.Rate) (Result, error) {
	direct, through := newSeries(f.targets...), newSeries(f.entry)
	for _, s := range []*series{newSeries(f.targets...), newSeries(f.entry)} {
		if err := f.round(ctx, s, rate, warmUp); err != nil {
			return Result{}, err
		}
	}
	for range p.Rounds {
		if err := f.round(ctx, direct, rate, p.RoundDuration); err != nil {
			return Result{}, err
		}
		if err := f.profiledRound(ctx, p, through, rate); err != nil {
			return Result{}, err
		}
	}
	r := Result{Rate: rate, Direct: direct.result(), ViaDaemon: through.result()}
	if f.daemon == nil {
		return r, nil
	}
	length := p.RoundDuration * time.Duration(p.Rounds)
	r.IdleCPU = float64(direct.cpuUsed) / float64(length)
	r.CPUPerRequest = (through.cpuUsed - direct.cpuUsed) / time.Duration(max(1, r.ViaDaemon.Completed+r.ViaDaemon.NotCompleted))
	var err error
	r.Memory, err = f.daemon.memory()
	return r, err
}

// profiledRound runs one round through the daemon and records a CPU profile if the
// plan asks for one and has a single round.
func (f *fleet) profiledRound(ctx context.Context, p *Plan, s *series, rate model.Rate) error {
	if p.Profile != nil && p.Rounds == 1 {
		if err := pprof.StartCPUProfile(p.Profile); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	return f.round(ctx, s, rate, p.RoundDuration)
}

// round sends load to the entries of one series and adds the results and the CPU time
// that the daemon used meanwhile to it.
func (f *fleet) round(ctx context.Context, s *series, rate model.Rate, length time.Duration) error {
	plan := load.Plan{Entries: s.entries, Duration: model.Millis(length.Milliseconds()), Observe: s.observe}
	for i := range callers {
		plan.Customers = append(plan.Customers, load.Customer{
			ID: customerID(i), Key: keyOf(i), Rate: rate / callers, Path: path, ResponseSize: bodySize,
		})
	}
	before, err := f.cpuTime()
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, plan)
	if err != nil {
		return err
	}
	after, err := f.cpuTime()
	s.cpuUsed += after - before
	for i := range report.Customers {
		c := &report.Customers[i]
		s.summary.Completed += c.Whole
		s.summary.NotCompleted += c.Sent - c.Whole + c.Skipped
		for _, k := range c.Kinds {
			s.summary.Kinds[string(k.Class)+" "+k.Kind] += k.Count
		}
		if c.Wrong > 0 {
			return fault.New(fault.KindConflict, "a response does not belong to its request", "report this as a fault")
		}
	}
	return err
}

// cpuTime returns the CPU time of the daemon process, or 0 if there is none.
func (f *fleet) cpuTime() (time.Duration, error) {
	if f.daemon == nil {
		return 0, nil
	}
	return f.daemon.cpuTime()
}

// observe records the latencies of a complete response and ignores other answers.
func (s *series) observe(a load.Answer) {
	if a.Class != load.Whole {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.planned.RecordValue(a.Latency.Microseconds())
	_ = s.sent.RecordValue((a.Latency - a.Lag).Microseconds())
}

// result returns the percentiles and counts of all rounds.
func (s *series) result() LatencySummary {
	milliseconds := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	s.summary.Planned50, s.summary.Planned99 = milliseconds(s.planned, 50), milliseconds(s.planned, 99)
	s.summary.Sent50, s.summary.Sent99 = milliseconds(s.sent, 50), milliseconds(s.sent, 99)
	return s.summary
}

// WriteTable writes for each rate three lines of latencies, and after these, again for
// each rate, a line of CPU time and memory and the Kinds of the rounds through the
// daemon.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "requests/s\t\tplanned p50 ms\tp99 ms\tsent p50 ms\tp99 ms\twhole\tothers\t")
	for _, v := range r {
		line := func(name string, l LatencySummary) {
			_, _ = fmt.Fprintf(t, "%.0f\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t\n",
				v.Rate, name, l.Planned50, l.Planned99, l.Sent50, l.Sent99, l.Completed, l.NotCompleted)
		}
		line("direct", v.Direct)
		line("daemon", v.ViaDaemon)
		line("added", v.ViaDaemon.minus(v.Direct))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, v := range r {
		_, err := fmt.Fprintf(w, "at %.0f requests/s: processor %d us/request, idle %.1f%% of a core, memory %.0f MB\n",
			v.Rate, v.CPUPerRequest.Microseconds(), 100*v.IdleCPU, v.Memory)
		if err != nil {
			return err
		}
		for kind, n := range v.ViaDaemon.Kinds {
			_, _ = fmt.Fprintf(w, "  %s: %d\n", kind, n)
		}
	}
	return nil
}
