package spread

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/model"
)

func fleet(n, regions int) []Daemon {
	out := make([]Daemon, n)
	for i := range out {
		out[i] = Daemon{
			Host:   model.HostID(fmt.Sprintf("host-%d", i)),
			Region: model.Region(fmt.Sprintf("r%d", i%regions)),
		}
	}
	return out
}

func pool(n, regions, connections int) *model.Pool {
	p := &model.Pool{ID: "p"}
	for i := range n {
		p.Targets = append(p.Targets, model.Target{
			ID: model.TargetID(fmt.Sprintf("t-%d", i)), Slots: 6, Connections: connections,
			Region: model.Region(fmt.Sprintf("r%d", i%regions)),
		})
	}
	return p
}

// matrix returns for each daemon the use of each target.
func matrix(p *model.Pool, daemons []Daemon, perHost int) [][]Member {
	out := make([][]Member, len(daemons))
	for i, d := range daemons {
		out[i] = New(d, daemons, perHost).Members(p)
	}
	return out
}

// TestCap guards against more connections than a target's cap, uneven use of
// the daemons, and daemons without targets in their own region.
func TestCap(t *testing.T) {
	const perHost = 8
	for _, c := range []struct{ daemons, regions, targets, connections int }{
		{150, 3, 40, 85}, {150, 3, 40, 330}, {38, 2, 25, 330}, {38, 2, 8, 360}, {100, 2, 28, 330},
	} {
		daemons, p := fleet(c.daemons, c.regions), pool(c.targets, c.regions, c.connections)
		use := matrix(p, daemons, perHost)
		for j := range p.Targets {
			sum, near := 0, 0
			for i, d := range daemons {
				if use[i][j].Used {
					sum += perHost
					if d.Region == p.Targets[j].Region {
						near++
					}
				}
			}
			must.LessEq(t, c.connections, sum)
			must.LessEq(t, use[0][j].Users, near)
			must.GreaterEq(t, use[0][j].Users-2, near)
		}
		least, most := c.targets, 0
		for i, d := range daemons {
			if d.Region != "r0" {
				continue
			}
			n := 0
			for j, m := range use[i] {
				if m.Used && p.Targets[j].Region == "r0" {
					n++
				}
			}
			least, most = min(least, n), max(most, n)
		}
		must.Positive(t, least)
		must.LessEq(t, 2, most-least)
	}
}

// TestSmall guards against a small pool that is split although its cap has
// room for all daemons, and against a target without a cap that is left out.
func TestSmall(t *testing.T) {
	daemons := fleet(38, 2)
	for _, connections := range []int{0, 330} {
		for _, list := range matrix(pool(8, 2, connections), daemons, 8) {
			for _, m := range list {
				must.True(t, m.Used)
				must.EqOp(t, 19, m.Users)
			}
		}
	}
}

// TestStable guards against a lost daemon that moves most connections of the
// others.
func TestStable(t *testing.T) {
	daemons, p := fleet(150, 3), pool(40, 3, 85)
	before := matrix(p, daemons, 8)
	after := matrix(p, daemons[:149], 8)
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
