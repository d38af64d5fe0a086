package strict

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// ErrMalformed is the cause of all errors for bytes that are not a valid HTTP/1.1 response.
var ErrMalformed = errors.New("malformed response")

// malformed returns an error with the cause ErrMalformed and a reason.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// head checks the lines of one response head as they arrive.
type head struct {
	size   int // bytes of the complete lines that were checked
	lines  int
	http11 bool // the version is 1.1, which has transfer encodings
}

// peekHead waits until the buffer of r holds a whole response head and returns the size
// in bytes, including the empty line at its end. It consumes nothing. The error is ErrMalformed
// as soon as a line breaks the rules, bufio.ErrBufferFull if the head does not fit into the
// buffer, and otherwise that of the connection.
func peekHead(r *bufio.Reader) (size int, err error) {
	var h head
	for want := 1; ; {
		if _, err := r.Peek(want); errors.Is(err, io.EOF) && want > 1 {
			return 0, io.ErrUnexpectedEOF
		} else if err != nil {
			return 0, err
		}
		data, _ := r.Peek(r.Buffered()) // cannot fail
		if ended, err := h.check(data); ended || err != nil {
			return h.size, err
		}
		want = len(data) + 1
	}
}

// check checks the lines in data, the beginning of the head, that are complete and not
// checked yet. It returns true at the end of the head.
func (h *head) check(data []byte) (ended bool, err error) {
	for {
		n := bytes.IndexByte(data[h.size:], '\n')
		if n < 0 {
			return false, nil
		}
		begin := h.size
		h.size += n + 1
		line := bytes.TrimSuffix(data[begin:h.size-1], []byte("\r"))
		switch h.lines++; {
		case h.lines == 1:
			if err := checkStatusLine(line); err != nil {
				return false, err
			}
			h.http11 = bytes.HasPrefix(line, []byte("HTTP/1.1 "))
		case len(line) == 0 && !bytes.HasSuffix(data[:h.size], []byte("\r\n\r\n")):
			return false, malformed("the header does not end with CR LF CR LF")
		case len(line) == 0:
			return true, nil
		default:
			if err := h.checkField(line); err != nil {
				return false, err
			}
		}
	}
}

// checkStatusLine checks the first line of a head, without its end. The errors don't quote the
// line, which may belong to the body of another response.
func checkStatusLine(line []byte) error {
	version, rest, found := bytes.Cut(line, []byte(" "))
	if !found || len(version) != len("HTTP/1.1") || !bytes.HasPrefix(version, []byte("HTTP/1.")) || !isDigit(version[7]) {
		return malformed("the first line is not an HTTP/1 status line")
	}
	status, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(status) != 3 || status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]) {
		return malformed("status %q is not between 100 and 599", excerpt(status))
	}
	if !isText(reason) {
		return malformed("the reason phrase contains a control character")
	}
	return nil
}

// checkField checks one line of a header, without its end. A line that begins with a blank
// continues the value of the line before; the first one has nothing to continue. The errors
// don't quote values, which may be secret.
func (h *head) checkField(line []byte) error {
	if h.lines > 2 && (line[0] == ' ' || line[0] == '\t') {
		if !isText(line) {
			return malformed("a continued header value contains a control character")
		}
		return nil
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	name = bytes.TrimRight(name, " ")
	switch {
	case !found:
		return malformed("a header line has no colon")
	case !isToken(name):
		return malformed("%q is not the name of a header", excerpt(name))
	case !h.http11 && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		return malformed("only HTTP/1.1 has transfer encodings")
	case !isText(value):
		return malformed("the value of the header %q contains a control character", excerpt(name))
	}
	return nil
}

// isToken reports whether name is the name of a header (RFC 9110, section 5.6.2).
func isToken(name []byte) bool {
	for _, c := range name {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(name) > 0
}

var tokenBytes = func() (allowed [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		allowed[c] = true
	}
	return allowed
}()

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isText reports whether text contains no control character but the tab. It looks at eight
// bytes at a time, since it reads every byte of every header.
func isText(text []byte) bool {
	for len(text) >= 8 && !hasControl(binary.LittleEndian.Uint64(text)) {
		text = text[8:]
	}
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// hasControl reports whether one of eight bytes is below 0x20, a tab included, or 0x7f.
func hasControl(word uint64) bool {
	const each, high = 0x0101010101010101, 0x8080808080808080
	del := word ^ 0x7f*each // zero where the byte is 0x7f
	return ((word-0x20*each)&^word|(del-each)&^del)&high != 0
}

// maxExcerpt is the largest part of a response in a message, in bytes.
const maxExcerpt = 64

// excerpt returns the beginning of the text, for messages.
func excerpt(text []byte) []byte { return text[:min(len(text), maxExcerpt)] }
