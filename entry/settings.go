package entry

import (
	"fmt"
	"net"
	"time"

	"rhubarbdrift.example/exch"
	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/lists"
	"rhubarbdrift.example/mesh"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/proxy"
	"rhubarbdrift.example/store"
)

// Settings are the settings of an entry host. Addresses are an IP address and a
// port.
type Settings struct {
	Host    model.HostID
	Region  model.Region
	Domain  model.Domain
	Power   model.Cores // processor share of the host
	Callers string      // address for callers
	Ready   string      // address for the balancer's readiness check and for metrics
	Peers   string      // address for other daemons
	Store   string      // address of the platform's store
	// Domains maps each failure domain to its region.
	Domains map[model.Domain]model.Region

	KeyLife time.Duration // longest time for which a withdrawn key may still work
	Grace   time.Duration // time from a planned stop's signal until the process is killed
	Ratio   float64       // retries for each request to a pool
	Reserve float64       // retries of a pool in addition to Ratio

	Window time.Duration // in which requests are counted against customers' limits
	Over   float64       // share of a limit by which it may be exceeded
	Slack  float64       // requests by which a limit may be exceeded in addition to Over
}

// Check returns an error of kind invalid for one of the invalid settings, or nil if
// all are valid.
func (s *Settings) Check() error {
	for name, value := range map[string]string{"host": string(s.Host), "region": string(s.Region), "failure domain": string(s.Domain)} {
		if value == "" {
			return fault.Invalid(name, "is empty", "give the process its "+name)
		}
	}
	for name, value := range map[string]string{"callers' address": s.Callers, "readiness address": s.Ready, "peers' address": s.Peers, "store's address": s.Store} {
		host, _, err := net.SplitHostPort(value)
		if err != nil || net.ParseIP(host) == nil {
			return fault.Invalid(name, fmt.Sprintf("%q is not an IP address and port", value), "write it as 10.0.0.1:8080")
		}
	}
	if s.Power <= 0 {
		return fault.Invalid("processor", fmt.Sprintf("%v cores is not a positive number", s.Power), "set the processor share of the host, in cores")
	}
	if s.KeyLife <= 0 || s.Grace <= 0 {
		return fault.Invalid("bounds", "the lifetime of withdrawn keys or the grace period of a planned stop is not positive", "set both to more than 0")
	}
	if s.Ratio < 0 || s.Reserve < 0 {
		return fault.Invalid("bounds", "the retry budget is negative", "set it to 0 or more")
	}
	if s.Window <= 0 || s.Over < 0 || s.Slack < 0 {
		return fault.Invalid("bounds", "the window of limits is not positive or their tolerance is negative", "set the window to more than 0 and the tolerance to 0 or more")
	}
	return nil
}

// Kinds are the kinds and names of the objects in the platform's store.
type Kinds struct {
	Config  store.Kind // kind of the configuration
	Current string     // name of the object that holds the newest configuration
	Targets store.Kind // kind of the targets' entries
}

// Adapter defines the names and formats of a platform.
type Adapter interface {
	lists.ConfigDecoder
	lists.TargetDecoder
	Dialect() store.Dialect
	Kinds() Kinds
	Callers() proxy.Protocol
	Headers() exch.Headers
}

// meshHost returns this host as other daemons list it.
func (s *Settings) meshHost() mesh.Host {
	return mesh.Host{ID: s.Host, Region: s.Region, Domain: s.Domain, Address: s.Peers, Power: s.Power}
}
