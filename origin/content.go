package origin

import (
	"bytes"
	"crypto/sha256"
	"io"
	"math/rand/v2"
)

// MaxSize is the largest size of a response body in bytes.
const MaxSize = 64 << 20

// chunkSize is the largest number of bytes that Matches compares at once.
const chunkSize = 32 << 10

// Content returns an endless pseudo-random byte stream seeded with the request
// id. The body of a response is a prefix of it, so that a client can check that
// the response is complete and belongs to its own request.
func Content(id string) io.Reader {
	return rand.NewChaCha8(sha256.Sum256([]byte(id)))
}

// Matches reports whether body is a prefix of the content of the request id.
func Matches(id string, body []byte) bool {
	r := Content(id)
	want := make([]byte, min(len(body), chunkSize))
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
