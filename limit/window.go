package limit

import (
	"math"
	"time"
)

const (
	// slotTime is the resolution with which a Window remembers admissions.
	slotTime = 100 * time.Millisecond
	// reportDelay is the time after which most admissions are reported: reports take
	// 0.1 to 0.4 s. With 0.25 s a surge to five times the rate exceeded the rule.
	reportDelay = 300 * time.Millisecond
	// spreadTime is the time over which the rest of the window is spread while demand
	// is lastingly above the limit. With 1.5 s, admissions that were bunched are even
	// after three or four windows.
	spreadTime = 1500 * time.Millisecond
	// noticeTime is the time until a daemon notices that others are cut off. Admissions that
	// it learned of since then are of those that it still reaches.
	noticeTime = 1500 * time.Millisecond
	// edgeTime is the time of demand before the limit is reached from which requests are
	// admitted with falling probability, so that not all hosts stop at the same time.
	edgeTime = 40 * time.Millisecond

	// fastDemandTime, meanDemandTime and slowDemandTime are the time constants of the
	// demand averages. The first follows a surge: with 0.3 s a surge that followed another
	// one exceeded the rule. The last shows whether demand is lastingly above the limit.
	fastDemandTime = 200 * time.Millisecond
	meanDemandTime = 2 * time.Second
	slowDemandTime = 10 * time.Second

	// usualShare is the share of the limit up to which a customer is not refused although
	// its arrivals are random. They may exceed the limit by randomDeviations standard
	// deviations, but use at most usableTolerance of the tolerance; the rest is for
	// admissions that were not reported yet.
	usualShare       = 0.95
	randomDeviations = 3.2
	usableTolerance  = 0.75
	// surgeStart is the number of standard deviations by which demand exceeds the usual
	// from which no part of the tolerance is used. In the fast average only demand above
	// surgeFactorSeen times the usual counts, since reports arrive in groups.
	surgeStart      = 4.0
	surgeFactorSeen = 1.5
	// lastingDeviations is the same for the slow average, from which admissions are spread.
	lastingDeviations = 4.0
	// wallShare is the share of the tolerance at which spread admissions end, and wallWidth
	// the share over which their probability falls before that.
	wallShare = 0.4
	wallWidth = 0.3
	// biasCorrection makes up for the lower probability that random errors of the
	// estimates cause on average; without it, 0.95 to 0.97 of a large limit was used.
	biasCorrection = 1.08
	// entitledFactor is the multiple of its even part of the limit that a daemon may use
	// before the first reports arrive after its start, if most others started earlier. Without this bound, restarted hosts
	// exceeded the rule in the soak (seeds 3 and 210).
	entitledFactor = 2.0
	// newShareTolerance is the share of the tolerance that the daemons of a new fleet use
	// in addition, so that returning callers within the limit are not refused.
	newShareTolerance = 0.1
	// minAssumedShare is the smallest share of the fleet whose return makes a daemon spread
	// its admissions. Single hosts come and go often.
	minAssumedShare = 0.1
	// noiseDeviations is the number of standard deviations of the fast average that do not
	// count as demand when admissions are spread.
	noiseDeviations = 3.0
	// surgePrior is the number of requests that a daemon adds to those that it received
	// and to those that it expected when it estimates a surge from them.
	surgePrior = 1.0
	// minDemand avoids a division by zero, in requests per second.
	minDemand = 0.01
	// retryPerAttempt is the delay returned with a refusal for each attempt that is
	// expected until one is admitted.
	retryPerAttempt = 100 * time.Millisecond
)

