// Package golden compares the output of tests with golden files.
//
// # Usage
//
//	golden.Compare(t, "testdata/diff.golden", got)
//
// Running go test with the flag -update rewrites the files.
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

// fileMode is the permission of rewritten files.
const fileMode = 0o600

// Compare fails the test if got differs from the content of the file at path.
// With -update it writes got to the file first.
func Compare(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		must.NoError(t, os.WriteFile(path, []byte(got), fileMode))
	}
	want, err := os.ReadFile(path) //#nosec G304 -- tests name the file
	must.NoError(t, err)
	must.EqOp(t, string(want), got)
}

// CompareErrors runs a subtest for each testdata/*.json: it decodes the file and
// compares the text of the error, or "ok", with the file of the same name and
// the extension .golden. It fails the test if there is no .json file, or no .golden
// file for one of them. With -update it writes the .golden files first.
func CompareErrors(t *testing.T, decode func(data []byte) error) {
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
