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

// fixture is a Picker with a clock that the test sets.
type fixture struct {
	*Picker
	now  time.Time
	pool *model.Pool
}

func newFixture(targets, slots int, floor model.Share) *fixture {
	f := &fixture{now: time.Unix(1000, 0), pool: newTestPool("p", targets, slots, floor)}
	f.Picker = New(Daemon{Host: "h0", Region: "r0", Domain: "d0"},
		WithClock(func() time.Time { return f.now }), WithSource(rand.NewPCG(1, 2)))
	f.Update([]*model.Pool{f.pool}, nil)
	return f
}

// newTestPool returns a pool whose targets alternate between two regions with
// two failure domains each.
func newTestPool(id model.PoolID, targets, slots int, floor model.Share) *model.Pool {
	p := &model.Pool{ID: id, Floor: floor}
	for i := range targets {
		p.Targets = append(p.Targets, model.Target{
			ID: model.TargetID(fmt.Sprintf("%s-%d", id, i)), Slots: model.Slots(slots),
			Region: model.Region(fmt.Sprintf("r%d", i%2)), Domain: model.Domain(fmt.Sprintf("d%d", i%4)),
		})
	}
	return p
}

func (f *fixture) pickCounts(n int, r Result) map[model.TargetID]int {
	out := make(map[model.TargetID]int)
	for range n {
		if s, err := f.Pick(Request{Pool: "p"}); err == nil {
			out[s.Target().ID]++
			s.Done(r)
		}
	}
	return out
}

func newVerdictSet(judge model.HostID, seq uint64, ids ...model.TargetID) *model.VerdictSet {
	s := &model.VerdictSet{Pool: "p", Judge: judge, Seq: seq}
	for i, id := range ids {
		s.Verdicts = append(s.Verdicts, model.Verdict{Target: id, Finding: model.FindingFailing, Severity: 1 - float32(i)/100})
	}
	return s
}

// TestInFlight guards against losing or misassigning the in-flight counts when
// the configuration changes, also when a target or the pool is removed and added
// again.
func TestInFlight(t *testing.T) {
	f := newFixture(2, 1, 0)
	s, err := f.Pick(Request{Pool: "p"})
	must.NoError(t, err)
	for _, pools := range [][]*model.Pool{{newTestPool("p", 2, 1, 0)}, {}, {newTestPool("p", 2, 1, 0)}, {newTestPool("p", 0, 0, 0)}, {f.pool}} {
		f.Update(pools, nil)
	}
	must.EqOp(t, 1, f.Status("p")[0].InFlight)
	_, err = f.Pick(Request{Pool: "p"})
	must.EqOp(t, KindBusy, fault.KindOf(err))
	free := f.SlotFreed("p")
	s.Done(Complete)
	<-free
	must.EqOp(t, 0, f.Status("p")[0].InFlight)
	must.MapLen(t, 1, f.pickCounts(4, Complete))
}

// TestErrors guards against errors of the wrong kind.
func TestErrors(t *testing.T) {
	f := newFixture(2, 1, 0)
	_, err := f.Pick(Request{Pool: "none"})
	must.EqOp(t, fault.KindMissing, fault.KindOf(err))
	_, err = f.Pick(Request{Pool: "p", Deadline: f.now})
	must.EqOp(t, fault.KindTimeout, fault.KindOf(err))
	_, err = f.Pick(Request{Pool: "p", TriedTargets: []model.TargetID{"p-0", "p-1"}})
	must.EqOp(t, fault.KindUnavailable, fault.KindOf(err))
}

// TestSpill guards against sending more than a tenth of the requests to the other
// region, against sending none there when the own region is full, and against
// applying the cap when the own region has no targets.
func TestSpill(t *testing.T) {
	f := newFixture(8, 1, 0)
	localCount, remoteCount := 0, 0
	for i := range 4000 {
		s, err := f.Pick(Request{Pool: "p"})
		if err != nil {
			must.EqOp(t, KindBusy, fault.KindOf(err))
		} else if s.Target().Region == "r0" {
			localCount++
			if i%2 == 0 {
				defer s.Done(Complete) // half of the requests never end, which fills the own region
			} else {
				s.Done(Complete)
			}
		} else {
			remoteCount++
			s.Done(Complete)
		}
		must.LessEq(t, localCount+remoteCount, 10*remoteCount)
	}
	must.EqOp(t, 0, f.Capacity("p")-4) // the remote credit is used up
	f = newFixture(8, 6, 0)
	for i := range f.pool.Targets {
		f.pool.Targets[i].Region = "r1"
	}
	f.Update([]*model.Pool{f.pool}, nil)
	must.MapLen(t, 8, f.pickCounts(400, Complete))
	f = newFixture(8, 6, 0)
	f.pickCounts(400, Complete)
	remoteCount = 0
	for range 100 {
		if s, err := f.Pick(Request{Pool: "p"}); err == nil && s.Target().Region == "r1" {
			remoteCount++
		}
	}
	must.Positive(t, remoteCount)
}

