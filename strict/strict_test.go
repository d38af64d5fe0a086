package strict

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"rhubarbdrift.example/golden"
)

// newResponse returns an empty response, as package exch uses it.
func newResponse() *fasthttp.Response {
	resp := new(fasthttp.Response)
	resp.Header.SetNoDefaultContentType(true)
	return resp
}

// describe reads a response and returns its status, header and body, or the error.
func describe(r io.Reader) string {
	resp := newResponse()
	if err := Read(bufio.NewReader(r), resp, 0); err != nil {
		if !errors.Is(err, ErrMalformed) {
			return "the rest of the response cannot be read"
		}
		return err.Error()
	}
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%d", resp.StatusCode())
	for name, value := range resp.Header.All() {
		_, _ = fmt.Fprintf(&b, " %q=%q", name, value)
	}
	return fmt.Sprintf("%s body=%q", b.String(), resp.Body())
}

// TestHeads guards against invalid responses that are accepted, and against unusual ones that
// are rejected. The verdicts, which must not depend on how the bytes arrive, are in the golden
// file.
func TestHeads(t *testing.T) {
	input, want := readHeads(t)
	var got strings.Builder
	for i, text := range input {
		whole := describe(strings.NewReader(text))
		_, _ = fmt.Fprintf(&got, "%q\n\t%s\n", text, whole)
		test.Eq(t, whole, describe(iotest.OneByteReader(strings.NewReader(text))), test.Sprintf("%d, byte by byte: %q", i, text))
	}
	golden.Compare(t, want, got.String())
}

// TestEarly guards against heads that are refused only at their end, which may never come.
func TestEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // fails if a read waits for ever
		for _, text := range []string{"HTTP/1.1 000 OK\r\n", "SSH-2.0-x\r\n"} {
			silent, _ := io.Pipe()
			err := Read(bufio.NewReader(io.MultiReader(strings.NewReader(text), silent)), newResponse(), 0)
			test.ErrorIs(t, err, ErrMalformed, test.Sprintf("%q", text))
		}
	})
}

// TestCutOff guards against a head that broke off but is returned, or that is called malformed
// although only its end is missing.
func TestCutOff(t *testing.T) {
	const whole = "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nFolded: a\r\n b\r\nContent-Length: 0\r\n\r\n"
	must.NoError(t, Read(bufio.NewReader(strings.NewReader(whole)), newResponse(), 0))
	for n := range len(whole) {
		err := Read(bufio.NewReader(strings.NewReader(whole[:n])), newResponse(), 0)
		test.True(t, errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF), test.Sprintf("%v after %q", err, whole[:n]))
	}
}

// TestLongHead guards against a head larger than the buffer.
func TestLongHead(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 " + strings.Repeat("x", 5000), "HTTP/1.1 200 OK\r\n" + strings.Repeat("Name: x\r\n", 600)} {
		err := Read(bufio.NewReaderSize(strings.NewReader(text), 4096), newResponse(), 0)
		test.ErrorIs(t, err, bufio.ErrBufferFull)
	}
}

// FuzzRead guards against accepted responses with an invalid status or an invalid name.
func FuzzRead(f *testing.F) {
	input, _ := readHeads(f)
	for _, text := range input {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		resp := newResponse()
		if Read(bufio.NewReader(bytes.NewReader(data)), resp, 1<<16) != nil {
			return
		}
		test.Between(t, 100, resp.StatusCode(), 599)
		for name, value := range resp.Header.All() {
			test.True(t, isToken(name), test.Sprintf("%q", name))
			test.True(t, isText(value), test.Sprintf("%q: %q", name, value))
		}
	})
}

// TestIsText compares isText with its definition, for each byte at each place of two words.
func TestIsText(t *testing.T) {
	for c := range 256 {
		want := c >= ' ' && c != 0x7f || c == '\t'
		for _, filler := range []string{"a", "\t", "\xff", "\x80", " ", "~"} {
			for n := range 20 {
				for i := range n {
					text := []byte(strings.Repeat(filler, n))
					text[i] = byte(c)
					must.Eq(t, want, isText(text), must.Sprintf("%q", text))
				}
			}
		}
	}
}

// BenchmarkRead compares Read with the decoder's own reading.
func BenchmarkRead(b *testing.B) {
	for _, count := range []int{4, 40} {
		text := []byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("Some-Header: "+strings.Repeat("v", 48)+"\r\n", count) + "Content-Length: 0\r\n\r\n")
		for name, read := range map[string]func(*bufio.Reader, *fasthttp.Response) error{
			"strict":  func(r *bufio.Reader, resp *fasthttp.Response) error { return Read(r, resp, 0) },
			"library": func(r *bufio.Reader, resp *fasthttp.Response) error { return resp.ReadLimitBody(r, 0) },
		} {
			b.Run(fmt.Sprintf("%s/%d headers", name, count), func(b *testing.B) {
				source, r, resp := bytes.NewReader(nil), bufio.NewReaderSize(nil, 16<<10), newResponse()
				for b.Loop() {
					source.Reset(text)
					r.Reset(source)
					must.NoError(b, read(r, resp))
				}
			})
		}
	}
}
