// Package wire carries typed messages between daemons over gRPC. Messages are
// encoded in CBOR; there is no generated code.
//
// A message is a struct with CBOR tags. If it has a method Check() error, the
// codec calls it after decoding, so that a handler receives only valid messages.
// Errors of handlers keep their fault kind over the network. A call whose request
// was certainly not sent fails with fault.KindUnavailable; one that may have run fails
// with fault.KindUnknown.
//
// # Usage
//
// A server:
//
//	s := wire.NewServer()
//	wire.Handle(s, "quota.take", func(ctx context.Context, q *TokenRequest) (*Grant, error) { ... })
//	wire.Receive(s, "cell.beat", func(ctx context.Context, b *Heartbeat) { ... })
//	err := s.Serve(ctx, listener)
//
// A client:
//
//	p := wire.NewPool()
//	defer p.Close()
//	grant, err := wire.Call[TokenRequest, Grant](ctx, p.Client("10.0.0.2:7100"), "quota.take", &request)
//
// A Sender sends small, frequent messages, such as heartbeats, on one stream
// without waiting for answers. Counters returns the traffic of each method.
//
// gRPC's name resolution, load balancing, retries and service configuration are
// not used, since each address has exactly one connection.
package wire
