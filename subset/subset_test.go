package subset

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/model"
)

func newDaemons(n, regions int) []Daemon {
	daemons := make([]Daemon, n)
	for i := range daemons {
		daemons[i] = Daemon{
			Host:   model.HostID(fmt.Sprintf("host-%d", i)),
			Region: model.Region(fmt.Sprintf("r%d", i%regions)),
		}
	}
	return daemons
}

func newPool(n, regions, connections int) *model.Pool {
	p := &model.Pool{ID: "p"}
	for i := range n {
		p.Targets = append(p.Targets, model.Target{
			ID: model.TargetID(fmt.Sprintf("t-%d", i)), Slots: 6, Connections: connections,
			Region: model.Region(fmt.Sprintf("r%d", i%regions)),
		})
	}
	return p
}

// allAssignments returns the assignments that each daemon computes.
func allAssignments(p *model.Pool, daemons []Daemon, connectionsPerDaemon int) [][]Assignment {
	result := make([][]Assignment, len(daemons))
	for i, d := range daemons {
		result[i] = New(d, daemons, connectionsPerDaemon).Assignments(p)
	}
	return result
}

// TestCap guards against more connections than a target's cap, an uneven
// distribution over the daemons, and daemons without targets in their own region.
func TestCap(t *testing.T) {
	const connectionsPerDaemon = 8
	for _, c := range []struct{ daemons, regions, targets, connections int }{
		{150, 3, 40, 85}, {150, 3, 40, 330}, {38, 2, 25, 330}, {38, 2, 8, 360}, {100, 2, 28, 330},
	} {
		daemons, p := newDaemons(c.daemons, c.regions), newPool(c.targets, c.regions, c.connections)
		assignments := allAssignments(p, daemons, connectionsPerDaemon)
		for j := range p.Targets {
			total, localUsers := 0, 0
			for i, d := range daemons {
				if assignments[i][j].Used {
					total += connectionsPerDaemon
					if d.Region == p.Targets[j].Region {
						localUsers++
					}
				}
			}
			must.LessEq(t, c.connections, total)
			must.LessEq(t, assignments[0][j].LocalDaemons, localUsers)
			must.GreaterEq(t, assignments[0][j].LocalDaemons-2, localUsers)
		}
		least, most := c.targets, 0
		for i, d := range daemons {
			if d.Region != "r0" {
				continue
			}
			used := 0
			for j, m := range assignments[i] {
				if m.Used && p.Targets[j].Region == "r0" {
					used++
				}
			}
			least, most = min(least, used), max(most, used)
		}
		must.Positive(t, least)
		must.LessEq(t, 2, most-least)
	}
}

// TestSmall guards against dividing a pool although its cap has room for all
// daemons, and against leaving out a target without a cap.
func TestSmall(t *testing.T) {
	daemons := newDaemons(38, 2)
	for _, connections := range []int{0, 330} {
		for _, assignments := range allAssignments(newPool(8, 2, connections), daemons, 8) {
			for _, m := range assignments {
				must.True(t, m.Used)
				must.EqOp(t, 19, m.LocalDaemons)
			}
		}
	}
}

// TestStable guards against a lost daemon that moves most connections of the
// others.
func TestStable(t *testing.T) {
	daemons, p := newDaemons(150, 3), newPool(40, 3, 85)
	before := allAssignments(p, daemons, 8)
	after := allAssignments(p, daemons[:149], 8)
	used, moved := 0, 0
	for i := range after {
		for j := range after[i] {
			if before[i][j].Used {
				used++
			}
			if before[i][j].Used != after[i][j].Used {
				moved++
			}
		}
	}
	t.Logf("%d of %d connections moved", moved, used)
	must.Less(t, used/20, moved)
}
