package origin

import (
	"bytes"
	"crypto/sha256"
	"io"
	"math/rand/v2"
)

// MaxSize is the largest response body in bytes.
const MaxSize = 64 << 20

// chunk is the number of bytes that are written or compared at once.
const chunk = 32 << 10

// Content returns the endless byte sequence of a request id. A response body
// is its beginning, so that a checker can tell whether a response is whole
// and belongs to its own request.
func Content(id string) io.Reader {
	return rand.NewChaCha8(sha256.Sum256([]byte(id)))
}

// Matches reports whether body is the beginning of the content of the request id.
func Matches(id string, body []byte) bool {
	r := Content(id)
	want := make([]byte, min(len(body), chunk))
	for len(body) > 0 {
		n := min(len(body), len(want))
		_, _ = io.ReadFull(r, want[:n])
		if !bytes.Equal(body[:n], want[:n]) {
			return false
		}
		body = body[n:]
	}
	return true
}
