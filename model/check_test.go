package model_test

import (
	"testing"

	"rhubarbdrift.example/golden"
	"rhubarbdrift.example/model"
)

// TestDecodeIntentMistakes guards against mistakes that are accepted or whose
// message does not name the field, what is allowed and the remedy.
func TestDecodeIntentMistakes(t *testing.T) {
	golden.Mistakes(t, func(data []byte) error {
		_, err := model.DecodeIntent(data)
		return err
	})
}
