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
	// maxAttempts bounds the attempts of one write whose outcome is unknown.
	maxAttempts = 5
	// retryDelay is the pause before each further attempt.
	retryDelay = 100 * time.Millisecond
)

// ReadRoot reads the newest root and the version of its object. The error has
// kind fault.KindMissing before the first commit.
func ReadRoot(ctx context.Context, s store.Store) (Root, store.Version, error) {
	o, err := s.Get(ctx, store.KindConf, RootName)
	if err != nil {
		return Root{}, 0, err
	}
	root, err := DecodeRoot(o.Value)
	return root, o.Version, err
}

// Load reads the newest configuration from the platform. It also returns the
// version of the root object, to pass as base to Commit.
func Load(ctx context.Context, s store.Store, options ...Option) (*Snapshot, store.Version, error) {
	root, rootVersion, err := ReadRoot(ctx, s)
	if err != nil {
		return nil, 0, err
	}
	snapshot, err := Assemble(root, chunkReader(ctx, s), options...)
	return snapshot, rootVersion, err
}

// chunkReader returns a function that reads chunks from the platform.
func chunkReader(ctx context.Context, s store.Store) func(model.Digest) ([]byte, error) {
	return func(d model.Digest) ([]byte, error) {
		o, err := s.Get(ctx, store.KindChunk, string(d))
		return o.Value, err
	}
}

// Commit makes next the newest configuration if the root object still has the
// version base (0: it does not exist). It first writes the chunks that the previous
// root does not list, and the audit record; the conditional update of the root then
// puts all of it in force atomically. It returns the new version of the root object.
//
// The error has kind fault.KindConflict if another change was committed since base,
// fault.KindUnavailable if the platform failed and nothing changed, and fault.KindUnknown
// if it could not be determined whether the change took effect. Calling Commit
// again with the same arguments is harmless.
func Commit(ctx context.Context, s store.Store, base store.Version, next Root, chunks map[model.Digest][]byte, audit []byte) (store.Version, error) {
	if model.DigestOf(audit) != next.Audit {
		return 0, fault.Invalid("audit record", "its digest is not the one in the root", "build the root with the digest of the record")
	}
	old, rootVersion, err := readBase(ctx, s)
	if err != nil {
		return 0, err
	}
	if rootVersion != 0 && old.Includes(next.Change) {
		return rootVersion, nil
	}
	if rootVersion != base {
		return 0, errChanged()
	}
	next.recordHistory(&old)
	if err := next.Check(); err != nil {
		return 0, err
	}
	if next.Version != old.Version+1 {
		return 0, fault.Invalid("root version", fmt.Sprintf("is %d after %d", next.Version, old.Version), "build the root with the version after the base")
	}
	if err := writeObjects(ctx, s, &old, &next, chunks, audit); err != nil {
		return 0, notCommitted(err)
	}
	return swapRoot(ctx, s, base, &next)
}

// recordHistory sets Recent to the newest recentChanges changes before this root.
func (r *Root) recordHistory(old *Root) {
	r.Recent = nil
	if old.Change == "" {
		return
	}
	r.Recent = append([]string{old.Change}, old.Recent...)
	r.Recent = r.Recent[:min(len(r.Recent), recentChanges)]
}

// readBase reads the root, or an empty one with version 0 if there is none.
func readBase(ctx context.Context, s store.Store) (Root, store.Version, error) {
	root, rootVersion, err := ReadRoot(ctx, s)
	if fault.Is(err, fault.KindMissing) {
		return Root{}, 0, nil
	}
	return root, rootVersion, err
}

// writeObjects writes the chunks of next that old does not list, and the audit
// record. The error has kind fault.KindMissing if such a chunk is not in chunks.
func writeObjects(ctx context.Context, s store.Store, old, next *Root, chunks map[model.Digest][]byte, audit []byte) error {
	if err := writeChunks(ctx, s, old, next, chunks); err != nil {
		return err
	}
	return writeOnce(ctx, s, store.KindAudit, next.Audit, audit)
}

