package model

import (
	"crypto/sha256"
	"encoding/hex"
)

// RepeatRule is a route's retry policy: which requests may be sent to a target again.
type RepeatRule string

// The values of RepeatRule.
const (
	// RepeatSafe allows GET, HEAD and OPTIONS to be repeated. It is the default.
	RepeatSafe RepeatRule = "safe"
	// RepeatAlways allows every request to be repeated.
	RepeatAlways RepeatRule = "always"
	// RepeatNever allows no request to be repeated.
	RepeatNever RepeatRule = "never"
)

// OutageRule is a route's policy for requests that may not be repeated while the
// platform is unavailable and cannot record their claims.
type OutageRule string

// The values of OutageRule.
const (
	// OutageRefuse refuses the request, which then has not run. It is the default.
	OutageRefuse OutageRule = "refuse"
	// OutageForward sends the request without a claim, which gives up the
	// guarantee that it runs at most once.
	OutageForward OutageRule = "forward"
)

// Key is one credential of a customer. Only its digest is stored.
type Key struct {
	ID     KeyID  `json:"id"     cbor:"1,keyasint"`
	Digest Digest `json:"digest" cbor:"2,keyasint"`
}

// DigestOf returns the SHA-256 digest of a key or of any other value.
func DigestOf(value []byte) Digest {
	sum := sha256.Sum256(value)
	var text [2 * sha256.Size]byte // on the stack, since a digest is computed per request
	hex.Encode(text[:], sum[:])
	return Digest(text[:])
}

// Customer is a tenant. Its keys identify its requests, which share one rate limit and
// one scheduling weight.
type Customer struct {
	ID     CustomerID `json:"id"               cbor:"1,keyasint"`
	Rate   Rate       `json:"rate"             cbor:"2,keyasint"`           // requests per second over the fleet
	Burst  Burst      `json:"burst"            cbor:"3,keyasint"`           // requests over the fleet
	Weight int        `json:"weight,omitempty" cbor:"4,keyasint,omitempty"` // relative share of a pool's slots; below 1 counts as 1
	Keys   []Key      `json:"keys,omitempty"   cbor:"5,keyasint,omitempty"`
	Rank   *int       `json:"rank,omitempty"   cbor:"6,keyasint,omitempty"` // overrides the route's rank
	// Regions are the only regions in which the customer's requests may be served; empty: all.
	Regions []Region `json:"regions,omitempty" cbor:"7,keyasint,omitempty"`
}

// Route maps requests to a pool by host and path prefix, and sets their policies.
type Route struct {
	ID           RouteID            `json:"id"                  cbor:"1,keyasint"`
	Host         string             `json:"host,omitempty"      cbor:"2,keyasint,omitempty"` // empty: any
	Prefix       string             `json:"prefix"              cbor:"3,keyasint"`
	Pool         PoolID             `json:"pool"                cbor:"4,keyasint"`
	Open         bool               `json:"open,omitempty"      cbor:"5,keyasint,omitempty"`  // no key needed
	Customers    []CustomerID       `json:"customers,omitempty" cbor:"6,keyasint,omitempty"`  // empty: all customers
	Repeat       RepeatRule         `json:"repeat,omitempty"    cbor:"7,keyasint,omitempty"`  // default: safe
	Outage       OutageRule         `json:"outage,omitempty"    cbor:"8,keyasint,omitempty"`  // default: refuse
	Deadline     Millis             `json:"deadline,omitempty"  cbor:"9,keyasint,omitempty"`  // default: DefaultDeadline
	MaxBodyBytes int                `json:"body,omitempty"      cbor:"10,keyasint,omitempty"` // largest request body in bytes; default: DefaultMaxBody
	Objective    Millis             `json:"objective,omitempty" cbor:"11,keyasint,omitempty"` // longest latency at which an answer still has its full value to the caller; 0: none set
	Rank         int                `json:"rank,omitempty"      cbor:"12,keyasint,omitempty"` // 0 is the most urgent
	Attempts     int                `json:"attempts,omitempty"  cbor:"13,keyasint,omitempty"` // number of targets that one request may be sent to; 0: no limit by the route
	Split        []SplitDestination `json:"split,omitempty"     cbor:"14,keyasint,omitempty"` // distributes the requests over several pools; Pool is used only if the weights add up to 0
	// Regions are the only regions in which requests of the route may be served; empty: all.
	Regions []Region `json:"regions,omitempty" cbor:"15,keyasint,omitempty"`
}