// TestLimit guards against limits that grow although they were not reached or
// beyond the slots, and against new requests right after a target shed load.
func TestLimit(t *testing.T) {
	daemons := []Daemon{{Host: "h0", Region: "r0"}, {Host: "h1", Region: "r0"}}
	f := newFixture(1, 8, 0)
	f.pool = newTestPool("p", 1, 4, 0)
	f.Picker = New(Daemon{Host: "h0", Region: "r0"}, WithClock(func() time.Time { return f.now }))
	f.Update([]*model.Pool{f.pool}, daemons)
	must.EqOp(t, 2, f.Capacity("p"))
	f.pickCounts(100, Complete)
	must.EqOp(t, 2, f.Capacity("p")) // one request at a time never reaches the limit
	pickAll := func() (out []*Slot) {
		for {
			s, err := f.Pick(Request{Pool: "p"})
			if err != nil {
				return out
			}
			out = append(out, s)
		}
	}
	for _, want := range []int{2, 3, 4, 4} {
		slots := pickAll()
		must.SliceLen(t, want, slots)
		for _, s := range slots {
			s.Done(Complete)
		}
	}
	s, err := f.Pick(Request{Pool: "p"})
	must.NoError(t, err)
	s.Done(Shed)
	must.EqOp(t, 0, f.Capacity("p"))
	f.now = f.now.Add(shedPause)
	must.EqOp(t, 2, f.Capacity("p"))
}

// TestRamp guards against a returning or cold target that receives its full
// share at once, or no requests and so no evidence.
func TestRamp(t *testing.T) {
	f := newFixture(20, 6, 0)
	fairShares := func(id model.TargetID) float64 {
		const n = 20_000
		return float64(f.pickCounts(n, Complete)[id]) * 10 / n
	}
	must.Between(t, 0.9, fairShares("p-0"), 1.1)
	f.ApplyVerdicts(newVerdictSet("j", 1, "p-0"))
	must.EqOp(t, 0, fairShares("p-0"))
	f.ApplyVerdicts(newVerdictSet("j", 2))
	for _, want := range []float64{0.05, 0.1, 0.2, 0.4, 0.8, 1} {
		must.Between(t, want*0.7, fairShares("p-0"), want*1.3)
		f.now = f.now.Add(returnDoubling)
	}
	extended := newTestPool("p", 22, 6, 0)
	f.Update([]*model.Pool{extended}, nil)
	must.Between(t, 0.02, fairShares("p-20"), 0.08)
	f.now = f.now.Add(coldRampTime / 2)
	must.Between(t, 0.3, fairShares("p-20"), 0.7)
}

// TestRetryDomain guards against a second attempt at the same target, or in
// the same failure domain while another one has free slots.
func TestRetryDomain(t *testing.T) {
	f := newFixture(8, 6, 0)
	for range 100 {
		s, err := f.Pick(Request{Pool: "p", TriedTargets: []model.TargetID{"p-0"}, TriedDomains: []model.Domain{"d0"}})
		must.NoError(t, err)
		must.EqOp(t, "d2", s.Target().Domain)
		s.Done(Complete)
	}
	s, err := f.Pick(Request{Pool: "p", TriedTargets: []model.TargetID{"p-2", "p-6"}, TriedDomains: []model.Domain{"d2"}})
	must.NoError(t, err)
	must.EqOp(t, "d0", s.Target().Domain)
}

// TestDrain guards against new requests to a leaving or draining target, even
// below the floor, and against a draining response that never expires.
func TestDrain(t *testing.T) {
	f := newFixture(4, 6, 1)
	s, err := f.Pick(Request{Pool: "p", TriedTargets: []model.TargetID{"p-2"}})
	must.NoError(t, err)
	s.Done(Draining)
	must.EqOp(t, 0, f.pickCounts(100, Complete)["p-0"])
	f.now = f.now.Add(drainTTL)
	must.Positive(t, f.pickCounts(100, Complete)["p-0"])
	set := newVerdictSet("j", 1, "p-2")
	set.Verdicts[0].Finding = model.FindingDraining
	f.ApplyVerdicts(set)
	must.EqOp(t, 0, f.pickCounts(100, Complete)["p-2"])
	leaving := newTestPool("p", 4, 6, 1)
	leaving.Targets[0].Leaving = true
	f.Update([]*model.Pool{leaving}, nil)
	must.EqOp(t, 0, f.pickCounts(100, Complete)["p-0"])
}

// TestDomainVerdict guards against a network fault of one failure domain that
// ejects a target for daemons in another.
func TestDomainVerdict(t *testing.T) {
	f := newFixture(8, 6, 0.5)
	set := newVerdictSet("j", 1, "p-0", "p-2")
	set.Verdicts[0].Domain, set.Verdicts[1].Domain = "d0", "d1"
	f.ApplyVerdicts(set)
	counts := f.pickCounts(1000, Complete)
	must.EqOp(t, 0, counts["p-0"])
	must.Positive(t, counts["p-2"])
}

