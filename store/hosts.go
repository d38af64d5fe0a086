package store

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"rhubarbdrift.example/model"
)

// SetHost adds or replaces an entry of the host list. Hosts shows the change
// after the lag (see WithHostListLag).
func (m *Mem) SetHost(h Host) { m.queueChange(hostChange{host: h}) }

// RemoveHost removes an entry of the host list. Hosts shows the change after the
// lag (see WithHostListLag).
func (m *Mem) RemoveHost(id model.HostID) { m.queueChange(hostChange{host: Host{ID: id}, gone: true}) }

func (m *Mem) queueChange(c hostChange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.changedAt = time.Now()
	m.pendingHosts = append(m.pendingHosts, c)
}

// Hosts implements Store. The hosts are ordered by ID.
func (m *Mem) Hosts(ctx context.Context) ([]Host, error) {
	return readWithFaults(ctx, m.Faults, func() ([]Host, error) { return m.applyHostChanges(), nil })
}

// applyHostChanges applies the changes that are older than the lag and returns
// the visible host list. It counts as a call of Hosts.
func (m *Mem) applyHostChanges() []Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.Hosts++
	now := time.Now()
	for len(m.pendingHosts) > 0 && now.Sub(m.pendingHosts[0].changedAt) >= m.lag {
		c := m.pendingHosts[0]
		m.pendingHosts = m.pendingHosts[1:]
		if c.gone {
			delete(m.visibleHosts, c.host.ID)
			continue
		}
		m.visibleHosts[c.host.ID] = c.host
	}
	return slices.SortedFunc(maps.Values(m.visibleHosts), func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
}
