package conf

import (
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// TestWriteBack guards against a configuration that is written back in part, or over a newer one.
func TestWriteBack(t *testing.T) {
	for name, before := range map[string]bool{"older root": true, "no root": false} {
		t.Run(name, func(t *testing.T) {
			s := store.NewMem()
			copied, base, version := s.Copy(), store.Version(0), model.ConfigVersion(1)
			var err error
			if before {
				base, err = commit(t, s, 0, 1, "one", sample(5))
				must.NoError(t, err)
				copied, version = s.Copy(), 2
			}
			_, err = commit(t, s, base, version, "two", sample(6))
			must.NoError(t, err)
			inForce, _, err := Load(t.Context(), s)
			must.NoError(t, err)
			written, err := WriteBack(t.Context(), s, inForce)
			must.NoError(t, err)
			must.False(t, written)

			s.Restore(copied)
			written, err = WriteBack(t.Context(), s, inForce)
			must.NoError(t, err)
			must.True(t, written)
			again, rootVersion, err := Load(t.Context(), s)
			must.NoError(t, err)
			must.Eq(t, inForce.Root(), again.Root())
			must.Eq(t, inForce.Intent(), again.Intent())

			_, err = commit(t, s, rootVersion, inForce.Version()+1, "three", sample(7))
			must.NoError(t, err)
			written, err = WriteBack(t.Context(), s, inForce)
			must.NoError(t, err)
			must.False(t, written)
		})
	}
}
