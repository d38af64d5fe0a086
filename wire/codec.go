package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/mem"

	"rhubarbdrift.example/fault"
)

// MaxMessage is the maximum size of a message in bytes. It leaves room for one
// object of the platform and its envelope.
const MaxMessage = 2 << 20

const (
	maxNested = 16      // nesting levels
	maxItems  = 1 << 17 // array elements or map pairs
)

// Checker is a message that validates itself after decoding.
type Checker interface {
	Check() error
}

// codec implements gRPC's encoding.CodecV2 with CBOR.
type codec struct{ decode cbor.DecMode }

var _ encoding.CodecV2 = codec{}

func newCodec() codec {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF, // a duplicate key is an error
		MaxNestedLevels:  maxNested,
		MaxArrayElements: maxItems,
		MaxMapPairs:      maxItems,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return codec{decode: m}
}

// Name returns the gRPC content subtype of the messages.
func (codec) Name() string { return "cbor" }

// Marshal encodes a message.
func (codec) Marshal(v any) (mem.BufferSlice, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return mem.BufferSlice{mem.SliceBuffer(data)}, nil
}

// Unmarshal decodes a message and, if it is a Checker, calls its Check method.
func (c codec) Unmarshal(data mem.BufferSlice, v any) error {
	if err := c.decode.Unmarshal(data.Materialize(), v); err != nil {
		return fault.Wrap(fault.KindInvalid, err, fmt.Sprintf("message %T does not decode", v), "run compatible versions of rhubarbdrift on all hosts")
	}
	if m, ok := v.(Checker); ok {
		return m.Check()
	}
	return nil
}
