// Package store is the client of the platform's object API. The platform stores
// all state that must outlive a daemon: configuration, leases, cell rosters,
// region shares and claims.
//
// Objects have a kind, a name, a value of at most 1 MiB and a version. All objects
// share one sequence of versions, so that a watch can resume after the last
// version that it returned. Put and Delete are conditional on the version that
// the caller read. If the store comes back from an older copy of itself, a new Era
// begins; see Version.
//
// # Usage
//
//	var s store.Store = store.NewClient("http://10.0.0.1:7000")
//	o, err := s.Get(ctx, store.KindLease, "north/3")
//	...
//	version, err := s.Put(ctx, store.KindLease, "north/3", value, o.Version)
//	switch {
//	case fault.Is(err, fault.KindConflict): // another writer changed the object first
//	case fault.Is(err, fault.KindUnknown): // read the object to see whether the write took effect
//	case fault.Is(err, fault.KindUnavailable): // the write certainly had no effect
//	}
//
// Mem is an implementation in memory with fault injection. Tests use it directly;
// the stand-in server of the platform serves it over HTTP.
package store

import (
	"context"
	"errors"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
)

// MaxValue is the maximum size of an object's value in bytes.
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

// Version orders the states of the platform's store: first by its Era, then by the revision, the
// sequence number of a write in that era. It orders what the store said, and never what is newer
// in the sense of the content. As the version of an object, 0 means that it does not exist.
//
// A version of an earlier era is no condition of a write, and no watch continues from it, even if
// the store has given out its revision again.
type Version uint64

// Object is one stored value.
type Object struct {
	Kind    Kind    `json:"kind"`
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
	// Problem says why the object could not be read; it then has no value. The name is
	// empty if that could not be read either, and may be longer than MaxName.
	Problem string `json:"-" cbor:"problem,omitempty"`
}

// Event is one change of an object that a watch returns.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Host is one entry of the platform's host list, which may lag behind the actual
// state of the host.
type Host struct {
	ID      model.HostID `json:"id"`
	Region  model.Region `json:"region"`
	Domain  model.Domain `json:"domain"`
	Address string       `json:"address"`
	Leaving bool         `json:"leaving,omitempty"`
}

// Check returns an error of package fault for an entry without an id, or with an address
// that cannot be used. An entry may have no address.
func (h *Host) Check() error {
	if h.ID == "" || len(h.ID) > MaxName {
		return fault.Invalid("host list", "the id of an entry is empty or too long", "correct the entry")
	}
	if h.Address == "" {
		return nil
	}
	return model.CheckAddress("host "+string(h.ID), h.Address)
}

// Store is the platform's object API.
//
// Errors have one of the kinds fault.KindInvalid (the platform rejects the
// arguments), fault.KindMissing, fault.KindConflict, fault.KindUnavailable (the call
// certainly had no effect), fault.KindUnknown (a write may have taken effect) and
// KindCompacted (the caller must list again and then watch).
type Store interface {
	// Get reads one object.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List reads all objects of a kind. It also returns the version from which to
	// watch for later changes.
	List(ctx context.Context, kind Kind) ([]Object, Version, error)
	// ListPage reads the objects of a kind whose names follow a name, in the order of
	// names, as many as the platform returns at once.
	ListPage(ctx context.Context, kind Kind, after string) (Listing, error)
	// Put writes an object if its version is match and returns the new version. A
	// match of 0 means that the object must not exist.
	Put(ctx context.Context, kind Kind, name string, value []byte, match Version) (Version, error)
	// Delete removes an object if its version is match.
	Delete(ctx context.Context, kind Kind, name string, match Version) error
	// Watch waits for changes of a kind after a version. It returns the events and
	// the version to resume from. After some time without changes it returns no
	// events and no error.
	Watch(ctx context.Context, kind Kind, after Version) ([]Event, Version, error)
	// Hosts reads the host list, which may lag behind reality.
	Hosts(ctx context.Context) ([]Host, error)
}

// KindCompacted is the kind of the error of a watch from a version whose following
// changes the platform no longer has.
const KindCompacted fault.Kind = "compacted"

// ErrMissing returns the error for an object that does not exist.
func ErrMissing(kind Kind, name string) error {
	return fault.New(fault.KindMissing, "object "+string(kind)+"/"+name+" does not exist", "check the name or create it")
}

// ErrConflict returns the error for a write whose version did not match.
func ErrConflict(kind Kind, name string) error {
	return fault.New(fault.KindConflict, "object "+string(kind)+"/"+name+" was changed by another writer", "read it again and retry")
}

// ErrUnavailable returns the error for a call that certainly had no effect.
func ErrUnavailable(cause string) error {
	return fault.New(fault.KindUnavailable, "the platform did not take the call: "+cause, "retry after a delay; check the platform's address and state")
}

// ErrUnknown returns the error for a write that may have taken effect.
func ErrUnknown(cause string) error {
	return fault.New(fault.KindUnknown, "the platform's answer to a write was lost: "+cause, "read the object to learn whether the write took effect")
}

// ErrRestored is wrapped by an error of KindCompacted if the reason is a new Era.
var ErrRestored = errors.New("the store came back from an older copy")

// errRestored returns the error for a watch from a version of an earlier era.
func errRestored() error {
	return fault.Wrap(KindCompacted, ErrRestored, "the platform no longer has that version", "list the kind again and watch from the list's version")
}

// ErrCompacted returns the error for a watch from a version whose following
// changes the platform no longer has.
func ErrCompacted() error {
	return fault.New(KindCompacted, "the platform no longer has the changes since that version", "list the kind again and watch from the list's version")
}
