package bench

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/model"
)

// The flags of make bench. Without -program nothing is measured, because the figures
// are taken in real time and depend on the machine.
var (
	program = flag.String("program", "", "path of the built program")
	rate    = flag.Float64("rate", 0, "requests per second; 0 measures 300 and then 3,000")
	round   = flag.Duration("round", 5*time.Second, "duration of a round")
	rounds  = flag.Int("rounds", 4, "number of rounds through the daemon; the same number is run directly")
	targets = flag.Int("targets", 4, "number of stand-in targets")
	work    = flag.Duration("work", 0, "execution time of a request at a target")
	profile = flag.String("profile", "", "output file for a CPU profile of one round; runs the daemon in this process")
)

// TestBench measures the overhead that one daemon adds to a request. It starts
// the daemon and the targets as child processes, which the program itself never
// does.
func TestBench(t *testing.T) {
	if *program == "" {
		return
	}
	p := Plan{Program: *program, Rates: []model.Rate{300, 3000}, RoundDuration: *round, Rounds: *rounds, Targets: *targets, Work: *work}
	if *rate > 0 {
		p.Rates = []model.Rate{model.Rate(*rate)}
	}
	if *profile != "" {
		f, err := os.Create(*profile)
		must.NoError(t, err)
		defer func() { must.NoError(t, f.Close()) }()
		p.Profile, p.InProcess, p.Rounds, p.Rates = f, true, 1, p.Rates[:1]
	}
	report, err := Run(t.Context(), p)
	must.NoError(t, err)
	must.NoError(t, report.WriteTable(os.Stdout))
}
