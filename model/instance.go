package model

// Instance is a running target as listed in a service registry, with the pool
// that it belongs to.
type Instance struct {
	Target
	Pool PoolID
	// Cold is the time for which the instance stays cold, counted from when its entry was
	// written, and 0 if it is warm. HasCold is set if the entry names it.
	Cold    Millis
	HasCold bool
	// Revision identifies the content of the entry. A different value means that the entry
	// was written again.
	Revision uint64
	// StartedAt is the start time of the instance in Unix milliseconds, 0 if unknown.
	// A different value under the same id means that the instance restarted.
	StartedAt int64
}

// SplitDestination is one destination of a route whose traffic is split. Weight is
// relative to the weights of the route's other destinations.
type SplitDestination struct {
	Pool   PoolID `json:"pool"   cbor:"1,keyasint"`
	Weight Weight `json:"weight" cbor:"2,keyasint"`
}
