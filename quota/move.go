package quota

import (
	"context"
	"maps"
	"slices"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/share"
	"rhubarbdrift.example/store"
)

const (
	// callTimeout bounds a call to the platform or to a peer.
	callTimeout = time.Second
	// minMoveInterval is the least time between two share moves of a shard.
	minMoveInterval = time.Second
	// shareRequestInterval is the period of share requests to the other regions.
	shareRequestInterval = 400 * time.Millisecond
	// shareRequestTTL is the time after which a received share request is ignored.
	shareRequestTTL = 1500 * time.Millisecond
	// needThreshold is the fraction of its rate share that a region's demand must
	// reach before the region requests a larger share.
	needThreshold = 0.7
	// maxMoveWrites is the number of failed writes after which a move is
	// abandoned, provided that none of them can have taken effect.
	maxMoveWrites = 3
)

// pendingMove is a share move that is not yet stored.
//
// A share moves in two steps. First the giver lowers its own share in memory
// and waits until its outstanding grants fit. Then one conditional update
// lowers the giver's entry in the record and raises the taker's. The taker
// raises its share after reading the record; its bucket gets no tokens for the
// added share except those in Transfer. If the answer to the update is lost, the
// giver keeps the lowered share until it reads a newer version of the record,
// because the write may take effect at any time before that.
//
// A new holder first writes its nonce to Holders, so that an update by an
// earlier holder that is still in flight no longer matches the version.
type pendingMove struct {
	share.Move
	maybeWritten bool // a write may have taken effect or may still do so
	failedWrites int  // failed writes that had no effect
}

// receivedRequest is the last share request of another region.
type receivedRequest struct {
	receivedAt time.Time
	needs      []share.Need
}

// HandleShareRequest processes a share request of the same shard's owner in another region.
// The request is ignored if this daemon does not own the shard.
func (o *Owner) HandleShareRequest(request share.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	s := o.ownedShard(request.Shard, now)
	if s == nil {
		return
	}
	s.shareRequests[request.From] = receivedRequest{receivedAt: now, needs: request.Needs}
	s.outdated = s.outdated || request.Version > s.version
	s.announce = s.announce || request.Version < s.version
}

// step does the work of one tick for a shard: it takes over, reloads or updates
// the record and then sends share requests.
func (o *Owner) step(ctx context.Context, s *shard) {
	defer func() {
		o.mu.Lock()
		s.stepping = false
		o.mu.Unlock()
	}()
	o.mu.Lock()
	ready, outdated := s.ready, s.outdated
	o.mu.Unlock()
	switch {
	case !ready:
		o.fence(ctx, s)
	case outdated:
		o.reload(ctx, s)
	default:
		o.planMove(s)
		o.writeMove(ctx, s)
	}
	o.sendShareRequests(ctx, s)
}

// fence writes this holder's nonce to the record, so that a late write of an
// earlier holder fails on the version.
func (o *Owner) fence(ctx context.Context, s *shard) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, version, err := share.Load(ctx, o.platform, s.id)
	if err != nil {
		return
	}
	if r.Holders[o.region] != s.nonce {
		r = r.Clone()
		r.Holders[o.region] = s.nonce
		if version, err = share.Save(ctx, o.platform, s.id, r, version); err != nil {
			return // the next tick reads whether a write with a lost answer took effect
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	// Refill starts now and not when the lease was acquired, because in between
	// another region may have moved a part of its share to this one.
	s.record, s.version, s.ready, s.refillStart = r, version, true, o.clock()
}

// reload reads the record and adopts it if it is newer. After an error the next
// tick tries again.
func (o *Owner) reload(ctx context.Context, s *shard) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, version, err := share.Load(ctx, o.platform, s.id)
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	s.outdated = false
	if version == 0 {
		o.discard(s) // the record was deleted: start again as a new holder
		return
	}
	o.adopt(s, r, version)
}

// discard removes the state of a shard. The next tick starts with empty buckets
// if this daemon still owns it. The caller holds o.mu.
func (o *Owner) discard(s *shard) {
	if o.owned[s.id] == s {
		delete(o.owned, s.id)
	}
}

// adopt installs a newer record and adds the tokens that were moved here with
// it. It ends a pending move, since a write based on an older version has either
// taken effect or no longer can. The caller holds o.mu.
func (o *Owner) adopt(s *shard, r *share.Record, version store.Version) {
	if version <= s.version {
		return
	}
	if r.Holders[o.region] != s.nonce {
		o.discard(s) // another holder has taken over
		return
	}
	if version.Era() != s.version.Era() {
		o.discard(s) // from an older copy of the store: its tokens may have been added before
		return
	}
	// First refill all buckets up to now at the old shares, so that a raised
	// share does not apply to time that has passed.
	now := o.clock()
	for _, shares := range []map[model.CustomerID]map[model.Region]share.RegionShare{s.record.Shares, r.Shares} {
		for id := range shares {
			o.bucket(s, id, now)
		}
	}
	s.record, s.version, s.move, s.announce = r, version, nil, true
	if r.Transfer == nil || r.Transfer.To != o.region {
		return
	}
	for id, n := range r.Transfer.Tokens {
		if b := o.bucket(s, id, now); b != nil {
			b.tokens += n
			b.clamp()
		}
	}
}

