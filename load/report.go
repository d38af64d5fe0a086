package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rhubarbdrift.example/model"
)

// Histograms hold 1 microsecond to 10 minutes with 3 significant digits.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Report is the result of a run.
type Report struct {
	Elapsed    model.Millis `json:"elapsed"`
	EndedEarly bool         `json:"ended,omitempty"` // the context of the run ended before all requests had ended
	Customers  []Result     `json:"customers"`
}

// KindCount is the number of requests with the same class and kind.
type KindCount struct {
	Class Class  `json:"class"`
	Kind  string `json:"kind"`
	Count int    `json:"count"`
}

// Result is the summary of one customer. Sent is the sum of the six classes.
// Latencies are those of whole responses in milliseconds, from the planned start.
type Result struct {
	Customer model.CustomerID `json:"customer"`
	Sent     int              `json:"sent"`
	Whole    int              `json:"whole"`
	Refused  int              `json:"refused"` // not executed
	Unknown  int              `json:"unknown"`
	Broken   int              `json:"broken"`
	Wrong    int              `json:"wrong"`
	Failed   int              `json:"failed"`
	Skipped  int              `json:"skipped"` // not sent because the limit of concurrent requests was reached
	Kinds    []KindCount      `json:"kinds,omitempty"`
	P50      float64          `json:"p50"`
	P99      float64          `json:"p99"`
	P999     float64          `json:"p999"`
	Max      float64          `json:"max"`
	Lag      float64          `json:"lag"` // p99 of the tool's own delay before sending in milliseconds, included in the latencies
}

// Table writes the results as a table with one line per customer.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "customer\tsent\twhole\trefused\tunknown\tbroken\twrong\tfailed\tskipped\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\tlag p99 ms\t  kinds")
	for i := range r.Customers {
		c := &r.Customers[i]
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t  %s\n", c.Customer, c.Sent, c.Whole,
			c.Refused, c.Unknown, c.Broken, c.Wrong, c.Failed, c.Skipped, c.P50, c.P99, c.P999, c.Max, c.Lag, c.formatKinds())
	}
	return t.Flush()
}

// JSON writes the report as one JSON document.
func (r *Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// formatKinds returns the counts as class/kind=count, separated by spaces.
func (r *Result) formatKinds() string {
	var parts []string
	for _, k := range r.Kinds {
		parts = append(parts, fmt.Sprintf("%s/%s=%d", k.Class, k.Kind, k.Count))
	}
	return strings.Join(parts, " ")
}

// tally aggregates the answers of one customer into its summary. It is safe for
// concurrent use.
type tally struct {
	mu      sync.Mutex
	summary Result                  // without the quantiles, which result adds
	latency *hdrhistogram.Histogram // microseconds
	lag     *hdrhistogram.Histogram // microseconds
}

// newTally returns an empty tally of the customer.
func newTally(id model.CustomerID) *tally {
	return &tally{
		summary: Result{Customer: id},
		latency: hdrhistogram.New(1, histogramMax, histogramDigits),
		lag:     hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

// skip counts a request that was not sent.
func (t *tally) skip() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.summary.Skipped++
}

// add counts an answer.
func (t *tally) add(a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.summary.Sent++
	record(t.lag, a.Lag)
	switch a.Class {
	case Whole:
		t.summary.Whole++
		record(t.latency, a.Latency)
	case Refused:
		t.summary.Refused++
	case Unknown:
		t.summary.Unknown++
	case Broken:
		t.summary.Broken++
	case Wrong:
		t.summary.Wrong++
	case Failed:
		t.summary.Failed++
	}
	if a.Kind == "" {
		return
	}
	i := slices.IndexFunc(t.summary.Kinds, func(k KindCount) bool { return k.Class == a.Class && k.Kind == a.Kind })
	if i < 0 {
		i = len(t.summary.Kinds)
		t.summary.Kinds = append(t.summary.Kinds, KindCount{Class: a.Class, Kind: a.Kind})
	}
	t.summary.Kinds[i].Count++
}

// record adds d to the histogram. RecordValue cannot fail, because the value is
// clamped to the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 0), histogramMax))
}

// result returns the counts so far, sorted by class and kind, and the quantiles.
func (t *tally) result() Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	summary := t.summary
	slices.SortFunc(summary.Kinds, func(a, b KindCount) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Kind, b.Kind))
	})
	quantileMs := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	summary.P50, summary.P99, summary.P999 = quantileMs(t.latency, 50), quantileMs(t.latency, 99), quantileMs(t.latency, 99.9)
	summary.Max, summary.Lag = float64(t.latency.Max())/1000, quantileMs(t.lag, 99)
	return summary
}
