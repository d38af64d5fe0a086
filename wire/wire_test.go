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

type word struct {
	Text string `cbor:"1,keyasint"`
}

// Check refuses one text, as a decoded value that is out of range.
func (w *word) Check() error {
	if w.Text == "bad" {
		return fault.Invalid("text", "is bad", "send another")
	}
	return nil
}

type fixture struct {
	pool     *Pool
	client   *Client
	counters *Counters
	got      chan string
	hold     chan struct{}
}

func start(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{counters: NewCounters(), got: make(chan string, 100), hold: make(chan struct{})}
	s := NewServer(WithCounters(f.counters))
	Handle(s, "echo", func(_ context.Context, q *word) (*word, error) { return &word{Text: q.Text}, nil })
	Handle(s, "fail", func(_ context.Context, q *word) (*word, error) {
		return nil, fault.New(fault.Kind(q.Text), "it failed", "do something")
	})
	Handle(s, "hang", func(context.Context, *word) (*word, error) {
		<-f.hold // also past the caller's deadline: an answer would show that the host is not silent
		return &word{}, nil
	})
	Receive(s, "note", func(_ context.Context, m *word) { f.got <- m.Text })
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	f.pool = NewPool()
	f.client = f.pool.Client(l.Addr().String())
	t.Cleanup(func() {
		close(f.hold)
		f.pool.Close()
		cancel()
		must.NoError(t, <-done)
	})
	return f
}

// TestCall guards against lost fields, unchecked values and fault kinds that
// change on their way.
func TestCall(t *testing.T) {
	f := start(t)
	a, err := Call[word, word](t.Context(), f.client, "echo", &word{Text: "hello"})
	must.NoError(t, err)
	must.EqOp(t, "hello", a.Text)
	_, err = Call[word, word](t.Context(), f.client, "echo", &word{Text: "bad"})
	must.True(t, fault.Is(err, fault.KindInvalid))
	for _, kind := range []fault.Kind{fault.Conflict, fault.Missing, fault.Unavailable, fault.Unknown, fault.Denied, fault.Limited, fault.Late, "stale"} {
		_, err := Call[word, word](t.Context(), f.client, "fail", &word{Text: string(kind)})
		must.EqOp(t, kind, fault.KindOf(err))
		must.StrContains(t, err.Error(), "do something")
	}
	_, err = Call[word, word](t.Context(), f.client, "absent", &word{})
	must.True(t, fault.Is(err, fault.Missing))
	must.EqOp(t, 1, f.counters.Methods()["echo"].MessagesReceived, must.Sprint("a refused message does not count"))
	sent, received := f.counters.Bytes()
	must.Positive(t, sent)
	must.Positive(t, received)
}

// TestCallOutcome guards against a call that is reported as not run although
// the handler may have run, and the reverse.
func TestCallOutcome(t *testing.T) {
	f := start(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := Call[word, word](ctx, f.client, "hang", &word{})
	must.True(t, fault.Is(err, fault.Unknown))
	closed, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, closed.Close())
	_, err = Call[word, word](t.Context(), f.pool.Client(closed.Addr().String()), "echo", &word{})
	must.True(t, fault.Is(err, fault.Unavailable))
}

// TestSilentConnection guards against calls that keep using a connection on
// which nothing is answered any more.
func TestSilentConnection(t *testing.T) {
	f := start(t)
	for range silentCalls {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		_, err := Call[word, word](ctx, f.client, "hang", &word{})
		cancel()
		must.Error(t, err)
	}
	f.client.mu.Lock()
	left := f.client.conn
	f.client.mu.Unlock()
	must.Nil(t, left)
	_, err := Call[word, word](t.Context(), f.client, "echo", &word{})
	must.NoError(t, err)
}

// TestSender guards against a stream that does not recover after its
// connection broke.
func TestSender(t *testing.T) {
	f := start(t)
	s := NewSender[word](f.client, "note")
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	for _, text := range []string{"one", "two"} {
		for received := false; !received; {
			s.Post(&word{Text: text})
			select {
			case got := <-f.got:
				received = got == text
			case <-time.After(20 * time.Millisecond):
			}
		}
		f.client.Reset()
	}
	cancel()
	must.NoError(t, <-done)
}
