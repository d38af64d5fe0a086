package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// TestConfirm tests Accepted and NoteRoster. It guards against a version that counts
// as accepted because an accept quorum of an outdated roster holds it: after the
// roster changed, fewer than an outage quorum may hold the version. It also guards
// against a version that is never accepted.
func TestConfirm(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := Roster{Version: 5}
	for i := range 19 {
		r.Hosts = append(r.Hosts, Host{ID: model.HostID(fmt.Sprint("h", i)), Address: fmt.Sprint(i)})
	}
	start := func(holders int) *Member {
		m := NewMember(r.Hosts[0], "c", "1", WithClock(func() time.Time { return now }))
		m.SetRoster(r, true)
		m.SetVersion(2)
		m.NoteRead(now, 2)
		for i := 1; i < holders; i++ {
			m.Handle(Heartbeat{From: r.Hosts[i].ID, Seq: 1, Version: 2, Roster: 5, Recovered: true})
		}
		m.Heartbeats()
		return m
	}
	wait := func(m *Member) bool {
		now = now.Add(FreshFor)
		return m.Accepted(2)
	}
	must.True(t, wait(start(r.OutageQuorum())))
	must.False(t, wait(start(r.OutageQuorum()-1)), must.Sprint("no read of the roster"))
	for _, c := range []struct {
		holders int
		age     time.Duration // of the read of the roster, before the versions were seen
		version store.Version // of the roster that was read
		want    bool
	}{
		{r.AcceptQuorum(), 0, 5, true},
		{r.AcceptQuorum() - 1, 0, 5, false},
		{r.AcceptQuorum(), time.Millisecond, 5, false},
		{r.AcceptQuorum(), 0, 6, false},
	} {
		m := start(c.holders)
		m.NoteRoster(now.Add(-c.age), c.version)
		must.False(t, m.Accepted(2), must.Sprint("too early"))
		must.EqOp(t, c.want, wait(m), must.Sprint(c))
	}
}
