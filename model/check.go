package model

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"rhubarbdrift.example/fault"
)

// digestLength is the number of hexadecimal digits of a SHA-256 digest.
const digestLength = 64

// unknownField is the prefix of the error that encoding/json returns for an
// unknown field, which has no type of its own.
const unknownField = "json: unknown field "

// DecodeIntent decodes an intent from JSON with comments and validates it.
func DecodeIntent(data []byte) (*Intent, error) {
	in := new(Intent)
	if err := DecodeStrict(data, in); err != nil {
		return nil, err
	}
	if err := in.Check(); err != nil {
		return nil, err
	}
	return in, nil
}

// DecodeStrict decodes JSON with comments into value. Unknown fields and
// trailing data are errors, with the line in the message.
func DecodeStrict(data []byte, value any) error {
	standardized, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return fault.Invalid("syntax", err.Error(), "correct the JSON; comments and trailing commas are allowed")
	}
	d := json.NewDecoder(bytes.NewReader(standardized))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		return decodeError(standardized, d.InputOffset(), err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fault.Invalid(lineOf(standardized, d.InputOffset()), "data after the end of the document", "remove it")
	}
	return nil
}

// decodeError converts an error of the JSON decoder into a fault.Invalid error that
// names the line. The offset applies to errors without a position of their own.
func decodeError(data []byte, offset int64, err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return fault.Invalid(fmt.Sprintf("%s, field %s", lineOf(data, typeError.Offset), typeError.Field),
			"found a "+typeError.Value, "give a value of type "+typeError.Type.String())
	}
	// The decoder reports an unknown field only after it has read the whole
	// value, so its offset is of no use. The line is that of the first
	// occurrence of the field's name.
	if name, ok := strings.CutPrefix(err.Error(), unknownField); ok {
		if i := bytes.Index(data, []byte(name)); i >= 0 {
			offset = int64(i)
		}
		return fault.Invalid(lineOf(data, offset), "unknown field "+name, "remove the field or correct its name")
	}
	return fault.Invalid(lineOf(data, offset), err.Error(), "correct the value")
}

// lineOf returns the number of the line at the offset, as "line 7".
func lineOf(data []byte, offset int64) string {
	if offset > int64(len(data)) {
		offset = int64(len(data))
	}
	return fmt.Sprintf("line %d", 1+bytes.Count(data[:offset], []byte("\n")))
}

// Check validates the intent and returns an error for the first invalid field.
func (in *Intent) Check() error {
	customers, err := in.checkCustomers()
	if err != nil {
		return err
	}
	pools, err := in.checkPools()
	if err != nil {
		return err
	}
	if err := in.checkRoutes(customers, pools); err != nil {
		return err
	}
	return in.checkEvacuated()
}

func (in *Intent) checkEvacuated() error {
	seen := make(map[Domain]bool, len(in.Evacuated))
	for _, d := range in.Evacuated {
		if d == "" {
			return fault.Invalid("evacuated failure domain", "is empty", "name the domain")
		}
		if seen[d] {
			return duplicate("evacuated failure domain", string(d))
		}
		seen[d] = true
	}
	return nil
}

func (in *Intent) checkCustomers() (map[CustomerID]bool, error) {
	seen := make(map[CustomerID]bool, len(in.Customers))
	digests := make(map[Digest]CustomerID)
	for i := range in.Customers {
		c := &in.Customers[i]
		if err := c.Check(); err != nil {
			return nil, err
		}
		if seen[c.ID] {
			return nil, duplicate("customer", string(c.ID))
		}
		seen[c.ID] = true
		for _, k := range c.Keys {
			if other, ok := digests[k.Digest]; ok {
				return nil, fault.Invalid(field("customer", string(c.ID), "keys"),
					fmt.Sprintf("key %s is also a key of customer %s", k.ID, other), "issue a new key")
			}
			digests[k.Digest] = c.ID
		}
	}
	return seen, nil
}

// Valid reports whether d has the form of a SHA-256 digest.
func (d Digest) Valid() bool {
	return len(d) == digestLength && strings.Trim(string(d), "0123456789abcdef") == ""
}

