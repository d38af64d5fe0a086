package watch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbdrift.example/conf"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// configDelay combines configurations that change in quick succession into one
// read. A configuration must be in force within 2 s.
const configDelay = 200 * time.Millisecond

// ConfigDecoder decodes the platform's format of a configuration. With an error it returns the
// version, if that can be read, else 0.
type ConfigDecoder interface {
	Config(value []byte) (model.ConfigVersion, *model.Intent, error)
}

// StoreObserver receives what a ConfigFollower detects about the store.
type StoreObserver interface {
	VersionSeen(v store.Version) // the store has a version of at least v
	StoreReturned()              // the store answers again after no daemon had an answer for long
}

// ConfigFollower follows the configuration in the store and keeps the newest one in force.
type ConfigFollower struct {
	*follower
	name    string
	decoder ConfigDecoder
	holder  *conf.Holder
	events  StoreObserver // receives what the calls show about the store

	// The configuration in force, which neighbours get even if that of the store is older or gone.
	// Guarded by the follower's mutex.
	inForce   store.Object
	newest    model.ConfigVersion            // its version; 0: none
	outdated  bool                           // the record of the configuration is older
	newestFor map[model.HostID]time.Duration // boot time at which AddNewest last added it for a neighbour

	newestSeen atomic.Uint64 // version of the newest configuration that a neighbour has

	unusable atomic.Pointer[Unusable] // the newest configuration, if it cannot be used; changed with the follower's mutex

	decodeMu sync.Mutex // guards the decoding and the result of the last one
	decoded  decodedConfig
}

// decodedConfig is the result of decoding one revision of the configuration.
type decodedConfig struct {
	revision store.Version
	version  model.ConfigVersion // also with an error, if it can be read; else 0
	snapshot *conf.Snapshot
	intent   *model.Intent
	err      error
}

// NewConfigFollower returns a ConfigFollower that follows the object with the name and
// kind. It installs each configuration in h and reports what it detects about the store
// to o.
func NewConfigFollower(source Watcher, kind store.Kind, name string, d ConfigDecoder, h *conf.Holder, o StoreObserver, opts ...Option) *ConfigFollower {
	c := &ConfigFollower{follower: newFollower(source, kind, configDelay, newOptions(opts)), name: name, decoder: d, holder: h, events: o, newestFor: make(map[model.HostID]time.Duration)}
	c.onList = func(objects []store.Object) {
		for i := range objects {
			c.apply(&objects[i])
		}
	}
	c.onEvents = func(events []store.Event) {
		for i := range events {
			if !events[i].Deleted {
				c.apply(&events[i].Object)
			}
		}
	}
	c.prepare = func(o *store.Object) {
		if o.Name == c.name && o.Problem == "" && len(o.Value) <= c.maxValue {
			c.decode(o)
		}
	}
	c.retain = c.retainInForce
	c.onOdd = c.refuseOdd
	c.usable.Update(1)
	c.beforeApply = c.reportReturn
	c.afterApply = func() { c.events.VersionSeen(c.Version()) }
	return c
}

// Run follows the configuration until ctx ends. The error is always nil.
func (c *ConfigFollower) Run(ctx context.Context) error {
	go c.logProof(ctx)
	return c.run(ctx)
}

// proofCheckInterval is how often the age of the proof is checked for the log.
const proofCheckInterval = 100 * time.Millisecond

// logProof logs, until ctx ends, when the proof that the configuration is the newest
// becomes older than a relay may be, and when it is current again.
func (c *ConfigFollower) logProof(ctx context.Context) {
	late := false
	for ctx.Err() == nil {
		sleep(ctx, proofCheckInterval)
		age := c.age()
		if age == neverCompleteAge || late == (age >= maxRelayAge) {
			continue
		}
		late = !late
		c.mu.Lock()
		relayedBy, version := c.relayedBy, c.version
		c.mu.Unlock()
		c.log.Info().Bool("late", late).Dur("age", age).Str("relayed_by", string(relayedBy)).Bool("first", c.first.Load()).
			Bool("store_answers", c.lastCallOK.Load()).Uint32("era", uint32(version.Era())).Uint64("revision", version.Revision()).Msg("proof of the configuration")
	}
}

// StoreAnswers reports whether the store answered this daemon's last call; false while
// a neighbour relays the configuration.
func (c *ConfigFollower) StoreAnswers() bool { return c.lastCallOK.Load() }

// reportReturn reports the return of the store if its last answer to any daemon is
// older than lapseAge.
func (c *ConfigFollower) reportReturn() {
	if age := c.age(); age > lapseAge && age < neverCompleteAge {
		c.events.StoreReturned()
	}
}

// apply puts a configuration in force. One that cannot be decoded is refused, and the one in
// force then counts as outdated. The caller holds the follower's mutex.
func (c *ConfigFollower) apply(o *store.Object) {
	if o.Name != c.name {
		return
	}
	d := c.decode(o)
	if d.err != nil {
		c.outdated = d.version != 0 && d.version < c.newest
		object := *o
		c.refuse(&Unusable{Version: d.version, Problem: d.err.Error(), object: &object, revision: o.Version})
		return
	}
	c.accept(d.snapshot.Version(), o.Version)
	c.outdated = d.snapshot.Version() < c.newest
	if d.snapshot.Version() > c.newest {
		c.inForce, c.newest = *o, d.snapshot.Version()
	}
	if c.holder.Install(d.snapshot) {
		if age := c.age(); age < neverCompleteAge {
			c.applyTime.RecordDuration(age)
		}
		c.log.Info().Uint64("version", uint64(d.snapshot.Version())).Int("routes", len(d.intent.Routes)).Int("customers", len(d.intent.Customers)).
			Uint32("era", uint32(o.Version.Era())).Uint64("revision", o.Version.Revision()).Dur("age", c.age()).Msg("configuration in force")
		if none := d.intent.RegionConflicts(); none.Pairs > 0 {
			c.log.Warn().Uint64("version", uint64(d.snapshot.Version())).Str("route", string(none.Route)).Str("customer", string(none.Customer)).Int("pairs", none.Pairs).
				Msg("routes and customers without a common allowed region; their requests are refused")
		}
	}
}

// decode decodes a configuration, or returns the last result if that is of the same
// revision. A large one takes so long that neighbours would take this daemon for lost if
// the list were locked meanwhile, so it is decoded before the list is locked.
func (c *ConfigFollower) decode(o *store.Object) decodedConfig {
	c.decodeMu.Lock()
	defer c.decodeMu.Unlock()
	if c.decoded.revision == o.Version && o.Version != 0 {
		return c.decoded
	}
	d := decodedConfig{revision: o.Version}
	if d.version, d.intent, d.err = c.decoder.Config(o.Value); d.err == nil {
		d.snapshot = conf.NewSnapshot(d.version, d.intent)
	}
	c.decoded = d
	return d
}
