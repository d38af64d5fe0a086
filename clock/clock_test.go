package clock

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestSuspended guards against a clock that does not count the time during which the
// machine was suspended, or that keeps a reading of the one which stops.
func TestSuspended(t *testing.T) {
	sinceBoot := time.Hour
	now := New(func() time.Duration { return sinceBoot })
	before := now()
	sinceBoot += 10 * time.Second
	test.Eq(t, 10*time.Second, now().Sub(before))
	test.Greater(t, 0, SinceBoot())
}
