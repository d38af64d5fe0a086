package canned

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestServer guards against bytes that are sent other than as given, or before the whole request.
func TestServer(t *testing.T) {
	s, err := Listen(func(r *http.Request) string { return "no response to " + r.URL.Path + "\n" })
	must.NoError(t, err)
	c, err := net.Dial("tcp", s.Address())
	must.NoError(t, err)
	in := bufio.NewReader(c)
	for _, path := range []string{"/a", "/b"} {
		_, err = io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
		must.NoError(t, err)
		line, err := in.ReadString('\n')
		must.NoError(t, err)
		test.Eq(t, "no response to "+path+"\n", line)
	}
	opened, open := s.Connections()
	test.Eq(t, 1, opened)
	test.Eq(t, 1, open)
	test.Eq(t, 2, s.Requests())
	s.Close()
	_, err = in.ReadByte()
	test.ErrorIs(t, err, io.EOF)
}
