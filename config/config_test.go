package config

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestDecodeMistakes guards against settings mistakes that are accepted or
// whose message does not name the field and the remedy.
func TestDecodeMistakes(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	must.NoError(t, err)
	must.Positive(t, len(files))
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			got := "ok\n"
			if _, err := Load(f); err != nil {
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
