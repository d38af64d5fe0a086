package claim

import (
	"testing"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// TestClaimAfterRestore guards against a request that runs again since its claim was lost.
func TestClaimAfterRestore(t *testing.T) {
	s := store.NewMem()
	first, second := New(s), New(s)
	copied := s.Copy()
	fingerprint := model.DigestOf([]byte("pay"))
	claimed, err := first.Begin(t.Context(), "depots", "key", fingerprint)
	must.NoError(t, err)
	must.NoError(t, first.Finish(t.Context(), claimed, Result{State: StateDone, Status: 200}))
	_, err = second.Begin(t.Context(), "depots", "key", fingerprint)
	must.Error(t, err)
	s.Restore(copied)
	_, err = second.Begin(t.Context(), "depots", "key", fingerprint)
	must.Error(t, err)
}
