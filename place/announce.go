package place

import (
	"time"

	"rhubarbdrift.example/model"
)

// Announcement is what a target says about itself in one response.
type Announcement struct {
	Leaving    bool          // it leaves and wants no new requests
	Limited    bool          // it names a limit
	Limit      model.Rate    // the limit for all daemons together, if Limited
	RetryAfter time.Duration // time for which it wants no requests from this daemon; 0: none
}

// announced is what a target has said about itself so far.
type announced struct {
	leavingSince time.Time // when it first said that it leaves; zero: it has not
	limited      bool
	limit        model.Rate
}

// Announce records an announcement of the target to this daemon. It returns which of
// its parts are new.
func (t *Target) Announce(now time.Time, a Announcement) (leaving, limit bool) {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	if a.Leaving && t.announced.leavingSince.IsZero() {
		t.announced.leavingSince, leaving = now, true
	}
	limit = a.Limited != t.announced.limited || a.Limit != t.announced.limit
	t.announced.limited, t.announced.limit = a.Limited, a.Limit
	return leaving, limit
}

// LeavingFor returns the time since the target first said that it leaves, and false if
// it has not.
func (t *Target) LeavingFor(now time.Time) (time.Duration, bool) {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	if t.announced.leavingSince.IsZero() {
		return 0, false
	}
	return now.Sub(t.announced.leavingSince), true
}