// planMove makes the first step of a move to the first region with a current
// share request that can be met.
func (o *Owner) planMove(s *shard) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	if s.move != nil || now.Sub(s.lastMoveWrite) < minMoveInterval {
		return
	}
	for _, region := range o.regions {
		request, ok := s.shareRequests[region]
		if !ok || now.Sub(request.receivedAt) > shareRequestTTL {
			continue
		}
		if shares := o.reallocate(s, region, request.needs, now); len(shares) > 0 {
			o.beginMove(s, share.Move{To: region, Shares: shares, Transfer: map[model.CustomerID]float64{}}, now)
			return
		}
	}
}

// beginMove makes the first step of a move: it lowers this region's shares in
// memory. Tokens above the lowered burst move with the share, but not more than
// the burst is lowered by, because the giver's bucket may fill up to the lowered
// burst while they are in transit.
func (o *Owner) beginMove(s *shard, m share.Move, now time.Time) {
	oldBuckets := map[model.CustomerID]bucket{}
	for id := range m.Shares {
		oldBuckets[id] = *o.bucket(s, id, now)
	}
	s.move = &pendingMove{Move: m}
	for id, old := range oldBuckets {
		b := o.bucket(s, id, now)
		m.Transfer[id] = max(0, min(old.tokens-b.tokens, old.burst-b.burst))
	}
}

// reallocate returns, for each customer whose share should move to the region,
// the new shares of this region (the giver) and of that one (the taker).
func (o *Owner) reallocate(s *shard, to model.Region, needs []share.Need, now time.Time) map[model.CustomerID][2]share.RegionShare {
	shares := map[model.CustomerID][2]share.RegionShare{}
	for _, need := range needs {
		c, ok := o.customers(need.Customer)
		if !ok {
			continue
		}
		var giverDemand share.DemandRates
		if b := s.buckets[need.Customer]; b != nil {
			giverDemand = b.demand.Rates(now)
		}
		giver, taker := s.record.RegionShare(c, o.region, o.regions), s.record.RegionShare(c, to, o.regions)
		if giver, taker, ok = share.Rebalance(c, giver, taker, giverDemand, need.Demand); ok {
			shares[need.Customer] = [2]share.RegionShare{giver, taker}
		}
	}
	return shares
}

// writeMove makes the second step of a move, the update of the stored record,
// once the outstanding grants fit.
func (o *Owner) writeMove(ctx context.Context, s *shard) {
	o.mu.Lock()
	now := o.clock()
	if s.move == nil || now.Sub(s.lastMoveWrite) < minMoveInterval || !o.grantsFit(s, now) {
		o.mu.Unlock()
		return
	}
	s.lastMoveWrite = now
	m := s.move
	next, version := m.Apply(s.record, o.region, o.customers, o.regions), s.version
	o.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	newVersion, err := share.Save(ctx, o.platform, s.id, next, version)

	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil:
		o.adopt(s, next, newVersion)
	case fault.Is(err, fault.KindUnavailable):
		m.failedWrites++
		if !m.maybeWritten && m.failedWrites >= maxMoveWrites {
			s.move = nil // no write can have taken effect: keep the share
		}
	default:
		m.maybeWritten = true
		s.outdated = true
	}
}

// grantsFit reports whether the outstanding grants fit in the lowered bursts.
func (o *Owner) grantsFit(s *shard, now time.Time) bool {
	for id := range s.move.Shares {
		if b := o.bucket(s, id, now); b != nil && float64(b.outstanding) > b.burst {
			return false
		}
	}
	return true
}

// sendShareRequests sends this region's needs and the version of its record to
// the other regions. It sends nothing while this region needs no larger share
// and no version has to be announced.
func (o *Owner) sendShareRequests(ctx context.Context, s *shard) {
	o.mu.Lock()
	now := o.clock()
	request := share.Request{Shard: s.id, From: o.region, Version: s.version}
	if s.ready && (s.announce || now.Sub(s.lastShareRequest) >= shareRequestInterval) {
		request.Needs = o.needs(s, now)
	}
	if !s.ready || (len(request.Needs) == 0 && !s.announce) {
		o.mu.Unlock()
		return
	}
	s.announce, s.lastShareRequest = false, now
	o.mu.Unlock()
	for _, region := range o.regions {
		if region == o.region {
			continue
		}
		o.sends.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			// Errors are ignored: the needs are sent again while they last.
			_ = o.peers.SendShareRequest(ctx, region, request)
		})
	}
}

// needs lists the customers whose recent demand reaches needThreshold of their
// rate share. If a customer's demand exceeds the share, it also marks the record
// as outdated, so that the next step reloads it, at most once per minMoveInterval.
func (o *Owner) needs(s *shard, now time.Time) []share.Need {
	var list []share.Need
	for _, id := range slices.Sorted(maps.Keys(s.buckets)) {
		b := s.buckets[id]
		d := b.demand.Rates(now)
		if d.Fast > 0 && d.Fast >= needThreshold*b.rate {
			list = append(list, share.Need{Customer: id, Demand: d})
		}
		// A region that the giver cannot reach receives no notice of a stored move,
		// so it rereads the record while the demand exceeds its share.
		if d.Fast > b.rate && now.Sub(s.lastRecordCheck) >= minMoveInterval {
			s.lastRecordCheck, s.outdated = now, true
		}
	}
	return list
}
