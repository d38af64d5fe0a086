package slope

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"rhubarbdrift.example/inproc"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/quota"
	"rhubarbdrift.example/tokens"
	"rhubarbdrift.example/trend"
	"rhubarbdrift.example/wire"
)

// connection is a client and the server that it calls, with traffic counters at the
// client.
type connection struct {
	client   *wire.Client
	counters *wire.Counters
	stop     func()
}

// connect starts a server on a loopback port and a client for it. register adds the
// methods of the server. The caller must call stop of the connection.
func connect(ctx context.Context, register func(*wire.Server)) (*connection, error) {
	ctx, cancel := context.WithCancel(ctx)
	ln, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		cancel()
		return nil, err
	}
	s := wire.NewServer()
	register(s)
	var running sync.WaitGroup
	running.Go(func() { _ = s.Serve(ctx, ln) })
	c := &connection{counters: wire.NewCounters()}
	pool := wire.NewPool(wire.WithCounters(c.counters))
	c.client = pool.Client(ln.Addr().String())
	c.stop = func() {
		pool.Close()
		cancel()
		running.Wait()
	}
	return c, nil
}

// bytes returns the bytes transferred so far in both directions.
func (c *connection) bytes() float64 {
	sent, received := c.counters.Bytes()
	return float64(sent + received)
}

// methodTake is the method of token requests, named as in package admit.
const methodTake = "quota.take"

// registerOwner returns a function that registers the methods of a quota owner.
func registerOwner(o *quota.Owner) func(*wire.Server) {
	return func(s *wire.Server) {
		wire.Handle(s, methodTake, func(ctx context.Context, t *quota.TokenRequest) (*quota.Answer, error) {
			a := quota.AnswerOf(o.Grant(ctx, *t))
			return &a, nil
		})
	}
}

// tokenClient implements quota.TokenClient by calls to the owner.
type tokenClient struct{ *connection }

// RequestTokens sends the request of a token cache to the owner.
func (c tokenClient) RequestTokens(ctx context.Context, _ model.Region, _ model.Shard, t quota.TokenRequest) (quota.Grant, error) {
	answer, err := wire.Call[quota.TokenRequest, quota.Answer](ctx, c.client, methodTake, &t)
	if err != nil {
		return quota.Grant{}, quota.Unreachable(err)
	}
	return answer.Result()
}

// requestOrigin identifies the daemon that sends token requests over a connection. Its
// incarnation is as long as a real one.
var requestOrigin = quota.Origin{Host: "host-001", Incarnation: "0b0f3a3e-6b0a-4a57-93a5-6b1f3e0c2a11", Region: "region-0"}

// measureTokenRequests measures single token requests with zero to four reports each.
// The grant ids of the reports have 56 bits, like those of an owner.
func measureTokenRequests(ctx context.Context, p Plan, r *trend.Report) error {
	size := r.Add("quota.take ask and answer, with HTTP/2", "reports", "bytes")
	cpuPerCall := r.Add("quota.take ask, processor time of both sides", "reports", "us")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o, err := newOwner(ctx, []model.Region{"region-0"}, inproc.UnreachablePeers{})
	if err != nil {
		return err
	}
	c, err := connect(ctx, registerOwner(o))
	if err != nil {
		return err
	}
	defer c.stop()
	seq := uint64(0)
	for n := range 5 {
		bytes, startCPU := c.bytes(), cpuTime()
		for range p.CallsPerSize {
			seq++
			t := quota.TokenRequest{From: requestOrigin, Seq: seq, Customer: model.CustomerID(fmt.Sprintf("customer-%05d", seq%1000)), Tokens: 1, Requests: 1}
			for i := range n {
				t.Reports = append(t.Reports, quota.Report{Grant: 1<<55 + seq + uint64(i), Spent: 1})
			}
			if _, err := wire.Call[quota.TokenRequest, quota.Answer](ctx, c.client, methodTake, &t); err != nil {
				return err
			}
		}
		size.Add(float64(n), (c.bytes()-bytes)/float64(p.CallsPerSize))
		cpuPerCall.Add(float64(n), (cpuTime()-startCPU)/float64(p.CallsPerSize)*1e6)
	}
	return nil
}

// measureCache measures the token requests of the token cache of one daemon under
// load, with one customer and with so many that each sends at most one request.
func measureCache(ctx context.Context, p Plan, r *trend.Report) error {
	type scenario struct {
		name      string
		customers int
	}
	for _, s := range []scenario{{"busy customer", 1}, {"rare customers", 1 << 20}} {
		asks := r.Add("wallet asks, "+s.name, "requests/s", "messages/s")
		size := r.Add("wallet asks, "+s.name, "requests/s", "bytes/s")
		cpu := r.Add("wallet and owner, "+s.name+", processor time", "requests/s", "% of a core")
		for _, rate := range p.RequestRates {
			messages, bytes, cpuPercent, err := cacheLoad(ctx, rate, s.customers, p.Window/2)
			if err != nil {
				return err
			}
			asks.Add(float64(rate), messages)
			size.Add(float64(rate), bytes)
			cpu.Add(float64(rate), cpuPercent)
		}
	}
	return nil
}

// cacheLoad admits requests at a constant rate, with the customers in rotation. It
// returns messages and bytes per second, and the CPU time in percent of a core.
func cacheLoad(ctx context.Context, rate, customers int, window time.Duration) (messages, bytes, cpu float64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o, err := newOwner(ctx, []model.Region{"region-0"}, inproc.UnreachablePeers{})
	if err != nil {
		return 0, 0, 0, err
	}
	c, err := connect(ctx, registerOwner(o))
	if err != nil {
		return 0, 0, 0, err
	}
	defer c.stop()
	cache := tokens.New(requestOrigin, []model.Region{"region-0"}, tokenClient{c})
	var running sync.WaitGroup
	running.Go(func() { _ = cache.Run(ctx) })
	defer running.Wait()
	defer cancel()
	start, startBytes, startCPU := time.Now(), c.bytes(), cpuTime()
	for i := range int(float64(rate) * window.Seconds()) {
		due := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		if err := inproc.Sleep(ctx, time.Until(due)); err != nil {
			return 0, 0, 0, err
		}
		running.Go(func() {
			customer := &model.Customer{ID: model.CustomerID(fmt.Sprintf("customer-%05d", i%customers)), Rate: 1000, Burst: 2000}
			if admission, err := cache.Admit(ctx, customer); err == nil {
				admission.Commit()
			}
		})
	}
	seconds := time.Since(start).Seconds()
	m := c.counters.Methods()[methodTake]
	return float64(m.MessagesSent+m.MessagesReceived) / seconds, (c.bytes() - startBytes) / seconds, (cpuTime() - startCPU) / seconds * 100, nil
}
