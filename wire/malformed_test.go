package wire

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"rhubarbdrift.example/canned"
	"rhubarbdrift.example/fault"
)

// servePeer answers the calls of one connection with a message and the header.
func servePeer(nc net.Conn, header []hpack.HeaderField) {
	if _, err := io.CopyN(io.Discard, nc, int64(len(http2.ClientPreface))); err != nil {
		return
	}
	framer := http2.NewFramer(nc, nc)
	_ = framer.WriteSettings()
	encoded, _ := cbor.Marshal(&testMessage{Text: "answer"})
	message := append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(encoded))), encoded...)
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		if settings, ok := frame.(*http2.SettingsFrame); ok && !settings.IsAck() {
			_ = framer.WriteSettingsAck()
		}
		if data, ok := frame.(*http2.DataFrame); !ok || !data.StreamEnded() {
			continue
		}
		block := func(fields []hpack.HeaderField) []byte {
			var b bytes.Buffer
			e := hpack.NewEncoder(&b)
			e.SetMaxDynamicTableSize(0)
			for _, f := range fields {
				_ = e.WriteField(f)
			}
			return b.Bytes()
		}
		stream := frame.Header().StreamID
		_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block(header), EndHeaders: true})
		_ = framer.WriteData(stream, false, message)
		_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block([]hpack.HeaderField{{Name: "grpc-status", Value: "0"}}), EndHeaders: true, EndStream: true})
	}
}

var (
	statusField = hpack.HeaderField{Name: ":status", Value: "200"}
	typeField   = hpack.HeaderField{Name: "content-type", Value: "application/grpc+cbor"}
)

// callPeer calls a peer that answers with the header.
func callPeer(t *testing.T, header ...hpack.HeaderField) (*testMessage, error) {
	t.Helper()
	s, err := canned.ListenRaw(func(nc net.Conn) { servePeer(nc, header) })
	must.NoError(t, err)
	defer s.Close()
	pool := NewPool()
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return Call[testMessage, testMessage](ctx, pool.Client(s.Address()), "echo", &testMessage{Text: "question"})
}

// TestMalformed guards against headers that HTTP/2 does not allow but that belong to an answer
// of another daemon.
func TestMalformed(t *testing.T) {
	answer, err := callPeer(t, statusField, typeField, hpack.HeaderField{Name: "name", Value: "a\tb\xff"})
	must.NoError(t, err)
	must.Eq(t, "answer", answer.Text)
	for _, field := range []hpack.HeaderField{
		{Name: "bad name", Value: "x"}, {Name: "content length", Value: "3"}, {Name: "bad\x01name", Value: "x"},
		{Value: "x"}, {Name: "name", Value: "\x01"},
	} {
		answer, err := callPeer(t, statusField, typeField, field)
		test.Error(t, err, test.Sprintf("%q", field.Name))
		test.False(t, fault.Is(err, fault.KindUnavailable), test.Sprint("the call counts as not sent"))
		test.Nil(t, answer)
	}
}

// TestPeerStatus guards against a status that HTTP/2 does not allow, or none, with an answer of
// another daemon.
func TestPeerStatus(t *testing.T) {
	for _, header := range [][]hpack.HeaderField{
		{{Name: ":status", Value: "000"}, typeField}, {{Name: ":status", Value: "600"}, typeField}, {typeField},
	} {
		answer, err := callPeer(t, header...)
		test.Error(t, err, test.Sprintf("%v", header))
		test.Nil(t, answer)
	}
}
