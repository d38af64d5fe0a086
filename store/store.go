// Package store is the client of the platform's object API, which holds all
// state that must outlive a daemon: configuration, leases, cell rosters,
// region shares and claims.
//
// Objects have a kind, a name, a value of at most one megabyte and a version.
// Versions are numbered over all objects, so that a watch can resume after the
// last version that it saw. Put and Delete are conditional on the version that
// the caller read.
//
// # Usage
//
//	var s store.Store = store.NewClient("http://10.0.0.1:7000")
//	o, err := s.Get(ctx, store.KindLease, "north/3")
//	...
//	version, err := s.Put(ctx, store.KindLease, "north/3", value, o.Version)
//	switch {
//	case fault.Is(err, fault.Conflict): // somebody else wrote first
//	case fault.Is(err, fault.Unknown): // read the object to see whether the write took effect
//	case fault.Is(err, fault.Unavailable): // the write certainly had no effect
//	}
//
// Mem is an implementation in memory with fault switches. Tests use it
// directly and the stand-in server serves it over HTTP.
package store

import (
	"context"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// MaxValue is the largest value of an object in bytes.
const MaxValue = 1 << 20

// Kind groups objects. A list or a watch covers one kind.
type Kind string

// The kinds of objects that rhubarbdrift writes.
const (
	KindConf  Kind = "conf"
	KindChunk Kind = "chunk"
	KindAudit Kind = "audit"
	KindCell  Kind = "cell"
	KindLease Kind = "lease"
	KindShare Kind = "share"
	KindClaim Kind = "claim"
)

// Version numbers the writes of the platform. 0 means that an object does not exist.
type Version uint64

// Object is one stored value.
type Object struct {
	Kind    Kind    `json:"kind"`
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
}

// Event is one change that a watch reports.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Host is one entry of the platform's host list, which lags behind reality.
type Host struct {
	ID      model.HostID `json:"id"`
	Region  model.Region `json:"region"`
	Domain  model.Domain `json:"domain"`
	Address string       `json:"address"`
	Leaving bool         `json:"leaving,omitempty"`
}

// Store is the platform's object API.
//
// Errors have one of the kinds fault.Missing, fault.Conflict,
// fault.Unavailable (the call certainly had no effect), fault.Unknown (a write
// may have taken effect) and Compacted (list again, then watch).
type Store interface {
	// Get reads one object.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List reads all objects of a kind and the version at which to start a watch.
	List(ctx context.Context, kind Kind) ([]Object, Version, error)
	// Put writes an object if its version is match; 0 means that it must not exist.
	Put(ctx context.Context, kind Kind, name string, value []byte, match Version) (Version, error)
	// Delete removes an object if its version is match.
	Delete(ctx context.Context, kind Kind, name string, match Version) error
	// Watch waits for changes of a kind after a version. It may return no events
	// after some time; the returned version is the one to resume from.
	Watch(ctx context.Context, kind Kind, after Version) ([]Event, Version, error)
	// Hosts reads the lagging host list.
	Hosts(ctx context.Context) ([]Host, error)
}

// Compacted is the kind of a watch error: the versions asked for are gone.
const Compacted fault.Kind = "compacted"

// ErrMissing returns the error for an object that does not exist.
func ErrMissing(kind Kind, name string) error {
	return fault.New(fault.Missing, "object "+string(kind)+"/"+name+" does not exist", "check the name or create it")
}

// ErrConflict returns the error for a write whose version did not match.
func ErrConflict(kind Kind, name string) error {
	return fault.New(fault.Conflict, "object "+string(kind)+"/"+name+" was changed by another writer", "read it again and retry")
}

// ErrUnavailable returns the error for a call that had no effect.
func ErrUnavailable(cause string) error {
	return fault.New(fault.Unavailable, "the platform did not take the call: "+cause, "retry after a delay; check the platform's address and state")
}

// ErrUnknown returns the error for a write that may have taken effect.
func ErrUnknown(cause string) error {
	return fault.New(fault.Unknown, "the platform's answer to a write was lost: "+cause, "read the object to learn whether the write took effect")
}

// ErrCompacted returns the error for a watch from a version that is gone.
func ErrCompacted() error {
	return fault.New(Compacted, "the platform no longer has the changes since that version", "list the kind again and watch from the list's version")
}
