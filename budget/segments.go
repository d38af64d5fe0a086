package budget

import (
	"errors"
	"io"
	"math"
	"sync"
	"time"
)

const (
	// firstSegment and maxSegment bound the segments of a body of unknown size, each of
	// which is four times as large as the one before.
	firstSegment = 4 << 10
	maxSegment   = 256 << 10
)

// Segments is a sequence of bytes that grows without copying what it holds.
type Segments struct {
	parts [][]byte
	size  int64
}

// Of returns the segments of one slice, which is not copied.
func Of(data []byte) Segments {
	if len(data) == 0 {
		return Segments{}
	}
	return Segments{parts: [][]byte{data}, size: int64(len(data))}
}

// Len returns the number of bytes.
func (s Segments) Len() int64 { return s.size }

// Parts returns the segments.
func (s Segments) Parts() [][]byte { return s.parts }

// Reader returns a reader of the bytes.
func (s Segments) Reader() io.Reader { return &segmentReader{parts: s.parts} }

// Append adds a slice, which is not copied.
func (s *Segments) Append(data []byte) {
	if len(data) > 0 {
		s.parts = append(s.parts, data)
		s.size += int64(len(data))
	}
}

// segments holds recycled segments of the largest size, as *[]byte.
var segments sync.Pool

// Recycle lets the memory of the segments be used again, and empties them. Nothing else may
// refer to their bytes. Without it, bodies that are read and dropped in quick succession
// outrun the garbage collector.
func (s *Segments) Recycle() {
	for _, part := range s.parts {
		if cap(part) == maxSegment {
			part = part[:maxSegment]
			segments.Put(&part)
		}
	}
	*s = Segments{}
}

// newSegment returns a segment with a size of at most maxSegment, whose bytes are undefined.
func newSegment(size int64) []byte {
	if size == maxSegment {
		if part, ok := segments.Get().(*[]byte); ok {
			return *part
		}
	}
	return make([]byte, size)
}

// segmentReader reads segments. It implements io.WriterTo, so that no buffer lies between
// them and a connection.
type segmentReader struct {
	parts [][]byte
	used  int // bytes of the first part that were read
}

// Read implements io.Reader.
func (r *segmentReader) Read(p []byte) (int, error) {
	if len(r.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.parts[0][r.used:])
	if r.used += n; r.used == len(r.parts[0]) {
		r.parts, r.used = r.parts[1:], 0
	}
	return n, nil
}

// WriteTo implements io.WriterTo.
func (r *segmentReader) WriteTo(w io.Writer) (int64, error) {
	total := int64(0)
	for len(r.parts) > 0 {
		n, err := w.Write(r.parts[0][r.used:])
		total += int64(n)
		if err != nil {
			return total, err
		}
		r.parts, r.used = r.parts[1:], 0
	}
	return total, nil
}

// ReadAll reads a source to its end. Known is the number of bytes if it is known in
// advance, else -1; bytes above limit end the reading, with limit+1 bytes returned. Of an
// unknown number, reserve is called with the size of each segment before it is allocated;
// its error ends the reading.
func ReadAll(source io.Reader, known, limit int64, reserve func(n int64) error, progress func(now time.Time, n int)) (Segments, error) {
	var s Segments
	limit = min(limit, math.MaxInt64-1)
	next := int64(firstSegment)
	for {
		size := min(next, limit+1-s.size)
		if known >= 0 {
			size = min(max(next, maxSegment), known-s.size)
		}
		if size <= 0 {
			return s, readEnd(source, known)
		}
		if known < 0 {
			if err := reserve(size); err != nil {
				return s, err
			}
		}
		part := newSegment(size)
		n, err := readFull(source, part, progress)
		if n > 0 {
			s.parts = append(s.parts, part[:n])
			s.size += int64(n)
		}
		switch {
		case errors.Is(err, io.EOF) && known >= 0 && s.size < known:
			return s, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return s, nil
		case err != nil:
			return s, err
		}
		next = min(4*next, maxSegment)
	}
}

// readEnd reads the end of a source whose size is known, so that it notices that all was
// read.
func readEnd(source io.Reader, known int64) error {
	if known < 0 {
		return nil // above the limit
	}
	var one [1]byte
	if _, err := source.Read(one[:]); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// readFull fills p, unless an error ends the reading before.
func readFull(source io.Reader, p []byte, progress func(now time.Time, n int)) (int, error) {
	total := 0
	for total < len(p) {
		n, err := source.Read(p[total:])
		total += n
		if n > 0 {
			progress(time.Now(), n)
		}
		if err != nil {
			return total, err
		}
	}
	return total, nil
}
