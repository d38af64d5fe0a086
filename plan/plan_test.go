package plan

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/golden"
	"rhubarbdrift.example/model"
)

func digest(c string) model.Digest { return model.DigestOf([]byte(c)) }

func baseIntent() *model.Intent {
	return &model.Intent{
		Customers: []model.Customer{{ID: "depots", Rate: 50, Burst: 20, Keys: []model.Key{{ID: "k1", Digest: digest("a")}, {ID: "k2", Digest: digest("b")}}}},
		Pools: []model.Pool{{ID: "ledger", Floor: 0.6, Targets: []model.Target{
			{ID: "l1", Address: "127.0.0.1:9001", Region: "north", Domain: "north-a", Slots: 6},
			{ID: "l2", Address: "127.0.0.1:9002", Region: "north", Domain: "north-b", Slots: 6},
		}}},
		Routes: []model.Route{{ID: "weights", Prefix: "/weights", Pool: "ledger"}},
	}
}

// TestDiffGolden guards against a plan that omits a change or shows a key's
// full digest.
func TestDiffGolden(t *testing.T) {
	e := &Edit{
		Set: model.Intent{
			Customers: []model.Customer{{ID: "kiosks", Rate: 5, Burst: 5}},
			Routes:    []model.Route{{ID: "weights", Prefix: "/weights", Pool: "ledger", Open: true, Outage: model.OutageForward}},
		},
		GrantKeys:  []KeyGrant{{Customer: "kiosks", Key: model.Key{ID: "k1", Digest: digest("c")}}},
		RevokeKeys: []KeyRef{{Customer: "depots", Key: "k2"}},
		Remove:     Removal{Targets: []model.TargetID{"l2"}},
	}
	from := baseIntent()
	to, err := e.Apply(from)
	must.NoError(t, err)
	must.Eq(t, baseIntent(), from, must.Sprint("Apply modified its base"))
	var lines []string
	for _, c := range Diff(from, to) {
		lines = append(lines, c.String())
	}
	lines = append(lines, Warnings(from, to)...)
	got := strings.Join(lines, "\n") + "\n"
	golden.Compare(t, "testdata/diff.golden", got)
}

// TestRemainingSlots guards against slots that count as remaining although their target
// leaves or is in an evacuated domain.
func TestRemainingSlots(t *testing.T) {
	in := baseIntent()
	must.SliceEmpty(t, RemainingSlots(in))
	in.Evacuated = []model.Domain{"north-a"}
	must.Eq(t, []PoolSlots{{Pool: "ledger", Remain: 6, All: 12}}, RemainingSlots(in))
	in.Pools[0].Targets[1].Leaving = true
	must.Eq(t, []PoolSlots{{Pool: "ledger", Remain: 0, All: 12}}, RemainingSlots(in))
	must.Len(t, 1, Warnings(in, in))
}

// TestApplyRefusesMissing guards against edits that refer to missing items, or
// remove an item that is still in use, and are applied in part instead of
// refused as a whole.
func TestApplyRefusesMissing(t *testing.T) {
	edits := []*Edit{
		{RevokeKeys: []KeyRef{{Customer: "depots", Key: "k9"}}},
		{GrantKeys: []KeyGrant{{Customer: "nobody"}}},
		{Remove: Removal{Pools: []model.PoolID{"ledger"}}}, // still used by a route
	}
	for _, e := range edits {
		_, err := e.Apply(baseIntent())
		must.Error(t, err)
	}
}
