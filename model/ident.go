package model

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HostID identifies an entry host. It stays the same when the host's daemon restarts.
type HostID string

// Incarnation identifies one run of a daemon on its host.
type Incarnation string

// Region names a region, which contains one or more failure domains.
type Region string

// Domain names a failure domain.
type Domain string

// CellName names a cell: the hosts of one region that send heartbeats to each other.
type CellName string

// CustomerID identifies a customer.
type CustomerID string

// KeyID identifies one key of a customer. Unlike the key, it is not secret.
type KeyID string

// RouteID identifies a route.
type RouteID string

// PoolID identifies a pool of targets.
type PoolID string

// TargetID identifies a target, uniquely within the fleet.
type TargetID string

// Digest is the lower-case hexadecimal SHA-256 digest of a key or a value.
type Digest string

// Rate is a number of requests per second.
type Rate float64

// Burst is a number of requests that may be admitted at once.
type Burst float64

// Slots is a number of concurrent requests.
type Slots int

// Share is a fraction between 0 and 1.
type Share float64

// Cores is CPU capacity in cores.
type Cores float64

// Millis is a duration in milliseconds.
type Millis int64

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// ConfigVersion is the version number of a committed configuration. It increases
// with each change; 0 means that there is none yet.
type ConfigVersion uint64

// WarmUpPeriod is the time after its start in which a daemon counts as new to the mesh
// and to the customers' limits. It reads the list of daemons and joins the mesh in
// this time, which takes under a second.
const WarmUpPeriod = 2 * time.Second

// Clock returns the current time with its monotonic reading. Tests replace it to
// simulate clocks that drift or pause.
type Clock func() time.Time

// Shard is the number of a group of customers, counted from 0. In each region one
// daemon owns the limits of a shard.
type Shard int

// String returns the decimal form, which is used in object names.
func (s Shard) String() string { return strconv.Itoa(int(s)) }

// ShardOf returns the shard of a customer, from 0 to count-1. Its hash does not
// depend on the host, so all daemons with the same count agree.
func ShardOf(id CustomerID, count int) Shard {
	return Shard(xxhash.Sum64String(string(id)) % uint64(count))
}

// RendezvousHash returns the rendezvous hash of a host for an item. The hash is the
// rank of the host: the live host with the lowest rank is preferred for the item, so
// that the loss of a host moves only the items that it served.
func RendezvousHash[H ~string](host H, item string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(item)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(host))
	return d.Sum64()
}
