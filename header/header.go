// Package header validates the framing of a caller's request before any other
// processing, and removes hop-by-hop headers.
//
// # Usage
//
//	if problem := header.FramingProblem(&ctx.Request.Header); problem != "" {
//		return bad(problem)
//	}
//	header.RemoveHopByHop(&req.Header)
package header

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

var (
	contentLength    = []byte("content-length")
	transferEncoding = []byte("transfer-encoding")
	hostHeader       = []byte("host")
	chunked          = []byte("chunked")
)

// framing counts the header lines that determine where a request body ends.
type framing struct {
	lengths   int
	encodings int
	invalid   bool // a transfer encoding other than chunked, or a list of lengths
	folded    bool // a header line that continues the previous one
	spaced    bool // a space before a colon
	hosts     int
}

// FramingProblem returns why a request must be refused before any other processing, or
// "". It prevents request smuggling: if two parsers disagree on where a request
// ends, the rest could be taken for another caller's request.
func FramingProblem(h *fasthttp.RequestHeader) string {
	if problem := RawProblem(h.RawHeaders()); problem != "" {
		return problem
	}
	if len(h.Host()) == 0 {
		return "there is no Host header"
	}
	return ""
}

// RawProblem is FramingProblem for the raw header lines of a request. It does not refuse
// a request without a Host header.
func RawProblem(lines []byte) string {
	f := scanFraming(lines)
	switch {
	case f.folded:
		return "a header line is folded"
	case f.spaced:
		return "there is a space before a colon"
	case f.lengths > 1:
		return "there is more than one Content-Length"
	case f.lengths > 0 && f.encodings > 0:
		return "there are both Content-Length and Transfer-Encoding"
	case f.encodings > 1 || f.invalid:
		return "the transfer encoding is not exactly chunked"
	case f.hosts > 1:
		return "there is more than one Host header"
	default:
		return ""
	}
}

// scanFraming counts the framing headers in the raw header lines of a request.
func scanFraming(raw []byte) framing {
	var f framing
	for len(raw) > 0 {
		line, rest, _ := bytes.Cut(raw, []byte("\n"))
		raw = rest
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			continue
		}
		f.addLine(line)
	}
	return f
}

// addLine counts one header line, which is not empty.
func (f *framing) addLine(line []byte) {
	if line[0] == ' ' || line[0] == '\t' {
		f.folded = true
		return
	}
	raw, value, _ := bytes.Cut(line, []byte(":"))
	name := bytes.TrimSpace(raw)
	f.spaced = f.spaced || len(name) != len(raw)
	switch {
	case bytes.EqualFold(name, contentLength):
		f.lengths++
		f.invalid = f.invalid || bytes.ContainsRune(value, ',')
	case bytes.EqualFold(name, transferEncoding):
		f.encodings++
		f.invalid = f.invalid || !bytes.EqualFold(bytes.TrimSpace(value), chunked)
	case bytes.EqualFold(name, hostHeader):
		f.hosts++
	}
}

// hopByHop lists the hop-by-hop headers, which are not forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Editor has the methods of fasthttp's request and response headers that
// RemoveHopByHop uses.
type Editor interface {
	Peek(key string) []byte
	Del(key string)
}

// RemoveHopByHop deletes the hop-by-hop headers and those listed in Connection.
func RemoveHopByHop(h Editor) {
	var named [][]byte
	if value := h.Peek("Connection"); len(value) > 0 {
		named = bytes.Split(bytes.Clone(value), []byte(","))
	}
	for _, name := range named {
		name = bytes.TrimSpace(name)
		if len(name) > 0 && !bytes.EqualFold(name, []byte("close")) && !bytes.EqualFold(name, []byte("keep-alive")) {
			h.Del(string(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
