package model

// Instance is a running target as a registry lists it, with the pool that it
// serves.
type Instance struct {
	Target
	Pool PoolID
	// Cold is how much longer the instance stays slow after its start.
	Cold Millis
	// Born is the start of the instance in Unix milliseconds, 0 if unknown. An
	// instance that starts again under its id has another one.
	Born int64
}

// Part is one part of a route's traffic.
type Part struct {
	Pool   PoolID `json:"pool"   cbor:"1,keyasint"`
	Weight int    `json:"weight" cbor:"2,keyasint"`
}
