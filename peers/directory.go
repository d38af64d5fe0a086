// Package peers tracks the other daemons of the fleet. Directory lists all hosts,
// as of the platform's host list, which lags behind reality. Cell lists the
// members of this daemon's own cell, as of their heartbeats.
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
	// hostListInterval is the mean time between two reads of the host list. A
	// fleet of 580 daemons causes 58 reads/s at the platform.
	hostListInterval = 10 * time.Second
	// hostListRetryDelay is the mean time between a failed read and the next one.
	hostListRetryDelay = time.Second
)

// Directory holds the regions and addresses of the fleet's daemons from the
// platform's host list, which lags behind reality. While the platform is
// unavailable it keeps the last list.
type Directory struct {
	store    store.Store
	log      zerolog.Logger
	onChange func() // called after each read that changed the list

	mu      sync.RWMutex
	hosts   map[model.HostID]store.Host
	regions map[model.Region][]model.HostID // without the hosts that are leaving
}

// NewDirectory returns a directory that is empty until Run has read the list.
func NewDirectory(s store.Store, log zerolog.Logger) *Directory {
	return &Directory{store: s, log: log}
}

// OnChange sets the function that Run calls after each read that changed the
// list. It must be called before Run.
func (d *Directory) OnChange(f func()) { d.onChange = f }

// Run reads the host list periodically until ctx ends and then returns nil.
func (d *Directory) Run(ctx context.Context) error {
	for {
		delay := hostListInterval
		if err := d.updateHosts(ctx); err != nil {
			d.log.Debug().Err(err).Msg("cannot read the host list")
			delay = hostListRetryDelay
		}
		// The jitter spreads the reads of daemons that started at the same time.
		delay = delay/2 + rand.N(delay)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(delay):
		}
	}
}

// updateHosts reads the host list, stores it and calls onChange if it changed.
func (d *Directory) updateHosts(ctx context.Context) error {
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
	if !same && d.onChange != nil {
		d.onChange()
	}
	return nil
}

// Hosts returns the last list, ordered by host ID.
func (d *Directory) Hosts() []store.Host {
	d.mu.RLock()
	defer d.mu.RUnlock()
	list := slices.Collect(maps.Values(d.hosts))
	slices.SortFunc(list, func(a, b store.Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// Address returns the peer address of a host, and false if it is not known.
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

// BestRanked returns the host of a region with the lowest rank for an item. The rank
// is model.RendezvousHash. Hosts that are leaving do not count; the result is false if
// the region has no other host.
func (d *Directory) BestRanked(r model.Region, item string) (model.HostID, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var best model.HostID
	var lowestRank uint64
	for _, id := range d.regions[r] {
		if rank := model.RendezvousHash(id, item); best == "" || rank < lowestRank {
			best, lowestRank = id, rank
		}
	}
	return best, best != ""
}
