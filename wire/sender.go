package wire

import (
	"context"
	"time"

	"google.golang.org/grpc"
)

// sendTimeout bounds one send. If a send takes longer, the other host no longer
// reads from this connection.
const sendTimeout = 2 * time.Second

// Sender sends messages to one host on a one-way stream. While the stream is not
// ready, only the newest message is kept: a newer message, such as a heartbeat,
// makes the older ones obsolete.
type Sender[M any] struct {
	client  *Client
	method  string
	pending chan *M
}

// NewSender returns a sender, which sends messages while Run is running.
func NewSender[M any](c *Client, method string) *Sender[M] {
	return &Sender[M]{client: c, method: method, pending: make(chan *M, 1)}
}

// Send queues a message without waiting and replaces one that is still queued.
// The caller must not change the message afterwards. Only one goroutine may call
// Send.
func (s *Sender[M]) Send(m *M) {
	for {
		select {
		case s.pending <- m:
			return
		default:
		}
		select {
		case <-s.pending: // drops the older message, unless Run has just received it
		default:
		}
	}
}

// Run sends queued messages until ctx ends and then returns nil. If the stream
// breaks, the message being sent is lost and the next one opens a new stream.
func (s *Sender[M]) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-s.pending:
			s.stream(ctx, m)
		}
	}
}

// stream opens a stream and sends m and the following messages until it breaks
// or ctx ends. Opening the stream and each send may each take up to sendTimeout.
func (s *Sender[M]) stream(ctx context.Context, m *M) {
	conn, err := s.client.connection()
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(sendTimeout, cancel)
	defer timer.Stop()
	stream, err := conn.NewStream(ctx, &grpc.StreamDesc{StreamName: s.method, ClientStreams: true}, "/"+serviceName+"/"+s.method)
	for err == nil {
		timer.Reset(sendTimeout)
		if err = stream.SendMsg(m); err != nil {
			return
		}
		timer.Stop()
		select {
		case <-stream.Context().Done():
			return
		case m = <-s.pending:
		}
	}
}
