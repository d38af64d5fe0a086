package lease

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// shard is the state of one lease at this daemon.
type shard struct {
	id     model.Shard
	name   string         // of the lease object
	ranked []model.HostID // the best ranked live members
	busy   bool           // a step is running
	due    time.Time      // of the next step

	// The record as last seen or, while the lease is held, as last written.
	known   bool
	version store.Version // 0: the object does not exist
	record  model.Lease
	seen    time.Time // when this version was first seen
	existed bool      // the object was seen to exist

	// Ownership.
	held       bool
	term       uint64
	start      time.Time
	until      time.Time
	pending    *attempt // a renewal that may take effect or have taken effect
	continuing bool     // past the lease by the votes of the cell

	yielded  bool // given up to a better ranked member
	patience time.Duration

	holder  model.HostID // for routing
	learned time.Time
}

// attempt is a renewal whose outcome is not known. It is sent again unchanged
// until it is, so at most one roster besides the recorded one is in question.
type attempt struct {
	record    model.Lease
	sent      time.Time // for the first time
	uncertain bool      // it may have taken effect
}

func (s *shard) holds(now time.Time) bool {
	return s.held && !now.Before(s.start) && now.Before(s.until)
}

// rank keeps the live members that observe the shard, best first.
func (s *shard) rank(live []model.HostID) {
	ranked := slices.Clone(live)
	slices.SortFunc(ranked, func(a, b model.HostID) int {
		return cmp.Compare(model.Rank(a, s.name), model.Rank(b, s.name))
	})
	s.ranked = ranked[:min(len(ranked), observers)]
}

// rosters returns the member lists that a taker may find in the lease.
func (s *shard) rosters() [][]model.HostID {
	lists := [][]model.HostID{s.record.Members}
	if s.pending != nil {
		lists = append(lists, s.pending.record.Members)
	}
	return lists
}

// extend prolongs the ownership. Once it has ended, it stays ended.
func (s *shard) extend(now, until time.Time) bool {
	if !s.held || !now.Before(s.until) {
		return false
	}
	if until.After(s.until) {
		s.until = until
	}
	return true
}

// drop ends the ownership and forgets the record, which must be observed anew.
func (s *shard) drop(now time.Time) {
	s.held, s.continuing, s.pending = false, false, nil
	s.known, s.holder = false, ""
	s.due = now
}

// newRecord returns the record for a write by this daemon. The caller does not
// hold the lock, which Holds needs while the voter works.
func (k *Keeper) newRecord(term uint64) model.Lease {
	version, members := k.voter.Roster()
	return model.Lease{
		Holder: k.self, Incarnation: k.incarnation, Nonce: k.nonce(), Term: term,
		Cell: k.cell, Roster: version, Members: slices.Clone(members),
	}
}

// nonce returns a value that no other write has.
func (k *Keeper) nonce() string {
	return string(k.incarnation) + "-" + strconv.FormatUint(k.nonces.Add(1), 10)
}

// mine reports whether this run of this daemon wrote the record to hold the lease.
func (k *Keeper) mine(r model.Lease) bool {
	return r.Holder == k.self && r.Incarnation == k.incarnation && !r.Released
}

// majority reports whether count is more than half of the members.
func majority(count int, members []model.HostID) bool { return 2*count > len(members) && count > 0 }

// logged reports a record that an operator has to repair.
func (k *Keeper) logged(s *shard, err error) error {
	if err != nil {
		k.log.Error().Err(err).Str("shard", s.name).Msg("the lease is not usable")
	}
	return err
}

func (k *Keeper) get(ctx context.Context, s *shard) (store.Version, model.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := k.store.Get(ctx, store.KindLease, s.name)
	if err != nil {
		return 0, model.Lease{}, err
	}
	r, err := model.DecodeLease(o.Value)
	return o.Version, r, k.logged(s, err)
}

func (k *Keeper) put(ctx context.Context, s *shard, r model.Lease, match store.Version) (store.Version, error) {
	if err := k.logged(s, r.Check()); err != nil {
		return 0, err
	}
	value, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.store.Put(ctx, store.KindLease, s.name, value, match)
}

// write writes a lease and, if it is not clear whether that or an earlier try
// took effect, reads the lease and compares the nonce. The error is
// fault.Unknown if the write may still take effect.
func (k *Keeper) write(ctx context.Context, s *shard, r model.Lease, match store.Version) (store.Version, error) {
	version, err := k.put(ctx, s, r, match)
	if !fault.Is(err, fault.Unknown) && !fault.Is(err, fault.Conflict) {
		return version, err
	}
	version, found, readErr := k.get(ctx, s)
	switch {
	case readErr == nil && found.Nonce == r.Nonce:
		return version, nil
	case fault.Is(readErr, fault.Unavailable), readErr == nil && version == match:
		return 0, store.ErrUnknown("the lease does not show it yet")
	default:
		return 0, store.ErrConflict(store.KindLease, s.name)
	}
}
