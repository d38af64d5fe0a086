package feed

import (
	"context"
	"time"

	"rhubarbdrift.example/cell"
	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/store"
)

// watch waits for changes of the root while this member watches for its cell.
// The position is kept over failures and over times without the duty, so that
// no change is missed; if the platform no longer has it, the root is listed.
func (s *Service) watch(ctx context.Context) error {
	var after store.Version
	for ctx.Err() == nil {
		if !s.member.Watches() {
			sleep(ctx, cell.Period)
			continue
		}
		next, err := s.watchOnce(ctx, after)
		switch {
		case fault.Is(err, store.Compacted):
			after = 0
		case err != nil:
			sleep(ctx, retryDelay)
		default:
			after = next
		}
	}
	return nil
}

// watchOnce waits for changes after a version, or lists if it is 0, and
// returns the version to go on from.
func (s *Service) watchOnce(ctx context.Context, after store.Version) (store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	if after == 0 {
		objects, version, err := s.store.List(ctx, store.KindConf)
		for _, o := range objects {
			s.see(o)
		}
		return version, err
	}
	events, version, err := s.store.Watch(ctx, store.KindConf, after)
	for _, e := range events {
		if !e.Deleted {
			s.see(e.Object)
		}
	}
	return max(after, version), err
}

func (s *Service) see(o store.Object) {
	if o.Name != conf.RootName {
		return
	}
	root, err := conf.DecodeRoot(o.Value)
	if err != nil {
		s.logger.Error().Err(err).Msg("the configuration root on the platform is invalid")
		return
	}
	s.Offer(Notice{Root: root})
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
