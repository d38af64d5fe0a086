package watch

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"rhubarbdrift.example/model"
)

// TestBehind guards against a list that cannot be read and counts as current because another one
// was.
func TestBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		start := time.Now()
		boot := WithClock(func() time.Duration { return time.Since(start) + time.Hour })
		age, answers := func() time.Duration { return 0 }, func() bool { return true }
		targets := NewTargets(newScriptedStore(), "targets", jsonDecoder{}, func(TargetSet) {}, age, answers, boot, WithLog(zerolog.New(&log)))
		evacuations := NewEvacuations(newScriptedStore(), "evacuations", domainDecoder{}, func(map[model.Domain]bool) {}, age, answers, boot)
		observers := Observers{targets, evacuations}
		version, objects := inEra(1, 10)
		list(targets.follower, version, objects)
		list(evacuations.follower, version, objects)
		for range 60 { // the configuration is read, the others are not
			version++
			observers.VersionSeen(version)
			time.Sleep(100 * time.Millisecond)
		}
		test.Greater(t, MaxLag, targets.Behind())
		test.Greater(t, MaxLag, evacuations.Behind())
		test.Eq(t, 1, strings.Count(log.String(), `"outdated":true`))
		behind := targets.Behind()
		time.Sleep(time.Minute) // the store answers nobody
		test.Eq(t, behind, targets.Behind())

		list(targets.follower, version, objects)
		list(evacuations.follower, version, objects)
		for range 60 { // all are read, each second
			version++
			observers.VersionSeen(version)
			time.Sleep(time.Second)
			list(targets.follower, version, objects)
			list(evacuations.follower, version, objects)
			test.LessEq(t, time.Second, targets.Behind())
			test.LessEq(t, time.Second, evacuations.Behind())
		}
		test.Eq(t, 1, strings.Count(log.String(), `"outdated":false`))
	})
}
