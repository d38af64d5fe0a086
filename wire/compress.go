package wire

import (
	"compress/flate"
	"context"
	"slices"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"
)

// Sizer is an answer that tells whether it is large. Large answers are compressed if the
// caller can decompress them.
type Sizer interface {
	Large() bool
}

// The error is nil for every valid level.
var _ = gzip.SetLevel(flate.BestSpeed)

// compressIfLarge makes the server compress the answer of the call. Without success the
// answer is sent as it is.
func compressIfLarge(ctx context.Context, answer any) {
	if s, ok := answer.(Sizer); !ok || !s.Large() {
		return
	}
	if names, err := grpc.ClientSupportedCompressors(ctx); err == nil && slices.Contains(names, gzip.Name) {
		_ = grpc.SetSendCompressor(ctx, gzip.Name)
	}
}
