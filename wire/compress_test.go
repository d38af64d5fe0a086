package wire

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// settleTime is how long a count of bytes must not have changed.
const settleTime = 50 * time.Millisecond

// TestLargeAnswers guards against large answers that are sent uncompressed or arrive damaged.
func TestLargeAnswers(t *testing.T) {
	f := startServer(t)
	text := strings.Repeat(`{"address":"10.1.0.21:8689","state":"ready"}`, 1000)
	bytesOf := func(call func()) uint64 {
		before, _ := f.counters.Bytes()
		call()
		// Bytes are counted when their write returns, which may be after their receiver has them.
		after, _ := f.counters.Bytes()
		for settled := false; !settled; {
			time.Sleep(settleTime)
			last := after
			after, _ = f.counters.Bytes()
			settled = after == last
		}
		return after - before
	}
	large := bytesOf(func() {
		a, err := Call[testMessage, largeAnswer](t.Context(), f.client, "large", &testMessage{Text: text})
		must.NoError(t, err)
		test.EqOp(t, text, a.Text)
	})
	plain := bytesOf(func() {
		a, err := Call[testMessage, testMessage](t.Context(), f.client, "echo", &testMessage{Text: text})
		must.NoError(t, err)
		test.EqOp(t, text, a.Text)
	})
	test.Greater(t, uint64(len(text)), plain)
	test.Less(t, uint64(len(text)/10), large)
}
