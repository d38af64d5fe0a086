package watch

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/model"
)

// TestBehind guards against a list that cannot be read and counts as current because another one
// was, and against one that counts as outdated because nothing of it changes.
func TestBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		start := time.Now()
		boot := WithClock(func() time.Duration { return time.Since(start) + time.Hour })
		age, answers := func() time.Duration { return 0 }, func() bool { return true }
		targets := NewTargets(newScriptedStore(), "targets", jsonDecoder{}, func(TargetSet) {}, age, answers, boot, WithLog(zerolog.New(&log)))
		evacuations := NewEvacuations(newScriptedStore(), "evacuations", domainDecoder{}, func(map[model.Domain]bool) {}, age, answers, boot)
		lists := map[string]struct {
			*follower
			behind func() time.Duration
		}{"targets": {targets.follower, targets.Behind}, "evacuations": {evacuations.follower, evacuations.Behind}}
		observers := Observers{targets, evacuations}
		version, objects := inEra(1, 10)
		// follow lets the configuration be read for six seconds, each time at a later version.
		follow := func() {
			for range 60 {
				version++
				observers.VersionSeen(version)
				time.Sleep(100 * time.Millisecond)
			}
		}
		for name, l := range lists {
			list(l.follower, version, objects)
			follow()
			test.Eq(t, 0, l.behind(), test.Sprint(name, ": a watch waits, since nothing changes"))

			l.recordFailure(errors.New("the list is too large"))
			follow()
			test.Greater(t, MaxLag, l.behind(), test.Sprint(name))
			behind := l.behind()
			time.Sleep(time.Minute) // the store answers nobody
			test.Eq(t, behind, l.behind(), test.Sprint(name))

			list(l.follower, version, objects)
			follow()
			test.Eq(t, 0, l.behind(), test.Sprint(name))

			l.recordFailure(errors.New("no answer"))
			follow()
			l.ApplyUpdate(&mesh.ListUpdate{Version: version, Age: 1}, l.Version(), l.sinceBoot(), "parent")
			follow()
			test.Eq(t, 0, l.behind(), test.Sprint(name, ": a neighbour relays the list"))
		}
		test.Eq(t, 2, strings.Count(log.String(), `"outdated":true`))
		test.Eq(t, 2, strings.Count(log.String(), `"outdated":false`))
	})
}
