package wire

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"rhubarbdrift.example/fault"
)

// kindTrailer is the trailer with the fault kind of a handler's error. An error
// without this trailer comes from the transport.
const kindTrailer = "fault-kind"

var grpcCodes = map[fault.Kind]codes.Code{
	fault.KindInvalid:     codes.InvalidArgument,
	fault.KindConflict:    codes.Aborted,
	fault.KindMissing:     codes.NotFound,
	fault.KindUnavailable: codes.Unavailable,
	fault.KindUnknown:     codes.Unknown,
	fault.KindDenied:      codes.PermissionDenied,
	fault.KindLimited:     codes.ResourceExhausted,
	fault.KindTimeout:     codes.DeadlineExceeded,
}

// toStatus converts a handler's error to a gRPC status and sets kindTrailer.
func toStatus(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	kind := fault.KindOf(err)
	if kind == "" {
		kind = fault.KindUnknown
	}
	if err := grpc.SetTrailer(ctx, metadata.Pairs(kindTrailer, string(kind))); err != nil {
		return status.Error(codes.Internal, err.Error())
	}
	code, ok := grpcCodes[kind]
	if !ok {
		code = codes.Unknown
	}
	return status.Error(code, err.Error())
}

// remoteError returns a handler's error for the caller. The message from the
// other host already contains the remedy.
func remoteError(method, kind string, err error) error {
	return fault.New(fault.Kind(kind), method+": "+status.Convert(err).Message(), "see the message of the other host")
}

// fromStatus converts the error of a call to a fault. Sent is true if the request
// may have reached the other host.
func fromStatus(method string, err error, trailer metadata.MD, sent bool) error {
	if err == nil {
		return nil
	}
	if kinds := trailer.Get(kindTrailer); len(kinds) == 1 {
		return remoteError(method, kinds[0], err)
	}
	message := fmt.Sprintf("%s: %s", method, status.Convert(err).Message())
	switch status.Code(err) {
	case codes.Unimplemented:
		return fault.New(fault.KindMissing, message, "run a version of rhubarbdrift that has this method on all hosts")
	case codes.ResourceExhausted, codes.Internal, codes.InvalidArgument: // a message is too large, or cannot be encoded or decoded
		return fault.New(fault.KindInvalid, message, "run compatible versions of rhubarbdrift on all hosts")
	}
	if sent {
		return fault.New(fault.KindUnknown, message, "the call may have run; ask the other host before repeating it")
	}
	return fault.New(fault.KindUnavailable, message, "the call was not sent; check the other host and retry")
}

// isTimeout reports whether a call failed because a deadline passed. This includes
// errors of handlers with the kind fault.KindTimeout.
func isTimeout(err error) bool {
	return status.Code(err) == codes.DeadlineExceeded || errors.Is(err, context.DeadlineExceeded)
}
