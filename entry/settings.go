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

// Settings are the settings of an entry host.
type Settings struct {
	Host    model.HostID
	Region  model.Region
	Domain  model.Domain
	Power   model.Cores
	Callers string // IP address and port for callers
	Ready   string // for the balancer's question whether this host is ready, and for metrics
	Peers   string // for other daemons
	Store   string // IP address and port of the platform's store
	// Domains holds the region of each failure domain.
	Domains map[model.Domain]model.Region

	KeyLife time.Duration // time after which a withdrawn key must not work
	Grace   time.Duration // time from a planned stop's signal until the process is killed
	Ratio   float64       // repeated sends for each request of a pool
	Reserve float64       // repeated sends of a pool in addition

	Window time.Duration // in which limits of customers are counted
	Over   float64       // share by which they may be exceeded
	Slack  float64       // requests by which they may be exceeded in addition
}

// Check reports the first mistake in the settings.
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
		return fault.Invalid("processor", fmt.Sprintf("%v cores are not above 0", s.Power), "state the share of the processor that the host has")
	}
	if s.KeyLife <= 0 || s.Grace <= 0 {
		return fault.Invalid("bounds", "the life of withdrawn keys or the time for a planned stop is missing", "set both above 0")
	}
	if s.Ratio < 0 || s.Reserve < 0 {
		return fault.Invalid("bounds", "the retry budget is negative", "set it to 0 or more")
	}
	if s.Window <= 0 || s.Over < 0 || s.Slack < 0 {
		return fault.Invalid("bounds", "the window or the tolerance of limits is missing or negative", "set the window above 0, the tolerance to 0 or more")
	}
	return nil
}

// Kinds are the names of the objects that the platform keeps.
type Kinds struct {
	Config  store.Kind // kind of the configuration
	Current string     // name of the newest configuration
	Targets store.Kind
}

// Adapter is the platform's side: its names and formats.
type Adapter interface {
	lists.ConfigDecoder
	lists.TargetDecoder
	Dialect() store.Dialect
	Kinds() Kinds
	Callers() proxy.Words
	Headers() exch.Headers
}

func (s *Settings) self() mesh.Host {
	return mesh.Host{ID: s.Host, Region: s.Region, Domain: s.Domain, Address: s.Peers, Power: s.Power}
}
