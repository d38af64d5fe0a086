package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"rhubarbdrift.example/model"
)

// newAnnouncing returns a balancer with one target "a" that started at 1000.
func newAnnouncing(t *testing.T, now time.Time) (*Balancer, *Target) {
	t.Helper()
	b := NewBalancer(Location{Region: "r", Domain: "d"})
	b.Update(now, map[model.PoolID][]*model.Instance{"p": {{Pool: "p", StartedAt: 1000, Target: model.Target{ID: "a", Region: "r", Domain: "d", Slots: 3}}}})
	target, ok := b.Choose(now, Request{Pool: "p"}, rand.IntN)
	must.True(t, ok)
	return b, target
}

// TestLeavingReport guards against a host that uses a target after another host
// reported that it leaves, and against a report that makes the target's next
// incarnation count as leaving.
func TestLeavingReport(t *testing.T) {
	now := time.Unix(0, 0)
	b, _ := newAnnouncing(t, now)
	b.AddRemoteLeaving(now, "a", 999)
	_, ok := b.Choose(now, Request{Pool: "p"}, rand.IntN)
	test.True(t, ok)
	b.AddRemoteLeaving(now, "a", 1000)
	_, ok = b.Choose(now, Request{Pool: "p"}, rand.IntN)
	test.False(t, ok)
	test.Eq(t, 0, b.Size("p"))
}

// TestLeftForgotten guards against a record of targets that left which grows without
// bound.
func TestLeftForgotten(t *testing.T) {
	now := time.Unix(0, 0)
	b, target := newAnnouncing(t, now)
	target.Announce(now, Announcement{Leaving: true})
	b.Update(now, nil)
	test.MapLen(t, 1, b.left)
	b.Update(now.Add(leftMemory+time.Second), nil)
	test.MapLen(t, 0, b.left)
}
