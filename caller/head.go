package caller

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"rhubarbdrift.example/header"
)

// errBufferFull is returned for a head that does not fit into the read buffer.
var errBufferFull = errors.New("the read buffer is full")

// errHeadTooLarge is the problem of a head that exceeds the limit.
var errHeadTooLarge = &problem{http.StatusRequestHeaderFieldsTooLarge, "the request header is too large"}

// skipEmptyLines discards the empty lines in front of a request, which some clients send
// after a body. It returns false if nothing else has arrived yet.
func skipEmptyLines(in *bufio.Reader) (more bool, err error) {
	for in.Buffered() > 0 {
		first, err := in.Peek(1)
		if err != nil || first[0] != '\r' {
			return true, err
		}
		line, err := in.Peek(2)
		if err != nil || line[1] != '\n' {
			return true, err
		}
		_, _ = in.Discard(2) // cannot fail: the bytes are buffered
	}
	return false, nil
}

// peekHead waits until the buffer holds the whole head of a request, and returns it
// without consuming it. The head includes the empty line at its end.
func peekHead(in *bufio.Reader) ([]byte, error) {
	scanned := 0
	for {
		data, err := in.Peek(max(in.Buffered(), 1))
		if err != nil {
			return nil, err
		}
		if end := headEnd(data, max(scanned-3, 0)); end > 0 {
			return data[:end], nil
		}
		scanned = len(data)
		if len(data) >= in.Size() {
			return nil, errBufferFull
		}
		if _, err := in.Peek(len(data) + 1); err != nil {
			return nil, err
		}
	}
}

// headEnd returns the length of the head in data, or 0 if its end is missing. It looks
// for the end from an offset on. Lines that end with a line feed alone also end a head,
// so that checkHead can refuse them.
func headEnd(data []byte, from int) int {
	for {
		n := bytes.IndexByte(data[from:], '\n')
		if n < 0 {
			return 0
		}
		from += n + 1
		rest := data[from:]
		switch {
		case len(rest) >= 1 && rest[0] == '\n':
			return from + 1
		case len(rest) >= 2 && rest[0] == '\r' && rest[1] == '\n':
			return from + 2
		}
	}
}

// checkHead returns why a head must be refused because two parsers may read it
// differently, or "".
func checkHead(head []byte) string {
	for i, b := range head {
		switch {
		case b == '\r' && head[i+1] != '\n', b == '\n' && (i == 0 || head[i-1] != '\r'):
			return "a line does not end with CR LF"
		case b < ' ' && b != '\t' && b != '\r' && b != '\n', b == 0x7f:
			return "the header contains a control character"
		}
	}
	_, fields, _ := bytes.Cut(head, []byte("\n"))
	return header.RawProblem(fields)
}

// problem is a request that is refused without a handler, with the status.
type problem struct {
	status int
	reason string
}

// Error implements error.
func (p *problem) Error() string { return p.reason }

// readRequest reads one request, whose body is still to be read from in, and returns the
// size of its head. Its errors are a *problem, or that of the connection.
func readRequest(in *bufio.Reader, maxBytes int) (r *http.Request, size int, err error) {
	head, err := peekHead(in)
	switch {
	case err != nil:
		return nil, 0, err
	case len(head) > maxBytes:
		return nil, 0, errHeadTooLarge
	}
	if reason := checkHead(head); reason != "" {
		return nil, 0, &problem{http.StatusBadRequest, reason}
	}
	size = len(head)
	// The library ignores the encodings of HTTP/1.0.
	encoded := bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding:"))
	if r, err = http.ReadRequest(in); err != nil {
		return nil, 0, &problem{http.StatusBadRequest, "the request cannot be read"}
	}
	switch expect := r.Header.Get("Expect"); {
	case r.ProtoMajor != 1:
		return nil, 0, &problem{http.StatusHTTPVersionNotSupported, fmt.Sprintf("version %s is not supported", r.Proto)}
	case r.ProtoAtLeast(1, 1) && r.Host == "":
		return nil, 0, &problem{http.StatusBadRequest, "there is no Host header"}
	case strings.ContainsAny(r.Host, " \t@/\\"):
		return nil, 0, &problem{http.StatusBadRequest, "the Host header is not a host"}
	case expect != "" && !strings.EqualFold(expect, "100-continue"):
		return nil, 0, &problem{http.StatusExpectationFailed, "only 100-continue can be expected"}
	case !r.ProtoAtLeast(1, 1) && encoded:
		return nil, 0, &problem{http.StatusBadRequest, "HTTP/1.0 has no transfer encodings"}
	}
	return r, size, nil
}
