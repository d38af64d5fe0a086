package limit

// reserveShare is the share of the reserve that a full bucket holds. The rest covers
// retries by other daemons whose reports have not arrived yet.
const reserveShare = 0.6

// ratioShare is the share of the ratio that each request adds to the bucket. The rest
// covers such retries, too.
const ratioShare = 0.8

// Allowance limits the retries of a pool in the whole fleet: a ratio of its requests,
// and a reserve.
type Allowance struct {
	Ratio   float64 // retries for each request
	Reserve float64 // retries in addition to those of Ratio
}

// Budget is the retry budget of one pool, as a token bucket that each daemon keeps
// on its own. It is not safe for concurrent use.
type Budget struct {
	allowance  Allowance
	fleetShare float64
	tokens     float64
}

// NewBudget returns a budget that holds its full reserve, for a fleet in which all
// daemons are reachable.
func NewBudget(a Allowance) *Budget {
	b := &Budget{allowance: a, fleetShare: 1}
	b.tokens = b.capacity()
	return b
}

// SetFleetShare sets the share of the fleet that is reachable from this daemon, from 0 to 1.
func (b *Budget) SetFleetShare(fleetShare float64) {
	b.fleetShare = min(max(fleetShare, 0), 1)
	b.tokens = min(b.tokens, b.capacity())
}

func (b *Budget) capacity() float64 { return max(1, reserveShare*b.allowance.Reserve*b.fleetShare) }

// AddRequests counts n first sends of requests, of this daemon or of others.
func (b *Budget) AddRequests(n float64) {
	b.tokens = min(b.tokens+ratioShare*b.allowance.Ratio*n, b.capacity())
}

// AddRemoteRetries subtracts n retries that other daemons reported. The bucket may
// then hold less than nothing.
func (b *Budget) AddRemoteRetries(n float64) { b.tokens -= n }

// Retry reports whether a retry is allowed, and subtracts it if so. It leaves the
// share keepShare of the full bucket to more important retries.
func (b *Budget) Retry(keepShare float64) bool {
	if b.tokens < 1 || b.tokens < keepShare*b.capacity() {
		return false
	}
	b.tokens--
	return true
}
