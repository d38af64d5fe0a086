package mesh

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/model"
)

// TestHedgeCounts guards against hedged requests that are lost on their way through the
// tree, so that other hosts exceed the share.
func TestHedgeCounts(t *testing.T) {
	var leaf, sum, received Sum
	leaf.AddPool("p", Usage{Requests: 3, Wanted: 2, Hedged: 1})
	sum.AddPool("p", Usage{Requests: 1, Wanted: 1, Hedged: 1})
	sum.Add(&leaf)
	data, err := cbor.Marshal(&sum)
	must.NoError(t, err)
	must.NoError(t, cbor.Unmarshal(data, &received))
	test.Eq(t, map[model.PoolID]Usage{"p": {Requests: 4, Wanted: 3, Hedged: 2}}, received.Pools)
}
