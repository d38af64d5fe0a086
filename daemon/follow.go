package daemon

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// followPause is the time between two readings of the configuration's root.
const followPause = 500 * time.Millisecond

// follow keeps the configuration up to date from the platform.
type follow struct {
	store  store.Store
	holder *conf.Holder
	log    zerolog.Logger
}

// Run reads the root until ctx ends and installs newer versions.
func (f *follow) Run(ctx context.Context) error {
	t := time.NewTicker(followPause)
	defer t.Stop()
	for {
		f.read(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (f *follow) read(ctx context.Context) {
	s, _, err := conf.Load(ctx, f.store, conf.WithBase(f.holder.Current()))
	if err != nil {
		f.log.Debug().Err(err).Msg("configuration not read")
		return
	}
	if f.holder.Install(s) {
		f.log.Info().Uint64("version", uint64(s.Version())).Msg("configuration in force")
	}
}

// poolsOf returns the pools of a snapshot.
func poolsOf(s *conf.Snapshot) []*model.Pool {
	in := s.Intent()
	list := make([]*model.Pool, len(in.Pools))
	for i := range in.Pools {
		list[i] = &in.Pools[i]
	}
	return list
}
