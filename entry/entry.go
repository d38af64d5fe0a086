package entry

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"rhubarbdrift.example/budget"
	"rhubarbdrift.example/caller"
	"rhubarbdrift.example/clock"
	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/hedge"
	"rhubarbdrift.example/kernel"
	"rhubarbdrift.example/limit"
	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/meter"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/place"
	"rhubarbdrift.example/proxy"
	"rhubarbdrift.example/serve"
	"rhubarbdrift.example/store"
	"rhubarbdrift.example/sysmem"
	"rhubarbdrift.example/watch"
	"rhubarbdrift.example/wire"
)

const (
	// configWait is how long the store may hold the watch of the configuration
	// by a host without a parent. An answer proves that the keys were current when
	// the call was sent, so until the next answer arrives the proof may be two such waits old.
	configWait = 300 * time.Millisecond
	// targetWait is how long the store may hold the watch of the targets: less than
	// the 20 s for which the store keeps its history.
	targetWait = 12 * time.Second
	// evacuationWait is how long the store may hold the watch of the evacuations by the
	// host that reads the store. Each answer raises the version of the list, although
	// nothing changed, so that a watch which stays behind is a silent one.
	evacuationWait = 1500 * time.Millisecond
	// answerWait is the timeout of a call to the store, in addition to the time for
	// which the store may hold it.
	answerWait = time.Second
	// keyMargin is the time between the age at which keys are refused and the time
	// at which withdrawn keys must not work. It covers reading the request and
	// clock error.
	keyMargin = 700 * time.Millisecond
	// unreadyAge is the age of the configuration at which this host reports that it
	// is not ready, so that the load balancer in front of the entry hosts sends callers
	// elsewhere. That takes it two seconds, after which keys are refused.
	unreadyAge = 3200 * time.Millisecond
	// connectTimeout bounds the opening of a connection to a target: ten round
	// trips between regions.
	connectTimeout = 250 * time.Millisecond
	// idleTimeout is how long an idle connection to a target is kept: less than the
	// 10 s after which the targets close it.
	idleTimeout = 8 * time.Second
	// maxAnswerBytes is the largest answer that is buffered for a caller.
	maxAnswerBytes = 8 << 20
	// maxStoreAnswer bounds one answer of the store, whose pages have about 1 MB.
	maxStoreAnswer = 8 << 20
	// maxTargetConnections bounds the connections to one target.
	maxTargetConnections = 64
	// maxHeaderBytes bounds the header of a request. The limit is a requirement of the
	// users.
	maxHeaderBytes = 16 << 10
	// headerTimeout bounds the time in which a caller sends the header of a request.
	headerTimeout = 5 * time.Second
	// callerIdleTimeout is the time after which an idle connection of a caller is
	// closed. Callers may leave theirs idle for about twelve seconds.
	callerIdleTimeout = time.Minute
)

// Entry is one entry host: the proxy for callers and the services that it needs.
type Entry struct {
	settings *Settings
	adapter  Adapter
	log      zerolog.Logger
	services *kernel.Kernel
	meter    *meter.Meter

	holder       *conf.Holder
	balancer     *place.Balancer
	config       *watch.ConfigFollower
	targets      *watch.Targets
	hosts        *watch.Hosts
	evacuations  *watch.Evacuations // nil if the settings name no bound for evacuations
	limits       *limit.Set
	pauses       *limit.PauseGuard
	hedges       *hedge.Set // nil without Settings.Hedging
	node         *mesh.Node
	exchange     *exch.Client
	proxy        *proxy.Proxy
	callers      *serve.NetHTTP
	account      *budget.Account
	machine      sysmem.Machine
	callerServer *caller.Server
	// callerConnections and targetConnections are the largest numbers of connections.
	callerConnections, targetConnections int
	stopping                             atomic.Bool
	wasReady                             atomic.Bool
	shareKnown                           atomic.Bool // the list of daemons was read and the share of the limits computed
}

// Option sets an optional property of an Entry.
type Option func(*Entry)

// WithLog sets the logger.
func WithLog(l zerolog.Logger) Option { return func(e *Entry) { e.log = l } }

// New builds an entry host from its settings. It returns the error of
// Settings.Check, and opens no listener before Run.
func New(s *Settings, a Adapter, options ...Option) (*Entry, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	e := &Entry{settings: s, adapter: a, log: zerolog.Nop(), services: kernel.New(), meter: meter.New(), holder: conf.NewHolder()}
	for _, o := range options {
		o(e)
	}
	e.build()
	return e, e.provideServices()
}

