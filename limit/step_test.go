package limit

import (
	"testing"
	"time"
	"unsafe"

	"github.com/shoenig/test"
)

// withWallStep returns a time whose wall clock differs by some seconds and whose monotonic
// reading is the same, as time.Now returns it after a step of the system's clock.
func withWallStep(t time.Time, seconds int64) time.Time {
	const secondShift = 30 // of the seconds in the first word of a time.Time with a monotonic reading
	*(*uint64)(unsafe.Pointer(&t)) += uint64(seconds << secondShift)
	return t
}

// TestWindowClockStep guards against a step of the system's clock that makes a window
// forget admissions, or keep those that left it.
func TestWindowClockStep(t *testing.T) {
	l := Limit{Rate: 30, Burst: 30}
	_, rule := perWindow(l)
	for _, seconds := range []int64{-3600, -2, -1, 1, 2, 60, 3600} {
		start := time.Now()
		test.Eq(t, 0, withWallStep(start, seconds).Sub(start))
		test.Eq(t, seconds, withWallStep(start, seconds).Unix()-start.Unix())

		w := NewWindow(start, Past{Started: start, Heard: time.Hour}, l, testTolerance, Reachable{Share: 1})
		admit := func(at time.Duration, step int64) (admitted int) {
			for i := range 10 {
				if _, ok := w.Admit(withWallStep(start.Add(at), step), float64(i)/10); ok {
					admitted++
				}
			}
			return admitted
		}
		admitted := 0
		for at := time.Duration(0); at < 4800*time.Millisecond; at += 100 * time.Millisecond {
			step := seconds
			if at < 2400*time.Millisecond {
				step = 0
			}
			admitted += admit(at, step)
		}
		test.LessEq(t, rule, admitted, test.Sprint(seconds))
		w.AddRemote(withWallStep(start.Add(30*time.Second), seconds), 0, 0)
		test.Less(t, 0.01, w.Used(withWallStep(start.Add(30*time.Second), seconds)), test.Sprint(seconds))
	}
}
