package limit

import (
	"sync"
	"time"
)

// maxUnconfirmed is the age of the last confirmation from which a daemon counts as paused.
// Confirmations are made several times as often.
const maxUnconfirmed = time.Second

// PauseGuard detects that this daemon was paused, or its machine suspended, between two
// confirmations of what it knows of the others. What it may use of the limits was true
// before the pause; the others have used it meanwhile. It is safe for concurrent use.
type PauseGuard struct {
	clock func() time.Duration // counts the time during which the machine was suspended
	after func()               // called after a pause

	mu        sync.Mutex
	confirmed time.Duration
}

// NewPauseGuard returns a guard that calls after once for each pause, before the check that
// detects it returns.
func NewPauseGuard(clock func() time.Duration, after func()) *PauseGuard {
	return &PauseGuard{clock: clock, after: after, confirmed: clock()}
}

// Check detects a pause. It is called before any use of a limit.
func (g *PauseGuard) Check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.clock()-g.confirmed >= maxUnconfirmed {
		g.after()
		g.confirmed = g.clock()
	}
}

// Confirm records that what is known of the other daemons is as recent as messages make
// it. It detects a pause first.
func (g *PauseGuard) Confirm() {
	g.Check()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.confirmed = g.clock()
}
