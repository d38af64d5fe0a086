package roster

import (
	"context"

	"rhubarbdrift.example/cell"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// Load reads the rosters of all cells of the fleet from the platform.
func Load(ctx context.Context, s store.Store) (map[model.CellName]cell.Roster, error) {
	list, _, err := s.List(ctx, store.KindCell)
	if err != nil {
		return nil, err
	}
	rosters := make(map[model.CellName]cell.Roster, len(list))
	for _, o := range list {
		r, err := decodeRoster(o)
		if err != nil {
			return nil, err
		}
		rosters[model.CellName(o.Name)] = r
	}
	return rosters, nil
}
