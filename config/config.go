package config

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/rs/zerolog"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// Defaults and bounds of optional settings.
const (
	// DefaultShards is the number of groups that customers are hashed into. All
	// daemons need the same number.
	DefaultShards = 16
	// DefaultDrain is the time, in milliseconds, that a planned stop waits for the
	// load balancer to stop sending new connections.
	DefaultDrain model.Millis = 5_000
	// DefaultLevel is the lowest level of the events that are logged.
	DefaultLevel = "info"
	// DefaultConnections is the largest number of connections from callers.
	DefaultConnections = 16_384
	// minMemoryMB and minDescriptors are the least that a machine must have.
	minMemoryMB, minDescriptors = 32, 64
	// maxShards is the largest number of shards.
	maxShards = 1024
	// maxDrain is the longest drain time.
	maxDrain = model.Millis(10 * 60 * 1000) // 10 minutes
)

// Listen contains the addresses that a daemon listens on, each an IP address and
// port.
type Listen struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Admin   string `json:"admin"`
}

// QueueLimits contains the largest lengths of the queue in front of each pool, in
// requests. Zero selects the default of package queue.
type QueueLimits struct {
	Customer int `json:"customer"` // for one customer
	Pool     int `json:"pool"`     // for all customers together
}

// Operator is a person or program that may use the administration API.
type Operator struct {
	Name   string       `json:"name"`
	Digest model.Digest `json:"digest"` // SHA-256 of the credential
}

// Settings is the content of a daemon's settings file.
type Settings struct {
	Host        model.HostID   `json:"host"`
	Region      model.Region   `json:"region"`
	Domain      model.Domain   `json:"domain"`
	Cell        model.CellName `json:"cell"`
	Regions     []model.Region `json:"regions"`  // all regions of the fleet
	Platform    string         `json:"platform"` // URL of the platform's object API
	Peers       []string       `json:"peers"`    // addresses of peers to contact if the platform is unavailable at start
	Listen      Listen         `json:"listen"`
	Operators   []Operator     `json:"operators"`
	Shards      int            `json:"shards"`      // see DefaultShards
	DrainMillis model.Millis   `json:"drain"`       // see DrainTime
	Connections int            `json:"connections"` // largest number of connections from callers
	MemoryMB    int            `json:"memoryMb"`    // memory of the machine in MiB; 0 for that of the system
	Descriptors int            `json:"maxFds"`      // descriptors of the process; 0 for the limit of the system
	Queue       QueueLimits    `json:"queue"`
	Level       string         `json:"level"` // lowest level of the events that are logged
}

// Load reads, decodes and validates a settings file. The error has kind
// fault.KindMissing if the file cannot be read, and fault.KindInvalid if the settings
// are not valid.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path) //#nosec G304 -- the operator names the file
	if err != nil {
		return nil, fault.Wrap(fault.KindMissing, err, "settings file cannot be read", "check the path and its permissions")
	}
	return Decode(data)
}

// Decode decodes settings from JSON with comments, applies the defaults and
// validates the result. Unknown fields are errors.
func Decode(data []byte) (*Settings, error) {
	s := &Settings{
		Shards:      DefaultShards,
		DrainMillis: DefaultDrain,
		Connections: DefaultConnections,
		Level:       DefaultLevel,
	}
	if err := model.DecodeStrict(data, s); err != nil {
		return nil, err
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return s, nil
}

// Check validates the settings and returns an error for the first invalid field.
func (s *Settings) Check() error {
	checks := []func() error{s.checkLocation, s.checkAddresses, s.checkOperators, s.checkNumbers, s.checkMachine}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkLocation() error {
	required := []struct{ name, value string }{
		{"host", string(s.Host)},
		{"region", string(s.Region)},
		{"domain", string(s.Domain)},
		{"cell", string(s.Cell)},
	}
	for _, r := range required {
		if r.value == "" {
			return fault.Invalid(r.name, "is missing", "set it to this host's "+r.name)
		}
	}
	for _, r := range s.Regions {
		if r == s.Region {
			return nil
		}
	}
	return fault.Invalid("regions", fmt.Sprintf("does not contain %q", s.Region), "list all regions of the fleet, this host's included")
}

func (s *Settings) checkAddresses() error {
	u, err := url.Parse(s.Platform)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return fault.Invalid("platform", fmt.Sprintf("%q is not an http URL", s.Platform), "write it as http://10.0.0.1:7000")
	}
	addresses := []struct{ name, value string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.peers", s.Listen.Peers},
		{"listen.admin", s.Listen.Admin},
	}
	for i, p := range s.Peers {
		addresses = append(addresses, struct{ name, value string }{fmt.Sprintf("peers[%d]", i), p})
	}
	for _, a := range addresses {
		host, _, err := net.SplitHostPort(a.value)
		if err != nil || net.ParseIP(host) == nil {
			return fault.Invalid(a.name, fmt.Sprintf("%q is not an IP address and port", a.value), "write it as 10.0.0.1:8080")
		}
	}
	return nil
}

func (s *Settings) checkOperators() error {
	if len(s.Operators) == 0 {
		return fault.Invalid("operators", "is empty", "add the digest that `rhubarbdrift key` prints for a credential")
	}
	for i, o := range s.Operators {
		if o.Name == "" || !o.Digest.Valid() {
			return fault.Invalid(fmt.Sprintf("operators[%d]", i), "needs a name and a SHA-256 digest", "run `rhubarbdrift key` and copy the digest")
		}
	}
	return nil
}

func (s *Settings) checkNumbers() error {
	if s.Shards < 1 || s.Shards > maxShards {
		return fault.Invalid("shards", fmt.Sprintf("must be between 1 and %d", maxShards), "remove the field for the default; all daemons need the same value")
	}
	if s.DrainMillis < 0 || s.DrainMillis > maxDrain {
		return fault.Invalid("drain", fmt.Sprintf("must be between 0 and %d ms", maxDrain), "remove the field for the default")
	}
	if s.Connections < 1 {
		return fault.Invalid("connections", "must be at least 1", "remove the field for the default")
	}
	if s.Queue.Customer < 0 || s.Queue.Pool < 0 {
		return fault.Invalid("queue", "has a negative length", "remove the field for the default")
	}
	if _, err := zerolog.ParseLevel(s.Level); err != nil || s.Level == "" {
		return fault.Invalid("level", fmt.Sprintf("%q is unknown", s.Level), "use debug, info, warn or error")
	}
	return nil
}

// checkMachine checks the limits of the machine; 0 stands for those of the system.
func (s *Settings) checkMachine() error {
	if s.MemoryMB != 0 && s.MemoryMB < minMemoryMB {
		return fault.Invalid("memoryMb", fmt.Sprintf("must be at least %d", minMemoryMB), "remove the field for the memory of the system")
	}
	if s.Descriptors != 0 && s.Descriptors < minDescriptors {
		return fault.Invalid("maxFds", fmt.Sprintf("must be at least %d", minDescriptors), "remove the field for the limit of the system")
	}
	return nil
}

// DrainTime returns the time that a planned stop waits for the load balancer to
// stop sending new connections.
func (s *Settings) DrainTime() time.Duration { return s.DrainMillis.Duration() }
