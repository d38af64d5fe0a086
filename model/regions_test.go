package model_test

import (
	"testing"

	"github.com/shoenig/test"

	"rhubarbdrift.example/model"
)

// TestCommonRegions guards against an empty intersection that is taken for no restriction.
func TestCommonRegions(t *testing.T) {
	north, south, both := []model.Region{"north"}, []model.Region{"south"}, []model.Region{"south", "north"}
	test.Nil(t, model.CommonRegions(nil, []model.Region{}))
	test.Eq(t, north, model.CommonRegions(both, nil, north))
	none := model.CommonRegions(both, north, south)
	test.NotNil(t, none)
	test.Eq(t, 0, len(none))
	test.Eq(t, []model.Region{"south", "north"}, both) // the arguments are shared with the configuration
}

// TestRegionConflicts guards against pairs without a common region that are not reported.
func TestRegionConflicts(t *testing.T) {
	in := &model.Intent{
		Routes: []model.Route{{ID: "all"}, {ID: "a", Regions: []model.Region{"north"}}, {ID: "b", Regions: []model.Region{"north", "north"}}},
		Customers: []model.Customer{{ID: "free"}, {ID: "n", Regions: []model.Region{"east", "north"}},
			{ID: "s", Regions: []model.Region{"south"}}, {ID: "e", Regions: []model.Region{"east"}}},
	}
	test.Eq(t, model.RegionConflicts{Route: "a", Customer: "s", Pairs: 4}, in.RegionConflicts())
	in.Customers = in.Customers[:2]
	test.Eq(t, model.RegionConflicts{}, in.RegionConflicts())
}