// Window decides on a customer's requests by the admissions of the whole fleet in the
// last Tolerance.Window: the rate times the window plus the burst may be used in each.
// It is not safe for concurrent use.
//
// The admissions of other daemons count from the time at which they are reported. What was
// admitted but not reported yet is estimated from the recent demand. While demand is
// lastingly above the limit, or the past of the window is not known, admissions are spread
// by a probability: what the window leaves for the next spreadTime, divided by the demand
// in it. Otherwise every request is admitted until the window is used up.
type Window struct {
	limit      Limit
	tolerance  Tolerance
	fleetShare float64 // share of the fleet that is reachable, this daemon included
	newShare   float64 // largest Reachable.NewShare while the past of the window is not known

	slots        []float32 // admissions by the time at which this daemon learned of them, a ring
	away         []float32 // what a fall of the share took out of slots, in the same order
	created      time.Time
	newest       int64 // number of the newest slot, as returned by slotNumber
	updated      time.Time
	assumedAt    time.Time // when admissions were last assumed
	reported     time.Time // when others last reported a request
	assumedUntil time.Time // until then the window holds assumed admissions
	entitled     float64   // share of the fleet whose part this daemon knew to be free then
	ownAssumed   float64   // own admissions since then
	countedSince time.Time // start of the demand averages

	// Averages in requests per second. Own are those of this daemon, remote those that
	// others reported, the rest are of all.
	ownFast, ownMean, remoteFast, remoteAdmitted, mean, slow float64
}

// NewWindow returns the window of a customer for which no requests were reported since
// this daemon started. The others may have used the whole limit before that.
func NewWindow(now time.Time, past Past, limit Limit, tolerance Tolerance, r Reachable) *Window {
	w := &Window{
		limit: limit, tolerance: tolerance, slots: make([]float32, int(tolerance.Window/slotTime)+1), away: make([]float32, int(tolerance.Window/slotTime)+1),
		created: now, updated: now, countedSince: now.Add(-past.Heard),
	}
	w.newest, _ = w.slotNumber(now)
	w.fleetShare, w.newShare = min(max(r.Share, 0), 1), r.NewShare
	if past.Heard < tolerance.Window {
		w.assumeUsed(w.fleetShare, past.Heard, r.NewShare)
	}
	return w
}

// allowance returns the number of admissions of the reachable daemons in one window.
func (w *Window) allowance() float64 {
	return (w.limit.Rate*w.tolerance.Window.Seconds() + w.limit.Burst) * w.fleetShare
}

// sharedTolerance returns the part of the tolerance that is for the reachable daemons.
func (w *Window) sharedTolerance() float64 {
	return w.tolerance.Share*w.allowance() + w.tolerance.Slack*w.fleetShare
}

// assumeUsed counts the share of the limit as used evenly in the part of the window that
// is older than heard. Entitled is the share of the fleet that knows as little, or that this
// daemon could reach before.
func (w *Window) assumeUsed(share float64, heard time.Duration, entitled float64) {
	perSlot := float32(share * (w.limit.Rate*w.tolerance.Window.Seconds() + w.limit.Burst) / float64(len(w.slots)-1))
	for age := int(heard / slotTime); age < len(w.slots); age++ {
		*w.slot(age) += perSlot
	}
	if share < minAssumedShare && share < w.fleetShare {
		return
	}
	w.assumedAt, w.entitled, w.ownAssumed = w.updated, entitled, 0
	if until := w.updated.Add(w.tolerance.Window - heard); until.After(w.assumedUntil) {
		w.assumedUntil = until
	}
}

// returnAway counts the admissions that are known of a returning share of the fleet, as far as
// they exceed the even use that assumeUsed counts. That alone would let a bunch that was
// admitted before the cut be admitted again.
func (w *Window) returnAway(share, before float64) {
	even := float32(share * (w.limit.Rate*w.tolerance.Window.Seconds() + w.limit.Burst) / float64(len(w.slots)-1))
	part := float32(share / (1 - before))
	for i := range w.slots {
		returned := w.away[i] * part
		w.slots[i] += max(returned-even, 0)
		w.away[i] -= returned
	}
}

