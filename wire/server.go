package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"google.golang.org/grpc"

	"rhubarbdrift.example/fault"
)

// serviceName is the gRPC service that all methods belong to.
const serviceName = "rhubarbdrift"

// stopTimeout bounds the wait for running calls when a server stops.
const stopTimeout = 2 * time.Second

// Option sets an optional property of a Server or a Pool.
type Option func(*settings)

type settings struct{ counters *Counters }

// WithCounters counts the traffic in c, which servers and pools may share.
func WithCounters(c *Counters) Option { return func(s *settings) { s.counters = c } }

func newSettings(options []Option) settings {
	s := settings{}
	for _, o := range options {
		o(&s)
	}
	if s.counters == nil {
		s.counters = NewCounters()
	}
	return s
}

// Server answers the calls of other daemons.
type Server struct {
	settings
	service grpc.ServiceDesc
}

// NewServer returns a server without methods.
func NewServer(options ...Option) *Server {
	return &Server{
		settings: newSettings(options),
		service:  grpc.ServiceDesc{ServiceName: serviceName, HandlerType: (*any)(nil)},
	}
}

// Handle registers the function that answers a method. It must be called
// before Serve. The function runs concurrently with itself.
func Handle[Q, A any](s *Server, method string, f func(context.Context, *Q) (*A, error)) {
	s.service.Methods = append(s.service.Methods, grpc.MethodDesc{
		MethodName: method,
		Handler: func(_ any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			q := new(Q)
			if err := decode(q); err != nil {
				return nil, toStatus(ctx, fault.New(fault.KindInvalid, err.Error(), "run compatible versions of rhubarbdrift on all hosts"))
			}
			a, err := f(ctx, q)
			if err != nil {
				return nil, toStatus(ctx, err)
			}
			return a, nil
		},
	})
}

// Receive registers the function that takes the messages of a one-way stream,
// one after the other for each sender. It must be called before Serve.
func Receive[M any](s *Server, method string, f func(context.Context, *M)) {
	s.service.Streams = append(s.service.Streams, grpc.StreamDesc{
		StreamName:    method,
		ClientStreams: true,
		Handler: func(_ any, stream grpc.ServerStream) error {
			for {
				m := new(M)
				err := stream.RecvMsg(m)
				if errors.Is(err, io.EOF) {
					return stream.SendMsg(&struct{}{})
				}
				if err != nil {
					return err
				}
				f(stream.Context(), m)
			}
		},
	})
}

// Serve answers calls on the listener until ctx ends. It then waits for
// running calls for up to two seconds and closes the listener.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	g := grpc.NewServer(
		grpc.ForceServerCodecV2(newCodec()),
		grpc.MaxRecvMsgSize(MaxMessage),
		grpc.StatsHandler(counted{s.counters}),
	)
	service := s.service
	g.RegisterService(&service, nil)
	stopped := make(chan struct{})
	release := context.AfterFunc(ctx, func() {
		defer close(stopped)
		stop(g)
	})
	err := g.Serve(listener{Listener: l, counters: s.counters})
	if !release() {
		<-stopped
		return nil
	}
	return err
}

func stop(g *grpc.Server) {
	t := time.AfterFunc(stopTimeout, g.Stop)
	defer t.Stop()
	g.GracefulStop()
}
