package budget

import (
	"bytes"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

const mb = 1 << 20

var start = time.Unix(1000, 0)

// at returns the time after a number of seconds.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// body returns a holder of a body of a connection of its own, whose caller is to send.
func body(t *testing.T, a *Account, now time.Time, n int64) *Holder {
	t.Helper()
	h := NewHolder(a.NewOwner("caller"), Bodies, func() {})
	_, ok := h.Reserve(now, n)
	must.True(t, ok)
	h.Expect(now, true)
	return h
}

// TestLargestFits guards against a limit of the smallest machine under which the largest
// legal request, its response and a few connections do not fit.
func TestLargestFits(t *testing.T) {
	for _, memory := range []int64{64 * mb, 184 * mb, 284 * mb, 4096 * mb} {
		a := New(ForMemory(memory))
		o := a.NewOwner("caller")
		for _, x := range []struct {
			kind  Kind
			bytes int64
		}{{Bodies, 64*mb + SocketBytes + ExchangeBytes + 32<<10}, {Responses, 8 * mb}} {
			_, ok := NewHolder(o, x.kind, nil).Reserve(start, x.bytes)
			test.True(t, ok, test.Sprint(memory, x.kind))
		}
		for range 20 {
			_, ok := NewHolder(a.NewOwner("caller"), Buffers, nil).Reserve(start, ConnectionBytes)
			test.True(t, ok)
		}
	}
}

// TestSmallNeverWaits guards against small requests that are refused while large ones hold
// all the memory that they may hold.
func TestSmallNeverWaits(t *testing.T) {
	a := New(ForMemory(184 * mb))
	for range 1000 {
		h := NewHolder(a.NewOwner("caller"), Bodies, func() {})
		_, _ = h.Reserve(start, 3*mb)
	}
	for range 40 {
		_, ok := NewHolder(a.NewOwner("caller"), Bodies, func() {}).Reserve(start, 100<<10)
		must.True(t, ok)
	}
}

// TestEvictsLargestStalled guards against memory that stays with callers that make no
// progress, and against the eviction of callers that do, or that the host keeps waiting.
func TestEvictsLargestStalled(t *testing.T) {
	a := New(ForMemory(184 * mb))
	large, medium := body(t, a, start, 30*mb), body(t, a, start, 10*mb)
	steady, served := body(t, a, start, 10*mb), body(t, a, start, 10*mb)
	served.Expect(start, false)
	for s := 0.0; s < 3; s += 0.1 {
		steady.Progress(at(s), 20<<10)
	}
	next := NewHolder(a.NewOwner("caller"), Bodies, func() {})
	_, ok := next.Reserve(at(1), 20*mb)
	test.False(t, ok, test.Sprint("all made progress within the time over which rates are measured"))
	_, ok = next.Reserve(at(3), 20*mb)
	test.True(t, ok)
	test.Eq(t, []bool{true, false, false, false}, []bool{large.Evicted(), medium.Evicted(), steady.Evicted(), served.Evicted()})
	_, ok = large.Reserve(at(3), 1)
	test.False(t, ok, test.Sprint("an evicted holder reserves nothing"))
}

// TestNoMinimumWithoutShortage guards against callers on slow links that are cut off
// although there is memory for all.
func TestNoMinimumWithoutShortage(t *testing.T) {
	a := New(ForMemory(184 * mb))
	h := body(t, a, start, 30*mb)
	body(t, a, at(100), 10*mb)
	test.False(t, h.Evicted())
}

// TestPause guards against callers that are cut off because this process was suspended.
func TestPause(t *testing.T) {
	a := New(ForMemory(184 * mb))
	a.Tick(start)
	h := body(t, a, start, 50*mb)
	next := NewHolder(a.NewOwner("caller"), Bodies, func() {})
	_, ok := next.Reserve(at(10), 30*mb)
	test.False(t, ok, test.Sprint("before the tick after the pause"))
	a.Tick(at(10.1))
	_, ok = next.Reserve(at(10.2), 30*mb)
	test.False(t, ok)
	test.False(t, h.Evicted())
	for s := 10.2; s < 13; s += TickInterval.Seconds() {
		a.Tick(at(s))
	}
	_, ok = next.Reserve(at(13), 30*mb)
	test.True(t, ok)
}

// TestRetryAfter guards against a Retry-After that has nothing to do with when memory
// becomes free.
func TestRetryAfter(t *testing.T) {
	a := New(ForMemory(184 * mb))
	h := body(t, a, start, 60*mb)
	for s := 0.1; s <= 2; s += 0.1 {
		h.Progress(at(s), mb) // 10 MB/s: 40 MB are left after 2 s
	}
	next := NewHolder(a.NewOwner("caller"), Bodies, func() {})
	wait, ok := next.Reserve(at(2), 30*mb)
	test.False(t, ok)
	test.Between(t, 3.5, wait.Seconds(), 4.5)
	wait, _ = next.Reserve(at(3.5), 30*mb) // no progress for 1.5 s of 2
	test.Between(t, 0.4, wait.Seconds(), 0.6)
}

// TestOneCaller guards against a caller that takes the memory from others, and against a
// limit where callers can't be told apart.
func TestOneCaller(t *testing.T) {
	a := New(ForMemory(1000 * mb))
	for range 5 {
		body(t, a, start, 60*mb) // 300 of 450, all of one address
	}
	other := NewHolder(a.NewOwner("other"), Bodies, func() {})
	_, ok := other.Reserve(start, mb)
	test.True(t, ok)
	_, ok = NewHolder(a.NewOwner("caller"), Bodies, func() {}).Reserve(start, mb)
	test.False(t, ok)
	test.Eq(t, 1, a.Status().Refusals[CallerLimit])
	one := a.NewOwner("third")
	_, ok = NewHolder(one, Bodies, nil).Reserve(start, 64*mb)
	test.True(t, ok)
	_, ok = NewHolder(one, Bodies, nil).Reserve(start, 64*mb)
	test.False(t, ok)
	test.Eq(t, 1, a.Status().Refusals[ConnectionLimit])
}

// TestReleases guards against bytes that stay counted after all holders released them.
func TestReleases(t *testing.T) {
	a := New(ForMemory(184 * mb))
	var all []*Holder
	for n := range 50 {
		all = append(all, body(t, a, start, int64(n)*10<<10))
	}
	for n := range all {
		h := all[n*7%50]
		h.ReleaseTo(1000)
		h.Release()
		h.Release()
	}
	test.Eq(t, int64(0), a.Status().Total)
	test.Nil(t, a.first)
}

// TestConnections guards against descriptors that connections take from peers and files.
func TestConnections(t *testing.T) {
	for _, descriptors := range []int{64, 1000, 4100, 1 << 20} {
		callers, targets := Connections(descriptors, ForMemory(184*mb))
		test.LessEq(t, descriptors-descriptors/12-min(200, descriptors/4), callers+targets)
		test.Positive(t, callers)
		test.Positive(t, targets)
		test.LessEq(t, ForMemory(184*mb).Total/2, int64(callers)*ConnectionBytes)
	}
}

// TestReadAll guards against bytes that are lost, doubled or counted wrongly when a body is
// read into segments, and against growth that reserves after it allocates.
func TestReadAll(t *testing.T) {
	data := bytes.Repeat([]byte("0123456789"), 100_000)
	for _, size := range []int{0, 1, firstSegment, firstSegment + 1, maxSegment, len(data)} {
		for _, known := range []int64{-1, int64(size)} {
			for name, source := range map[string]io.Reader{"usual": bytes.NewReader(data[:size]), "halves": iotest.HalfReader(bytes.NewReader(data[:size])), "with end": iotest.DataErrReader(bytes.NewReader(data[:size]))} {
				reserved, received := int64(0), 0
				s, err := ReadAll(source, known, int64(len(data)), func(n int64) error { reserved += n; return nil }, func(_ time.Time, n int) { received += n })
				must.NoError(t, err, must.Sprint(name, size, known))
				read, err := io.ReadAll(iotest.OneByteReader(s.Reader()))
				must.NoError(t, err)
				must.True(t, bytes.Equal(data[:size], read), must.Sprint(name, size, known))
				var written bytes.Buffer
				_, err = io.Copy(&written, s.Reader())
				must.NoError(t, err)
				must.True(t, bytes.Equal(data[:size], written.Bytes()))
				must.Eq(t, size, received)
				must.True(t, known >= 0 && reserved == 0 || known < 0 && reserved >= int64(size))
			}
		}
	}
	s, err := ReadAll(bytes.NewReader(data), -1, 1000, func(int64) error { return nil }, func(time.Time, int) {})
	must.NoError(t, err)
	test.Eq(t, int64(1001), s.Len())
	_, err = ReadAll(bytes.NewReader(data[:10]), 11, 1000, nil, func(time.Time, int) {})
	test.ErrorIs(t, err, io.ErrUnexpectedEOF)
	full := errors.New("full")
	_, err = ReadAll(bytes.NewReader(data), -1, 1<<20, func(int64) error { return full }, nil)
	test.ErrorIs(t, err, full)
}

// BenchmarkRequest measures the accounting of an ordinary request and its response.
func BenchmarkRequest(b *testing.B) {
	a := New(ForMemory(184 * mb))
	for range 1000 { // connections
		_, _ = NewHolder(a.NewOwner("x"), Buffers, nil).Reserve(start, ConnectionBytes)
	}
	o := a.NewOwner("caller")
	b.ReportAllocs()
	for b.Loop() {
		request, response := NewHolder(o, Bodies, nil), NewHolder(o, Responses, nil)
		_, _ = request.Reserve(start, ExchangeBytes)
		request.Expect(start, true)
		request.Progress(start, 1000)
		request.Expect(start, false)
		_, _ = response.Reserve(start, 1000)
		request.Release()
		response.Expect(start, true)
		response.Progress(start, 1000)
		response.Release()
	}
}

// TestBehind guards against bytes that are held behind others of the same connection and
// leave no memory for those.
func TestBehind(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New(Limits{Total: 80 << 20, Caller: 80 << 20, Connection: 40 << 20})
	behind := true
	var list []*Holder
	reserve := func(o *Owner, wait bool) bool {
		h := NewHolder(o, Responses, nil)
		if wait {
			h.SetBehind(func() bool { return behind })
		}
		list = append(list, h)
		_, ok := h.Reserve(now, 8<<20)
		return ok
	}
	first, second := a.NewOwner("first"), a.NewOwner("second")
	for _, o := range []*Owner{first, second} {
		for n := range 5 {
			test.Eq(t, n < 4 && (o == first || n < 3), reserve(o, true), test.Sprint("response ", n))
		}
	}
	test.True(t, reserve(first, false), test.Sprint("the response in front, beside those behind it"))
	behind = false
	test.True(t, reserve(second, true), test.Sprint("a response whose turn it is"))
	for _, h := range list {
		h.Release()
	}
	test.Eq(t, 0, a.Status().Total)
}

// TestHugeNumbers guards against a body that is read without a reservation or cut to nothing
// because its size or its limit overflows.
func TestHugeNumbers(t *testing.T) {
	a := New(ForMemory(184 << 20))
	h := NewHolder(a.NewOwner("caller"), Bodies, nil)
	one, largest := int64(1), int64(math.MaxInt64)
	for _, n := range []int64{largest, largest + one, largest + 1000} {
		_, ok := h.Reserve(time.Unix(1000, 0), n)
		test.False(t, ok, test.Sprint(n))
	}
	_, ok := h.Reserve(time.Unix(1000, 0), 1000)
	test.True(t, ok)
	_, ok = h.Reserve(time.Unix(1000, 0), largest)
	test.False(t, ok)
	s, err := ReadAll(strings.NewReader("body"), -1, largest, func(int64) error { return nil }, func(time.Time, int) {})
	test.NoError(t, err)
	test.Eq(t, 4, s.Len())
}
