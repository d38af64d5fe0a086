package feed

import (
	"context"
	"time"

	"rhubarbdrift.example/cell"
	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/store"
)

// watch follows changes of the root while this member watches for its cell. It
// keeps the version after which it continues over failures and while other members
// watch, so that no change is missed. If the platform has compacted the history
// after that version, it lists the objects again.
func (s *Service) watch(ctx context.Context) error {
	var after store.Version
	losses := 0 // consecutive watches that could not be continued
	for ctx.Err() == nil {
		if !s.member.IsWatcher() {
			sleep(ctx, cell.Period)
			continue
		}
		next, err := s.watchOnce(ctx, after)
		switch {
		case fault.Is(err, store.KindCompacted):
			after = 0
			losses++
			if losses > 1 { // the platform may fail all watches
				sleep(ctx, retryDelay)
			}
		case err != nil:
			sleep(ctx, retryDelay)
		default:
			if after > 0 {
				losses = 0
			}
			after = next
		}
	}
	return nil
}

// watchOnce waits for changes after a version, or lists all objects if it is 0,
// and returns the version from which to continue.
func (s *Service) watchOnce(ctx context.Context, after store.Version) (store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	if after == 0 {
		objects, version, err := s.store.List(ctx, store.KindConf)
		for _, o := range objects {
			s.offerObject(o)
		}
		if err == nil {
			s.writeBack(ctx)
		}
		return version, err
	}
	events, version, err := s.store.Watch(ctx, store.KindConf, after)
	for _, e := range events {
		if !e.Deleted {
			s.offerObject(e.Object)
		}
	}
	return max(after, version), err
}

// writeBack writes the configuration in force to the platform if its store came back from an older
// copy, which this member learns from the loss of the watch's history.
func (s *Service) writeBack(ctx context.Context) {
	c := s.holder.Current()
	if c == nil {
		return
	}
	written, err := conf.WriteBack(ctx, s.store, c)
	if err != nil {
		s.logger.Warn().Err(err).Uint64("version", uint64(c.Version())).Msg("the configuration in force could not be compared with that of the platform")
		return
	}
	if written {
		s.logger.Warn().Uint64("version", uint64(c.Version())).Msg("the platform held an older configuration; the one in force was written back")
	}
}

// offerObject passes the root to OfferRoot if o is the root object.
func (s *Service) offerObject(o store.Object) {
	if o.Name != conf.RootName {
		return
	}
	root, err := conf.DecodeRoot(o.Value)
	if err != nil {
		s.logger.Error().Err(err).Msg("the configuration root on the platform is invalid")
		return
	}
	s.OfferRoot(Notice{Root: root})
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
