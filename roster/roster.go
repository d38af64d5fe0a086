package roster

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"rhubarbdrift.example/cell"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// join adds this host to the roster r if it holds the newest configuration. The
// argument settled states that an accept quorum of r holds r. It must have been
// determined before newest was read: no outage quorum of the previous roster can then
// hold a version above newest.
func (s *Service) join(ctx context.Context, r cell.Roster, settled bool, newest model.ConfigVersion) {
	m := s.member
	if r.Has(m.Self().ID) || m.Status().Version < newest {
		return
	}
	if len(r.Hosts) >= cell.MaxMembers {
		s.logger.Error().Str("cell", string(m.Name())).Int("members", len(r.Hosts)).
			Msg("the cell is full; name another cell in the settings of this host")
		return
	}
	if len(r.Hosts) > 0 && !settled {
		return
	}
	s.write(ctx, cell.Roster{Version: r.Version, Hosts: append(slices.Clone(r.Hosts), m.Self())}, "joined the cell")
}

// removeAbsent removes one host that has been absent for cell.AbsentFor, if this
// member is a watcher. As in join, settled states that an accept quorum of r holds r
// and must have been determined before newest was read.
func (s *Service) removeAbsent(ctx context.Context, r cell.Roster, settled bool, newest model.ConfigVersion) {
	if !settled || !s.member.IsWatcher() || !s.readHosts(ctx) {
		return
	}
	absentID, ok := s.findAbsent(r)
	if !ok || r.Version != s.member.Roster().Version || !s.member.QuorumHolds(newest) {
		return
	}
	hosts := slices.DeleteFunc(slices.Clone(r.Hosts), func(h cell.Host) bool { return h.ID == absentID })
	s.write(ctx, cell.Roster{Version: r.Version, Hosts: hosts}, "removed the absent host "+string(absentID))
}

// readHosts reads the platform's host list in every hostListPeriods-th call and
// reports whether this call read it.
func (s *Service) readHosts(ctx context.Context) bool {
	s.rounds++
	if s.rounds%hostListPeriods != 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	hosts, err := s.store.Hosts(ctx)
	if err != nil {
		return false
	}
	for _, h := range hosts {
		s.lastListed[h.ID] = s.clock()
	}
	return true
}

// findAbsent returns a member that has sent no heartbeat and has been missing from
// the host list for cell.AbsentFor. It returns none until this daemon itself has
// run that long.
func (s *Service) findAbsent(r cell.Roster) (model.HostID, bool) {
	now := s.clock()
	if now.Sub(s.started) < cell.AbsentFor {
		return "", false
	}
	for _, p := range s.member.Peers() {
		if r.Has(p.ID) && now.Sub(p.LastHeartbeat) >= cell.AbsentFor && now.Sub(s.lastListed[p.ID]) >= cell.AbsentFor {
			return p.ID, true
		}
	}
	return "", false
}

// write stores the roster under the condition that the object still has version
// r.Version, adopts it and logs the message. A failure is only logged.
func (s *Service) write(ctx context.Context, r cell.Roster, message string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	match := r.Version // the condition of the store's Put
	r.Version = 0      // the version of the stored object applies
	value, err := cbor.Marshal(r)
	if err != nil {
		return
	}
	newVersion, err := s.store.Put(ctx, store.KindCell, string(s.member.Name()), value, match)
	if err != nil {
		if !fault.Is(err, fault.KindConflict) {
			s.logger.Warn().Err(err).Str("cell", string(s.member.Name())).Msg("the roster could not be updated; trying again in the next period")
		}
		return // if only the answer was lost, the next round reads the stored roster
	}
	r.Version = newVersion
	s.adopt(r, true)
	s.logger.Info().Str("cell", string(s.member.Name())).Int("members", len(r.Hosts)).Msg(message)
}

// Roster returns the version and the hosts of the roster, for the votes of
// package lease.
func (s *Service) Roster() (uint64, []model.HostID) {
	r := s.member.Roster()
	ids := make([]model.HostID, 0, len(r.Hosts))
	for _, h := range r.Hosts {
		ids = append(ids, h.ID)
	}
	return uint64(r.Version), ids
}

// CountNoContact asks the given members and returns how many state that they have no
// contact to the platform, including this one if it is among them. If that is an
// outage quorum, a lease holder may continue for one period from the start of the
// call.
func (s *Service) CountNoContact(ctx context.Context, members []model.HostID) int {
	return s.poll(ctx, members, cell.Question{Ask: cell.AskNoContact})
}

// CountEndorsements asks the given members and returns how many state that they have
// contact to the platform and have not stated the opposite for two periods. If
// that is a takeover quorum, the takeover must be written within one period from
// the start of the call.
func (s *Service) CountEndorsements(ctx context.Context, members []model.HostID, shard model.Shard) int {
	return s.poll(ctx, members, cell.Question{Ask: cell.AskEndorse, Shard: shard})
}

// poll asks the given members in parallel and returns the number of positive
// answers. Members that do not answer within pollTimeout count as negative.
func (s *Service) poll(ctx context.Context, ids []model.HostID, q cell.Question) int {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	q.From = s.member.Self().ID
	addresses := make(map[model.HostID]string)
	for _, h := range s.member.Roster().Hosts {
		addresses[h.ID] = h.Address
	}
	var count atomic.Int32
	var g errgroup.Group
	for _, id := range ids {
		g.Go(func() error {
			if s.askMember(ctx, id, addresses[id], q) {
				count.Add(1)
			}
			return nil
		})
	}
	_ = g.Wait()
	return int(count.Load())
}

// askMember reports whether the member answers the question with yes.
func (s *Service) askMember(ctx context.Context, id model.HostID, address string, q cell.Question) bool {
	if id == q.From {
		return s.HandleQuestion(ctx, q).Yes
	}
	if address == "" {
		return false
	}
	a, err := s.transport.Ask(ctx, address, q)
	return err == nil && a.From == id && a.Yes
}
