package pick

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// bench is a picker with a clock that the test moves.
type bench struct {
	*Picker
	now  time.Time
	pool *model.Pool
}

func newBench(targets, slots int, floor model.Share) *bench {
	b := &bench{now: time.Unix(1000, 0), pool: somePool("p", targets, slots, floor)}
	b.Picker = New(Daemon{Host: "h0", Region: "r0", Domain: "d0"},
		WithClock(func() time.Time { return b.now }), WithSource(rand.NewPCG(1, 2)))
	b.Update([]*model.Pool{b.pool}, nil)
	return b
}

// somePool alternates between two regions of two failure domains each.
func somePool(id model.PoolID, targets, slots int, floor model.Share) *model.Pool {
	p := &model.Pool{ID: id, Floor: floor}
	for i := range targets {
		p.Targets = append(p.Targets, model.Target{
			ID: model.TargetID(fmt.Sprintf("%s-%d", id, i)), Slots: model.Slots(slots),
			Region: model.Region(fmt.Sprintf("r%d", i%2)), Domain: model.Domain(fmt.Sprintf("d%d", i%4)),
		})
	}
	return p
}

func (b *bench) counts(n int, r Result) map[model.TargetID]int {
	out := make(map[model.TargetID]int)
	for range n {
		if h, err := b.Pick(Need{Pool: "p"}); err == nil {
			out[h.Target().ID]++
			h.Done(r)
		}
	}
	return out
}

func verdicts(judge model.HostID, seq uint64, ids ...model.TargetID) *model.VerdictSet {
	s := &model.VerdictSet{Pool: "p", Judge: judge, Seq: seq}
	for i, id := range ids {
		s.List = append(s.List, model.Verdict{Target: id, Finding: model.FindFailing, Severity: 1 - float32(i)/100})
	}
	return s
}

// TestInFlight guards against counts that are lost or misplaced when the
// configuration changes, also when a target or the pool is gone for a while.
func TestInFlight(t *testing.T) {
	b := newBench(2, 1, 0)
	h, err := b.Pick(Need{Pool: "p"})
	must.NoError(t, err)
	for _, pools := range [][]*model.Pool{{somePool("p", 2, 1, 0)}, {}, {somePool("p", 2, 1, 0)}, {somePool("p", 0, 0, 0)}, {b.pool}} {
		b.Update(pools, nil)
	}
	must.EqOp(t, 1, b.Status("p")[0].Flight)
	_, err = b.Pick(Need{Pool: "p"})
	must.EqOp(t, KindBusy, fault.KindOf(err))
	free := b.Free("p")
	h.Done(Whole)
	<-free
	must.EqOp(t, 0, b.Status("p")[0].Flight)
	must.MapLen(t, 1, b.counts(4, Whole))
}

// TestErrors guards against refusals of the wrong kind.
func TestErrors(t *testing.T) {
	b := newBench(2, 1, 0)
	_, err := b.Pick(Need{Pool: "none"})
	must.EqOp(t, fault.Missing, fault.KindOf(err))
	_, err = b.Pick(Need{Pool: "p", Deadline: b.now})
	must.EqOp(t, fault.Late, fault.KindOf(err))
	_, err = b.Pick(Need{Pool: "p", Tried: []model.TargetID{"p-0", "p-1"}})
	must.EqOp(t, fault.Unavailable, fault.KindOf(err))
}

// TestSpill guards against more than a tenth of the requests in the other
// region, against none when the own region is full, and against the cap where
// the own region has no targets.
func TestSpill(t *testing.T) {
	b := newBench(8, 1, 0)
	near, far := 0, 0
	for i := range 4000 {
		h, err := b.Pick(Need{Pool: "p"})
		if err != nil {
			must.EqOp(t, KindBusy, fault.KindOf(err))
		} else if h.Target().Region == "r0" {
			near++
			if i%2 == 0 {
				defer h.Done(Whole) // the own region fills up for good
			} else {
				h.Done(Whole)
			}
		} else {
			far++
			h.Done(Whole)
		}
		must.LessEq(t, near+far, 10*far)
	}
	must.EqOp(t, 0, b.Capacity("p")-4) // the saved share is used up
	b = newBench(8, 6, 0)
	for i := range b.pool.Targets {
		b.pool.Targets[i].Region = "r1"
	}
	b.Update([]*model.Pool{b.pool}, nil)
	must.MapLen(t, 8, b.counts(400, Whole))
	b = newBench(8, 6, 0)
	b.counts(400, Whole)
	far = 0
	for range 100 {
		if h, err := b.Pick(Need{Pool: "p"}); err == nil && h.Target().Region == "r1" {
			far++
		}
	}
	must.Positive(t, far)
}

