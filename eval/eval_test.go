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
	m := Measurement{Size: Short, RunVirtual: func(run func()) { synctest.Test(t, func(*testing.T) { run() }) }}
	if *long {
		m.Size = Long
	}
	for _, d := range Deployments {
		ours := make(map[string]Figure)
		table := []string{d.Name + ": measure, policy, value, unit, bound"}
		figures := m.Measure(d)
		for _, f := range figures {
			table = append(table, f.String())
			if f.Policy == PolicyOurs {
				ours[f.Name] = f
			}
		}
		t.Log(strings.Join(table, "\n"))
		for _, f := range figures {
			switch {
			case f.Policy == PolicyOurs:
				if !f.Met() {
					t.Errorf("%s: bound missed: %v", d.Name, f)
				}
			// Healthy targets do not fail five times in a row within a day, so both
			// policies have no ejection there.
			case !strings.Contains(f.Name, "healthy day") && !ours[f.Name].Better(f):
				t.Errorf("%s: not better than the naive policy: %v", d.Name, f)
			}
		}
	}
}
