package devcmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/load"
	"rhubarbdrift.example/model"
)

const loadLong = `load sends requests of several customers to entry addresses and prints a summary
per customer. It is an open-loop tool: requests start at planned times whether
or not earlier ones have ended, and latency is counted from the planned start.
It sends only to addresses in 127.0.0.0/8 and never repeats a request.

Each response is checked: it must be complete, echo the request id of the header
Rhubarbdrift-Request, and have the content that "rhubarbdrift target" derives
from this id.

PLAN

The plan is one JSON document, with comments:

  entries    IP addresses and ports, used in turn
  time       length of the run in milliseconds, at most one hour
  count      largest number of requests per customer, default no bound
  timeout    time allowed for a request in milliseconds, default 10000
  flight     largest number of running requests, default 4096
  name       prefix of the request ids, default the start time
  customers  list of {"id", "key", "rate", "path", "method", "host", "size",
             "body"}; rate is in requests per second, size and body are the
             bytes of the response and of the request

Requests other than GET, HEAD and OPTIONS carry an Idempotency-Key.

OUTPUT

  whole      complete and correct responses; the latencies are theirs
  refused    refusals that say "not run", and failed connection attempts
  unknown    refusals that say "unknown", and connections without a response
  broken     responses that broke off
  wrong      complete responses that are not those of their request
  failed     other responses with a status other than 200
  skipped    requests that were not sent because too many were running
  lag        delay of the tool itself before it sends, which is part of the
             latencies; if it is high, the machine is too busy for the run

The last column counts refused and unknown requests by kind.

SIGNALS AND STATUS

On SIGTERM no further request is started; running ones are finished, and the
summary is printed. The exit status is 1 if a response was wrong.`

// newLoad returns the load generator command.
func newLoad() *cobra.Command {
	var (
		planFile, traceFile string
		entries, customers  []string
		duration            time.Duration
		asJSON              bool
	)
	c := &cobra.Command{
		Use:   "load",
		Short: "Send checked load to entry addresses on this machine",
		Long:  loadLong,
		Example: `  rhubarbdrift load --entry 127.0.0.1:8080 --time 10s --customer '{"id":"north","key":"k1","rate":50,"size":512}'
  rhubarbdrift load --plan plan.json --json`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			p, err := readPlan(planFile, entries, customers, duration)
			if err != nil {
				return err
			}
			closeTrace, err := setTrace(traceFile, &p)
			if err != nil {
				return err
			}
			ctx, release := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer release()
			report, err := load.Run(ctx, p)
			if err = errors.Join(err, closeTrace()); err != nil {
				return err
			}
			return printReport(c.OutOrStdout(), &report, asJSON)
		},
	}
	flags := c.Flags()
	flags.StringVar(&planFile, "plan", "", "file with the plan; the flags below add to it")
	flags.StringArrayVar(&entries, "entry", nil, "entry address in 127.0.0.0/8; may be repeated")
	flags.StringArrayVar(&customers, "customer", nil, "one customer of the plan, as JSON; may be repeated")
	flags.DurationVar(&duration, "time", 0, "length of the run, e.g. 10s; replaces that of the plan")
	flags.StringVar(&traceFile, "trace", "", "file for one JSON line per request")
	flags.BoolVar(&asJSON, "json", false, "print the summary as JSON")
	return c
}

// readPlan reads the plan file, if one is given, adds the entries and customers of
// the flags and checks the result. A positive duration replaces that in the file.
func readPlan(file string, entries, customers []string, duration time.Duration) (load.Plan, error) {
	var p load.Plan
	if file != "" {
		data, err := fs.ReadFile(os.DirFS(filepath.Dir(file)), filepath.Base(file))
		if err != nil {
			return p, fault.Wrap(fault.KindMissing, err, "cannot read the plan", "check the file name of --plan")
		}
		if err := model.DecodeStrict(data, &p); err != nil {
			return p, err
		}
	}
	p.Entries = append(p.Entries, entries...)
	for _, text := range customers {
		var c load.Customer
		if err := model.DecodeStrict([]byte(text), &c); err != nil {
			return p, err
		}
		p.Customers = append(p.Customers, c)
	}
	if duration > 0 {
		p.Duration = model.Millis(duration.Milliseconds())
	}
	return p, p.Check()
}

// setTrace makes the run write one JSON line per request to the file; an empty
// name disables the trace. The returned function closes the file and returns the
// first write error.
func setTrace(file string, p *load.Plan) (func() error, error) {
	if file == "" {
		return func() error { return nil }, nil
	}
	f, err := createFile(file)
	if err != nil {
		return nil, fault.Wrap(fault.KindUnavailable, err, "cannot create the trace file", "check the file name of --trace")
	}
	var (
		mu       sync.Mutex
		firstErr error
		encoder  = json.NewEncoder(f)
	)
	p.Observe = func(a load.Answer) {
		mu.Lock()
		defer mu.Unlock()
		if err := encoder.Encode(a); firstErr == nil {
			firstErr = err
		}
	}
	return func() error { return errors.Join(firstErr, f.Close()) }, nil
}

// createFile creates or truncates a file. It opens it below its folder with
// os.Root, which does not follow a symbolic link out of the folder.
func createFile(file string) (*os.File, error) {
	dir, err := os.OpenRoot(filepath.Dir(file))
	if err != nil {
		return nil, err
	}
	f, err := dir.Create(filepath.Base(file))
	return f, errors.Join(err, dir.Close())
}

// printReport prints the summary and returns an error if a customer received a
// response that does not belong to its request.
func printReport(w io.Writer, r *load.Report, asJSON bool) error {
	write := r.Table
	if asJSON {
		write = r.JSON
	}
	if err := write(w); err != nil {
		return err
	}
	if r.EndedEarly && !asJSON {
		_, _ = fmt.Fprintln(w, "the run was stopped early")
	}
	for i := range r.Customers {
		if n := r.Customers[i].Wrong; n > 0 {
			return fault.New(fault.KindConflict, fmt.Sprintf("customer %s received %d wrong responses", r.Customers[i].Customer, n),
				"report this as a fault of the fleet, with the output of --trace")
		}
	}
	return nil
}