// Check validates the customer and returns an error for the first invalid field.
func (c *Customer) Check() error {
	if c.ID == "" {
		return fault.Invalid("customer id", "is empty", "give each customer an id")
	}
	if c.Rate <= 0 {
		return fault.Invalid(field("customer", string(c.ID), "rate"), "must be above 0 requests/s", "set a rate")
	}
	if c.Burst < 1 {
		return fault.Invalid(field("customer", string(c.ID), "burst"), "must be at least 1 request", "set a burst")
	}
	if len(c.Regions) > 0 {
		return regionsUnsupported("customer", string(c.ID))
	}
	for _, k := range c.Keys {
		if k.ID == "" || !k.Digest.Valid() {
			return fault.Invalid(field("customer", string(c.ID), "keys"),
				fmt.Sprintf("key %q has no id or no SHA-256 digest of %d hexadecimal digits", k.ID, digestLength),
				"give the digest that `rhubarbdrift key` prints, never the key")
		}
	}
	return nil
}

func (in *Intent) checkPools() (map[PoolID]bool, error) {
	seen := make(map[PoolID]bool, len(in.Pools))
	targets := make(map[TargetID]bool)
	for i := range in.Pools {
		p := &in.Pools[i]
		if p.ID == "" {
			return nil, fault.Invalid("pool id", "is empty", "give each pool an id")
		}
		if seen[p.ID] {
			return nil, duplicate("pool", string(p.ID))
		}
		seen[p.ID] = true
		if p.Floor < 0 || p.Floor > 1 {
			return nil, fault.Invalid(field("pool", string(p.ID), "floor"), "must be between 0 and 1", "give the share of slots to keep")
		}
		if err := p.checkCold(); err != nil {
			return nil, err
		}
		for _, t := range p.Targets {
			if err := t.Check(); err != nil {
				return nil, err
			}
			if targets[t.ID] {
				return nil, duplicate("target", string(t.ID))
			}
			targets[t.ID] = true
		}
	}
	return seen, nil
}

// checkCold validates the limit for cold targets. The comparisons of the rate are false for
// NaN.
func (p *Pool) checkCold() error {
	if p.WarmUp < 0 || p.WarmUp > MaxWarmUp {
		return fault.Invalid(field("pool", string(p.ID), "warm-up"), fmt.Sprintf("%d ms is not from 0 to %d", p.WarmUp, MaxWarmUp), "set the time for which a target is cold after its start")
	}
	if p.ColdRate != nil && !(*p.ColdRate >= 0 && *p.ColdRate <= MaxColdRate) {
		return fault.Invalid(field("pool", string(p.ID), "cold rate"), fmt.Sprintf("%v requests/s is not from 0 to %v", *p.ColdRate, MaxColdRate), "set the requests per second that a cold target can serve")
	}
	return nil
}

// Check validates the target and returns an error for the first invalid field.
func (t *Target) Check() error {
	if t.ID == "" {
		return fault.Invalid("target id", "is empty", "give each target an id")
	}
	if err := CheckAddress(field("target", string(t.ID), "address"), t.Address); err != nil {
		return err
	}
	if t.Slots < 1 || t.Slots > maxSlots {
		return fault.Invalid(field("target", string(t.ID), "slots"), fmt.Sprintf("must be from 1 to %d", maxSlots), "set the number of concurrent requests that the target serves")
	}
	if t.Connections < 0 {
		return fault.Invalid(field("target", string(t.ID), "connections"), "must not be negative", "remove the field or set a cap")
	}
	return nil
}

// maxSlots is above the number of slots of any target. Sums of slots stay far below the
// largest integer.
const maxSlots = 1 << 20

// maxStartedAt bounds the start of an instance, which lies between 1970 and 2200.
const maxStartedAt = 7_258_118_400_000

// MaxWarmUp is the longest time for which a target can be cold, and MaxColdRate the highest
// rate, in requests per second, that can be set for cold targets.
const (
	MaxWarmUp   Millis = 24 * 60 * 60 * 1000
	MaxColdRate Rate   = 1e6
)

