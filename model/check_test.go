package model

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestDecodeIntentMistakes guards against mistakes that are accepted or whose
// message does not name the field, what is allowed and the remedy.
func TestDecodeIntentMistakes(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	must.NoError(t, err)
	must.Positive(t, len(files))
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			data, err := os.ReadFile(f)
			must.NoError(t, err)
			got := "ok\n"
			if _, err := DecodeIntent(data); err != nil {
				got = err.Error() + "\n"
			}
			golden := strings.TrimSuffix(f, ".json") + ".golden"
			if *update {
				must.NoError(t, os.WriteFile(golden, []byte(got), 0o600))
			}
			want, err := os.ReadFile(golden)
			must.NoError(t, err)
			must.EqOp(t, string(want), got)
		})
	}
}
