// Package flood provides stand-in servers that never end what they send, for tests of
// clients, which must stay within their memory and time whatever they are sent.
//
// # Usage
//
//	s, err := flood.Listen(flood.Trailers, flood.WithEcho("Request"), flood.WithHeader("Signature", "s"))
//	defer s.Close()
//	... // send requests to s.Address()
//
// A server reads one request on each connection and answers it with its Kind until the
// client closes the connection. Where only a part of the answers of another server is to have
// no end, Kind.Write writes one answer to a connection.
package flood

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"rhubarbdrift.example/canned"
)

// Kind is the part of an answer that has no end.
type Kind string

// The kinds of answers without end.
const (
	Garbage   Kind = "garbage"   // bytes that are no answer
	Status    Kind = "status"    // the status line
	Field     Kind = "field"     // one header
	Fields    Kind = "fields"    // the number of headers
	Interim   Kind = "interim"   // informational responses before the answer
	Length    Kind = "length"    // the announced length
	Chunk     Kind = "chunk"     // the announced size of one chunk
	Size      Kind = "size"      // the digits of a chunk's size
	Extension Kind = "extension" // the extension of a chunk
	Trailers  Kind = "trailers"  // the number of trailers
	Encoded   Kind = "encoded"   // a body that claims to be compressed
	Extra     Kind = "extra"     // bytes after a whole answer
	Close     Kind = "close"     // a body that ends with the connection
	Chunks    Kind = "chunks"    // the number of large chunks
	Tiny      Kind = "tiny"      // the number of chunks of one byte
	SlowClose Kind = "slowclose" // Close, at a pace of 3 MB/s
	SlowParts Kind = "slowparts" // Chunks, at a pace of 3 MB/s
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{
		Garbage, Status, Field, Fields, Interim, Length, Chunk, Size, Extension, Trailers, Encoded, Extra,
		Close, Chunks, Tiny, SlowClose, SlowParts,
	}
}

const (
	// partBytes is about the size of one write.
	partBytes = 64 << 10
	// pause is the time between two writes of the slow kinds.
	pause = 20 * time.Millisecond
	// writeTimeout ends a connection whose client neither reads nor closes it.
	writeTimeout = 30 * time.Second

	chunked = "Transfer-Encoding: chunked\r\n\r\n"
	filler  = "x"
)

// answer is the beginning of an answer and what is repeated after it.
type answer struct {
	head          bool // the status line and the header precede the beginning
	begin, repeat string
	pause         time.Duration // between two writes
}

var (
	field      = "Filler: x\r\n"
	largeChunk = fmt.Sprintf("%x\r\n%s\r\n", partBytes, strings.Repeat(filler, partBytes))
)

var answers = map[Kind]answer{
	Garbage:   {repeat: filler},
	Status:    {begin: "HTTP/1.1 200 OK", repeat: filler},
	Field:     {head: true, begin: "Filler: ", repeat: filler},
	Fields:    {head: true, repeat: field},
	Interim:   {repeat: "HTTP/1.1 103 Early Hints\r\n\r\n"},
	Length:    {head: true, begin: "Content-Length: 9000000000000\r\n\r\n", repeat: filler},
	Chunk:     {head: true, begin: chunked + "ffffffffffff\r\n", repeat: filler},
	Size:      {head: true, begin: chunked, repeat: "0"},
	Extension: {head: true, begin: chunked + "1;", repeat: filler},
	Trailers:  {head: true, begin: chunked + "1\r\nx\r\n0\r\n", repeat: field},
	Encoded:   {head: true, begin: "Content-Encoding: gzip\r\n\r\n", repeat: filler},
	Extra:     {head: true, begin: "Content-Length: 2\r\n\r\nok", repeat: filler},
	Close:     {head: true, begin: "\r\n", repeat: filler},
	Chunks:    {head: true, begin: chunked, repeat: largeChunk},
	Tiny:      {head: true, begin: chunked, repeat: "1\r\nx\r\n"},
	SlowClose: {head: true, begin: "\r\n", repeat: filler, pause: pause},
	SlowParts: {head: true, begin: chunked, repeat: largeChunk, pause: pause},
}

// Write writes the answer to a connection until a write fails, and returns that error. The
// header is zero or more complete lines.
func (k Kind) Write(c net.Conn, header string) error {
	a, ok := answers[k]
	if !ok {
		return fmt.Errorf("there is no kind %q of answers without end", k)
	}
	part := []byte(a.begin)
	if a.head {
		part = []byte("HTTP/1.1 200 OK\r\n" + header + a.begin)
	}
	repeat := bytes.Repeat([]byte(a.repeat), max(1, partBytes/len(a.repeat)))
	for {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := c.Write(part); err != nil {
			return err
		}
		time.Sleep(a.pause)
		part = repeat
	}
}

// Server answers each request with an answer without end.
type Server struct {
	*canned.Server
	kind   Kind
	header string
	echo   []string
}

// Option sets an optional property of a Server.
type Option func(*Server)

// WithHeader adds a header to all answers.
func WithHeader(name, value string) Option {
	return func(s *Server) { s.header += name + ": " + value + "\r\n" }
}

// WithEcho copies headers of the request to its answer.
func WithEcho(names ...string) Option { return func(s *Server) { s.echo = append(s.echo, names...) } }

// Listen starts a server on a free port of 127.0.0.1.
func Listen(k Kind, options ...Option) (*Server, error) {
	s := &Server{kind: k}
	for _, o := range options {
		o(s)
	}
	var err error
	s.Server, err = canned.ListenRaw(s.serve)
	return s, err
}

// serve reads one request and answers it until the client closes the connection.
func (s *Server) serve(c net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	header := s.header
	for _, name := range s.echo {
		header += name + ": " + r.Header.Get(name) + "\r\n"
	}
	_ = s.kind.Write(c, header) // the error is how the client ends the connection
}
