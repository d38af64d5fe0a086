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

// Shape gives the sizes of a fleet: cells of one region.
type Shape struct {
	Cells, Members, Shards int
}

// Fleet is a set of cells of one region on one platform.
type Fleet struct {
	Platform *store.Mem
	Nodes    []*Node
	intent   *model.Intent
	next     model.ConfigVersion
}

// NewFleet starts the cells with complete rosters and the
// configuration in.
func NewFleet(ctx context.Context, s Shape, in *model.Intent) (*Fleet, error) {
	f := &Fleet{Platform: store.NewMem(), intent: in, next: 1}
	if err := f.Change(ctx); err != nil {
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
	var g sync.WaitGroup
	for _, n := range f.Nodes {
		g.Go(n.Stop)
	}
	g.Wait()
}

// Change commits a configuration with one other customer rate.
func (f *Fleet) Change(ctx context.Context) error {
	f.intent.Customers[int(f.next)%len(f.intent.Customers)].Rate++
	err := Commit(ctx, f.Platform, f.intent, f.next)
	f.next++
	return err
}

// Installed waits until all nodes hold the newest version and returns the time
// that each one took after since.
func (f *Fleet) Installed(ctx context.Context, since time.Time) ([]time.Duration, error) {
	took := make([]time.Duration, len(f.Nodes))
	for left := len(f.Nodes); left > 0; {
		for i, n := range f.Nodes {
			if took[i] == 0 && n.version()+1 == f.next {
				took[i] = time.Since(since)
				left--
			}
		}
		if err := Sleep(ctx, time.Millisecond); err != nil {
			return nil, err
		}
	}
	return took, nil
}

// Sleep waits for d, or less if ctx ends.
func Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
