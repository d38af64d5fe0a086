package cmds

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/flood"
	"rhubarbdrift.example/proxy"
)

// TestAnswerWithoutEnd guards against commands that allocate whatever length an answer
// announces.
func TestAnswerWithoutEnd(t *testing.T) {
	for _, k := range []flood.Kind{flood.Length, flood.Chunk, flood.Garbage, flood.Trailers} {
		t.Run(string(k), func(t *testing.T) {
			s, err := flood.Listen(k)
			must.NoError(t, err)
			defer s.Close()
			_, err = callExplain(s.Address(), &proxy.Query{})
			test.Error(t, err)
			_, err = callAdmin[struct{}](s.Address(), "GET", "/status", nil)
			test.Error(t, err)
		})
	}
}
