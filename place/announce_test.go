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

// TestLeavingReport guards against a use of targets that told another host that they leave.
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

// TestAnnouncedForgotten guards against announcements that are lost when an entry lapses.
func TestAnnouncedForgotten(t *testing.T) {
	now := time.Unix(0, 0)
	b, target := newAnnouncing(t, now)
	instance := target.Instance
	relist := func(startedAt int64) announced {
		instance.StartedAt = startedAt
		b.Update(now, nil)
		b.Update(now, map[model.PoolID][]*model.Instance{"p": {&instance}})
		return b.targets["a"].announced
	}
	target.Announce(now, Announcement{Leaving: true, Limited: true, Limit: 5, RetryAfter: time.Second})
	test.True(t, target.announced == relist(1000))
	test.True(t, relist(1001) == announced{})
	b.targets["a"].Announce(now, Announcement{RetryAfter: time.Second})
	b.AddRemoteLeaving(now, "a", 1002) // before it is listed
	instance.StartedAt = 1002
	b.Update(now, map[model.PoolID][]*model.Instance{"p": {&instance}})
	test.True(t, b.targets["a"].isLeaving())

	b.targets["a"].Announce(now, Announcement{Leaving: true})
	b.Update(now, nil)
	test.MapLen(t, 1, b.former)
	b.Update(now.Add(announcedMemory+time.Second), nil)
	test.MapLen(t, 0, b.former)
}

// TestAnnouncedUnlisted guards against an announcement that is lost because the entry of the
// target had lapsed when it came, or had lapsed and was listed again meanwhile.
func TestAnnouncedUnlisted(t *testing.T) {
	now := time.Unix(0, 0)
	leaving := Announcement{Leaving: true}
	for name, tt := range map[string]struct {
		announce  func(b *Balancer, sent *Target)
		startedAt int64
		lost      bool
	}{
		"its answer":                        {func(_ *Balancer, sent *Target) { sent.Announce(now, leaving) }, 1000, false},
		"report of another host":            {func(b *Balancer, _ *Target) { b.AddRemoteLeaving(now, "a", 1000) }, 1000, false},
		"answer of an earlier incarnation":  {func(_ *Balancer, sent *Target) { sent.Announce(now, leaving) }, 1001, true},
		"report of an earlier incarnation":  {func(b *Balancer, _ *Target) { b.AddRemoteLeaving(now, "a", 1000) }, 1001, true},
		"late report after one of the next": {func(b *Balancer, _ *Target) { b.AddRemoteLeaving(now, "a", 1001); b.AddRemoteLeaving(now, "a", 1000) }, 1001, false},
	} {
		t.Run(name, func(t *testing.T) {
			for _, relistFirst := range []bool{false, true} {
				b, sent := newAnnouncing(t, now)
				instance := sent.Instance
				instance.StartedAt = tt.startedAt
				listed := map[model.PoolID][]*model.Instance{"p": {&instance}}
				b.Update(now, nil)
				if relistFirst {
					b.Update(now, listed)
				}
				tt.announce(b, sent)
				if !relistFirst {
					b.Update(now, listed)
				}
				_, used := b.Choose(now, Request{Pool: "p"}, rand.IntN)
				test.EqOp(t, tt.lost, used, test.Sprint("listed before the announcement: ", relistFirst))
			}
		})
	}
}

// TestPauseLeft guards against a Retry-After of one target's pause while others take requests.
func TestPauseLeft(t *testing.T) {
	now := time.Unix(0, 0)
	b, target := newAnnouncing(t, now)
	other := model.Instance{Pool: "p", Target: model.Target{ID: "b", Region: "r", Domain: "d", Slots: 3}}
	b.Update(now, map[model.PoolID][]*model.Instance{"p": {&target.Instance, &other}})
	b.targets["a"].Announce(now, Announcement{RetryAfter: time.Minute})
	test.Eq(t, 0, b.PauseLeft(now, &Request{Pool: "p"}))
	b.targets["b"].Announce(now, Announcement{RetryAfter: time.Second})
	test.Eq(t, time.Second, b.PauseLeft(now, &Request{Pool: "p"}))
	b.targets["b"].Announce(now, Announcement{Leaving: true})
	test.Eq(t, time.Minute, b.PauseLeft(now, &Request{Pool: "p"}))
}

// TestLimitEnds guards against a limit that outlives the target's word or ends too early.
func TestLimitEnds(t *testing.T) {
	now := time.Unix(0, 0)
	b, target := newAnnouncing(t, now)
	limited := func() bool { return target.announced.pacer != nil }
	b.SetRemoteLimit(now, "a", true, 5)
	test.True(t, limited())
	news := target.Announce(now.Add(time.Second), Announcement{SentAt: now.Add(-time.Second)})
	test.False(t, news.Limit)
	test.True(t, limited())
	news = target.Announce(now.Add(time.Second), Announcement{SentAt: now.Add(time.Millisecond)})
	test.True(t, news.Limit)
	test.False(t, limited())
	b.SetRemoteLimit(now, "a", true, 5)
	b.SetRemoteLimit(now, "a", false, 0)
	test.False(t, limited())
}

// TestCutHostUsesAll guards against a host without contact that uses more or far less than its share.
func TestCutHostUsesAll(t *testing.T) {
	const limit, hosts = 5.0, 40.0
	now := time.Unix(0, 0)
	random := rand.New(rand.NewPCG(1, 1))
	b, _ := newAnnouncing(t, now)
	b.SetRemoteLimit(now, "a", true, limit)
	uses := func(share float64) (used float64) {
		b.SetFleetShare(now, share)
		for range 4000 { // 400 s
			now = now.Add(100 * time.Millisecond)
			if _, ok := b.Choose(now, Request{Pool: "p", Urgent: true}, random.IntN); ok {
				used++
			}
		}
		return used / 400
	}
	test.Eq(t, 0, uses(0))
	alone := uses(1 / hosts)
	t.Logf("alone %.4f/s of %.4f/s", alone, limit/hosts)
	test.Between(t, limit/hosts/2, alone, limit/hosts*1.2)
	test.Between(t, limit/2, uses(1), limit*1.2)
}
