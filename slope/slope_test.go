package slope

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/inproc"
)

// TestMeasure guards against a measurement that fails, leaves a series empty or
// draws an invalid plot. Its sizes are minimal, so the measured values are not
// meaningful.
func TestMeasure(t *testing.T) {
	tiny := Plan{
		Customers: []int{10}, Routes: []int{10}, Targets: []int{pools}, Hosts: []int{3}, CellsWithoutLeases: []inproc.Shape{{Cells: 1, Members: 3}},
		FleetsWithLeases: []inproc.Shape{{Cells: 1, Members: 3, Shards: 2}}, Settle: 4 * time.Second, Window: time.Second, Changes: 1, CallsPerSize: 10,
		RequestRates: []int{20}, ReportRows: []int{1}, BucketCustomers: []int{10},
	}
	r, err := Measure(t.Context(), tiny)
	must.NoError(t, err)
	for _, s := range r.Series {
		must.SliceNotEmpty(t, s.Points, must.Sprint(s.Mechanism))
	}
	var table bytes.Buffer
	must.NoError(t, r.Print(&table))
	must.StrContains(t, table.String(), "judge.report")
	d := xml.NewDecoder(bytes.NewReader(r.Plot()))
	for err == nil {
		_, err = d.Token()
	}
	must.True(t, errors.Is(err, io.EOF), must.Sprint(err))
}
