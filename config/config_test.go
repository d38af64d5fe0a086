package config_test

import (
	"testing"

	"rhubarbdrift.example/config"
	"rhubarbdrift.example/golden"
)

// TestDecodeMistakes guards against invalid settings that are accepted, and
// against error messages that lack the field or the remedy.
func TestDecodeMistakes(t *testing.T) {
	golden.CompareErrors(t, func(data []byte) error {
		_, err := config.Decode(data)
		return err
	})
}