// writeChunks writes the chunks of next that old does not list. The error has kind
// fault.KindMissing if such a chunk is not in chunks.
func writeChunks(ctx context.Context, s store.Store, old, next *Root, chunks map[model.Digest][]byte) error {
	stored := make(map[model.Digest]bool, len(old.Chunks))
	for _, d := range old.Chunks {
		stored[d] = true
	}
	for _, d := range next.Chunks {
		if stored[d] {
			continue
		}
		data, ok := chunks[d]
		if !ok {
			return errNoChunk(d)
		}
		if err := writeOnce(ctx, s, store.KindChunk, d, data); err != nil {
			return err
		}
		stored[d] = true
	}
	return nil
}

// writeOnce creates an object whose name is the digest of its value. A conflict
// counts as success, because an existing object of that name has the same value.
func writeOnce(ctx context.Context, s store.Store, kind store.Kind, d model.Digest, value []byte) error {
	var err error
	for range maxAttempts {
		_, err = s.Put(ctx, kind, string(d), value, 0)
		if err == nil || fault.Is(err, fault.KindConflict) {
			return nil
		}
		if !fault.Is(err, fault.KindUnknown) || !pause(ctx) {
			return err
		}
	}
	return err
}

// notCommitted converts the error of a step before the update of the root: the
// outcome of that step may be unknown, but the change has no effect.
func notCommitted(err error) error {
	if fault.Is(err, fault.KindUnknown) {
		// A wrapped error would keep the kind of its cause.
		return fault.New(fault.KindUnavailable, "the platform did not store the parts of the change, so nothing changed: "+err.Error(), "retry after a delay")
	}
	return err
}

// swapRoot updates the root object if its version is still base. After a lost answer
// it writes again with the same condition: the second write either succeeds, because
// the first had no effect, or fails with a conflict, and the root then shows whose
// change took effect.
func swapRoot(ctx context.Context, s store.Store, base store.Version, next *Root) (store.Version, error) {
	value, err := EncodeRoot(next)
	if err != nil {
		return 0, err
	}
	answerLost := false
	for range maxAttempts {
		rootVersion, err := s.Put(ctx, store.KindConf, RootName, value, base)
		switch {
		case err == nil:
			return rootVersion, nil
		case fault.Is(err, fault.KindConflict) && !answerLost:
			return 0, errChanged()
		case fault.Is(err, fault.KindConflict):
			if rootVersion, err := resolveConflict(ctx, s, next); !fault.Is(err, fault.KindUnavailable) {
				return rootVersion, err
			}
		case fault.Is(err, fault.KindUnknown):
			answerLost = true
		case !answerLost:
			return 0, err
		}
		if !pause(ctx) {
			break
		}
	}
	return 0, fault.New(fault.KindUnknown, "the platform's answer to the change "+next.Change+" was lost",
		"confirm the same change again, which is harmless, or look for it in the audit trail")
}

// resolveConflict reads the root to find out whether the change took effect, after a
// conflict that this change itself may have caused. The error has kind
// fault.KindUnavailable if the root cannot be read.
func resolveConflict(ctx context.Context, s store.Store, next *Root) (store.Version, error) {
	root, rootVersion, err := ReadRoot(ctx, s)
	switch {
	case err != nil:
		return 0, fault.New(fault.KindUnavailable, "the root cannot be read: "+err.Error(), "retry after a delay")
	case root.Includes(next.Change):
		return rootVersion, nil
	case root.Version > next.Version+recentChanges:
		return 0, fault.New(fault.KindUnknown, "too many changes were committed since", "look for the change "+next.Change+" in the audit trail")
	default:
		return 0, errChanged()
	}
}

func errChanged() error {
	return fault.New(fault.KindConflict, "the configuration was changed since this change was planned", "make a new plan from the newest configuration")
}

// pause waits for retryDelay. It returns false if the context ends before.
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
