package wire

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"rhubarbdrift.example/fault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type testMessage struct {
	Text string `cbor:"1,keyasint"`
}

// Check rejects the text "bad", as an example of an invalid message.
func (m *testMessage) Check() error {
	if m.Text == "bad" {
		return fault.Invalid("text", "is bad", "send another")
	}
	return nil
}

// largeAnswer is an answer that is compressed.
type largeAnswer struct {
	Text string `cbor:"1,keyasint"`
}

func (*largeAnswer) Large() bool { return true }

type fixture struct {
	pool     *ClientPool
	client   *Client
	counters *Counters
	received chan string
	unblock  chan struct{}
}

func startServer(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{counters: NewCounters(), received: make(chan string, 100), unblock: make(chan struct{})}
	s := NewServer(WithCounters(f.counters))
	Handle(s, "echo", func(_ context.Context, q *testMessage) (*testMessage, error) { return &testMessage{Text: q.Text}, nil })
	Handle(s, "large", func(_ context.Context, q *testMessage) (*largeAnswer, error) { return &largeAnswer{Text: q.Text}, nil })
	Handle(s, "fail", func(_ context.Context, q *testMessage) (*testMessage, error) {
		return nil, fault.New(fault.Kind(q.Text), "it failed", "do something")
	})
	Handle(s, "hang", func(context.Context, *testMessage) (*testMessage, error) {
		<-f.unblock // even past the caller's deadline, as any answer shows that the connection works
		return &testMessage{}, nil
	})
	Handle(s, "panic", func(context.Context, *testMessage) (*testMessage, error) { panic("test") })
	Receive(s, "note", func(_ context.Context, m *testMessage) {
		if m.Text == "panic" {
			panic("test")
		}
		f.received <- m.Text
	})
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	f.pool = NewPool()
	f.client = f.pool.Client(l.Addr().String())
	t.Cleanup(func() {
		close(f.unblock)
		f.pool.Close()
		cancel()
		must.NoError(t, <-done)
	})
	return f
}

// TestCall guards against lost fields, messages that are not validated, and fault
// kinds that change between handler and caller.
func TestCall(t *testing.T) {
	f := startServer(t)
	a, err := Call[testMessage, testMessage](t.Context(), f.client, "echo", &testMessage{Text: "hello"})
	must.NoError(t, err)
	must.EqOp(t, "hello", a.Text)
	_, err = Call[testMessage, testMessage](t.Context(), f.client, "echo", &testMessage{Text: "bad"})
	must.True(t, fault.Is(err, fault.KindInvalid))
	for _, kind := range []fault.Kind{fault.KindConflict, fault.KindMissing, fault.KindUnavailable, fault.KindUnknown, fault.KindDenied, fault.KindLimited, fault.KindTimeout, "stale"} {
		_, err := Call[testMessage, testMessage](t.Context(), f.client, "fail", &testMessage{Text: string(kind)})
		must.EqOp(t, kind, fault.KindOf(err))
		must.StrContains(t, err.Error(), "do something")
	}
	_, err = Call[testMessage, testMessage](t.Context(), f.client, "absent", &testMessage{})
	must.True(t, fault.Is(err, fault.KindMissing))
	must.EqOp(t, 1, f.counters.Methods()["echo"].MessagesReceived, must.Sprint("a refused message does not count"))
	sent, received := f.counters.Bytes()
	must.Positive(t, sent)
	must.Positive(t, received)
}

// TestPanic guards against a message that ends the process.
func TestPanic(t *testing.T) {
	f := startServer(t)
	for range 2 {
		_, err := Call[testMessage, testMessage](t.Context(), f.client, "panic", &testMessage{Text: "a"})
		must.True(t, fault.Is(err, fault.KindUnknown))
	}
	s := NewSender[testMessage](f.client, "note")
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	s.Send(&testMessage{Text: "panic"})
	for received := ""; received != "after"; {
		s.Send(&testMessage{Text: "after"})
		select {
		case received = <-f.received:
		case <-time.After(20 * time.Millisecond):
		}
	}
	cancel()
	must.NoError(t, <-done)
}

// TestCallOutcome guards against a call that is reported as not sent although its
// handler may have run, and against one that is reported as possibly run although
// it was not sent.
func TestCallOutcome(t *testing.T) {
	f := startServer(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := Call[testMessage, testMessage](ctx, f.client, "hang", &testMessage{})
	must.True(t, fault.Is(err, fault.KindUnknown))
	closed, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, closed.Close())
	_, err = Call[testMessage, testMessage](t.Context(), f.pool.Client(closed.Addr().String()), "echo", &testMessage{})
	must.True(t, fault.Is(err, fault.KindUnavailable))
}

// TestSilentConnection guards against calls that keep using a connection on which
// no more answers arrive.
func TestSilentConnection(t *testing.T) {
	f := startServer(t)
	for range maxSuccessiveTimeouts {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		_, err := Call[testMessage, testMessage](ctx, f.client, "hang", &testMessage{})
		cancel()
		must.Error(t, err)
	}
	f.client.mu.Lock()
	current := f.client.conn
	f.client.mu.Unlock()
	must.Nil(t, current)
	_, err := Call[testMessage, testMessage](t.Context(), f.client, "echo", &testMessage{})
	must.NoError(t, err)
}

// TestSender guards against a sender that does not recover after its connection
// was closed.
func TestSender(t *testing.T) {
	f := startServer(t)
	s := NewSender[testMessage](f.client, "note")
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	for _, text := range []string{"one", "two"} {
		for delivered := false; !delivered; {
			s.Send(&testMessage{Text: text})
			select {
			case received := <-f.received:
				delivered = received == text
			case <-time.After(20 * time.Millisecond):
			}
		}
		f.client.Reset()
	}
	cancel()
	must.NoError(t, <-done)
}
