package store

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"rhubarbdrift.example/model"
)

// SetHost adds or replaces an entry of the host list, visible after the lag.
func (m *Mem) SetHost(h Host) { m.change(hostChange{host: h}) }

// RemoveHost removes an entry of the host list, visible after the lag.
func (m *Mem) RemoveHost(id model.HostID) { m.change(hostChange{host: Host{ID: id}, gone: true}) }

func (m *Mem) change(c hostChange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.at = time.Now()
	m.pending = append(m.pending, c)
}

// Hosts implements Store. The hosts are ordered by id.
func (m *Mem) Hosts(ctx context.Context) ([]Host, error) {
	return read(ctx, m.Faults, func() ([]Host, error) { return m.visible(), nil })
}

// visible applies the changes that are older than the lag.
func (m *Mem) visible() []Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.Hosts++
	now := time.Now()
	for len(m.pending) > 0 && now.Sub(m.pending[0].at) >= m.lag {
		c := m.pending[0]
		m.pending = m.pending[1:]
		if c.gone {
			delete(m.listed, c.host.ID)
			continue
		}
		m.listed[c.host.ID] = c.host
	}
	return slices.SortedFunc(maps.Values(m.listed), func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
}
