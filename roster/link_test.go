package roster

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbdrift.example/cell"
	"rhubarbdrift.example/store"
	"rhubarbdrift.example/wire"
)

// TestLink guards against methods that do not work over the network, and against
// heartbeats that are too large for the control traffic of a daemon, which sends
// and receives 23 every two seconds.
func TestLink(t *testing.T) {
	counters := wire.NewCounters()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := l.Addr().String()
	m := cell.NewMember(cell.Host{ID: "host-a-17", Address: address}, "north-1", "7b0f7b34-42c0-4c9e-94dc-58ad8d2c9d1b")
	m.SetRoster(cell.Roster{Version: 123456, Hosts: []cell.Host{m.Self()}}, true)
	s := NewService(m, store.NewMem(), nil)
	server := wire.NewServer(wire.WithCounters(counters))
	Register(server, s)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, l) }()
	pool := wire.NewPool()
	link := NewLink(pool)

	r, err := link.Roster(t.Context(), address)
	must.NoError(t, err)
	must.Eq(t, m.Roster(), r)
	a, err := link.Ask(t.Context(), address, cell.Question{From: "b", Ask: cell.AskEndorse})
	must.NoError(t, err)
	must.Eq(t, cell.Answer{From: "host-a-17"}, a, must.Sprint("it has just started"))
	other := cell.NewMember(cell.Host{ID: "host-b-03", Address: "127.0.0.1:1"}, "north-1", "c7c34b3b-4e5d-43b2-b1f7-8a39c9b6ce35")
	other.SetRoster(cell.Roster{Version: 123456, Hosts: []cell.Host{m.Self(), other.Self()}}, true)
	other.SetVersion(30_000)
	beats := counters.Methods()[methodBeat]
	_, before := counters.Bytes()
	for beats.MessagesReceived < 10 {
		for _, e := range other.Heartbeats() {
			link.Send(e.Address, e.Beat)
		}
		time.Sleep(5 * time.Millisecond)
		beats = counters.Methods()[methodBeat]
	}
	_, after := counters.Bytes()
	size := (after - before) / beats.MessagesReceived
	must.Less(t, 90, size, must.Sprint("bytes for each heartbeat"))
	t.Logf("%d bytes for each heartbeat", size)
	link.Retain(nil)
	link.Close()
	pool.Close()
	cancel()
	must.NoError(t, <-done)
}
