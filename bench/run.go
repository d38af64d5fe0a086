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

// warmUp is the length of the round that is not counted before each rate.
const warmUp = 2 * time.Second

// Plan describes a run.
type Plan struct {
	Program string        // path of the program
	Rates   []model.Rate  // requests per second, one after the other
	Round   time.Duration // length of a round
	Rounds  int           // through the daemon, and as many direct ones
	Targets int           // stand-in targets
	Work    time.Duration // of a target for one request
	Inside  bool          // runs the daemon in this process
	Profile io.Writer     // receives a processor profile of the rounds through the daemon; may be nil
}

// Latency of whole responses in milliseconds. Planned latency counts from the
// planned start of a request, sent latency from its actual start, which is
// later by the tool's own delay.
type Latency struct {
	Planned50, Planned99 float64
	Sent50, Sent99       float64
	Whole                int
	Others               int            // refused, failed, unknown, broken, wrong, skipped
	Kinds                map[string]int // of the others
}

func (l Latency) minus(d Latency) Latency {
	return Latency{
		Planned50: l.Planned50 - d.Planned50, Planned99: l.Planned99 - d.Planned99,
		Sent50: l.Sent50 - d.Sent50, Sent99: l.Sent99 - d.Sent99,
	}
}

// Result holds the figures at one rate.
type Result struct {
	Rate      model.Rate
	Direct    Latency
	Through   Latency
	Processor time.Duration // of the daemon for one request, without the idle share
	Idle      float64       // share of one core that the daemon uses without requests
	Memory    float64       // MB
}

// Report holds the results of a run.
type Report []Result

// Run measures and returns the results in the order of the rates.
func Run(ctx context.Context, p Plan) (Report, error) {
	f, err := open(ctx, &p)
	if err != nil {
		return nil, err
	}
	var out Report
	for _, rate := range p.Rates {
		r, err := f.measure(ctx, &p, rate)
		if err != nil {
			return nil, errors.Join(err, f.close())
		}
		out = append(out, r)
	}
	return out, f.close()
}

// side collects the rounds of one kind.
type side struct {
	entries []string
	mu      sync.Mutex
	planned *hdrhistogram.Histogram // microseconds
	sent    *hdrhistogram.Histogram // microseconds
	out     Latency
	used    time.Duration // processor time of the daemon
}

func newSide(entries ...string) *side {
	const top = int64(time.Minute / time.Microsecond)
	return &side{entries: entries, out: Latency{Kinds: make(map[string]int)}, planned: hdrhistogram.New(1, top, 3), sent: hdrhistogram.New(1, top, 3)}
}

func (f *fleet) measure(ctx context.Context, p *Plan, rate model.Rate) (Result, error) {
	direct, through := newSide(f.targets...), newSide(f.entry)
	for _, s := range []*side{newSide(f.targets...), newSide(f.entry)} {
		if err := f.round(ctx, s, rate, warmUp); err != nil {
			return Result{}, err
		}
	}
	for range p.Rounds {
		if err := f.round(ctx, direct, rate, p.Round); err != nil {
			return Result{}, err
		}
		if err := f.profiled(ctx, p, through, rate); err != nil {
			return Result{}, err
		}
	}
	r := Result{Rate: rate, Direct: direct.result(), Through: through.result()}
	if f.daemon == nil {
		return r, nil
	}
	length := p.Round * time.Duration(p.Rounds)
	r.Idle = float64(direct.used) / float64(length)
	r.Processor = (through.used - direct.used) / time.Duration(max(1, r.Through.Whole+r.Through.Others))
	var err error
	r.Memory, err = f.daemon.memory()
	return r, err
}

func (f *fleet) profiled(ctx context.Context, p *Plan, s *side, rate model.Rate) error {
	if p.Profile != nil && p.Rounds == 1 {
		if err := pprof.StartCPUProfile(p.Profile); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	return f.round(ctx, s, rate, p.Round)
}

// round sends load to one side and adds what it sees.
func (f *fleet) round(ctx context.Context, s *side, rate model.Rate, length time.Duration) error {
	plan := load.Plan{Entries: s.entries, Time: model.Millis(length.Milliseconds()), Observe: s.observe}
	for i := range callers {
		plan.Customers = append(plan.Customers, load.Customer{
			ID: customerID(i), Key: keyOf(i), Rate: rate / callers, Path: path, Size: size,
		})
	}
	before, err := f.processor()
	if err != nil {
		return err
	}
	report, err := load.Run(ctx, plan)
	if err != nil {
		return err
	}
	after, err := f.processor()
	s.used += after - before
	for i := range report.Customers {
		c := &report.Customers[i]
		s.out.Whole += c.Whole
		s.out.Others += c.Sent - c.Whole + c.Skipped
		for _, k := range c.Kinds {
			s.out.Kinds[string(k.Class)+" "+k.Kind] += k.Count
		}
		if c.Wrong > 0 {
			return fault.New(fault.Conflict, "a response was not that of its request", "report this as a fault")
		}
	}
	return err
}

func (f *fleet) processor() (time.Duration, error) {
	if f.daemon == nil {
		return 0, nil
	}
	return f.daemon.processor()
}

func (s *side) observe(a load.Answer) {
	if a.Class != load.Whole {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.planned.RecordValue(a.Latency.Microseconds())
	_ = s.sent.RecordValue((a.Latency - a.Lag).Microseconds())
}

func (s *side) result() Latency {
	at := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	s.out.Planned50, s.out.Planned99 = at(s.planned, 50), at(s.planned, 99)
	s.out.Sent50, s.out.Sent99 = at(s.sent, 50), at(s.sent, 99)
	return s.out
}

// Table writes three lines of latencies and one of costs for each rate.
func (r Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "requests/s\t\tplanned p50 ms\tp99 ms\tsent p50 ms\tp99 ms\twhole\tothers\t")
	for _, v := range r {
		line := func(name string, l Latency) {
			_, _ = fmt.Fprintf(t, "%.0f\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t\n",
				v.Rate, name, l.Planned50, l.Planned99, l.Sent50, l.Sent99, l.Whole, l.Others)
		}
		line("direct", v.Direct)
		line("daemon", v.Through)
		line("added", v.Through.minus(v.Direct))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, v := range r {
		_, err := fmt.Fprintf(w, "at %.0f requests/s: processor %d us/request, idle %.1f%% of a core, memory %.0f MB\n",
			v.Rate, v.Processor.Microseconds(), 100*v.Idle, v.Memory)
		if err != nil {
			return err
		}
		for kind, n := range v.Through.Kinds {
			_, _ = fmt.Fprintf(w, "  %s: %d\n", kind, n)
		}
	}
	return nil
}
