package model_test

import (
	"testing"

	"rhubarbdrift.example/golden"
	"rhubarbdrift.example/model"
)

// TestDecodeIntentMistakes guards against invalid intents that are accepted, and
// against error messages that lack the field, the allowed values or the remedy.
func TestDecodeIntentMistakes(t *testing.T) {
	golden.CompareErrors(t, func(data []byte) error {
		_, err := model.DecodeIntent(data)
		return err
	})
}
