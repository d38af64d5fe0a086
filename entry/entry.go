package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/kern"
	"rhubarbdrift.example/limit"
	"rhubarbdrift.example/lists"
	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/meter"
	"rhubarbdrift.example/place"
	"rhubarbdrift.example/proxy"
	"rhubarbdrift.example/serve"
	"rhubarbdrift.example/store"
	"rhubarbdrift.example/wire"
)

const (
	// configWait is how long the store may hold the watch of the configuration
	// of a host without a parent. The answer proves that keys were current when
	// the call was sent, so the proof is up to twice as old.
	configWait = 300 * time.Millisecond
	// targetWait is how long it may hold the watch of the targets: less than the
	// 20 s of its history.
	targetWait = 12 * time.Second
	// answerWait is the time for a call's answer beyond what the store may hold it.
	answerWait = time.Second
	// keyMargin is kept between the age at which keys are refused and the time
	// at which withdrawn ones must not work: a read of the request, and clocks.
	keyMargin = 700 * time.Millisecond
	// leaveAge is the age of the configuration at which this host tells the
	// balancer to send callers elsewhere; the balancer needs two seconds, after
	// which keys are refused.
	leaveAge = 3200 * time.Millisecond
	// connectWait bounds the opening of a connection to a target: ten round
	// trips between regions.
	connectWait = 250 * time.Millisecond
	// idleTime is how long a connection to a target is kept: less than the 10 s
	// after which the targets close it.
	idleTime = 8 * time.Second
	// maxAnswer is the largest answer in bytes that is held for a caller.
	maxAnswer = 8 << 20
	// maxConnections bounds the connections to one target.
	maxConnections = 64
	// maxHeader is the size of a request's header in bytes: the users' limit.
	maxHeader = 16 << 10
	// headerTime bounds the sending of a header.
	headerTime = 5 * time.Second
	// callerIdle closes a caller's connection without requests; callers may
	// leave theirs idle for some twelve seconds.
	callerIdle = time.Minute
)

// Entry is one entry host.
type Entry struct {
	settings *Settings
	adapter  Adapter
	log      zerolog.Logger
	kernel   *kern.Kernel
	meter    *meter.Meter

	holder   *conf.Holder
	field    *place.Field
	config   *lists.Config
	targets  *lists.Targets
	hosts    *lists.Hosts
	limits   *limit.Set
	node     *mesh.Node
	exchange *exch.Client
	proxy    *proxy.Proxy
	callers  *serve.Standard
	stopping atomic.Bool
	ready    atomic.Bool
	joined   atomic.Bool // the other daemons are known, and with them this one's part of the limits
}

// Option sets an optional property of an Entry.
type Option func(*Entry)

// WithLog sets the logger.
func WithLog(l zerolog.Logger) Option { return func(e *Entry) { e.log = l } }

// New builds an entry host from its settings. It opens no address yet.
func New(s *Settings, a Adapter, options ...Option) (*Entry, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	e := &Entry{settings: s, adapter: a, log: zerolog.Nop(), kernel: kern.New(), meter: meter.New(), holder: conf.NewHolder()}
	for _, o := range options {
		o(e)
	}
	e.build()
	return e, e.provide()
}

