package conf

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"rhubarbdrift.example/fault"
	"rhubarbdrift.example/model"
	"rhubarbdrift.example/store"
)

// RootName is the name of the root object within store.KindConf.
const RootName = "root"

// recentChanges is the number of earlier change ids that a root keeps. After a lost
// answer, Commit finds its change among them even if others have committed since.
const recentChanges = 16

// Root lists the objects that make up one version of the configuration.
type Root struct {
	Version model.ConfigVersion     `json:"version"          cbor:"1,keyasint"`
	Chunks  map[string]model.Digest `json:"chunks"           cbor:"2,keyasint"`           // chunk name -> digest
	Audit   model.Digest            `json:"audit"            cbor:"3,keyasint"`           // newest audit record
	Change  string                  `json:"change"           cbor:"4,keyasint"`           // id of the change that created this version
	Recent  []string                `json:"recent,omitempty" cbor:"5,keyasint,omitempty"` // ids of the changes before, newest first
}

// Check returns an error of kind fault.KindInvalid for the first mistake in the root.
func (r *Root) Check() error {
	if r.Version == 0 {
		return fault.Invalid("root version", "is 0", "number versions from 1")
	}
	if r.Change == "" {
		return fault.Invalid("root change", "is empty", "give each change an id")
	}
	if !r.Audit.Valid() {
		return fault.Invalid("root audit", "is not a SHA-256 digest", "give the digest of the audit record")
	}
	if len(r.Recent) > recentChanges {
		return fault.Invalid("root recent", fmt.Sprintf("has more than %d entries", recentChanges), "keep the newest ones")
	}
	for name, d := range r.Chunks {
		if _, ok := groupOf(name); !ok {
			return fault.Invalid("root chunks", fmt.Sprintf("name %q is unknown", name), "use the names that Build makes")
		}
		if !d.Valid() {
			return fault.Invalid("root chunks", "chunk "+name+" has no SHA-256 digest", "give the digest of the chunk")
		}
	}
	return nil
}

// Includes reports whether the change created this root or is one of the last
// recentChanges changes before it.
func (r *Root) Includes(change string) bool {
	return r.Change == change || slices.Contains(r.Recent, change)
}

// EncodeRoot returns the root's CBOR form, the value of the root object.
func EncodeRoot(r *Root) ([]byte, error) { return encoder.Marshal(r) }

// DecodeRoot decodes and checks the value of the root object. Errors have kind
// fault.KindInvalid.
func DecodeRoot(data []byte) (Root, error) {
	var r Root
	if err := decoder.Unmarshal(data, &r); err != nil {
		return Root{}, fault.Wrap(fault.KindInvalid, err, "the configuration root does not decode", "commit a configuration with this version of rhubarbdrift")
	}
	if err := r.Check(); err != nil {
		return Root{}, err
	}
	return r, nil
}

// maxChunkBytes is the largest encoded chunk. It leaves room for the envelope of a
// message below the platform's limit.
const maxChunkBytes = store.MaxValue - 4096

// The encoding is deterministic, so that equal contents have equal digests and
// unchanged chunks are neither written nor fetched again.
var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}
