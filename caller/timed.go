package caller

import (
	"io"
	"time"
)

// sameRead is the time within which two reads count as one.
const sameRead = 10 * time.Millisecond

// timedReader records when the bytes of a connection were received. It is used by one
// goroutine at a time.
type timedReader struct {
	source   io.Reader
	buffered func() int // bytes that were read but not consumed yet
	total    int64
	reads    []timedRead // those that contain bytes which were not consumed yet
}

// timedRead is the time at which the bytes before an offset were received.
type timedRead struct {
	end int64
	at  time.Time
}

// Read implements io.Reader.
func (r *timedReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n == 0 {
		return n, err
	}
	r.total += int64(n)
	r.drop(r.total - int64(n) - int64(r.buffered()))
	now := time.Now()
	if last := len(r.reads) - 1; last >= 0 && now.Sub(r.reads[last].at) < sameRead {
		r.reads[last].end = r.total
	} else {
		r.reads = append(r.reads, timedRead{end: r.total, at: now})
	}
	return n, err
}

// drop forgets the reads whose bytes were all consumed.
func (r *timedReader) drop(consumed int64) {
	n := 0
	for n < len(r.reads) && r.reads[n].end <= consumed {
		n++
	}
	r.reads = append(r.reads[:0], r.reads[n:]...)
}

// firstByte returns when the first byte that was not consumed was received.
func (r *timedReader) firstByte() time.Time {
	r.drop(r.total - int64(r.buffered()))
	if len(r.reads) == 0 {
		return time.Now()
	}
	return r.reads[0].at
}