func (e *Entry) build() {
	s, kinds := e.settings, e.adapter.Kinds()
	e.field = place.NewField(place.Site{Region: s.Region, Domain: s.Domain})
	e.targets = lists.NewTargets(e.client(targetWait), kinds.Targets, e.adapter, func(set lists.Set) { e.field.Update(time.Now(), set) },
		func() time.Duration { return e.config.Age() }, func() bool { return e.config.Answered() }, lists.WithLog(e.log))
	e.config = lists.NewConfig(e.client(configWait), kinds.Config, kinds.Current, e.adapter, e.holder, e.targets, lists.WithLog(e.log))
	e.hosts = lists.NewHosts(e.client(0), s.self(), lists.WithLog(e.log))
	e.node = mesh.NewNode(s.self(), time.Now, e.hear)
	e.limits = limit.NewSet(time.Now(), limit.Allowance{Ratio: s.Ratio, Reserve: s.Reserve},
		limit.Tolerance{Window: s.Window, Share: s.Over, Slack: s.Slack}, reports{e.node})
	e.exchange = exch.New(exch.WithHeaders(e.adapter.Headers()), exch.WithConnect(connectWait), exch.WithIdle(idleTime),
		exch.WithBuffer(maxAnswer), exch.WithConnections(maxConnections))
	e.proxy = proxy.New(proxy.Parts{
		Words:    e.adapter.Callers(),
		Snapshot: e.holder.Current,
		Age:      e.config.Age,
		KeyLimit: s.KeyLife - keyMargin,
		Limiter:  e.limits,
		Field:    e.field,
		Exchange: e.exchange,
		See:      reports{e.node}.see,
		Moved:    reports{e.node}.moved,
	}, proxy.WithLog(e.log), proxy.WithMeter(e.meter.Scope()))
}

// client returns a client of the store whose watches may be held for a time.
func (e *Entry) client(wait time.Duration) *store.Client {
	return store.NewClient("http://"+e.settings.Store, store.WithDialect(e.adapter.Dialect()),
		store.WithWaitLimit(wait), store.WithWatchTimeout(wait+answerWait), store.WithTimeout(answerWait))
}

// provide registers the services in the order in which they are started.
func (e *Entry) provide() error {
	pool := wire.NewPool()
	peers := wire.NewServer()
	relayed := &mesh.Lists{Clock: lists.Boot, All: []mesh.List{e.config, e.targets}}
	mesh.Serve(peers, e.node, relayed)
	e.callers = &serve.Standard{Name: "callers", Address: e.settings.Callers, Log: e.log, Server: &http.Server{
		Handler: e.proxy, ReadHeaderTimeout: headerTime, IdleTimeout: callerIdle, MaxHeaderBytes: maxHeader, ErrorLog: serve.Discard(),
	}}
	steps := []func() error{
		func() error { return kern.Provide(e.kernel, "config", e.config) },
		func() error { return kern.Provide(e.kernel, "targets", e.targets) },
		func() error { return kern.Provide(e.kernel, "hosts", e.hosts) },
		func() error {
			return kern.Provide(e.kernel, "peers", &serve.Peers{Address: e.settings.Peers, Server: peers, Log: e.log})
		},
		func() error {
			return kern.Provide(e.kernel, "mesh", mesh.NewRunner(e.node, relayed, pool, e.hosts.All, mesh.WithLog(e.log)))
		},
		func() error { return kern.Provide(e.kernel, "exchange", e.exchange) },
		func() error { return kern.Provide(e.kernel, "parts", service(e.follow)) },
		func() error { return kern.Provide(e.kernel, "callers", e.callers) },
		func() error { return kern.Provide(e.kernel, "ready", e.readiness()) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// service makes a function a service.
type service func(ctx context.Context) error

// Run implements kern.Service.
func (s service) Run(ctx context.Context) error { return s(ctx) }

// Run serves until ctx ends, then makes a planned stop.
func (e *Entry) Run(ctx context.Context) error {
	e.log.Info().Str("region", string(e.settings.Region)).Str("domain", string(e.settings.Domain)).
		Str("callers", e.settings.Callers).Str("peers", e.settings.Peers).Str("store", e.settings.Store).
		Dur("key_life", e.settings.KeyLife).Msg("entry started")
	// The services outlive ctx: they end only after the planned stop.
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, base := errgroup.WithContext(base)
	g.Go(func() error { return e.kernel.Run(base) })
	g.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			e.stop()
		case <-base.Done():
		}
		return nil
	})
	err := g.Wait()
	e.log.Info().AnErr("cause", err).Msg("entry stopped")
	return err
}
