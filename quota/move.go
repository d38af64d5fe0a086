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
	// writeGap is the least time between two share moves of a shard.
	writeGap = time.Second
	// wishGap is the period of wishes to the other regions.
	wishGap = 400 * time.Millisecond
	// wishLife is the time for which a wish counts.
	wishLife = 1500 * time.Millisecond
	// needPart is the part of its share that a region uses before it wishes for more.
	needPart = 0.7
	// moveTries is the number of failed writes, each without effect, after
	// which a move is given up.
	moveTries = 3
)

// A share moves in two steps. The giver lowers its own share in memory and
// waits until its outstanding grants fit. Then one conditional update lowers
// the giver's entry and raises the taker's. The taker raises its share after
// reading the record, and its bucket starts without the moved part. After a
// lost answer the giver stays at the lowered share until it reads a newer
// version of the record, since the write may take effect at any time before.
//
// A new holder first writes its nonce to Holders. An update by an earlier
// holder that is still under way then no longer matches the version.
type moving struct {
	share.Move
	unsure bool // a write may have taken effect
	tries  int  // writes without effect
}

// wished is the last wish of another region.
type wished struct {
	at    time.Time
	needs []share.Need
}

// Handle processes a wish of another region's owner.
func (o *Owner) Handle(w share.Wish) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	s := o.current(w.Shard, now)
	if s == nil {
		return
	}
	s.wishes[w.From] = wished{at: now, needs: w.Needs}
	s.behind = s.behind || w.Version > s.version
	s.tell = s.tell || w.Version < s.version
}

// step does the work of one tick for a shard.
func (o *Owner) step(ctx context.Context, s *shard) {
	defer func() {
		o.mu.Lock()
		s.busy = false
		o.mu.Unlock()
	}()
	o.mu.Lock()
	ready, behind := s.ready, s.behind
	o.mu.Unlock()
	switch {
	case !ready:
		o.fence(ctx, s)
	case behind:
		o.read(ctx, s)
	default:
		o.plan(s)
		o.write(ctx, s)
	}
	o.wish(ctx, s)
}

// fence writes this holder's nonce to the record, so that a late write of an
// earlier holder no longer matches.
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
			return // the next tick reads whether a lost write took effect
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	// Refill starts now and not at the acquisition: until now another region
	// may have moved a part of its share here.
	s.record, s.version, s.ready, s.filling = r, version, true, o.clock()
}

// read adopts the newest record.
func (o *Owner) read(ctx context.Context, s *shard) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, version, err := share.Load(ctx, o.platform, s.id)
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	s.behind = false
	if version == 0 {
		o.drop(s) // the record was deleted: start as a new holder
		return
	}
	o.adopt(s, r, version)
}

func (o *Owner) drop(s *shard) {
	if o.held[s.id] == s {
		delete(o.held, s.id)
	}
}

// adopt installs a newer record. A move that was based on an older version is
// decided by it: its write took effect or no longer can.
func (o *Owner) adopt(s *shard, r *share.Record, version store.Version) {
	if version <= s.version {
		return
	}
	if r.Holders[o.region] != s.nonce {
		o.drop(s) // another holder has taken over
		return
	}
	// Buckets are brought up to now with the old shares first, so that a raised
	// share does not count for the past.
	now := o.clock()
	for _, shares := range []map[model.CustomerID]map[model.Region]share.Part{s.record.Shares, r.Shares} {
		for id := range shares {
			o.bucket(s, id, now)
		}
	}
	s.record, s.version, s.move, s.tell = r, version, nil, true
	if r.Gift == nil || r.Gift.To != o.region {
		return
	}
	for id, n := range r.Gift.Tokens {
		if b := o.bucket(s, id, now); b != nil {
			b.tokens += n
			b.clamp()
		}
	}
}

// plan makes the first step of a move to a region that wishes for more.
func (o *Owner) plan(s *shard) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	if s.move != nil || now.Sub(s.written) < writeGap {
		return
	}
	for _, region := range o.regions {
		w, ok := s.wishes[region]
		if !ok || now.Sub(w.at) > wishLife {
			continue
		}
		if parts := o.gifts(s, region, w.needs, now); len(parts) > 0 {
			o.lower(s, share.Move{To: region, Parts: parts, Gift: map[model.CustomerID]float64{}}, now)
			return
		}
	}
}

