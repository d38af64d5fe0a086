package share

import (
	"flag"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// TestShift guards against moves that change the sum of the shares, that leave a
// region less than one token of burst although the burst allows it, or that are
// followed by a move back while the demand stays the same.
func TestShift(t *testing.T) {
	must.NoError(t, flag.Set("rapid.seed", "1")) // the same cases on every run
	must.NoError(t, flag.Set("rapid.nofailfile", "true"))
	regions := []model.Region{"north", "south"}
	rapid.Check(t, func(rt *rapid.T) {
		c := &model.Customer{ID: "sugarleaf", Rate: 100, Burst: model.Burst(rapid.IntRange(1, 200).Draw(rt, "burst"))}
		r := new(Record)
		for range 4 {
			north, south := rapid.Float64Range(0, 300).Draw(rt, "north"), rapid.Float64Range(0, 300).Draw(rt, "south")
			northDemand, southDemand := DemandRates{north, north}, DemandRates{south, south}
			giver, taker, ok := Rebalance(c, r.RegionShare(c, "north", regions), r.RegionShare(c, "south", regions), northDemand, southDemand)
			if !ok {
				continue
			}
			m := Move{To: "south", Shares: map[model.CustomerID][2]RegionShare{c.ID: {giver, taker}}}
			r = m.Apply(r, "north", func(model.CustomerID) (*model.Customer, bool) { return c, true }, regions)
			value, err := r.Encode()
			must.NoError(rt, err)
			_, err = Decode(value)
			must.NoError(rt, err)
			must.InDelta(rt, 1, float64(giver.Rate+taker.Rate), shareSlack)
			must.InDelta(rt, 1, float64(giver.Burst+taker.Burst), shareSlack)
			if c.Burst >= 2 {
				must.True(rt, float64(min(giver.Burst, taker.Burst))*float64(c.Burst) > 1-1e-6, must.Sprint(giver, taker))
			}
			_, _, ok = Rebalance(c, taker, giver, southDemand, northDemand)
			must.False(rt, ok)
		}
	})
	bad := &Record{Shares: map[model.CustomerID]map[model.Region]RegionShare{"a": {"north": {1, 0.6}, "south": {0, 0.6}}}}
	value, err := bad.Encode()
	must.NoError(t, err)
	_, err = Decode(value)
	must.True(t, fault.Is(err, fault.KindInvalid))
}
