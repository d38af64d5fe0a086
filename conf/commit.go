package conf

import (
	"context"
	"fmt"
	"time"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

const (
	// attempts bounds the retries of one write whose outcome is unknown.
	attempts = 5
	// retryDelay is the pause before such a retry.
	retryDelay = 100 * time.Millisecond
)

// ReadRoot reads the newest root and the version of its object. The error has
// kind fault.Missing before the first commit.
func ReadRoot(ctx context.Context, s store.Store) (Root, store.Version, error) {
	o, err := s.Get(ctx, store.KindConf, RootName)
	if err != nil {
		return Root{}, 0, err
	}
	root, err := DecodeRoot(o.Value)
	return root, o.Version, err
}

// Load reads the newest configuration from the platform. The version is that
// of the root object, the base of a later Commit.
func Load(ctx context.Context, s store.Store, options ...Option) (*Snapshot, store.Version, error) {
	root, at, err := ReadRoot(ctx, s)
	if err != nil {
		return nil, 0, err
	}
	snapshot, err := Assemble(root, chunkReader(ctx, s), options...)
	return snapshot, at, err
}

func chunkReader(ctx context.Context, s store.Store) func(model.Digest) ([]byte, error) {
	return func(d model.Digest) ([]byte, error) {
		o, err := s.Get(ctx, store.KindChunk, string(d))
		return o.Value, err
	}
}

// Commit makes next the newest configuration if the root object still has the
// version base (0: there is none). It first writes the audit record and the
// chunks that the platform lacks; the conditional update of the root then puts
// all of it in force at once. It returns the new version of the root object.
//
// The error has kind fault.Conflict if another change was committed since
// base, fault.Unavailable if nothing changed, and fault.Unknown if the platform
// could not be asked whether the change took effect. Calling it again with the
// same arguments is harmless.
func Commit(ctx context.Context, s store.Store, base store.Version, next Root, chunks map[model.Digest][]byte, audit []byte) (store.Version, error) {
	if model.DigestOf(audit) != next.Audit {
		return 0, fault.Invalid("audit record", "its digest is not the one in the root", "build the root with the digest of the record")
	}
	old, at, err := readBase(ctx, s)
	if err != nil {
		return 0, err
	}
	if at != 0 && old.Made(next.Change) {
		return at, nil
	}
	if at != base {
		return 0, errChanged()
	}
	next.follow(&old)
	if err := next.Check(); err != nil {
		return 0, err
	}
	if next.Version != old.Version+1 {
		return 0, fault.Invalid("root version", fmt.Sprintf("is %d after %d", next.Version, old.Version), "build the root with the version after the base")
	}
	if err := writeParts(ctx, s, &old, &next, chunks, audit); err != nil {
		return 0, notCommitted(err)
	}
	return swapRoot(ctx, s, base, &next)
}

// follow records the changes that led to the root.
func (r *Root) follow(old *Root) {
	r.Recent = nil
	if old.Change == "" {
		return
	}
	r.Recent = append([]string{old.Change}, old.Recent...)
	r.Recent = r.Recent[:min(len(r.Recent), recentChanges)]
}

func readBase(ctx context.Context, s store.Store) (Root, store.Version, error) {
	root, at, err := ReadRoot(ctx, s)
	if fault.Is(err, fault.Missing) {
		return Root{}, 0, nil
	}
	return root, at, err
}

func writeParts(ctx context.Context, s store.Store, old, next *Root, chunks map[model.Digest][]byte, audit []byte) error {
	have := make(map[model.Digest]bool, len(old.Chunks))
	for _, d := range old.Chunks {
		have[d] = true
	}
	for _, d := range next.Chunks {
		if have[d] {
			continue
		}
		data, ok := chunks[d]
		if !ok {
			return errNoChunk(d)
		}
		if err := writeOnce(ctx, s, store.KindChunk, d, data); err != nil {
			return err
		}
		have[d] = true
	}
	return writeOnce(ctx, s, store.KindAudit, next.Audit, audit)
}

// writeOnce creates an object whose name is the digest of its value. An object
// that exists already has the same value.
func writeOnce(ctx context.Context, s store.Store, kind store.Kind, d model.Digest, value []byte) error {
	var err error
	for range attempts {
		_, err = s.Put(ctx, kind, string(d), value, 0)
		if err == nil || fault.Is(err, fault.Conflict) {
			return nil
		}
		if !fault.Is(err, fault.Unknown) || !pause(ctx) {
			return err
		}
	}
	return err
}

// notCommitted converts the error of a step before the update of the root,
// after which the change certainly has no effect.
func notCommitted(err error) error {
	if fault.Is(err, fault.Unknown) {
		// A wrapped error would keep the kind of its cause.
		return fault.New(fault.Unavailable, "the platform did not store the parts of the change, so nothing changed: "+err.Error(), "retry after a delay")
	}
	return err
}

// swapRoot updates the root object. After a lost answer it writes again with
// the same condition: the second write either takes the place of the first or
// meets a conflict, after which the root tells whose change took effect.
func swapRoot(ctx context.Context, s store.Store, base store.Version, next *Root) (store.Version, error) {
	value, err := EncodeRoot(next)
	if err != nil {
		return 0, err
	}
	lost := false
	for range attempts {
		at, err := s.Put(ctx, store.KindConf, RootName, value, base)
		switch {
		case err == nil:
			return at, nil
		case fault.Is(err, fault.Conflict) && !lost:
			return 0, errChanged()
		case fault.Is(err, fault.Conflict):
			if at, err := resolve(ctx, s, next); !fault.Is(err, fault.Unavailable) {
				return at, err
			}
		case fault.Is(err, fault.Unknown):
			lost = true
		case !lost:
			return 0, err
		}
		if !pause(ctx) {
			break
		}
	}
	return 0, fault.New(fault.Unknown, "the platform's answer to the change "+next.Change+" was lost",
		"confirm the same change again, which is harmless, or look for it in the audit trail")
}

func resolve(ctx context.Context, s store.Store, next *Root) (store.Version, error) {
	root, at, err := ReadRoot(ctx, s)
	switch {
	case err != nil:
		return 0, fault.New(fault.Unavailable, "the root cannot be read: "+err.Error(), "retry after a delay")
	case root.Made(next.Change):
		return at, nil
	case root.Version > next.Version+recentChanges:
		return 0, fault.New(fault.Unknown, "too many changes were committed since", "look for the change "+next.Change+" in the audit trail")
	default:
		return 0, errChanged()
	}
}

func errChanged() error {
	return fault.New(fault.Conflict, "the configuration was changed since this change was planned", "make a new plan from the newest configuration")
}

// pause waits before a retry. It reports false when the context has ended.
func pause(ctx context.Context) bool {
	t := time.NewTimer(retryDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