// DefaultDeadline is the time, in milliseconds, that a request may take on a route
// without a deadline.
const DefaultDeadline Millis = 30_000

// DefaultMaxBody is the largest request body, in bytes, on a route without MaxBodyBytes.
const DefaultMaxBody = 1 << 20

// Timeout returns the time that a request of the route may take: the route's
// deadline, or DefaultDeadline.
func (r *Route) Timeout() Millis {
	if r.Deadline > 0 {
		return r.Deadline
	}
	return DefaultDeadline
}

// MaxBody returns the largest request body of the route, in bytes.
func (r *Route) MaxBody() int {
	if r.MaxBodyBytes > 0 {
		return r.MaxBodyBytes
	}
	return DefaultMaxBody
}

// Repeatable reports whether a request with the given HTTP method may be sent to
// a target again.
func (r *Route) Repeatable(method string) bool {
	switch r.Repeat {
	case RepeatAlways:
		return true
	case RepeatNever:
		return false
	default:
		return method == "GET" || method == "HEAD" || method == "OPTIONS"
	}
}

// Allows reports whether the customer may use the route.
func (r *Route) Allows(id CustomerID) bool {
	if len(r.Customers) == 0 {
		return true
	}
	for _, c := range r.Customers {
		if c == id {
			return true
		}
	}
	return false
}

// Target is one instance of a service.
type Target struct {
	ID          TargetID `json:"id"                    cbor:"1,keyasint"`
	Address     string   `json:"address"               cbor:"2,keyasint"` // IP address and port
	Region      Region   `json:"region"                cbor:"3,keyasint"`
	Domain      Domain   `json:"domain"                cbor:"4,keyasint"`
	Slots       Slots    `json:"slots"                 cbor:"5,keyasint"`
	Connections int      `json:"connections,omitempty" cbor:"6,keyasint,omitempty"` // largest number over all daemons; 0: no limit
	Leaving     bool     `json:"leaving,omitempty"     cbor:"7,keyasint,omitempty"` // receives no new requests
}

// Pool is a set of interchangeable targets, any of which can serve a request.
type Pool struct {
	ID      PoolID   `json:"id"              cbor:"1,keyasint"`
	Floor   Share    `json:"floor"           cbor:"2,keyasint"`           // smallest share of the pool's slots that ejection leaves in service
	Probe   string   `json:"probe,omitempty" cbor:"3,keyasint,omitempty"` // path of the targets' health endpoint; empty: ejected targets are not probed
	Targets []Target `json:"targets"         cbor:"4,keyasint"`
	// WarmUp and ColdRate are known on platforms that list their targets; a daemon's own
	// configuration has no such fields. WarmUp is the time for which a target is cold after
	// a start if its entry does not say so.
	WarmUp Millis `json:"-" cbor:"-"`
	// ColdRate is the limit for a cold target, in requests per second of all daemons
	// together. Nil means that there is none.
	ColdRate *Rate `json:"-" cbor:"-"`
}

// Slots returns the total slots of the pool's targets.
func (p *Pool) Slots() Slots {
	var sum Slots
	for _, t := range p.Targets {
		sum += t.Slots
	}
	return sum
}

// Intent is the complete configuration as operators requested it.
type Intent struct {
	Customers []Customer `json:"customers"`
	Routes    []Route    `json:"routes"`
	Pools     []Pool     `json:"pools"`
	// Evacuated are the failure domains whose targets get no requests.
	Evacuated []Domain `json:"evacuated,omitempty"`
}
