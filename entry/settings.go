package entry

import (
	"fmt"
	"net"
	"time"

	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/proxy"
	"rhubarbdrift.example/store"
	"rhubarbdrift.example/watch"
)

// Settings are the settings of an entry host. Addresses are an IP address and a
// port.
type Settings struct {
	Host          model.HostID
	Region        model.Region
	Domain        model.Domain
	Cores         model.Cores // processor share of the host
	CallerAddress string      // address for callers
	ReadyAddress  string      // address for the load balancer's readiness check and for metrics
	PeerAddress   string      // address for other daemons
	StoreAddress  string      // address of the platform's store
	// RegionOfDomain maps each failure domain to its region.
	RegionOfDomain map[model.Domain]model.Region

	KeyRevocationLimit time.Duration // longest time for which a withdrawn key may still work
	Grace              time.Duration // time from a planned stop's signal until the process is killed
	RetryRatio         float64       // retries for each request to a pool
	RetryReserve       float64       // retries of a pool in addition to RetryRatio

	CallerRequests int // requests of one connection that are worked on at the same time; 0: DefaultCallerRequests
	CallerBytes    int // size in bytes of these requests and of their responses that wait; 0: DefaultCallerBytes

	LimitWindow    time.Duration // in which requests are counted against customers' limits
	LimitOvershoot float64       // share of a limit by which it may be exceeded
	LimitSlack     float64       // requests by which a limit may be exceeded in addition to LimitOvershoot
	// WindowLimits sets that a customer may use its rate times LimitWindow plus its burst in
	// each LimitWindow, instead of a token bucket.
	WindowLimits bool
}

// Defaults of the limits on one connection of a caller.
const (
	DefaultCallerRequests = 16
	DefaultCallerBytes    = 256 << 10
)

// Check returns an error of kind invalid for one of the invalid settings, or nil if
// all are valid.
func (s *Settings) Check() error {
	for name, value := range map[string]string{"host": string(s.Host), "region": string(s.Region), "failure domain": string(s.Domain)} {
		if value == "" {
			return fault.Invalid(name, "is empty", "give the process its "+name)
		}
	}
	for name, value := range map[string]string{"callers' address": s.CallerAddress, "readiness address": s.ReadyAddress, "peers' address": s.PeerAddress, "store's address": s.StoreAddress} {
		host, _, err := net.SplitHostPort(value)
		if err != nil || net.ParseIP(host) == nil {
			return fault.Invalid(name, fmt.Sprintf("%q is not an IP address and port", value), "write it as 10.0.0.1:8080")
		}
	}
	if s.Cores <= 0 {
		return fault.Invalid("processor", fmt.Sprintf("%v cores is not a positive number", s.Cores), "set the processor share of the host, in cores")
	}
	if s.KeyRevocationLimit <= 0 || s.Grace <= 0 {
		return fault.Invalid("bounds", "the lifetime of withdrawn keys or the grace period of a planned stop is not positive", "set both to more than 0")
	}
	return s.checkLimits()
}

// checkLimits checks the limits on requests, as Check does.
func (s *Settings) checkLimits() error {
	if s.RetryRatio < 0 || s.RetryReserve < 0 {
		return fault.Invalid("bounds", "the retry budget is negative", "set it to 0 or more")
	}
	if s.LimitWindow <= 0 || s.LimitOvershoot < 0 || s.LimitSlack < 0 {
		return fault.Invalid("bounds", "the window of limits is not positive or their tolerance is negative", "set the window to more than 0 and the tolerance to 0 or more")
	}
	if s.CallerRequests < 0 || s.CallerBytes < 0 {
		return fault.Invalid("limits of a caller's connection", "the number or the size of its requests is negative", "set both to more than 0, or leave them out")
	}
	return nil
}

// ObjectNames are the kinds and names of the objects in the platform's store.
type ObjectNames struct {
	Config     store.Kind // kind of the configuration
	ConfigName string     // name of the object that holds the newest configuration
	Targets    store.Kind // kind of the targets' entries
}

// Adapter defines the names and formats of a platform.
type Adapter interface {
	watch.ConfigDecoder
	watch.TargetDecoder
	Dialect() store.Dialect
	ObjectNames() ObjectNames
	Protocol() proxy.Protocol
	Headers() exch.Headers
}

// meshHost returns this host as other daemons list it.
func (s *Settings) meshHost() mesh.Host {
	return mesh.Host{ID: s.Host, Region: s.Region, Domain: s.Domain, Address: s.PeerAddress, Cores: s.Cores}
}
