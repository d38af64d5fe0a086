package limit

// reserved is the part of the reserve that the bucket holds. The rest covers
// retries that other daemons make while reports are under way.
const reserved = 0.6

// earned is the part of the ratio that requests earn, for the same reason.
const earned = 0.8

// Allowance bounds repeated sends to a pool: a ratio of its requests and a reserve.
type Allowance struct {
	Ratio   float64 // sends beyond the first for each request
	Reserve float64 // sends beyond the first, in addition
}

// Budget is the allowance of one pool as this daemon sees it. It is not safe
// for concurrent use.
type Budget struct {
	allowance Allowance
	part      float64
	left      float64
}

// NewBudget returns a budget with its reserve.
func NewBudget(a Allowance) *Budget {
	b := &Budget{allowance: a, part: 1}
	b.left = b.capacity()
	return b
}

// Part sets the part of the fleet that this daemon hears of, from 0 to 1.
func (b *Budget) Part(part float64) {
	b.part = min(max(part, 0), 1)
	b.left = min(b.left, b.capacity())
}

func (b *Budget) capacity() float64 { return max(1, reserved*b.allowance.Reserve*b.part) }

// Requests counts first sends, of this daemon or of others.
func (b *Budget) Requests(n float64) {
	b.left = min(b.left+earned*b.allowance.Ratio*n, b.capacity())
}

// Others takes the repeated sends that other daemons report.
func (b *Budget) Others(n float64) { b.left -= n }

// Retry takes one repeated send and reports whether there was one. It keeps
// the share keep of the reserve for requests that matter more.
func (b *Budget) Retry(keep float64) bool {
	if b.left < 1 || b.left < keep*b.capacity() {
		return false
	}
	b.left--
	return true
}
