package objapi

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/store"
)

// post sends a call without a body.
func post(t *testing.T, base, path string) {
	t.Helper()
	code, _, err := fasthttp.Post(nil, base+path, nil)
	must.NoError(t, err)
	must.EqOp(t, 200, code)
}

// TestRestore guards against versions of an earlier era in watches and as conditions of writes.
func TestRestore(t *testing.T) {
	_, c, base := startServer(t, WithWait(100*time.Millisecond))
	ctx := context.Background()
	first, err := c.Put(ctx, store.KindConf, "a", []byte("1"), 0)
	must.NoError(t, err)
	post(t, base, "/copy")
	lost, err := c.Put(ctx, store.KindConf, "a", []byte("2"), first)
	must.NoError(t, err)
	post(t, base, "/restore")

	// The revision of the lost write is given out again, to another client's write.
	other := store.NewClient(base)
	defer other.Close()
	o, err := other.Get(ctx, store.KindConf, "a")
	must.NoError(t, err)
	test.Eq(t, "1", string(o.Value))
	test.Greater(t, lost, o.Version)
	again, err := other.Put(ctx, store.KindConf, "a", []byte("3"), o.Version)
	must.NoError(t, err)
	test.Eq(t, lost.Revision(), again.Revision())
	test.Greater(t, lost, again)

	// This client has not heard of the new era: the watch finds no change, and the condition holds.
	_, _, err = c.Watch(ctx, store.KindConf, lost)
	test.ErrorIs(t, err, store.ErrRestored)
	test.True(t, fault.Is(err, store.KindCompacted))
	_, err = c.Put(ctx, store.KindConf, "a", []byte("4"), lost)
	test.True(t, fault.Is(err, fault.KindConflict))
	test.True(t, fault.Is(c.Delete(ctx, store.KindConf, "a", lost), fault.KindConflict))
	o, err = c.Get(ctx, store.KindConf, "a")
	must.NoError(t, err)
	test.Eq(t, "3", string(o.Value))
	test.Eq(t, again, o.Version)
	events, _, err := c.Watch(ctx, store.KindConf, o.Version-1)
	must.NoError(t, err)
	must.Len(t, 1, events)
	test.Eq(t, again, events[0].Object.Version)
}

// TestWriteAcrossRestore guards against the success of a write whose condition is of an earlier era.
func TestWriteAcrossRestore(t *testing.T) {
	_, c, base := startServer(t)
	ctx := context.Background()
	post(t, base, "/copy")
	read, err := c.Put(ctx, store.KindConf, "a", []byte("mine"), 0)
	must.NoError(t, err)
	post(t, base, "/restore")
	other := store.NewClient(base)
	defer other.Close()
	_, err = other.Put(ctx, store.KindConf, "a", []byte("other"), 0)
	must.NoError(t, err)
	_, err = c.Put(ctx, store.KindConf, "a", []byte("mine again"), read)
	test.True(t, fault.Is(err, fault.KindUnknown), test.Sprint(err))
}

// TestWaitingWatch guards against a watch that waits on after a revision that the store lost.
func TestWaitingWatch(t *testing.T) {
	_, c, base := startServer(t)
	ctx := context.Background()
	post(t, base, "/copy")
	version, err := c.Put(ctx, store.KindConf, "a", []byte("1"), 0)
	must.NoError(t, err)
	ended := make(chan error, 1)
	go func() {
		_, _, err := c.Watch(ctx, store.KindConf, version)
		ended <- err
	}()
	time.Sleep(50 * time.Millisecond)
	post(t, base, "/restore")
	select {
	case err := <-ended:
		test.True(t, errors.Is(err, store.ErrRestored), test.Sprint(err))
	case <-time.After(2 * time.Second):
		t.Fatal("the watch waits on")
	}
}
