package strict

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// readHeads returns the responses of the golden file, which are quoted, each on a line of its
// own before its indented verdict, and the path of the file. New ones are added without a
// verdict, which go test -update writes.
func readHeads(t testing.TB) (input []string, path string) {
	t.Helper()
	path = "testdata/heads.golden"
	data, err := os.ReadFile(path)
	must.NoError(t, err)
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "\t") {
			continue
		}
		text, err := strconv.Unquote(strings.TrimSuffix(line, "\n"))
		must.NoError(t, err, must.Sprint(line))
		input = append(input, text)
	}
	return input, path
}
