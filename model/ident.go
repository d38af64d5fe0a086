package model

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HostID names one entry host. It stays the same when the host's daemon restarts.
type HostID string

// Incarnation identifies one run of a daemon on its host.
type Incarnation string

// Region names a region, which holds one or more failure domains.
type Region string

// Domain names a failure domain.
type Domain string

// CellName names a cell: the hosts of one region that send heartbeats to each other.
type CellName string

// CustomerID names a customer.
type CustomerID string

// KeyID names one key of a customer. It is not secret, unlike the key.
type KeyID string

// RouteID names a route.
type RouteID string

// PoolID names a target pool.
type PoolID string

// TargetID names one target within the fleet.
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

// Cores is processor capacity, in processor cores.
type Cores float64

// Millis is a duration in milliseconds.
type Millis int64

// Duration converts to the standard library's unit.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// ConfigVersion numbers the accepted states of the configuration. It only increases.
type ConfigVersion uint64

// Settling is the time in which a new daemon gets to know the others: their list
// and a place among them, which takes under a second.
const Settling = 2 * time.Second

// Clock reads the current time, including its monotonic reading. Tests replace
// it to let clocks drift or pause.
type Clock func() time.Time

// Shard numbers a group of customers whose limits have one owner per region.
type Shard int

// String returns the decimal form that object names use.
func (s Shard) String() string { return strconv.Itoa(int(s)) }

// ShardOf returns the shard of a customer among count shards.
func ShardOf(id CustomerID, count int) Shard {
	return Shard(xxhash.Sum64String(string(id)) % uint64(count))
}

// Rank returns the rendezvous hash of a host for an item. Of several live
// hosts the one with the lowest rank is preferred, so that the loss of one
// host moves only the items that it served.
func Rank[H ~string](host H, item string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(item)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(host))
	return d.Sum64()
}
