package watch

import (
	"errors"

	"rhubarbdrift.example/store"
)

// loseHistory makes the next call read the complete list. From the second watch in a row that
// could not be continued it returns the error, since lists are large and the store may fail all
// watches. It also returns the error of a new era.
func (f *follower) loseHistory(from store.Version, err error) error {
	restored := errors.Is(err, store.ErrRestored)
	f.log.Info().Str("kind", string(f.kind)).Uint32("era", uint32(from.Era())).Uint64("after", from.Revision()).Bool("restored", restored).
		Msg("history is gone; the list is read again")
	f.mu.Lock()
	f.relist = true
	f.mu.Unlock()
	f.losses++
	if f.losses > 1 || restored {
		return err
	}
	return nil
}

// mustList reports whether the next call reads the complete list, since no watch continues from
// the present copy.
func (f *follower) mustList() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.relist
}

// enterEra prepares for an answer or a relay of a later era than that of the present copy. The
// store then holds less than this host: what was written since the store's copy was taken is
// missing until it has been written again. The caller holds f.mu.
func (f *follower) enterEra(era store.Era) {
	if f.version == 0 || era <= f.version.Era() {
		return
	}
	f.log.Info().Str("kind", string(f.kind)).Uint32("era", uint32(era)).Uint32("before", uint32(f.version.Era())).Uint64("revision", f.version.Revision()).
		Msg("list of an older copy of the store")
	f.onRestore()
}
