package budget

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestRecycle guards against a body that holds bytes of a recycled one, or shares its memory
// with another that is in use.
func TestRecycle(t *testing.T) {
	read := func(fill byte, size int, known int64) Segments {
		s, err := ReadAll(bytes.NewReader(bytes.Repeat([]byte{fill}, size)), known, 4<<20, func(int64) error { return nil }, func(time.Time, int) {})
		must.NoError(t, err)
		return s
	}
	const large = 3 << 20
	dropped := read('d', large, -1)
	dropped.Recycle()
	test.Zero(t, dropped.Len())
	test.SliceEmpty(t, dropped.Parts())
	bodies := map[byte]Segments{'a': read('a', large-1, -1), 'b': read('b', large-maxSegment/2, large-maxSegment/2), 'c': read('c', 10, -1)}
	sizes := map[byte]int{'a': large - 1, 'b': large - maxSegment/2, 'c': 10}
	for fill, s := range bodies {
		data, err := io.ReadAll(s.Reader())
		must.NoError(t, err)
		test.True(t, bytes.Equal(bytes.Repeat([]byte{fill}, sizes[fill]), data), test.Sprintf("body %c", fill))
	}
}
