package wire

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"rhubarbdrift.example/fault"
)

// serviceName is the gRPC service that all methods belong to.
const serviceName = "rhubarbdrift"

// stopTimeout bounds the wait for running calls when a server stops.
const stopTimeout = 2 * time.Second

// Option sets an option of NewServer or NewPool.
type Option func(*settings)

type settings struct {
	counters *Counters
	log      zerolog.Logger
}

// WithLog sets the logger of a server, which logs handlers that panicked.
func WithLog(l zerolog.Logger) Option { return func(s *settings) { s.log = l } }

// WithCounters counts the traffic in c, which several servers and pools may
// share.
func WithCounters(c *Counters) Option { return func(s *settings) { s.counters = c } }

func newSettings(options []Option) settings {
	s := settings{log: zerolog.Nop()}
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

// Handle registers the function that answers the calls of a method. It must be
// called before Serve. The function may be called concurrently.
func Handle[Q, A any](s *Server, method string, f func(context.Context, *Q) (*A, error)) {
	s.service.Methods = append(s.service.Methods, grpc.MethodDesc{
		MethodName: method,
		Handler: func(_ any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			q := new(Q)
			if err := decode(q); err != nil {
				return nil, toStatus(ctx, fault.New(fault.KindInvalid, err.Error(), "run compatible versions of rhubarbdrift on all hosts"))
			}
			var a *A
			err := s.protect(method, func() (err error) {
				a, err = f(ctx, q)
				return err
			})
			if err != nil {
				return nil, toStatus(ctx, err)
			}
			compressIfLarge(ctx, a)
			return a, nil
		},
	})
}

// protect calls the handler of a message. A panic is an error of this message alone, so
// that one message does not end the process.
func (s *Server) protect(method string, handle func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			s.log.Error().Any("cause", cause).Str("method", method).Str("stack", string(debug.Stack())).Msg("message failed")
			err = fault.New(fault.KindUnknown, fmt.Sprintf("the handler failed: %v", cause), "look into the log of the host that was called")
		}
	}()
	return handle()
}

// Receive registers the function that handles the messages of a one-way stream.
// It must be called before Serve. The messages of one stream are handled in
// order, those of different streams concurrently.
func Receive[M any](s *Server, method string, f func(context.Context, *M)) {
	s.service.Streams = append(s.service.Streams, grpc.StreamDesc{
		StreamName:    method,
		ClientStreams: true,
		Handler: func(_ any, stream grpc.ServerStream) error {
			for {
				m := new(M)
				err := stream.RecvMsg(m)
				if errors.Is(err, io.EOF) {
					return stream.SendMsg(&struct{}{}) // gRPC requires one answer to a client stream
				}
				if err != nil {
					return err
				}
				if err := s.protect(method, func() error { f(stream.Context(), m); return nil }); err != nil {
					return toStatus(stream.Context(), err)
				}
			}
		},
	})
}

// Serve answers calls on the listener until ctx ends. It then closes the
// listener, waits for running calls for up to two seconds and returns nil.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	g := grpc.NewServer(
		grpc.ForceServerCodecV2(newCodec()),
		grpc.MaxRecvMsgSize(MaxMessage),
		grpc.StatsHandler(statsHandler{s.counters}),
	)
	service := s.service
	g.RegisterService(&service, nil)
	stopped := make(chan struct{})
	cancelStop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		stopGracefully(g)
	})
	err := g.Serve(countingListener{Listener: l, counters: s.counters})
	if !cancelStop() { // ctx has ended and stopGracefully was started
		<-stopped
		return nil
	}
	return err
}

// stopGracefully stops a server and aborts the calls that are still running after
// stopTimeout.
func stopGracefully(g *grpc.Server) {
	t := time.AfterFunc(stopTimeout, g.Stop)
	defer t.Stop()
	g.GracefulStop()
}
