package eval

import (
	"flag"
	"strings"
	"testing"
	"testing/synctest"
)

var long = flag.Bool("long", false, "run the long measurement")

// TestMeasure guards against figures of docs/design.md, 1.3, that miss their bound,
// and against a naive policy with equal or better figures. It prints the tables.
func TestMeasure(t *testing.T) {
	g := Measurement{Size: Short, RunVirtual: func(run func()) { synctest.Test(t, func(*testing.T) { run() }) }}
	if *long {
		g.Size = Long
	}
	for _, d := range Deployments {
		ours := make(map[string]Figure)
		table := []string{d.Name + ": measure, policy, value, unit, bound"}
		lines := g.Measure(d)
		for _, l := range lines {
			table = append(table, l.String())
			if l.Policy == PolicyOurs {
				ours[l.Measure] = l
			}
		}
		t.Log(strings.Join(table, "\n"))
		for _, l := range lines {
			switch {
			case l.Policy == PolicyOurs:
				if !l.Met() {
					t.Errorf("%s: bound missed: %v", d.Name, l)
				}
			// Healthy targets do not fail five times in a row within a day, so both
			// policies have no ejection there.
			case !strings.Contains(l.Measure, "healthy day") && !ours[l.Measure].Better(l):
				t.Errorf("%s: not better than the naive policy: %v", d.Name, l)
			}
		}
	}
}
