// Package peers is a daemon's view of the other daemons of its fleet: the
// directory of all hosts, from the platform's lagging list, and the members of
// its own cell, from their heartbeats.
//
// # Usage
//
//	directory := peers.NewDirectory(platform, log)
//	go directory.Run(ctx)
//	cell := peers.NewCell(member, service, directory)
//	for _, id := range cell.Live() {
//		address, ok := cell.Address(id)
//		...
//	}
package peers

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

const (
	// hostsInterval is the time between two readings of the host list. With a
	// fleet of 580 daemons it costs the platform 58 reads/s.
	hostsInterval = 10 * time.Second
	// hostsRetry is the time to the next reading after a failed one.
	hostsRetry = time.Second
)

// Directory knows the regions and addresses of the fleet's daemons from the
// platform's lagging host list. It keeps the last list during an outage.
type Directory struct {
	store   store.Store
	log     zerolog.Logger
	changed func() // called after each reading that changed the list

	mu      sync.RWMutex
	hosts   map[model.HostID]store.Host
	regions map[model.Region][]model.HostID
}

// NewDirectory returns an empty directory.
func NewDirectory(s store.Store, log zerolog.Logger) *Directory {
	return &Directory{store: s, log: log}
}

// OnChange sets the function that is called after each reading that changed the
// list. It must be set before Run.
func (d *Directory) OnChange(call func()) { d.changed = call }

// Run reads the host list until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	for {
		pause := hostsInterval
		if err := d.read(ctx); err != nil {
			d.log.Debug().Err(err).Msg("host list not read")
			pause = hostsRetry
		}
		// The jitter keeps daemons that started together apart.
		pause = pause/2 + rand.N(pause)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

func (d *Directory) read(ctx context.Context) error {
	list, err := d.store.Hosts(ctx)
	if err != nil {
		return err
	}
	hosts := make(map[model.HostID]store.Host, len(list))
	regions := make(map[model.Region][]model.HostID)
	for _, h := range list {
		hosts[h.ID] = h
		if !h.Leaving {
			regions[h.Region] = append(regions[h.Region], h.ID)
		}
	}
	d.mu.Lock()
	same := maps.Equal(d.hosts, hosts)
	d.hosts, d.regions = hosts, regions
	d.mu.Unlock()
	if !same && d.changed != nil {
		d.changed()
	}
	return nil
}

// Hosts returns the last list in the order of the ids.
func (d *Directory) Hosts() []store.Host {
	d.mu.RLock()
	defer d.mu.RUnlock()
	list := slices.Collect(maps.Values(d.hosts))
	slices.SortFunc(list, func(a, b store.Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// Address returns the peer address of a host.
func (d *Directory) Address(id model.HostID) (string, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	h, ok := d.hosts[id]
	return h.Address, ok && h.Address != ""
}

// Leaving reports whether the host list shows the host as leaving.
func (d *Directory) Leaving(id model.HostID) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.hosts[id].Leaving
}

// Best returns the host of the region with the lowest rank for the item.
func (d *Directory) Best(r model.Region, item string) (model.HostID, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var best model.HostID
	var lowest uint64
	for _, id := range d.regions[r] {
		if rank := model.Rank(id, item); best == "" || rank < lowest {
			best, lowest = id, rank
		}
	}
	return best, best != ""
}
