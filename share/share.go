// Package share divides the customers' rates and bursts between the regions. It
// defines the stored record of the regions' shares and decides which shares move
// when the demand changes.
//
// # Usage
//
//	r, version, err := share.Load(ctx, platform, shard)
//	...
//	north, south := r.RegionShare(customer, "north", regions), r.RegionShare(customer, "south", regions)
//	giver, taker, ok := share.Rebalance(customer, north, south, northDemand, southDemand)
//	...
//	next := move.Apply(r, "north", customers, regions)
//	version, err = share.Save(ctx, platform, shard, next, version)
//
// Package quota contains the protocol which ensures that the shares in force add
// up to at most 1 at any time.
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

// RegionShare is one region's share of a customer's rate and burst, as fractions.
type RegionShare struct {
	Rate  model.Share `cbor:"1,keyasint"`
	Burst model.Share `cbor:"2,keyasint"`
}

// Record is the value of the object share/<shard>: the regions' shares of the
// customers of one shard. A customer without an entry is split evenly.
type Record struct {
	WriteNonce string                                            `cbor:"1,keyasint"` // nonce of the last write
	Holders    map[model.Region]string                           `cbor:"2,keyasint"` // nonce of each region's owner of the shard
	Shares     map[model.CustomerID]map[model.Region]RegionShare `cbor:"3,keyasint"`
	// Transfer holds the tokens that the last write moved with the shares. The
	// receiving region adds them when it reads this version and no other, so
	// they count at most once.
	Transfer *TokenTransfer `cbor:"4,keyasint,omitempty"`
}

// TokenTransfer is the tokens that a share move transfers to one region, by customer.
type TokenTransfer struct {
	To     model.Region                 `cbor:"1,keyasint"`
	Tokens map[model.CustomerID]float64 `cbor:"2,keyasint"`
}

// Request is a share request to the owner of the same shard in another region. It
// carries the sender's demand and the version of the record that the sender has
// read, so that owners with an older version reload it.
type Request struct {
	Shard   model.Shard   `cbor:"1,keyasint"`
	From    model.Region  `cbor:"2,keyasint"`
	Version store.Version `cbor:"3,keyasint"`
	Needs   []Need        `cbor:"4,keyasint,omitempty"`
}

// Need is the demand of one customer whose share in the sending region is nearly used.
type Need struct {
	Customer model.CustomerID `cbor:"1,keyasint"`
	Demand   DemandRates      `cbor:"2,keyasint"`
}

// Requester sends a share request to the owner of the same shard in another region.
// The error is nil if the owner received it.
type Requester interface {
	SendShareRequest(ctx context.Context, to model.Region, request Request) error
}

// shareSlack is the tolerance for rounding errors in a sum of shares.
const shareSlack = 1e-9

// Decode decodes a record and checks that no customer's shares add up to more than
// 1. Its errors have the kind fault.KindInvalid.
func Decode(value []byte) (*Record, error) {
	r := new(Record)
	if err := cbor.Unmarshal(value, r); err != nil {
		return nil, fault.Invalid("share record", err.Error(), "check which program wrote the object")
	}
	for id, shares := range r.Shares {
		var rate, burst model.Share
		for _, s := range shares {
			rate, burst = rate+max(s.Rate, 0), burst+max(s.Burst, 0)
		}
		if rate > 1+shareSlack || burst > 1+shareSlack {
			return nil, fault.Invalid("shares of customer "+string(id), "they add up to more than 1", "correct the object share/<shard>")
		}
	}
	return r, nil
}

// Encode returns the stored form in CBOR.
func (r *Record) Encode() ([]byte, error) { return cbor.Marshal(r) }

// Clone returns a copy for the next write, with a new nonce in WriteNonce and without
// the transfer.
func (r *Record) Clone() *Record {
	clone := &Record{WriteNonce: uuid.NewString(), Holders: maps.Clone(r.Holders), Shares: maps.Clone(r.Shares)}
	if clone.Holders == nil {
		clone.Holders = map[model.Region]string{}
	}
	if clone.Shares == nil {
		clone.Shares = map[model.CustomerID]map[model.Region]RegionShare{}
	}
	return clone
}

// RegionShare returns a region's share of a customer: the stored one, otherwise an even one.
func (r *Record) RegionShare(c *model.Customer, region model.Region, regions []model.Region) RegionShare {
	if shares, ok := r.Shares[c.ID]; ok {
		return shares[region]
	}
	return evenShare(c, region, regions)
}

// evenShare splits a customer's limits evenly between the regions. If the burst is
// smaller than the number of regions, only as many regions as it has tokens get a
// share, since a region with a burst below 1 could never admit a request. They
// are chosen by the rendezvous hash of region and customer.
func evenShare(c *model.Customer, region model.Region, regions []model.Region) RegionShare {
	n := min(len(regions), max(1, int(c.Burst)))
	ahead := 0
	for _, r := range regions {
		if r != region && model.RendezvousHash(r, string(c.ID)) < model.RendezvousHash(region, string(c.ID)) {
			ahead++
		}
	}
	if ahead >= n {
		return RegionShare{}
	}
	s := model.Share(1 / float64(n))
	return RegionShare{Rate: s, Burst: s}
}

const (
	// minRateShare is the smallest fraction of a rate that a move leaves to a
	// region.
	minRateShare = 0.02
	// minMove is the smallest move, as a fraction of the two regions' total. It
	// adds hysteresis, so that noise in the demand causes no writes.
	minMove = 0.05
	// noiseFactor is the number of standard deviations of the estimated demand
	// that a move must exceed. Moves are considered several times a second, so
	// a factor of three would often be exceeded by chance.
	noiseFactor = 4
)