// TestLimit guards against limits that grow without use or beyond the slots,
// and against a target that sheds and is not spared.
func TestLimit(t *testing.T) {
	daemons := []Daemon{{Host: "h0", Region: "r0"}, {Host: "h1", Region: "r0"}}
	b := newBench(1, 8, 0)
	b.pool = somePool("p", 1, 4, 0)
	b.Picker = New(Daemon{Host: "h0", Region: "r0"}, WithClock(func() time.Time { return b.now }))
	b.Update([]*model.Pool{b.pool}, daemons)
	must.EqOp(t, 2, b.Capacity("p"))
	b.counts(100, Whole)
	must.EqOp(t, 2, b.Capacity("p")) // one at a time is no evidence for more
	fill := func() (out []*Hold) {
		for {
			h, err := b.Pick(Need{Pool: "p"})
			if err != nil {
				return out
			}
			out = append(out, h)
		}
	}
	for _, want := range []int{2, 3, 4, 4} {
		holds := fill()
		must.SliceLen(t, want, holds)
		for _, h := range holds {
			h.Done(Whole)
		}
	}
	h, err := b.Pick(Need{Pool: "p"})
	must.NoError(t, err)
	h.Done(Shed)
	must.EqOp(t, 0, b.Capacity("p"))
	b.now = b.now.Add(shedPause)
	must.EqOp(t, 2, b.Capacity("p"))
}

// TestRamp guards against a returning or cold target that receives its whole
// part at once, or nothing and so no evidence.
func TestRamp(t *testing.T) {
	b := newBench(20, 6, 0)
	part := func(id model.TargetID) float64 {
		const n = 20_000
		return float64(b.counts(n, Whole)[id]) * 10 / n
	}
	must.Between(t, 0.9, part("p-0"), 1.1)
	b.Apply(verdicts("j", 1, "p-0"))
	must.EqOp(t, 0, part("p-0"))
	b.Apply(verdicts("j", 2))
	for _, want := range []float64{0.05, 0.1, 0.2, 0.4, 0.8, 1} {
		must.Between(t, want*0.7, part("p-0"), want*1.3)
		b.now = b.now.Add(returnStep)
	}
	more := somePool("p", 22, 6, 0)
	b.Update([]*model.Pool{more}, nil)
	must.Between(t, 0.02, part("p-20"), 0.08)
	b.now = b.now.Add(coldRamp / 2)
	must.Between(t, 0.3, part("p-20"), 0.7)
}

// TestRetryDomain guards against a second attempt at the same target, or in
// the same failure domain while another has room.
func TestRetryDomain(t *testing.T) {
	b := newBench(8, 6, 0)
	for range 100 {
		h, err := b.Pick(Need{Pool: "p", Tried: []model.TargetID{"p-0"}, Domains: []model.Domain{"d0"}})
		must.NoError(t, err)
		must.EqOp(t, "d2", h.Target().Domain)
		h.Done(Whole)
	}
	h, err := b.Pick(Need{Pool: "p", Tried: []model.TargetID{"p-2", "p-6"}, Domains: []model.Domain{"d2"}})
	must.NoError(t, err)
	must.EqOp(t, "d0", h.Target().Domain)
}

// TestDrain guards against new work for a leaving or draining target, also
// below the floor, and against a draining answer that counts forever.
func TestDrain(t *testing.T) {
	b := newBench(4, 6, 1)
	h, err := b.Pick(Need{Pool: "p", Tried: []model.TargetID{"p-2"}})
	must.NoError(t, err)
	h.Done(Draining)
	must.EqOp(t, 0, b.counts(100, Whole)["p-0"])
	b.now = b.now.Add(drainMemory)
	must.Positive(t, b.counts(100, Whole)["p-0"])
	set := verdicts("j", 1, "p-2")
	set.List[0].Finding = model.FindDraining
	b.Apply(set)
	must.EqOp(t, 0, b.counts(100, Whole)["p-2"])
	leaving := somePool("p", 4, 6, 1)
	leaving.Targets[0].Leaving = true
	b.Update([]*model.Pool{leaving}, nil)
	must.EqOp(t, 0, b.counts(100, Whole)["p-0"])
}

// TestDomainVerdict guards against a path fault of one failure domain that
// ejects a target for daemons of another.
func TestDomainVerdict(t *testing.T) {
	b := newBench(8, 6, 0.5)
	set := verdicts("j", 1, "p-0", "p-2")
	set.List[0].Domain, set.List[1].Domain = "d0", "d1"
	b.Apply(set)
	got := b.counts(1000, Whole)
	must.EqOp(t, 0, got["p-0"])
	must.Positive(t, got["p-2"])
}

