package model

import (
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// Weight is the share of the requests that one destination of a split route gets, relative to
// the weights of the others. It is a proportion, and so need not be a whole number.
type Weight float64

// MaxWeight is the largest weight. Sums of such weights are exact enough.
const MaxWeight Weight = 1 << 30

// Check returns an error for a weight that is no proportion.
func (w Weight) Check() error {
	if !(w >= 0 && w <= MaxWeight) { // also refuses a NaN
		return fmt.Errorf("the weight %v is not from 0 to %v", float64(w), float64(MaxWeight))
	}
	return nil
}

// MarshalCBOR encodes a whole weight as an integer, as releases do that know no other weights.
func (w Weight) MarshalCBOR() ([]byte, error) {
	if whole := math.Trunc(float64(w)); whole == float64(w) && w.Check() == nil {
		return cbor.Marshal(int64(whole))
	}
	return cbor.Marshal(float64(w))
}