// Rebalance returns the new shares of giver and taker in proportion to their demands,
// and false if no move to the taker is justified; the shares are then to be
// ignored. If both together have a burst below two tokens, the whole share moves,
// since a part of it would be less than one token.
func Rebalance(c *model.Customer, giver, taker RegionShare, giverDemand, takerDemand DemandRates) (RegionShare, RegionShare, bool) {
	if totalBurst := giver.Burst + taker.Burst; float64(totalBurst)*float64(c.Burst) < 2 {
		whole := RegionShare{Rate: giver.Rate + taker.Rate, Burst: totalBurst}
		fraction, stdDev := demandSplit(giverDemand.Slow, takerDemand.Slow, slowWindow)
		return RegionShare{}, whole, giver.Burst > 0 && fraction-noiseFactor*stdDev > 0.5
	}
	rate, ok := shareIncrease(float64(giver.Rate), float64(taker.Rate), giverDemand, takerDemand, minRateShare)
	if !ok {
		return giver, taker, false
	}
	burst, ok := shareIncrease(float64(giver.Burst), float64(taker.Burst), giverDemand, takerDemand, max(minRateShare, 1/float64(c.Burst)))
	if !ok {
		burst = 0
	}
	giver.Rate, taker.Rate = giver.Rate-model.Share(rate), taker.Rate+model.Share(rate)
	giver.Burst, taker.Burst = giver.Burst-model.Share(burst), taker.Burst+model.Share(burst)
	return giver, taker, true
}

// shareIncrease returns how much of the giver's share moves to the taker, and
// whether it should. It is the taker's excess by the recent demand if that is
// significant by itself. Otherwise the excess by the longer-term demand must be
// significant, and the smaller of the two moves.
func shareIncrease(giver, taker float64, giverDemand, takerDemand DemandRates, minShare float64) (float64, bool) {
	total := giver + taker
	if total < 2*minShare {
		return 0, false
	}
	recent, significant := excess(total, taker, giverDemand.Fast, takerDemand.Fast, minShare, fastWindow)
	if significant {
		return recent, true
	}
	longTerm, significant := excess(total, taker, giverDemand.Slow, takerDemand.Slow, minShare, slowWindow)
	return math.Min(recent, longTerm), significant && recent >= total*minMove
}

// excess returns by how much the taker's fraction of the demand exceeds its share,
// and whether that is more than noise. Demands are in requests per second,
// measured with the decay time window.
func excess(total, taker, giverDemand, takerDemand, minShare float64, window time.Duration) (float64, bool) {
	if giverDemand+takerDemand <= 0 {
		return 0, false
	}
	fraction, stdDev := demandSplit(giverDemand, takerDemand, window)
	desired := math.Max(minShare, math.Min(total-minShare, total*fraction))
	return desired - taker, desired-taker >= total*math.Max(minMove, noiseFactor*stdDev)
}

// demandSplit returns the taker's fraction of the demand, measured with the decay
// time window, and its standard deviation. An exponentially decaying count is as
// noisy as a plain count over twice the decay time. For the deviation, four events
// are added, two on each side, because a few events that are all on one side are
// weak evidence.
func demandSplit(giverDemand, takerDemand float64, window time.Duration) (fraction, stdDev float64) {
	events := (giverDemand+takerDemand)*2*window.Seconds() + 4
	smoothed := (takerDemand*2*window.Seconds() + 2) / events
	return takerDemand / math.Max(giverDemand+takerDemand, math.SmallestNonzeroFloat64), math.Sqrt(smoothed * (1 - smoothed) / events)
}

// Move is a share move whose first step is done: the giver uses its new share,
// but the record is not yet written. Shares holds the new shares of the giver and
// the taker.
type Move struct {
	To       model.Region
	Shares   map[model.CustomerID][2]RegionShare
	Transfer map[model.CustomerID]float64 // tokens removed from the giver's buckets
}

// Apply returns the record after the move from the giving region. Customers that
// are no longer configured are left out.
func (m *Move) Apply(r *Record, from model.Region, customers func(model.CustomerID) (*model.Customer, bool), regions []model.Region) *Record {
	next := r.Clone()
	for id, pair := range m.Shares {
		c, ok := customers(id)
		if !ok {
			continue
		}
		shares := map[model.Region]RegionShare{}
		for _, region := range regions {
			shares[region] = r.RegionShare(c, region, regions)
		}
		shares[from], shares[m.To] = pair[0], pair[1]
		next.Shares[id] = shares
	}
	next.Transfer = &TokenTransfer{To: m.To, Tokens: m.Transfer}
	return next
}

// Load reads the record of a shard. If the object is missing, it returns an empty
// record and version 0. Its errors are those of the store and of Decode.
func Load(ctx context.Context, platform store.Store, shard model.Shard) (*Record, store.Version, error) {
	obj, err := platform.Get(ctx, store.KindShare, shard.String())
	if fault.Is(err, fault.KindMissing) {
		return new(Record), 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	r, err := Decode(obj.Value)
	return r, obj.Version, err
}

// Save writes the record of a shard if its stored version is match, and returns the
// new version. Its errors are those of Store.Put.
func Save(ctx context.Context, platform store.Store, shard model.Shard, r *Record, match store.Version) (store.Version, error) {
	value, err := r.Encode()
	if err != nil {
		return 0, err
	}
	return platform.Put(ctx, store.KindShare, shard.String(), value, match)
}
