package model

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestWeight guards against weights that change on their way to other hosts, that earlier releases
// cannot read although they are whole, or that are no proportions.
func TestWeight(t *testing.T) {
	for _, w := range []Weight{0, 1, 90, 0.1, 1e-300, MaxWeight} {
		must.NoError(t, w.Check())
		data, err := cbor.Marshal(SplitDestination{Pool: "p", Weight: w})
		must.NoError(t, err)
		var got SplitDestination
		must.NoError(t, cbor.Unmarshal(data, &got))
		test.Eq(t, w, got.Weight)
		var earlier struct {
			Weight int `cbor:"2,keyasint"`
		}
		err = cbor.Unmarshal(data, &earlier)
		test.Eq(t, float64(w) == math.Trunc(float64(w)), err == nil, test.Sprint(w))
		text, err := json.Marshal(w)
		must.NoError(t, err)
		must.NoError(t, json.Unmarshal(text, &got.Weight))
		test.Eq(t, w, got.Weight)
	}
	for _, w := range []Weight{-1, -1e-300, MaxWeight + 1, Weight(math.NaN()), Weight(math.Inf(1))} {
		test.Error(t, w.Check())
		test.Error(t, (&Route{ID: "r", Prefix: "/", Split: []SplitDestination{{Pool: "p", Weight: w}}}).Check())
	}
}
