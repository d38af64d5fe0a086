package report

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/fault"
)

// sample returns a sample of pool p and target t.
func sample(k Kind, latency time.Duration) Sample {
	return Sample{Pool: "p", Target: "t", Customer: "c", Route: "r", Kind: k, Latency: latency}
}

// TestCounts guards against answers that are lost, counted twice or reported late, and
// against counts that change between Encode and Decode.
func TestCounts(t *testing.T) {
	c := NewCollector(Reporter{Host: "h", Domain: "d"}, "1")
	for range 20 {
		c.Record(sample(Complete, 40*time.Millisecond))
	}
	must.SliceEmpty(t, c.FlushUrgent())
	c.Record(sample(Complete, 400*time.Millisecond))
	for _, k := range []Kind{Failed, Broken, NoResponse, Shed, Draining} {
		c.Record(sample(k, 0))
	}
	<-c.UrgentC()
	list := c.FlushUrgent()
	must.SliceLen(t, 1, list)
	data, err := list[0].Encode()
	must.NoError(t, err)
	t.Logf("%d bytes", len(data))
	got, err := Decode(data)
	must.NoError(t, err)
	must.Eq(t, &list[0], got)
	must.Eq(t, TargetCounts{
		Target: "t", Answers: 24, Failed: 1, Broken: 1, NoResponse: 1, Slow: 1, Draining: 1,
		Failures: []CustomerFailures{{Customer: "c", Count: 3}},
	}, got.Rows[0])
	must.SliceEmpty(t, c.Flush())
	c.SetUrgent("p", true)
	c.Record(sample(Complete, 40*time.Millisecond))
	<-c.UrgentC()
	must.EqOp(t, 2, c.FlushUrgent()[0].Seq)
}

// TestDecode guards against invalid reports that are accepted.
func TestDecode(t *testing.T) {
	for _, r := range []Report{
		{From: Reporter{Host: "h"}},
		{Pool: "p"},
		{Pool: "p", From: Reporter{Host: "h"}, Rows: []TargetCounts{{Answers: 1}}},
		{Pool: "p", From: Reporter{Host: "h"}, Rows: []TargetCounts{{Target: "t", Answers: -1}}},
		{Pool: "p", From: Reporter{Host: "h"}, Rows: []TargetCounts{{Target: "t", Answers: 1, Failed: 1, Slow: 1}}},
		{Pool: "p", From: Reporter{Host: "h"}, Rows: []TargetCounts{{Target: "t", Failures: []CustomerFailures{{Count: -1}}}}},
		{Pool: "p", From: Reporter{Host: "h"}, Rows: make([]TargetCounts, maxRows+1)},
	} {
		data, err := r.Encode()
		must.NoError(t, err)
		_, err = Decode(data)
		must.EqOp(t, fault.KindInvalid, fault.KindOf(err))
	}
	_, err := Decode([]byte{0xff})
	must.EqOp(t, fault.KindInvalid, fault.KindOf(err))
}

// TestAllocations guards against a memory allocation for each answer.
func TestAllocations(t *testing.T) {
	c := NewCollector(Reporter{Host: "h", Domain: "d"}, "1")
	n := testing.AllocsPerRun(1000, func() {
		c.Record(sample(Complete, time.Millisecond))
		c.Record(sample(Failed, 0))
	})
	must.EqOp(t, 0, n)
}