// Check returns an error of package fault for a target that cannot be used, or whose
// numbers are outside of what calculations with them allow.
func (i *Instance) Check() error {
	if i.Cold < 0 || i.Cold > MaxWarmUp {
		return fault.Invalid(field("target", string(i.ID), "cold time"), fmt.Sprintf("%d ms is not from 0 to %d", i.Cold, MaxWarmUp), "correct the entry")
	}
	if i.StartedAt < 0 || i.StartedAt > maxStartedAt {
		return fault.Invalid(field("target", string(i.ID), "start time"), fmt.Sprintf("%d is not from 0 to %d", i.StartedAt, int64(maxStartedAt)), "correct the entry")
	}
	return i.Target.Check()
}

// CheckAddress returns an error for an address that is not an IP address and a port from 1
// to 65535.
func CheckAddress(what, address string) error {
	host, port, err := net.SplitHostPort(address)
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || net.ParseIP(host) == nil || portErr != nil || number == 0 {
		return fault.Invalid(what, fmt.Sprintf("%.80q is not an IP address and port", address), "write it as 10.0.0.1:8080")
	}
	return nil
}

func (in *Intent) checkRoutes(customers map[CustomerID]bool, pools map[PoolID]bool) error {
	seen := make(map[RouteID]bool, len(in.Routes))
	paths := make(map[string]RouteID)
	for i := range in.Routes {
		r := &in.Routes[i]
		if err := r.Check(); err != nil {
			return err
		}
		if seen[r.ID] {
			return duplicate("route", string(r.ID))
		}
		seen[r.ID] = true
		if other, ok := paths[r.Host+" "+r.Prefix]; ok {
			return fault.Invalid(field("route", string(r.ID), "prefix"), "route "+string(other)+" has the same host and prefix", "remove one of the two")
		}
		paths[r.Host+" "+r.Prefix] = r.ID
		if !pools[r.Pool] {
			return fault.Invalid(field("route", string(r.ID), "pool"), fmt.Sprintf("pool %q does not exist", r.Pool), "name one of the intent's pools")
		}
		for _, id := range r.Customers {
			if !customers[id] {
				return fault.Invalid(field("route", string(r.ID), "customers"), fmt.Sprintf("customer %q does not exist", id), "name customers of the intent")
			}
		}
	}
	return nil
}

// Check validates the route on its own and returns an error for the first
// invalid field. Intent.Check validates its references to pools and customers.
func (r *Route) Check() error {
	if r.ID == "" {
		return fault.Invalid("route id", "is empty", "give each route an id")
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		return fault.Invalid(field("route", string(r.ID), "prefix"), "must start with /", "write the path prefix as /orders")
	}
	switch r.Repeat {
	case "", RepeatSafe, RepeatAlways, RepeatNever:
	default:
		return fault.Invalid(field("route", string(r.ID), "repeat"), fmt.Sprintf("%q is unknown", r.Repeat), "use safe, always or never")
	}
	switch r.Outage {
	case "", OutageRefuse, OutageForward:
	default:
		return fault.Invalid(field("route", string(r.ID), "outage"), fmt.Sprintf("%q is unknown", r.Outage), "use refuse or forward")
	}
	for _, d := range r.Split {
		if err := d.Weight.Check(); err != nil {
			return fault.Wrap(fault.KindInvalid, err, field("route", string(r.ID), "split"), "write proportions such as 90 and 10")
		}
	}
	if r.Deadline < 0 || r.MaxBodyBytes < 0 {
		return fault.Invalid(field("route", string(r.ID), "deadline or body"), "must not be negative", "remove the field for the default")
	}
	if len(r.Regions) > 0 {
		return regionsUnsupported("route", string(r.ID))
	}
	return nil
}

// regionsUnsupported returns the error for allowed regions in an intent that an operator
// plans. Package gate doesn't apply them, and a restriction without effect must not be
// accepted.
func regionsUnsupported(kind, id string) error {
	return fault.Invalid(field(kind, id, "regions"), "are not supported by the daemon", "remove the field")
}

// field returns the name of a field for an error, as "customer depots: rate".
func field(kind, id, name string) string { return kind + " " + id + ": " + name }

func duplicate(kind, id string) error {
	return fault.Invalid(kind+" "+id, "appears twice", "remove one of the two")
}
