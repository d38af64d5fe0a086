// Package share holds the regions' shares of the customers' rates and bursts:
// the stored record and the decision of how they follow the demand.
//
// # Usage
//
//	r, version, err := share.Load(ctx, platform, shard)
//	...
//	p := r.Part(customer, "north", regions) // the region's share
//	giver, taker, ok := share.Shift(customer, p, r.Part(customer, "south", regions), demandHere, demandThere)
//	...
//	next := move.Apply(r, "north", customers, regions)
//	version, err = share.Save(ctx, platform, shard, next, version)
//
// Package quota contains the protocol that keeps the sum of the shares in
// force at most 1 at any time.
package share

import (
	"context"
	"maps"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// Part is one region's share of a customer's rate and burst.
type Part struct {
	Rate  model.Share `cbor:"1,keyasint"`
	Burst model.Share `cbor:"2,keyasint"`
}

// Record is the value of the object share/<shard>: the regions' shares of the
// customers of one shard. A customer that is absent has an even split.
type Record struct {
	Writer  string                                     `cbor:"1,keyasint"` // nonce of the last write
	Holders map[model.Region]string                    `cbor:"2,keyasint"`
	Shares  map[model.CustomerID]map[model.Region]Part `cbor:"3,keyasint"`
	// Gift holds the tokens that the last write moved with the shares. The
	// taker adds them when it reads exactly this version, so they count once.
	Gift *Gift `cbor:"4,keyasint,omitempty"`
}

// Gift is a number of tokens per customer for one region.
type Gift struct {
	To     model.Region                 `cbor:"1,keyasint"`
	Tokens map[model.CustomerID]float64 `cbor:"2,keyasint"`
}

// Wish tells the owner of the same shard in another region what this region
// needs and which version of the record it knows.
type Wish struct {
	Shard   model.Shard   `cbor:"1,keyasint"`
	From    model.Region  `cbor:"2,keyasint"`
	Version store.Version `cbor:"3,keyasint"`
	Needs   []Need        `cbor:"4,keyasint,omitempty"`
}

// Need is the demand of one customer in a region.
type Need struct {
	Customer model.CustomerID `cbor:"1,keyasint"`
	Demand   Rates            `cbor:"2,keyasint"`
}

// Peers carries wishes to the owner of the same shard in another region.
type Peers interface {
	Wish(ctx context.Context, to model.Region, w Wish) error
}

// shareSlack allows for rounding when shares are added up.
const shareSlack = 1e-9

// Decode decodes and checks a record.
func Decode(value []byte) (*Record, error) {
	r := new(Record)
	if err := cbor.Unmarshal(value, r); err != nil {
		return nil, fault.Invalid("share record", err.Error(), "check which program wrote the object")
	}
	for id, parts := range r.Shares {
		var rate, burst model.Share
		for _, p := range parts {
			rate, burst = rate+max(p.Rate, 0), burst+max(p.Burst, 0)
		}
		if rate > 1+shareSlack || burst > 1+shareSlack {
			return nil, fault.Invalid("shares of customer "+string(id), "they add up to more than 1", "correct the object share/<shard>")
		}
	}
	return r, nil
}

// Encode returns the stored form.
func (r *Record) Encode() ([]byte, error) { return cbor.Marshal(r) }

// Clone returns a copy for a further write: with a new nonce and no gift.
func (r *Record) Clone() *Record {
	n := &Record{Writer: uuid.NewString(), Holders: maps.Clone(r.Holders), Shares: maps.Clone(r.Shares)}
	if n.Holders == nil {
		n.Holders = map[model.Region]string{}
	}
	if n.Shares == nil {
		n.Shares = map[model.CustomerID]map[model.Region]Part{}
	}
	return n
}

// Part returns a region's share of a customer.
func (r *Record) Part(c *model.Customer, region model.Region, regions []model.Region) Part {
	if parts, ok := r.Shares[c.ID]; ok {
		return parts[region]
	}
	return even(c, region, regions)
}

// even splits a customer's limits over the regions. A burst that is smaller
// than the number of regions goes in whole tokens to some of them, since a
// region with a burst below 1 could never admit a request.
func even(c *model.Customer, region model.Region, regions []model.Region) Part {
	n := min(len(regions), max(1, int(c.Burst)))
	before := 0
	for _, r := range regions {
		if r != region && model.Rank(r, string(c.ID)) < model.Rank(region, string(c.ID)) {
			before++
		}
	}
	if before >= n {
		return Part{}
	}
	s := model.Share(1 / float64(n))
	return Part{Rate: s, Burst: s}
}

const (
	// leastRate is the smallest share of a rate that a move leaves to a region.
	leastRate = 0.02
	// leastMove is the hysteresis: smaller moves are not made, so that noise in
	// the demand causes no writes.
	leastMove = 0.05
	// noiseFactor is the number of standard deviations of the estimated demand
	// that a move must exceed. Checks are made several times a second, so that
	// three would often be exceeded by chance.
	noiseFactor = 4
)

// Shift returns the parts of giver and taker that follow their demands, and
// false if the change is too small. A burst below two tokens is not divided.
func Shift(c *model.Customer, giver, taker Part, own, other Rates) (Part, Part, bool) {
	if both := giver.Burst + taker.Burst; float64(both)*float64(c.Burst) < 2 {
		moved := Part{Rate: giver.Rate + taker.Rate, Burst: both}
		part, noise := split(own.Slow, other.Slow, slowSpan)
		return Part{}, moved, giver.Burst > 0 && part-noiseFactor*noise > 0.5
	}
	rate, ok := raise(float64(giver.Rate), float64(taker.Rate), own, other, leastRate)
	if !ok {
		return giver, taker, false
	}
	burst, ok := raise(float64(giver.Burst), float64(taker.Burst), own, other, max(leastRate, 1/float64(c.Burst)))
	if !ok {
		burst = 0
	}
	giver.Rate, taker.Rate = giver.Rate-model.Share(rate), taker.Rate+model.Share(rate)
	giver.Burst, taker.Burst = giver.Burst-model.Share(burst), taker.Burst+model.Share(burst)
	return giver, taker, true
}

// raise returns how much of the giver's share moves to the taker: what the
// recent demand asks for if that is clear by itself, otherwise what the recent
// and the longer-term demand both ask for.
func raise(giver, taker float64, own, other Rates, least float64) (float64, bool) {
	total := giver + taker
	if total < 2*least {
		return 0, false
	}
	fast, sure := excess(total, taker, own.Fast, other.Fast, least, fastSpan)
	if sure {
		return fast, true
	}
	slow, sure := excess(total, taker, own.Slow, other.Slow, least, slowSpan)
	return math.Min(fast, slow), sure && fast >= total*leastMove
}

// excess returns by how much the taker's part of the demand, measured over a
// span, exceeds its share, and whether that is more than noise.
func excess(total, taker, own, other, least float64, span time.Duration) (float64, bool) {
	if own+other <= 0 {
		return 0, false
	}
	part, noise := split(own, other, span)
	want := math.Max(least, math.Min(total-least, total*part))
	return want - taker, want-taker >= total*math.Max(leastMove, noiseFactor*noise)
}

// split returns the taker's part of the demand, measured over a span, and its
// standard deviation. Four events are added, two for each side, since a few
// events that are all on one side show little.
func split(own, other float64, span time.Duration) (part, noise float64) {
	n := (own+other)*2*span.Seconds() + 4
	p := (other*2*span.Seconds() + 2) / n
	return other / math.Max(own+other, math.SmallestNonzeroFloat64), math.Sqrt(p * (1 - p) / n)
}

// Move is a share move of which the first step has been made: the parts of the
// giver and the taker afterwards.
type Move struct {
	To    model.Region
	Parts map[model.CustomerID][2]Part
	Gift  map[model.CustomerID]float64 // tokens that the giver took out of its buckets
}

// Apply returns the record after the move. Customers that are not configured
// any more are left out.
func (m *Move) Apply(r *Record, from model.Region, find func(model.CustomerID) (*model.Customer, bool), regions []model.Region) *Record {
	n := r.Clone()
	for id, moved := range m.Parts {
		c, ok := find(id)
		if !ok {
			continue
		}
		parts := map[model.Region]Part{}
		for _, region := range regions {
			parts[region] = r.Part(c, region, regions)
		}
		parts[from], parts[m.To] = moved[0], moved[1]
		n.Shares[id] = parts
	}
	n.Gift = &Gift{To: m.To, Tokens: m.Gift}
	return n
}

// Load reads the record of a shard. A missing object is an empty record with version 0.
func Load(ctx context.Context, platform store.Store, shard model.Shard) (*Record, store.Version, error) {
	obj, err := platform.Get(ctx, store.KindShare, shard.String())
	if fault.Is(err, fault.Missing) {
		return new(Record), 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	r, err := Decode(obj.Value)
	return r, obj.Version, err
}

// Save writes the record of a shard if its version is match.
func Save(ctx context.Context, platform store.Store, shard model.Shard, r *Record, match store.Version) (store.Version, error) {
	value, err := r.Encode()
	if err != nil {
		return 0, err
	}
	return platform.Put(ctx, store.KindShare, shard.String(), value, match)
}