// checkFloor applies random verdict sets of several judges with lost sets and
// time steps to a Picker with the floor applied. It returns an error if the
// local targets that are not ejected have less than the floor's share of slots.
func checkFloor(floor, applied model.Share, draw func(low, high int) int) error {
	f := newFixture(16, 6, applied)
	for i := range f.pool.Targets {
		f.pool.Targets[i].Slots = model.Slots(draw(1, 6))
	}
	f.Update([]*model.Pool{f.pool}, nil)
	for seq := range uint64(draw(1, 40)) {
		set := newVerdictSet(model.HostID(fmt.Sprintf("j%d", draw(0, 2))), seq)
		for i := range f.pool.Targets {
			if draw(0, 9) < 7 {
				set.Verdicts = append(set.Verdicts, model.Verdict{
					Target: f.pool.Targets[i].ID, Finding: model.FindingSlow, Severity: float32(draw(0, 100)) / 100,
				})
			}
		}
		f.ApplyVerdicts(set)
		f.now = f.now.Add(time.Duration(draw(0, 5000)) * time.Millisecond)
		var total, remaining model.Slots
		for i, s := range f.Status("p") {
			c := &f.pool.Targets[i]
			if c.Region != "r0" {
				continue
			}
			total += c.Slots
			if !s.Ejected {
				remaining += c.Slots
			}
		}
		if float64(remaining) < float64(floor)*float64(total) {
			return fmt.Errorf("%d of %d slots left", remaining, total)
		}
	}
	return nil
}

// TestFloor guards against ejections below the floor when verdicts name all
// targets, contradict each other or are lost. The check must fail with an applied
// floor of 0, where all verdicts eject.
func TestFloor(t *testing.T) {
	must.NoError(t, flag.Set("rapid.seed", "1"))
	must.NoError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(t *rapid.T) {
		draw := func(low, high int) int { return rapid.IntRange(low, high).Draw(t, "n") }
		if err := checkFloor(0.6, 0.6, draw); err != nil {
			t.Fatal(err)
		}
	})
	random := rand.New(rand.NewPCG(1, 1))
	draw := func(low, high int) int { return low + random.IntN(high-low+1) }
	must.Error(t, checkFloor(0.6, 0, draw))
}

// TestJudges guards against using the union of two judges' sets, against stale
// sets, and against verdicts that stay after their judge is lost.
func TestJudges(t *testing.T) {
	f := newFixture(8, 6, 0)
	first, second := model.HostID("j0"), model.HostID("j1")
	if model.RendezvousHash(second, "p") < model.RendezvousHash(first, "p") {
		first, second = second, first
	}
	must.True(t, f.ApplyVerdicts(newVerdictSet(second, 9, "p-0")))
	must.True(t, f.ApplyVerdicts(newVerdictSet(first, 5, "p-2")))
	must.False(t, f.ApplyVerdicts(newVerdictSet(second, 10, "p-0")))
	must.False(t, f.ApplyVerdicts(newVerdictSet(first, 5, "p-4")))
	must.False(t, f.Status("p")[0].Ejected)
	must.True(t, f.Status("p")[2].Ejected)
	f.now = f.now.Add(judgeTimeout)
	must.True(t, f.ApplyVerdicts(newVerdictSet(second, 11, "p-0")))
	must.True(t, f.Status("p")[0].Ejected)
	f.now = f.now.Add(verdictTTL)
	must.False(t, f.Status("p")[0].Ejected)
}

// TestAllocations guards against allocations in Pick and Done.
func TestAllocations(t *testing.T) {
	f := newFixture(40, 6, 0.5)
	tried := []model.TargetID{"p-0"}
	n := testing.AllocsPerRun(1000, func() {
		if s, err := f.Pick(Request{Pool: "p", TriedTargets: tried}); err == nil {
			s.Done(Complete)
		}
	})
	must.EqOp(t, 0, n)
}

// BenchmarkPick measures Pick and Done with 7,900 targets in 200 pools and 580
// daemons in three regions.
func BenchmarkPick(b *testing.B) {
	p := newLargePicker()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if s, err := p.Pick(Request{Pool: poolIDs[i%len(poolIDs)]}); err == nil {
			s.Done(Complete)
		}
	}
}

// BenchmarkUpdate measures one configuration change at the size of BenchmarkPick.
func BenchmarkUpdate(b *testing.B) {
	for range b.N {
		newLargePicker()
	}
}

var poolIDs = func() (out []model.PoolID) {
	for i := range 200 {
		out = append(out, model.PoolID(fmt.Sprintf("pool-%d", i)))
	}
	return out
}()

func newLargePicker() *Picker {
	p := New(Daemon{Host: "h0", Region: "r0", Domain: "d0"})
	var pools []*model.Pool
	for i, id := range poolIDs {
		q := newTestPool(id, 39+i%2, 6, 0.5)
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
