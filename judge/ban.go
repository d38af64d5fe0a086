package judge

import (
	"math/rand/v2"
	"time"

	"rhubarbdrift.example/cusum"
	"rhubarbdrift.example/model"
)

const (
	// firstBan is the length of a first ejection; it doubles up to lastBan.
	firstBan = 5 * time.Second
	lastBan  = 60 * time.Second
	// banJitter spreads the returns of targets that were ejected together.
	banJitter = 0.2
	// relapse is the time after a return in which half of the evidence
	// suffices, as long as the target ramps up.
	relapse = 10 * time.Second
	// doubtTime is the time after an ejection for one failure domain in which
	// the target is suspect for the others.
	doubtTime = 3 * time.Second
	// forgiven is the time after a return, in addition to twice the length of
	// the ejection, in which a further ejection is longer than the last.
	forgiven = 30 * time.Second
	// drainMemory is the time after which a draining answer is forgotten.
	drainMemory = 30 * time.Second
)

// ban is an ejection, for all daemons or for those of one failure domain.
type ban struct {
	out     bool
	probed  bool // a good probe shortened it
	times   int  // ejections in a row
	began   time.Time
	until   time.Time
	ended   time.Time
	length  time.Duration
	verdict model.Verdict
}

func (b *ban) begin(v *model.Verdict, random *rand.Rand, now time.Time) {
	if now.Sub(b.ended) > 2*b.length+forgiven && !b.ended.IsZero() {
		b.times = 0
	}
	b.times++
	b.length = min(lastBan, firstBan<<min(b.times-1, 4))
	jitter := time.Duration(banJitter * random.Float64() * float64(b.length))
	b.out, b.probed, b.began, b.until = true, false, now, now.Add(b.length+jitter)
	b.verdict = *v
	b.verdict.Times = b.times
}

// end ends the ejection when its time is over.
func (b *ban) end(now time.Time) bool {
	if !b.out || now.Before(b.until) {
		return false
	}
	b.out, b.ended = false, now
	return true
}

// cell is what reporters of one failure domain, or all, say about a target.
type cell struct {
	tests  [2]cusum.Test[*reporter]
	recent sums
	ban    ban
}

func (c *cell) reset() {
	for k := range c.tests {
		c.tests[k].Reset()
	}
}

// subject is one target.
type subject struct {
	id      model.TargetID
	cells   []cell
	suspect bool
	drain   time.Time
	heard   time.Time
}

// answers returns the recent answers of the target.
func (s *subject) answers() float64 { return s.cells[0].recent[failing].N }

// out reports whether the target is ejected for the cell.
func (s *subject) out(c int) bool { return s.cells[0].ban.out || s.cells[c].ban.out }

// partly reports whether a failure domain found the target bad a short time
// ago: the others are asked for answers, in case it is bad for them as well.
func (s *subject) partly(now time.Time) bool {
	for i := range s.cells {
		if b := &s.cells[i].ban; b.out && now.Sub(b.began) < doubtTime {
			return true
		}
	}
	return false
}

func (s *subject) drop(from *reporter) {
	for i := range s.cells {
		for k := range s.cells[i].tests {
			s.cells[i].tests[k].Drop(from)
		}
	}
}

func (s *subject) eject(c int, v *model.Verdict, random *rand.Rand, now time.Time) {
	s.cells[c].ban.begin(v, random, now)
	for i := range s.cells {
		if c == 0 || i == 0 || i == c {
			s.cells[i].reset()
		}
	}
}

// tick lets the counts decay and ejections end. It reports whether one ended.
func (s *subject) tick(f float64, now time.Time) bool {
	// A target that no daemon uses any more does not stay suspect.
	changed := s.suspect && now.Sub(s.heard) > relapse
	s.suspect = s.suspect && !changed
	for i := range s.cells {
		s.cells[i].recent.scale(f)
		if s.cells[i].ban.end(now) {
			s.cells[i].reset()
			changed = true
		}
	}
	return changed
}

func (s *subject) probe(ok bool, now time.Time) {
	for i := range s.cells {
		b := &s.cells[i].ban
		switch {
		case !b.out:
		case ok && !b.probed:
			b.until, b.probed = now.Add(b.until.Sub(now)/2), true
		case !ok && b.until.Before(now.Add(firstBan)) && now.Before(b.began.Add(2*lastBan)):
			b.until = now.Add(firstBan)
		}
	}
}

func (s *subject) verdicts(out []model.Verdict, now time.Time) []model.Verdict {
	if now.Before(s.drain) {
		out = append(out, model.Verdict{Target: s.id, Finding: model.FindDraining})
	}
	if s.suspect {
		out = append(out, model.Verdict{Target: s.id, Finding: model.FindSuspect})
	}
	for i := range s.cells {
		if s.cells[i].ban.out {
			out = append(out, s.cells[i].ban.verdict)
		}
	}
	return out
}
