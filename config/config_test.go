package config_test

import (
	"testing"

	"rhubarbdrift.example/config"
	"rhubarbdrift.example/golden"
)

// TestDecodeMistakes guards against settings mistakes that are accepted or
// whose message does not name the field and the remedy.
func TestDecodeMistakes(t *testing.T) {
	golden.Mistakes(t, func(data []byte) error {
		_, err := config.Decode(data)
		return err
	})
}
