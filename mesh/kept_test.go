package mesh_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/model"
)

// TestParentKept guards against a host that tries so many lost ones in a row that its parent, which
// answers, takes it for lost.
func TestParentKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var hosts []mesh.Host
		for i := range 20 {
			hosts = append(hosts, mesh.Host{ID: model.HostID(fmt.Sprintf("h%02d", i)), Region: "north", Domain: "d", Address: "127.0.0.1:1", Cores: 1})
		}
		self := hosts[0]
		for _, h := range hosts {
			if len(mesh.ParentCandidates(h, hosts)) > len(mesh.ParentCandidates(self, hosts)) {
				self = h
			}
		}
		candidates := mesh.ParentCandidates(self, hosts)
		alive := candidates[len(candidates)-1]
		var last time.Time
		var longest time.Duration
		send := func(ctx context.Context, to mesh.Host, _ *mesh.Message) (*mesh.Message, error) {
			if to.ID != alive.ID {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			if !last.IsZero() {
				longest = max(longest, time.Since(last))
			}
			last = time.Now()
			return &mesh.Message{From: alive.ID}, nil
		}
		lists := &mesh.RelayedLists{Clock: func() time.Duration { return time.Hour }}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		node := mesh.NewNode(self, time.Now, func(*mesh.Sum) {})
		_ = mesh.NewRunner(node, lists, nil, func() []mesh.Host { return hosts }, mesh.WithTransport(send)).Run(ctx)
		test.False(t, last.IsZero())
		test.Less(t, 1500*time.Millisecond, longest)
	})
}