// lower makes the first step of a move. The tokens that no longer fit go along
// with the share, at most as many as the burst is lowered by: the giver's
// bucket may fill up to the lowered burst while they are on their way.
func (o *Owner) lower(s *shard, m share.Move, now time.Time) {
	before := map[model.CustomerID]bucket{}
	for id := range m.Parts {
		before[id] = *o.bucket(s, id, now)
	}
	s.move = &moving{Move: m}
	for id, old := range before {
		b := o.bucket(s, id, now)
		m.Gift[id] = max(0, min(old.tokens-b.tokens, old.burst-b.burst))
	}
}

func (o *Owner) gifts(s *shard, to model.Region, needs []share.Need, now time.Time) map[model.CustomerID][2]share.Part {
	parts := map[model.CustomerID][2]share.Part{}
	for _, n := range needs {
		c, ok := o.customers(n.Customer)
		if !ok {
			continue
		}
		var own share.Rates
		if b := s.buckets[n.Customer]; b != nil {
			own = b.demand.Rates(now)
		}
		giver, taker := s.record.Part(c, o.region, o.regions), s.record.Part(c, to, o.regions)
		if giver, taker, ok = share.Shift(c, giver, taker, own, n.Demand); ok {
			parts[n.Customer] = [2]share.Part{giver, taker}
		}
	}
	return parts
}

// write makes the second step of a move once the outstanding grants fit.
func (o *Owner) write(ctx context.Context, s *shard) {
	o.mu.Lock()
	now := o.clock()
	if s.move == nil || now.Sub(s.written) < writeGap || !o.fits(s, now) {
		o.mu.Unlock()
		return
	}
	s.written = now
	m := s.move
	next, version := m.Apply(s.record, o.region, o.customers, o.regions), s.version
	o.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	written, err := share.Save(ctx, o.platform, s.id, next, version)

	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil:
		o.adopt(s, next, written)
	case fault.Is(err, fault.Unavailable):
		m.tries++
		if !m.unsure && m.tries >= moveTries {
			s.move = nil // certainly not written: the share stays here
		}
	default:
		m.unsure = true
		s.behind = true
	}
}

// fits reports whether the outstanding grants fit in the lowered shares.
func (o *Owner) fits(s *shard, now time.Time) bool {
	for id := range s.move.Parts {
		if b := o.bucket(s, id, now); b != nil && float64(b.outstanding) > b.burst {
			return false
		}
	}
	return true
}

// wish tells the other regions what this one needs. It sends nothing while
// there is no need and all know the newest record.
func (o *Owner) wish(ctx context.Context, s *shard) {
	o.mu.Lock()
	now := o.clock()
	w := share.Wish{Shard: s.id, From: o.region, Version: s.version}
	if s.ready && (s.tell || now.Sub(s.wishedAt) >= wishGap) {
		w.Needs = o.needs(s, now)
	}
	if !s.ready || (len(w.Needs) == 0 && !s.tell) {
		o.mu.Unlock()
		return
	}
	s.tell, s.wishedAt = false, now
	o.mu.Unlock()
	for _, region := range o.regions {
		if region == o.region {
			continue
		}
		o.wishes.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			// A lost wish is repeated with the next need.
			_ = o.peers.Wish(ctx, region, w)
		})
	}
}

// needs lists the customers whose demand comes near their share.
func (o *Owner) needs(s *shard, now time.Time) []share.Need {
	var list []share.Need
	for _, id := range slices.Sorted(maps.Keys(s.buckets)) {
		b := s.buckets[id]
		d := b.demand.Rates(now)
		if d.Fast > 0 && d.Fast >= needPart*b.rate {
			list = append(list, share.Need{Customer: id, Demand: d})
		}
		// A region cut off from the giver does not hear of a move that was written.
		if d.Fast > b.rate && now.Sub(s.checked) >= writeGap {
			s.checked, s.behind = now, true
		}
	}
	return list
}