// Restart forgets what this daemon knows after a pause, in which the others may have used
// the whole limit, and keeps it to its share.
func (w *Window) Restart(now time.Time, share float64) {
	w.advance(now)
	clear(w.slots)
	clear(w.away)
	w.ownFast, w.ownMean, w.remoteFast, w.remoteAdmitted, w.mean, w.slow = 0, 0, 0, 0, 0, 0
	w.fleetShare, w.newShare, w.countedSince = min(max(share, 0), 1), share, now
	w.assumeUsed(w.fleetShare, 0, share)
}

// slotNumber returns the number of the slot of a time, and the elapsed part of that slot. It
// counts from the creation of the window, since a step of the wall clock would drop or mix
// the slots.
func (w *Window) slotNumber(now time.Time) (number int64, elapsed time.Duration) {
	since := time.Duration(w.created.UnixNano()%int64(slotTime)) + now.Sub(w.created)
	return int64(since / slotTime), since % slotTime
}

// slot returns the slot of the given age in slots.
func (w *Window) slot(age int) *float32 { return &w.slots[w.index(age)] }

// index returns the place in the ring of the slot of the given age.
func (w *Window) index(age int) int64 {
	n := int64(len(w.slots))
	return ((w.newest-int64(age))%n + n) % n
}

// advance drops the slots that left the window and decays the averages.
func (w *Window) advance(now time.Time) {
	elapsed := now.Sub(w.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	w.updated = now
	newest, _ := w.slotNumber(now)
	for range min(newest-w.newest, int64(len(w.slots))) {
		w.newest++
		*w.slot(0), w.away[w.index(0)] = 0, 0
	}
	w.newest = newest
	fast, mean := math.Exp(-elapsed/fastDemandTime.Seconds()), math.Exp(-elapsed/meanDemandTime.Seconds())
	w.ownFast *= fast
	w.remoteFast *= fast
	w.remoteAdmitted *= fast
	w.ownMean *= mean
	w.mean *= mean
	w.slow *= math.Exp(-elapsed / slowDemandTime.Seconds())
}

// sum returns the known admissions of the last length, with a part of the oldest slot.
func (w *Window) sum(length time.Duration) float64 {
	sum, age := float64(*w.slot(0)), 1
	_, elapsed := w.slotNumber(w.updated)
	slots := length.Seconds()/slotTime.Seconds() - float64(elapsed)/float64(slotTime)
	for ; slots >= 1 && age < len(w.slots); slots-- {
		sum += float64(*w.slot(age))
		age++
	}
	if slots > 0 && age < len(w.slots) {
		sum += slots * float64(*w.slot(age))
	}
	return sum
}

// Used returns the share of the allowance that is known to be used.
func (w *Window) Used(now time.Time) float64 {
	w.advance(now)
	return w.sum(w.tolerance.Window) / max(w.allowance(), 1)
}

// Resize changes the rate and burst. Earlier admissions count against the new limit.
func (w *Window) Resize(now time.Time, limit Limit) {
	w.advance(now)
	w.limit = limit
}

// SetReachable sets the share of the fleet that is reachable. A part of the fleet that is
// cut off takes its part of the admissions with it. One that returns may have used its
// whole share of the limit meanwhile.
func (w *Window) SetReachable(now time.Time, r Reachable) {
	w.advance(now)
	if !now.Before(w.assumedUntil) {
		w.newShare = 0
	}
	w.newShare = max(w.newShare, r.NewShare)
	share, before := min(max(r.Share, 0), 1), w.fleetShare
	w.fleetShare = share
	switch {
	case share < before:
		kept := share / before
		for age := int(noticeTime / slotTime); age < len(w.slots); age++ {
			count, i := w.slot(age), w.index(age)
			w.away[i] += *count * float32(1-kept)
			*count *= float32(kept)
		}
		w.remoteFast *= kept
		w.remoteAdmitted *= kept
		w.slow *= kept
		w.mean = w.ownMean + (w.mean-w.ownMean)*kept
	case share > before:
		w.returnAway(share-before, before)
		w.assumeUsed(share-before, 0, max(before, w.newShare))
	}
}

// AddRemote counts requests that other daemons received and admitted.
func (w *Window) AddRemote(now time.Time, admitted, requests float64) {
	w.advance(now)
	w.reported = now
	*w.slot(0) += float32(admitted)
	w.remoteFast += requests / fastDemandTime.Seconds()
	w.remoteAdmitted += admitted / fastDemandTime.Seconds()
	w.count(requests)
}

// count adds requests of any daemon to the averages.
func (w *Window) count(requests float64) {
	w.mean += requests / meanDemandTime.Seconds()
	w.slow += requests / slowDemandTime.Seconds()
}

// Admit decides on one request, as Bucket.Admit does.
func (w *Window) Admit(now time.Time, chance float64) (retryDelay time.Duration, ok bool) {
	w.advance(now)
	p := w.probability() // before this request is counted, which its own estimate must not contain
	w.ownFast += 1 / fastDemandTime.Seconds()
	w.ownMean += 1 / meanDemandTime.Seconds()
	w.count(1)
	if chance >= p {
		return w.retryDelay(p, (chance-p)/(1-p)), false
	}
	*w.slot(0)++
	w.ownAssumed++
	return 0, true
}

// Cancel takes back an admitted request that was not sent. The windows of other daemons
// stay as they are.
func (w *Window) Cancel() {
	for age := range w.slots {
		if s := w.slot(age); *s >= 1 {
			*s--
			return
		}
	}
}

// deviations returns by how many standard deviations of Poisson arrivals with the given
// mean an average with the given time constant exceeds them.
func deviations(average, mean float64, timeConstant time.Duration) float64 {
	mean = max(mean, minDemand)
	return (average - mean) / math.Sqrt(mean/(2*timeConstant.Seconds()))
}

// probability returns the probability with which a request is admitted now.
func (w *Window) probability() float64 {
	allowance, tolerance := w.allowance(), w.sharedTolerance()
	usual := usualShare * allowance / w.tolerance.Window.Seconds()
	remote, unreported := w.recent()
	fast := w.ownFast + remote
	mean := w.mean / (1 - math.Exp(-max(w.updated.Sub(w.countedSince), reportDelay).Seconds()/meanDemandTime.Seconds()))
	noise := noiseDeviations * math.Sqrt(fast/(2*fastDemandTime.Seconds()))
	// The whole window counts too: its oldest admissions were this daemon's own, or reported early.
	used := max(w.sum(w.tolerance.Window-reportDelay)+unreported, w.sum(w.tolerance.Window))

	if w.updated.Before(w.assumedUntil) && w.fleetShare > 0 {
		extra := newShareTolerance * tolerance * min(1, w.newShare/max(w.fleetShare, minDemand))
		left := w.spreadLeft() + extra
		p := min(left/(spreadTime.Seconds()*max(mean, fast-noise, minDemand)), left) // less than one left is the probability
		if w.justAssumed() && w.entitled < w.fleetShare/2 {
			perSecond := allowance / w.fleetShare / w.tolerance.Window.Seconds()
			p = min(p, entitledFactor*w.entitled*perSecond*w.updated.Sub(w.assumedAt).Seconds()+1-w.ownAssumed)
		}
		return clamp(p) * wall(allowance+0.3*extra, tolerance, used)
	}
	if deviations(w.slow, usual, slowDemandTime) > lastingDeviations {
		silence := min(max(w.updated.Sub(w.reported)-reportDelay, 0), noticeTime)
		mean += (w.mean - w.ownMean) * (math.Exp(silence.Seconds()/meanDemandTime.Seconds()) - 1) // the others are likely cut off
		used += silence.Seconds() * allowance / w.tolerance.Window.Seconds()
		p := biasCorrection * w.spreadLeft() / (spreadTime.Seconds() * max(mean, fast-noise, minDemand))
		return clamp(p) * wall(allowance, tolerance, used)
	}
	surge := max(deviations(w.mean, usual, meanDemandTime), deviations(fast-(surgeFactorSeen-1)*usual, usual, fastDemandTime)-1)
	surging := clamp(surge - surgeStart)
	random := max(0, randomDeviations*math.Sqrt(allowance)-(1-usualShare)*allowance) + w.fleetShare
	left := allowance + min(usableTolerance*(1-surging)*tolerance, random) - used
	// This daemon's own requests are known and need no edge.
	blind := max(remote, mean-w.ownMean)
	return clamp(left / (edgeTime.Seconds()*max(remote, 1) + surging*reportDelay.Seconds()*blind))
}

// justAssumed reports whether the first reports after admissions were assumed are still on
// their way.
func (w *Window) justAssumed() bool { return w.updated.Sub(w.assumedAt) < 2*reportDelay }

// spreadLeft returns the admissions that the window leaves for the next spreadTime. Those
// that were not reported yet are taken as even: the estimate by reports, which lag,
// made the admissions oscillate with a period of half a second.
func (w *Window) spreadLeft() float64 {
	remote := 1 - w.ownMean/max(w.mean, w.ownMean, minDemand)
	delay := reportDelay
	if !w.updated.Before(w.assumedUntil) {
		// Others that are cut off still admit requests until both sides notice it.
		delay = min(max(w.updated.Sub(w.reported), reportDelay), w.tolerance.Window/2)
	}
	unreported := remote * w.allowance() * delay.Seconds() / w.tolerance.Window.Seconds()
	return w.allowance() - w.sum(w.tolerance.Window-spreadTime-reportDelay) - unreported
}

// wall returns the factor by which the probability of spread admissions is reduced when
// more than the allowance was used.
func wall(allowance, tolerance, used float64) float64 {
	return clamp((allowance + wallShare*tolerance - used) / max(wallWidth*tolerance, minDemand))
}

func clamp(p float64) float64 { return min(max(p, 0), 1) }

// recent returns the recent demand at the others, in requests per second, and the estimated
// number of admissions that they did not report yet. A surge in this daemon's own requests
// counts for the others too, as far as it exceeds the variation of random arrivals.
func (w *Window) recent() (remote, unreported float64) {
	expected := w.ownMean * fastDemandTime.Seconds()
	own := w.ownFast*fastDemandTime.Seconds() - math.Sqrt(expected/2)
	surge := (own + surgePrior) / (expected + surgePrior)
	remote = max(w.remoteFast, (w.mean-w.ownMean)*surge)
	if w.remoteFast > 0 {
		unreported = remote * w.remoteAdmitted / w.remoteFast * reportDelay.Seconds()
	}
	if w.justAssumed() {
		assumed := w.allowance() / w.tolerance.Window.Seconds()
		remote = max(remote, assumed)
		unreported = max(unreported, assumed*reportDelay.Seconds())
	}
	return remote, unreported
}

// retryDelay returns the delay for a request that was refused although admitted with
// probability p: that of as many attempts as are likely needed, after the window has room
// again. Chance, in [0, 1), spreads the callers.
func (w *Window) retryDelay(p, chance float64) time.Duration {
	attempts, room := 2.0, w.roomAfter()
	if p > 0 {
		attempts, room = 1/p, 0
	}
	delay := (1+chance/4)*room.Seconds() + (0.5+chance)*attempts*retryPerAttempt.Seconds()
	return time.Duration(min(delay, (1+chance/4)*w.tolerance.Window.Seconds()) * float64(time.Second))
}

// roomAfter returns the time after which the window has room for one more request, if
// nothing else is admitted.
func (w *Window) roomAfter() time.Duration {
	if w.allowance() < 1 {
		return w.tolerance.Window
	}
	over := w.sum(w.tolerance.Window) + 1 - w.allowance()
	for age := len(w.slots) - 1; age > 0; age-- {
		if over <= 0 {
			return time.Duration(len(w.slots)-1-age) * slotTime
		}
		over -= float64(*w.slot(age))
	}
	return w.tolerance.Window
}
