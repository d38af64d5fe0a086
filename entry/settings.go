package entry

import (
	"fmt"
	"net"
	"time"

	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/hedge"
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

	// ConfigBound is the time after which an acknowledged configuration must be in force.
	// A host that knows of a newer one which is due refuses requests; 0: it serves them.
	ConfigBound time.Duration

	KeyRevocationLimit time.Duration // longest time for which a withdrawn key may still work
	Grace              time.Duration // time from a planned stop's signal until the process is killed
	RetryRatio         float64       // retries for each request to a pool
	RetryReserve       float64       // retries of a pool in addition to RetryRatio

	CallerRequests int // requests of one connection that are worked on at the same time; 0: DefaultCallerRequests
	CallerBytes    int // size in bytes of these requests and of their responses that wait; 0: DefaultCallerBytes

	Memory            int64 // memory of the machine in bytes; 0: that of the system
	Descriptors       int   // descriptors of the process; 0: the limit of the system
	HeldBytes         int64 // bytes held for callers; 0: follows from Memory
	CallerConnections int   // connections of callers; 0: follows from Memory and Descriptors

	Hedging *hedge.Policy // nil: repeatable requests are hedged at 0.9 of the route's objective, without a share

	FloorShare float64 // share of a pool's targets that stay in use while many of its requests fail; 0: none

	PreferNear bool // targets of the host's own failure domain are used first, then those of its region

	LimitWindow    time.Duration // in which requests are counted against customers' limits
	LimitOvershoot float64       // share of a limit by which it may be exceeded
	LimitSlack     float64       // requests by which a limit may be exceeded in addition to LimitOvershoot
	// WindowLimits sets that a customer may use its rate times LimitWindow plus its burst in
	// each LimitWindow, instead of a token bucket.
	WindowLimits bool

	// EvacuationBound is the time from the acknowledgement of an evacuation after which no
	// request may reach the failure domain; 0: there are no evacuations, and no list of them
	// is read.
	EvacuationBound time.Duration

	// In any second a cold target receives at most the limit of its pool times ColdOvershoot,
	// plus ColdSlack requests.
	ColdOvershoot float64 // 0: 1
	ColdSlack     float64
}

// Defaults of the limits on one connection of a caller.
const (
	DefaultCallerRequests = 16
	DefaultCallerBytes    = 256 << 10
)

// The least that a machine must have, and must be allowed to hold for callers.
const (
	minMemory      = 32 << 20
	minDescriptors = 64
	minHeldBytes   = 1 << 20
)

// maxColdTolerance bounds the tolerance for cold targets. A larger one is a mistake, and
// would not limit anything.
const maxColdTolerance = 1e6

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
	if !(s.FloorShare >= 0 && s.FloorShare <= 1) {
		return fault.Invalid("bounds", fmt.Sprintf("the share %v of targets that stay in use is not from 0 to 1", s.FloorShare), "set it to a value from 0 to 1, or leave it out")
	}
	if s.ConfigBound < 0 {
		return fault.Invalid("bounds", "the time for a configuration is negative", "set it to more than 0, or leave it out")
	}
	if s.EvacuationBound < 0 {
		return fault.Invalid("bounds", "the time for an evacuation is negative", "set it to more than 0, or leave it out")
	}
	if s.Hedging != nil {
		if err := s.Hedging.Check(); err != nil {
			return err
		}
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
	if !(s.ColdOvershoot == 0 || s.ColdOvershoot >= 1 && s.ColdOvershoot <= maxColdTolerance) || !(s.ColdSlack >= 0 && s.ColdSlack <= maxColdTolerance) {
		return fault.Invalid("bounds", fmt.Sprintf("the tolerance for cold targets, %v times and %v requests, is out of range", s.ColdOvershoot, s.ColdSlack),
			fmt.Sprintf("set the overshoot from 1 and the slack from 0, both to at most %v", maxColdTolerance))
	}
	if s.CallerRequests < 0 || s.CallerBytes < 0 {
		return fault.Invalid("limits of a caller's connection", "the number or the size of its requests is negative", "set both to more than 0, or leave them out")
	}
	return s.checkMachine()
}

// checkMachine checks the limits of the machine, as Check does.
func (s *Settings) checkMachine() error {
	if s.Memory < 0 || s.Descriptors < 0 || s.HeldBytes < 0 || s.CallerConnections < 0 {
		return fault.Invalid("limits of the machine", "the memory, the descriptors or what may be held for callers is negative", "set them to more than 0, or leave them out")
	}
	if s.Memory > 0 && s.Memory < minMemory || s.Descriptors > 0 && s.Descriptors < minDescriptors || s.HeldBytes > 0 && s.HeldBytes < minHeldBytes {
		return fault.Invalid("limits of the machine", fmt.Sprintf("less than %d MB, %d descriptors or %d bytes held for callers", minMemory>>20, minDescriptors, minHeldBytes), "give the process more")
	}
	return nil
}

// ObjectNames are the kinds and names of the objects in the platform's store.
type ObjectNames struct {
	Config     store.Kind // kind of the configuration
	ConfigName string     // name of the object that holds the newest configuration
	Targets    store.Kind // kind of the targets' entries

	Evacuations store.Kind // kind of the evacuations of failure domains
}

// Adapter defines the names and formats of a platform.
type Adapter interface {
	watch.ConfigDecoder
	watch.TargetDecoder
	watch.EvacuationDecoder
	Dialect() store.Dialect
	ObjectNames() ObjectNames
	Protocol() proxy.Protocol
	Headers() exch.Headers
}

// meshHost returns this host as other daemons list it.
func (s *Settings) meshHost() mesh.Host {
	return mesh.Host{ID: s.Host, Region: s.Region, Domain: s.Domain, Address: s.PeerAddress, Cores: s.Cores}
}
