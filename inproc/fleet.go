package inproc

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rhubarbdrift.example/cell"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
	"rhubarbdrift.example/wire"
)

// Shape sets the size of a fleet: the number of cells in its single region, members
// per cell, and shards of the region. With 0 shards the nodes run no leases and no
// quota owners.
type Shape struct {
	Cells, Members, Shards int
}

// Fleet is a set of cells of one region that share a platform.
type Fleet struct {
	Platform    *store.Mem
	Nodes       []*Node
	intent      *model.Intent
	nextVersion model.ConfigVersion // version that the next CommitChange commits
}

// NewFleet commits the configuration as version 1 and starts the cells with
// complete rosters. The fleet keeps the configuration and CommitChange modifies it. On
// failure the nodes that were started are stopped.
func NewFleet(ctx context.Context, s Shape, in *model.Intent) (*Fleet, error) {
	f := &Fleet{Platform: store.NewMem(), intent: in, nextVersion: 1}
	if err := f.CommitChange(ctx); err != nil {
		return nil, err
	}
	for c := range s.Cells {
		if err := f.addCell(ctx, model.CellName(fmt.Sprintf("region-0-%d", c)), s); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// addCell stores the roster of a new cell and starts its nodes.
func (f *Fleet) addCell(ctx context.Context, name model.CellName, s Shape) error {
	var r cell.Roster
	var listeners []net.Listener
	for range s.Members {
		ln, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		listeners = append(listeners, ln)
		r.Hosts = append(r.Hosts, cell.Host{ID: HostID(len(f.Nodes) + len(r.Hosts)), Address: ln.Addr().String()})
	}
	value, err := cbor.Marshal(&r)
	if err != nil {
		return err
	}
	if _, err := f.Platform.Put(ctx, store.KindCell, string(name), value, 0); err != nil {
		return err
	}
	for i, h := range r.Hosts {
		f.Platform.SetHost(store.Host{ID: h.ID, Address: h.Address, Region: "region-0", Domain: model.Domain(fmt.Sprintf("domain-%d", i%4))})
		n := &Node{platform: f.Platform, self: h, cell: name, shards: s.Shards, Counters: wire.NewCounters()}
		if err := n.Start(ctx, listeners[i]); err != nil {
			return err
		}
		f.Nodes = append(f.Nodes, n)
	}
	return nil
}

// Close stops all nodes.
func (f *Fleet) Close() {
	var running sync.WaitGroup
	for _, n := range f.Nodes {
		running.Go(n.Stop)
	}
	running.Wait()
}

// CommitChange increases the rate of one customer and commits the configuration as the
// next version.
func (f *Fleet) CommitChange(ctx context.Context) error {
	f.intent.Customers[int(f.nextVersion)%len(f.intent.Customers)].Rate++
	err := Commit(ctx, f.Platform, f.intent, f.nextVersion)
	f.nextVersion++
	return err
}

// WaitInstalled waits until all nodes have installed the latest version and returns for
// each the time from since to the installation. It polls once per millisecond and
// returns an error if ctx ends first.
func (f *Fleet) WaitInstalled(ctx context.Context, since time.Time) ([]time.Duration, error) {
	latencies := make([]time.Duration, len(f.Nodes)) // 0: not yet installed
	for pending := len(f.Nodes); pending > 0; {
		for i, n := range f.Nodes {
			if latencies[i] == 0 && n.version()+1 == f.nextVersion {
				latencies[i] = time.Since(since)
				pending--
			}
		}
		if err := Sleep(ctx, time.Millisecond); err != nil {
			return nil, err
		}
	}
	return latencies, nil
}

// Sleep waits for d. It returns the error of ctx if that ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
