// Package shape checks the form of a caller's request before anything else is
// done with it, and removes headers that are meant for one connection only.
//
// # Usage
//
//	if problem := shape.Problem(&ctx.Request.Header); problem != "" {
//		return bad(problem)
//	}
//	shape.RemoveHop(&req.Header)
package shape

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

var (
	lengthName   = []byte("content-length")
	encodingName = []byte("transfer-encoding")
	chunkedValue = []byte("chunked")
)

// framing counts the header lines that decide where a request body ends.
type framing struct {
	lengths   int
	encodings int
	other     bool // a transfer encoding that is not exactly chunked
	folded    bool // a header line that continues the one before it
}

// Problem returns why a request is refused before anything else is done with
// it, or "". Requests whose end two parsers may see at different places are
// refused, since the rest could be taken for another caller's request.
func Problem(h *fasthttp.RequestHeader) string {
	f := scan(h.RawHeaders())
	switch {
	case f.folded:
		return "a header line is folded"
	case f.lengths > 1:
		return "there is more than one Content-Length"
	case f.lengths > 0 && f.encodings > 0:
		return "there are both Content-Length and Transfer-Encoding"
	case f.encodings > 1 || f.other:
		return "the transfer encoding is not exactly chunked"
	case len(h.Host()) == 0:
		return "there is no Host header"
	default:
		return ""
	}
}

func scan(raw []byte) framing {
	var f framing
	for len(raw) > 0 {
		line, rest, _ := bytes.Cut(raw, []byte("\n"))
		raw = rest
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			continue
		}
		f.add(line)
	}
	return f
}

func (f *framing) add(line []byte) {
	if line[0] == ' ' || line[0] == '\t' {
		f.folded = true
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	name = bytes.TrimSpace(name)
	switch {
	case bytes.EqualFold(name, lengthName):
		f.lengths++
		f.other = f.other || bytes.ContainsRune(value, ',')
	case bytes.EqualFold(name, encodingName):
		f.encodings++
		f.other = f.other || !bytes.EqualFold(bytes.TrimSpace(value), chunkedValue)
	}
}

// hopHeaders are meant for one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Headers is the part of fasthttp's request and response headers that is needed here.
type Headers interface {
	Peek(key string) []byte
	Del(key string)
}

// RemoveHop deletes the hop-by-hop headers and those that Connection names.
func RemoveHop(h Headers) {
	var named [][]byte
	if value := h.Peek("Connection"); len(value) > 0 {
		named = bytes.Split(bytes.Clone(value), []byte(","))
	}
	for _, n := range named {
		n = bytes.TrimSpace(n)
		if len(n) > 0 && !bytes.EqualFold(n, []byte("close")) && !bytes.EqualFold(n, []byte("keep-alive")) {
			h.Del(string(n))
		}
	}
	for _, n := range hopHeaders {
		h.Del(n)
	}
}