// build creates the components and connects them.
func (e *Entry) build() {
	e.buildAccount()
	s, names := e.settings, e.adapter.ObjectNames()
	options := []place.Option{place.WithDemandReport(func(id model.TargetID, urgent bool) { reporter{e.node}.reportDemand(id, urgent) })}
	options = append(options, place.WithFloor(s.FloorShare), place.WithPools(e.pool), place.WithColdReport(e.logCold),
		place.WithColdTolerance(limit.ColdTolerance{Overshoot: cmp.Or(s.ColdOvershoot, 1), Slack: s.ColdSlack}))
	if s.EvacuationBound > 0 {
		options = append(options, place.WithEvacuations(), place.WithPauseCheck(func() { e.pauses.Check() }))
	}
	if s.PreferNear {
		options = append(options, place.WithNearFirst(s.Host))
	}
	e.balancer = place.NewBalancer(place.Location{Region: s.Region, Domain: s.Domain}, options...)
	e.targets = watch.NewTargets(e.client(targetWait, watch.MaxEntry), names.Targets, e.adapter, func(set watch.TargetSet) { e.balancer.Update(time.Now(), set) },
		func() time.Duration { return e.config.ReadAge() }, func() bool { return e.config.StoreAnswers() }, watch.WithLog(e.log), watch.WithMeter(e.meter.Scope()))
	observers := watch.Observers{e.targets}
	if s.EvacuationBound > 0 {
		e.evacuations = watch.NewEvacuations(e.client(evacuationWait, watch.MaxEntry), names.Evacuations, e.adapter, e.balancer.SetEvacuated,
			func() time.Duration { return e.config.ReadAge() }, func() bool { return e.config.StoreAnswers() }, watch.WithLog(e.log), watch.WithMeter(e.meter.Scope()))
		observers = append(observers, e.evacuations)
	}
	e.config = watch.NewConfigFollower(e.client(configWait, store.MaxValue), names.Config, names.ConfigName, e.adapter, e.holder, observers, watch.WithLog(e.log), watch.WithMeter(e.meter.Scope()))
	e.hosts = watch.NewHosts(e.client(0, watch.MaxEntry), s.meshHost(), watch.WithLog(e.log), watch.WithMeter(e.meter.Scope()))
	e.node = mesh.NewNode(s.meshHost(), clock.New(clock.SinceBoot), e.applyReport)
	e.limits = limit.NewSet(time.Now(), limit.Allowance{Ratio: s.RetryRatio, Reserve: s.RetryReserve},
		limit.Tolerance{Window: s.LimitWindow, Share: s.LimitOvershoot, Slack: s.LimitSlack}, reporter{e.node}, e.limitOptions()...)
	e.pauses = limit.NewPauseGuard(clock.SinceBoot, e.afterPause)
	if s.Hedging != nil {
		e.hedges = hedge.NewSet(*s.Hedging, reporter{e.node}.reportHedge)
	}
	e.exchange = exch.New(exch.WithHeaders(e.adapter.Headers()), exch.WithConnectTimeout(connectTimeout), exch.WithIdleTimeout(idleTimeout),
		exch.WithMaxBuffered(maxAnswerBytes), exch.WithMaxConnections(maxTargetConnections), exch.WithMaxOpen(e.targetConnections))
	e.proxy = proxy.New(proxy.Dependencies{
		Protocol:          e.adapter.Protocol(),
		Snapshot:          e.holder.Current,
		ConfigAge:         e.config.Age,
		MaxKeyAge:         s.KeyRevocationLimit - keyMargin,
		ConfigOutdated:    e.configOutdated,
		RefusedConfig:     e.refusedConfig,
		Limiter:           guardedLimits{Set: e.limits, pauses: e.pauses},
		Balancer:          e.balancer,
		Exchange:          e.exchange,
		Hedges:            e.hedges,
		ReportObservation: reporter{e.node}.reportExchange,
		ReportRequests:    reporter{e.node}.reportRequests,
		ReportLeaving:     reporter{e.node}.reportLeaving,
		ReportLimit:       reporter{e.node}.reportLimit,
	}, proxy.WithLog(e.log), proxy.WithMeter(e.meter.Scope()))
}

// configOutdated reports whether a newer configuration should be in force here.
func (e *Entry) configOutdated() bool {
	return e.settings.ConfigBound > 0 && e.config.Outdated(e.settings.ConfigBound)
}

// refusedConfig returns the newest configuration if this host cannot use it.
func (e *Entry) refusedConfig() *proxy.RefusedConfig {
	if u := e.config.Unusable(); u != nil {
		return &proxy.RefusedConfig{Version: u.Version, Problem: u.Problem}
	}
	return nil
}

