package wire

import (
	"context"
	"time"

	"google.golang.org/grpc"
)

// sendTimeout bounds one send. A longer one means that the other host takes
// nothing more from this connection.
const sendTimeout = 2 * time.Second

// Sender posts messages to one host on a one-way stream. Only the newest
// message waits while the stream is not ready: an older one has no value once
// a newer one exists, as with heartbeats.
type Sender[M any] struct {
	client *Client
	method string
	next   chan *M
}

// NewSender returns a sender that works while Run runs.
func NewSender[M any](c *Client, method string) *Sender[M] {
	return &Sender[M]{client: c, method: method, next: make(chan *M, 1)}
}

// Post hands over a message without waiting. The caller must not change it
// afterwards. Only one goroutine may post.
func (s *Sender[M]) Post(m *M) {
	for {
		select {
		case s.next <- m:
			return
		default:
		}
		select {
		case <-s.next:
		default:
		}
	}
}

// Run sends posted messages until ctx ends. A message whose stream breaks is
// lost; the next one opens a new stream.
func (s *Sender[M]) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-s.next:
			s.stream(ctx, m)
		}
	}
}

// stream opens a stream, sends m and the following messages until it breaks.
func (s *Sender[M]) stream(ctx context.Context, m *M) {
	made, err := s.client.connection()
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := time.AfterFunc(sendTimeout, cancel)
	defer limit.Stop()
	stream, err := made.NewStream(ctx, &grpc.StreamDesc{StreamName: s.method, ClientStreams: true}, "/"+serviceName+"/"+s.method)
	for err == nil {
		limit.Reset(sendTimeout)
		if err = stream.SendMsg(m); err != nil {
			return
		}
		limit.Stop()
		select {
		case <-stream.Context().Done():
			return
		case m = <-s.next:
		}
	}
}
