package conf

import (
	"context"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// WriteBack writes a configuration that is in force to a platform which came back from an older
// copy of its store: its root is older, or gone. It reports whether it wrote. It does nothing if
// the root is as new.
//
// The audit record of a lost change cannot be written back, since daemons don't hold it: the
// audit trail then ends before that change.
//
// The error has kind fault.KindConflict if another daemon changed the root meanwhile, and
// fault.KindUnknown if the write may have taken effect. To call WriteBack again is harmless.
func WriteBack(ctx context.Context, s store.Store, c *Snapshot) (bool, error) {
	old, rootVersion, err := readBase(ctx, s)
	if err != nil || old.Version >= c.Version() {
		return false, err
	}
	root := c.Root()
	chunks := make(map[model.Digest][]byte, len(root.Chunks))
	for _, d := range root.Chunks {
		if data, ok := c.Chunk(d); ok {
			chunks[d] = data
		}
	}
	if err := writeChunks(ctx, s, &old, &root, chunks); err != nil {
		return false, err
	}
	value, err := EncodeRoot(&root)
	if err != nil {
		return false, err
	}
	_, err = s.Put(ctx, store.KindConf, RootName, value, rootVersion)
	return err == nil, err
}
