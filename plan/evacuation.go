package plan

import (
	"fmt"
	"slices"

	"rhubarbdrift.example/model"
)

// PoolSlots tells how many slots of a pool take requests.
type PoolSlots struct {
	Pool   model.PoolID `json:"pool"`
	Remain model.Slots  `json:"remain"` // of targets that don't leave, outside of evacuated failure domains
	All    model.Slots  `json:"all"`
}

// String returns the slots as one line of text for operators.
func (s PoolSlots) String() string {
	return fmt.Sprintf("pool %s: %d of %d slots remain outside of evacuated failure domains", s.Pool, s.Remain, s.All)
}

// RemainingSlots returns the slots of each pool, or nothing if the intent evacuates no
// failure domain.
func RemainingSlots(in *model.Intent) []PoolSlots {
	if len(in.Evacuated) == 0 {
		return nil
	}
	var list []PoolSlots
	for _, p := range in.Pools {
		s := PoolSlots{Pool: p.ID, All: p.Slots()}
		for _, t := range p.Targets {
			if !t.Leaving && !slices.Contains(in.Evacuated, t.Domain) {
				s.Remain += t.Slots
			}
		}
		list = append(list, s)
	}
	return list
}

// evacuationWarnings returns the risks of the evacuations of an intent.
func evacuationWarnings(in *model.Intent) []string {
	var list []string
	for _, s := range RemainingSlots(in) {
		if s.Remain == 0 && s.All > 0 {
			list = append(list, fmt.Sprintf("pool %s: no slots remain outside of evacuated failure domains, its routes refuse every request; remedy: evacuate fewer domains at once", s.Pool))
		}
	}
	for _, domain := range in.Evacuated {
		used := slices.ContainsFunc(targetsOf(in), func(t model.Target) bool { return t.Domain == domain })
		if !used {
			list = append(list, fmt.Sprintf("evacuated failure domain %s: no target is in it; remedy: check the name", domain))
		}
	}
	return list
}
