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

// Clone returns a copy with a new writer's nonce that can be changed.
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
	leastMove = 0.1
)

// wholeMove is the factor between the demands of two regions at which a share
// that cannot be divided moves.
const wholeMove = 2

// Shift returns the parts of giver and taker that follow their demands, and
// false if the change is too small. A burst below two tokens is not divided.
func Shift(c *model.Customer, giver, taker Part, own, other float64) (Part, Part, bool) {
	if both := giver.Burst + taker.Burst; float64(both)*float64(c.Burst) < 2 {
		moved := Part{Rate: giver.Rate + taker.Rate, Burst: both}
		return Part{}, moved, giver.Burst > 0 && other > wholeMove*own
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

// raise returns how much of the giver's share moves to the taker.
func raise(giver, taker, own, other, least float64) (float64, bool) {
	total := giver + taker
	if total < 2*least || own+other <= 0 {
		return 0, false
	}
	want := math.Max(least, math.Min(total-least, total*other/(own+other)))
	return want - taker, want-taker >= leastMove*total
}

// Move is a share move of which the first step has been made: the parts of the
// giver and the taker afterwards.
type Move struct {
	To    model.Region
	Parts map[model.CustomerID][2]Part
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