// floorHolds drives a picker with random verdict sets of several judges, lost
// sets and changes, and checks the slots of the home region that stay in use.
func floorHolds(floor, applied model.Share, draw func(low, high int) int) error {
	b := newBench(16, 6, applied)
	for i := range b.pool.Targets {
		b.pool.Targets[i].Slots = model.Slots(draw(1, 6))
	}
	b.Update([]*model.Pool{b.pool}, nil)
	for seq := range uint64(draw(1, 40)) {
		set := verdicts(model.HostID(fmt.Sprintf("j%d", draw(0, 2))), seq)
		for i := range b.pool.Targets {
			if draw(0, 9) < 7 {
				set.List = append(set.List, model.Verdict{
					Target: b.pool.Targets[i].ID, Finding: model.FindSlow, Severity: float32(draw(0, 100)) / 100,
				})
			}
		}
		b.Apply(set)
		b.now = b.now.Add(time.Duration(draw(0, 5000)) * time.Millisecond)
		var total, rest model.Slots
		for i, s := range b.Status("p") {
			c := &b.pool.Targets[i]
			if c.Region != "r0" {
				continue
			}
			total += c.Slots
			if !s.Ejected {
				rest += c.Slots
			}
		}
		if float64(rest) < float64(floor)*float64(total) {
			return fmt.Errorf("%d of %d slots left", rest, total)
		}
	}
	return nil
}

// TestFloor guards against ejections below the floor when verdicts name all
// targets, contradict each other or are lost. Honouring all verdicts (a floor
// of 0) must fail the same check.
func TestFloor(t *testing.T) {
	must.NoError(t, flag.Set("rapid.seed", "1"))
	must.NoError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(t *rapid.T) {
		draw := func(low, high int) int { return rapid.IntRange(low, high).Draw(t, "n") }
		if err := floorHolds(0.6, 0.6, draw); err != nil {
			t.Fatal(err)
		}
	})
	random := rand.New(rand.NewPCG(1, 1))
	draw := func(low, high int) int { return low + random.IntN(high-low+1) }
	must.Error(t, floorHolds(0.6, 0, draw))
}

// TestJudges guards against the union of two judges' sets, against old sets
// and against verdicts that stay after their judge is lost.
func TestJudges(t *testing.T) {
	b := newBench(8, 6, 0)
	first, second := model.HostID("j0"), model.HostID("j1")
	if model.Rank(second, "p") < model.Rank(first, "p") {
		first, second = second, first
	}
	must.True(t, b.Apply(verdicts(second, 9, "p-0")))
	must.True(t, b.Apply(verdicts(first, 5, "p-2")))
	must.False(t, b.Apply(verdicts(second, 10, "p-0")))
	must.False(t, b.Apply(verdicts(first, 5, "p-4")))
	must.False(t, b.Status("p")[0].Ejected)
	must.True(t, b.Status("p")[2].Ejected)
	b.now = b.now.Add(judgeSilence)
	must.True(t, b.Apply(verdicts(second, 11, "p-0")))
	must.True(t, b.Status("p")[0].Ejected)
	b.now = b.now.Add(verdictLife)
	must.False(t, b.Status("p")[0].Ejected)
}

// TestAllocations guards against memory use for each request.
func TestAllocations(t *testing.T) {
	b := newBench(40, 6, 0.5)
	tried := []model.TargetID{"p-0"}
	n := testing.AllocsPerRun(1000, func() {
		if h, err := b.Pick(Need{Pool: "p", Tried: tried}); err == nil {
			h.Done(Whole)
		}
	})
	must.EqOp(t, 0, n)
}

// BenchmarkPick measures Pick and Done at the large size: 7,900 targets in 200
// pools and 580 daemons in three regions.
func BenchmarkPick(b *testing.B) {
	p := large()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if h, err := p.Pick(Need{Pool: names[i%len(names)]}); err == nil {
			h.Done(Whole)
		}
	}
}

// BenchmarkUpdate measures one change of configuration at the large size.
func BenchmarkUpdate(b *testing.B) {
	for range b.N {
		large()
	}
}

var names = func() (out []model.PoolID) {
	for i := range 200 {
		out = append(out, model.PoolID(fmt.Sprintf("pool-%d", i)))
	}
	return out
}()

func large() *Picker {
	p := New(Daemon{Host: "h0", Region: "r0", Domain: "d0"})
	var pools []*model.Pool
	for i, id := range names {
		q := somePool(id, 39+i%2, 6, 0.5)
		for j := range q.Targets {
			q.Targets[j].Region, q.Targets[j].Connections = model.Region(fmt.Sprintf("r%d", j%3)), 330
		}
		pools = append(pools, q)
	}
	var daemons []Daemon
	for i := range 580 {
		daemons = append(daemons, Daemon{Host: model.HostID(fmt.Sprintf("h%d", i)), Region: model.Region(fmt.Sprintf("r%d", i%3))})
	}
	p.Update(pools, daemons)
	return p
}
