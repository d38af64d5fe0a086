package judge

import (
	"math/rand/v2"
	"time"

	"rhubarbdrift.example/cusum"
	"rhubarbdrift.example/model"
)

const (
	// minEjection is the duration of a first ejection. Each further one in a row
	// doubles it, up to maxEjection.
	minEjection = 5 * time.Second
	maxEjection = 60 * time.Second
	// ejectionJitter is the largest random extension of an ejection, as a share of its
	// duration. It spreads the returns of targets that were ejected together.
	ejectionJitter = 0.2
	// relapseTime is the time after a return, in which the target ramps up, during
	// which half of the usual score ejects it again. It is also the time without reports
	// after which a target is no longer suspect.
	relapseTime = 10 * time.Second
	// doubtTime is the time after an ejection for one failure domain during which
	// the target is suspect for the other domains.
	doubtTime = 3 * time.Second
	// escalationTime, plus twice the duration of the last ejection, is the time after
	// a return during which a further ejection lasts longer than the last.
	escalationTime = 30 * time.Second
	// drainMemory is the time after which a draining answer expires.
	drainMemory = 30 * time.Second
)

// ejection is the ejection of a target for all daemons or for those of one failure
// domain.
type ejection struct {
	ejected   bool // in progress
	shortened bool // a successful probe has halved the remaining time
	times     int  // number of ejections in a row
	began     time.Time
	until     time.Time
	ended     time.Time
	duration  time.Duration
	verdict   model.Verdict
}

// begin starts an ejection and sets its end.
func (e *ejection) begin(v *model.Verdict, random *rand.Rand, now time.Time) {
	if now.Sub(e.ended) > 2*e.duration+escalationTime && !e.ended.IsZero() {
		e.times = 0
	}
	e.times++
	e.duration = min(maxEjection, minEjection<<min(e.times-1, 4))
	jitter := time.Duration(ejectionJitter * random.Float64() * float64(e.duration))
	e.ejected, e.shortened, e.began, e.until = true, false, now, now.Add(e.duration+jitter)
	e.verdict = *v
	e.verdict.Ejections = e.times
}

// end ends the ejection if its time is over and reports whether it did.
func (e *ejection) end(now time.Time) bool {
	if !e.ejected || now.Before(e.until) {
		return false
	}
	e.ejected, e.ended = false, now
	return true
}

// scope holds the evidence on a target from the reporters of one failure domain, or
// from all reporters.
type scope struct {
	tests    [2]cusum.Test[*reporter]
	recent   testCounts
	ejection ejection
}

// targetState is the state of one target. Its scope 0 covers all reporters, scope 1+i
// those of failure domain i.
type targetState struct {
	id            model.TargetID
	scopes        []scope
	suspect       bool
	drainingUntil time.Time
	lastReport    time.Time
}

// answers returns the decayed number of recent answers of the target.
func (s *targetState) answers() float64 { return s.scopes[0].recent[failing].N }

// ejected reports whether the target is ejected for the scope or for all daemons.
func (s *targetState) ejected(c int) bool {
	return s.scopes[0].ejection.ejected || s.scopes[c].ejection.ejected
}

// suspectElsewhere reports whether the target was ejected for a failure domain within
// doubtTime. More evidence is then collected in the other domains, in case the target
// is bad for them as well.
func (s *targetState) suspectElsewhere(now time.Time) bool {
	for i := range s.scopes {
		if e := &s.scopes[i].ejection; e.ejected && now.Sub(e.began) < doubtTime {
			return true
		}
	}
	return false
}

// drop removes the evidence of a reporter from all tests.
func (s *targetState) drop(from *reporter) {
	for i := range s.scopes {
		for k := range s.scopes[i].tests {
			s.scopes[i].tests[k].Drop(from)
		}
	}
}

// eject begins an ejection for a scope and restarts the tests that it makes obsolete.
func (s *targetState) eject(c int, v *model.Verdict, random *rand.Rand, now time.Time) {
	s.scopes[c].ejection.begin(v, random, now)
	for i := range s.scopes {
		if c == 0 || i == 0 || i == c {
			s.scopes[i].tests = [2]cusum.Test[*reporter]{}
		}
	}
}

// tick multiplies the counts by f and ends expired ejections. It reports whether the
// verdicts on the target changed.
func (s *targetState) tick(f float64, now time.Time) bool {
	// A target without reports for relapseTime does not stay suspect.
	changed := s.suspect && now.Sub(s.lastReport) > relapseTime
	s.suspect = s.suspect && !changed
	for i := range s.scopes {
		s.scopes[i].recent.Scale(f)
		if s.scopes[i].ejection.end(now) {
			s.scopes[i].tests = [2]cusum.Test[*reporter]{}
			changed = true
		}
	}
	return changed
}

// probe applies the result of a health probe. The first success halves the rest of the
// ejection. A failure within 2*maxEjection of its start makes it last for at least
// minEjection from now.
func (s *targetState) probe(ok bool, now time.Time) {
	for i := range s.scopes {
		e := &s.scopes[i].ejection
		switch {
		case !e.ejected:
		case ok && !e.shortened:
			e.until, e.shortened = now.Add(e.until.Sub(now)/2), true
		case !ok && e.until.Before(now.Add(minEjection)) && now.Before(e.began.Add(2*maxEjection)):
			e.until = now.Add(minEjection)
		}
	}
}

// verdicts appends the verdicts on the target to out.
func (s *targetState) verdicts(out []model.Verdict, now time.Time) []model.Verdict {
	if now.Before(s.drainingUntil) {
		out = append(out, model.Verdict{Target: s.id, Finding: model.FindingDraining})
	}
	if s.suspect {
		out = append(out, model.Verdict{Target: s.id, Finding: model.FindingSuspect})
	}
	for i := range s.scopes {
		if s.scopes[i].ejection.ejected {
			out = append(out, s.scopes[i].ejection.verdict)
		}
	}
	return out
}
