// Package golden compares the output of tests with files.
//
// # Usage
//
//	golden.Compare(t, "testdata/diff.golden", got)
//
// go test with the flag -update rewrites the files.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// fileMode is that of rewritten files.
const fileMode = 0o600

// Compare fails the test if got differs from the file's content.
func Compare(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		must.NoError(t, os.WriteFile(path, []byte(got), fileMode))
	}
	want, err := os.ReadFile(path) //#nosec G304 -- tests name the file
	must.NoError(t, err)
	must.EqOp(t, string(want), got)
}

// Mistakes decodes each testdata/*.json and compares the message of the error,
// or "ok", with the file of the same name and the ending .golden.
func Mistakes(t *testing.T, decode func(data []byte) error) {
	t.Helper()
	files, err := filepath.Glob("testdata/*.json")
	must.NoError(t, err)
	must.Positive(t, len(files))
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			data, err := os.ReadFile(f) //#nosec G304 -- tests name the file
			must.NoError(t, err)
			got := "ok\n"
			if err := decode(data); err != nil {
				got = err.Error() + "\n"
			}
			Compare(t, strings.TrimSuffix(f, ".json")+".golden", got)
		})
	}
}