// client returns a client of the store that lets it hold a watch for up to wait. Values of more
// than maxValue bytes are dropped.
func (e *Entry) client(wait time.Duration, maxValue int) *store.Client {
	return store.NewClient("http://"+e.settings.StoreAddress, store.WithDialect(e.adapter.Dialect()),
		store.WithMaxWatchWait(wait), store.WithWatchTimeout(wait+answerWait), store.WithTimeout(answerWait), store.WithMaxAnswer(maxStoreAnswer), store.WithMaxValue(maxValue),
		store.WithEraObserver(e.logEra))
}

// logEra logs that the store came back from an older copy.
func (e *Entry) logEra(before, after store.Era) {
	e.log.Warn().Uint32("era", uint32(after)).Uint32("before", uint32(before)).Msg("store came back from an older copy")
}

// provideServices registers the services in the order in which they are started.
func (e *Entry) provideServices() error {
	pool := wire.NewPool()
	peers := wire.NewServer(wire.WithLog(e.log))
	relayedLists := &mesh.RelayedLists{Clock: clock.SinceBoot, All: []mesh.List{e.config, e.targets}, Log: e.log, Scope: e.meter.Scope()}
	if e.evacuations != nil {
		relayedLists.All = append(relayedLists.All, e.evacuations)
	}
	mesh.RegisterHandler(peers, e.node, relayedLists)
	e.callerServer = caller.New(e.proxy, caller.Limits{
		HeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout,
		Requests: cmp.Or(e.settings.CallerRequests, DefaultCallerRequests), Bytes: cmp.Or(e.settings.CallerBytes, DefaultCallerBytes),
		Connections: e.callerConnections,
	}, caller.WithAccount(e.account), caller.WithLog(e.log), caller.WithMeter(e.meter.Scope()))
	e.callers = &serve.NetHTTP{Name: "callers", Address: e.settings.CallerAddress, Log: e.log, Server: e.callerServer}
	steps := []func() error{
		func() error { return kernel.Provide(e.services, "config", e.config) },
		func() error { return kernel.Provide(e.services, "targets", e.targets) },
		func() error { return kernel.Provide(e.services, "hosts", e.hosts) },
		func() error {
			return kernel.Provide(e.services, "peers", &serve.GRPC{Address: e.settings.PeerAddress, Server: peers, Log: e.log})
		},
		func() error {
			return kernel.Provide(e.services, "mesh", mesh.NewRunner(e.node, relayedLists, pool, e.hosts.All, mesh.WithLog(e.log)))
		},
		func() error { return kernel.Provide(e.services, "exchange", e.exchange) },
		func() error { return kernel.Provide(e.services, "parts", serviceFunc(e.updateShare)) },
		func() error {
			return kernel.Provide(e.services, "memory", &sysmem.Watcher{
				Account: e.account, Scope: e.meter.Scope(), Log: e.log, Callers: e.callerServer.Open, Targets: e.exchange.Open, CallerLimit: e.callerConnections,
			})
		},
		func() error { return kernel.Provide(e.services, "callers", e.callers) },
		func() error { return kernel.Provide(e.services, "ready", e.readinessServer()) },
	}
	if e.evacuations != nil {
		steps = append(steps, func() error { return kernel.Provide(e.services, "evacuations", e.evacuations) },
			func() error {
				return kernel.Provide(e.services, "evacuation progress", serviceFunc(e.followEvacuations))
			})
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// serviceFunc adapts a function to kernel.Service.
type serviceFunc func(ctx context.Context) error

// Run implements kernel.Service.
func (s serviceFunc) Run(ctx context.Context) error { return s(ctx) }

// Run serves until ctx ends, then makes a planned stop. It returns the first error
// of a service.
func (e *Entry) Run(ctx context.Context) error {
	sysmem.SetRuntimeLimit(e.machine)
	e.log.Info().Str("region", string(e.settings.Region)).Str("domain", string(e.settings.Domain)).
		Str("callers", e.settings.CallerAddress).Str("peers", e.settings.PeerAddress).Str("store", e.settings.StoreAddress).
		Dur("key_life", e.settings.KeyRevocationLimit).Dur("evacuate", e.settings.EvacuationBound).Int64("memory", e.machine.Memory).Int64("held_limit", e.account.Status().Limit).
		Int("caller_connections", e.callerConnections).Int("target_connections", e.targetConnections).Msg("entry started")
	// The services outlive ctx: they end only after the planned stop.
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, base := errgroup.WithContext(base)
	g.Go(func() error { return e.services.Run(base) })
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
